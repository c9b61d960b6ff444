// Package fleettest runs real gateways beside simulated ones, all before the same emulated systems, in real time.
//
// A real gateway is the program itself: a process that is started as deploy/balancer.toml says and is reached through
// sockets on loopback alone. A simulated gateway is an engine (policy.Engine) in this process: a goroutine feeds
// it events and carries out its actions, with no sockets. It takes the place of a process where hundreds would be too
// many for one computer. The systems outside a gateway (discovery's agent, the counter, the backends, the clients) are
// emulated, by package emulator.
//
// All gateways of a run are told the same endpoint list, count by the same numbers and send to the same model of the
// backends, so that the real ones meet the sum of what many do. Everything runs on the computer's clock; a simulated
// gateway's clock starts at the Unix time at which the run began, as a real one's does. Nothing here runs in virtual
// time: that is package fleetsim. What is measured at the real gateways is counted by the emulated systems or read from
// the kernel, never told by the gateways.
//
// A run (Run) goes through these phases: start all gateways; send requests and measure; drain backends while requests go on
// (after what is measured or, where a number of requests is measured, within it); halt the requests; kill and restart a
// real gateway; end the real gateways. The audit's tests play fleets of their own, with faults on the links between the
// processes and the emulated systems.
//
//	options.go, report.go          what to run, and what was measured
//	run.go                         the phases
//	load.go, measure.go            the requests, and the rows of what is counted meanwhile
//	drain.go, restart.go           the phases with changes of the list and of processes
//	emulated.go                    the systems outside the gateways of a run
//	realgateway.go                 one real gateway with its agent, counter and clients; the audit's tests use it too
//	gatewayconfig.go               the settings of real and simulated gateways
//	process.go, sockets.go         processes, and what the kernel says of them and of their sockets
//	simulated.go, simulatedrequest.go  one simulated gateway: its loop, and its requests and attempts
//	histogram.go                   times that are gathered from many goroutines
package fleettest
