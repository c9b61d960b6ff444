// Package emulator emulates the systems outside a gateway for the fleet tests: discovery's agent, the quota counter, the
// backends and the clients, as PROTOCOL-bellwood describes them. Everything listens on loopback alone, holds bounded
// buffers, and closes a connection on bad input.
//
// What the emulated systems hold can also be used without sockets, so that gateways within this process are told and
// counted by the same: Catalog (the endpoint list), CounterStore (of the counter), Model (of the backends). Ledger compares
// what the backends did with what the clients were told.
//
//	catalog.go, agent.go    the endpoint list, and the agent that tells it to one gateway
//	counterstore.go, counter.go  the counter's numbers, and the counter as one gateway reaches it
//	model.go, backends.go   how long backends take, and the backends on sockets
//	traffic.go, clients.go  which requests come, and the clients that send them
//	ledger.go               what became of each request
//	link.go                 a relay that holds, drops, delays and resets
//	listener.go, resp.go    what these share
package emulator
