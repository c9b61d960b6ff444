// Package protocol reads and writes what clients, the gateway and backends send each other: the commands of clients, the
// replies to them, and the replies of backends. The operators' page PROTOCOL-bellwood, which is not in this repository,
// describes it. The protocol's own words (spread, units, d and the like) stand here and nowhere else in the gateway. The
// package has no state; all is safe for concurrent use.
package protocol
