// Package protocol parses and formats the messages between clients, the gateway and backends: commands of clients,
// replies to clients, and replies of backends. The operators' page PROTOCOL-bellwood, which is not in this repository,
// specifies the protocol. The names that the protocol uses on the wire (spread, units, d and so on) appear only in this
// package; the rest of the gateway uses the Go names defined here. The package has no state, and everything in it is safe
// for concurrent use.
package protocol
