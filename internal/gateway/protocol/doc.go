// Package protocol reads and writes what clients, the gateway and backends say to each other (PROTOCOL): the commands
// of clients, what they are answered, and the replies of backends. The protocol's own words (spread, units, d, ...)
// stand here and nowhere else in the gateway. It has no state; all is safe for concurrent use.
package protocol
