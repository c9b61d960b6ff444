// Package emulator emulates the systems around a gateway for the fleet tests: the discovery agent, the shared counter, the
// backends and the clients, as PROTOCOL-bellwood specifies them. All listeners are on loopback, all buffers are bounded, and
// malformed input closes the connection.
//
// The state of the emulated systems can also be used without sockets, so that gateways simulated in this process share it
// with gateways on sockets: Catalog (the endpoint list), CounterStore (the counter) and Model (the backends). Ledger
// compares what the backends did with the results that the clients received.
//
//	catalog.go, agent.go         the endpoint list, and the agent that serves it to one gateway
//	counterstore.go, counter.go  the entries of the shared counter, and the server that serves it to one gateway
//	model.go, backends.go        the queues and service times of the backends, and the backends on sockets
//	traffic.go, clients.go       the generator of requests, and the clients that send them
//	ledger.go                    the events of each request
//	link.go                      a TCP relay that holds, drops, delays and resets
//	listener.go, resp.go         shared code: limited listeners, and RESP2 encoding and parsing
package emulator
