// Package fleettest runs real and simulated gateways side by side, in real time and against the same emulated systems.
//
// A real gateway is the bellwood program: a process that is started with the command from deploy/balancer.toml and is
// reached only through loopback sockets. A simulated gateway is a decision engine (policy.Engine) in this process: a
// goroutine feeds it events and executes its actions, without sockets. Simulated gateways make a fleet of hundreds of
// gateways possible where one machine could not run as many processes. Package emulator emulates the systems outside a
// gateway: the discovery agent, the counter, the backends and the clients.
//
// All gateways of a run receive the same endpoint list, share the counter's values and send to the same model of the
// backends, so the real gateways are exposed to the combined effect of the whole fleet. Everything runs on the machine's
// clock. A simulated gateway's clock starts at the Unix time at which the run began, as a real gateway's does. Nothing here
// runs in virtual time; package fleetsim does that. Every measurement of a real gateway is counted by the emulated systems
// or read from the kernel; none relies on what the gateway reports about itself.
//
// A run (Run) has these phases:
//
//   - start all gateways
//   - send requests and measure
//   - drain backends while requests continue: after the measurement, or during it if a number of requests is measured
//   - stop the requests
//   - kill and restart a real gateway
//   - terminate the real gateways
//
// The audit's tests run fleets of their own, with faults on the links between the processes and the emulated systems.
//
// The files:
//
//	options.go, report.go          the options and the report of a run
//	run.go                         the phases
//	load.go, measure.go            the requests, and the report rows measured while they run
//	drain.go, restart.go           the phases that change the endpoint list and restart processes
//	emulated.go                    the emulated systems that all gateways of a run share
//	realgateway.go                 one real gateway with its agent, counter and clients; the audit's tests use it too
//	gatewayconfig.go               the settings of real and simulated gateways
//	process.go, sockets.go         child processes, and what the kernel reports about them and their sockets
//	simulated.go, simulatedrequest.go  one simulated gateway: its event loop, its requests and its attempts
//	histogram.go                   histograms of times recorded by many goroutines
package fleettest
