// Package fleetsim measures how a gateway's processor time and memory, and the load that all gateways together put on the
// backends and the counter, grow with the number of gateways and backends. Everything runs in one process and in virtual
// time.
//
// # The model
//
// A fleet consists of a number of gateways, a population of tenants that send requests through them, and a list of
// backends. Only the decisions of a gateway are simulated: a [policy.Engine] stands in for the process. A simulation runs
// some gateways of a fleet. It keeps a queue of events in virtual time and processes them in order: a request arrives, a
// backend answers, the counter answers, a timer fires. It passes each event to the engine and executes the actions that
// the engine returns, which adds further events to the queue.
//
//	arrival --> Engine.Step --> SendAttempt --> after the backend's answer time: AttemptResult --> Engine.Step
//	                        --> AddToCounter --> after the round trip to the counter: CounterResult --> Engine.Step
//	                        --> SetTimer --> Timer --> Engine.Step
//	                        --> Reject, Fail: the request's final answer
//
// Backends answer after a random time and have no queue; the counter accepts every call. The network is not simulated: the
// fleet tests of package fleettest cover it with real processes.
//
// Gateways affect each other only through the counter. Most measurements of a whole fleet leave this effect out: they
// simulate each gateway separately, with a counter of its own, several at a time in separate goroutines, and add up the
// results. Where the calls to the counter are measured, the gateways share one simulation and its counter.
//
// Everything that depends on the seed (requests, answers, the gateways' decisions) is reproducible, regardless of how many
// simulations run concurrently. Times and bytes depend on the machine; compare only their ratios within one run.
//
// # Measurements and their files
//
//	processor time of an engine's Steps            steptimes.go, endpointchanges.go; stepmeter.go has the clock
//	memory of an engine                            memory.go
//	load on a newly started backend                slowstart.go
//	which gateways send to which backends          spread.go
//	effect of losing many backends                 zoneloss.go
//	calls to the counter                           countercalls.go
//	time until a stale gateway is detected         audit.go, which runs package audit instead of package policy
//
// Each adds rows to a [Report] (report.go, table.go), as configured by [Options] (options.go). Shared parts:
//
//	simulation.go     the simulation: its clock, its gateways, and the handling of each event
//	eventqueue.go     pending events in order of time
//	requests.go       open requests and their attempts
//	totals.go         counts of requests, attempts and counter calls
//	simcounter.go     the simulated counter
//	population.go     the tenants, and the request rate of each gateway
//	settings.go       the engines' settings, and the constants of the traffic
//	fleet.go          the common input of all simulations of one measurement
//	run.go            concurrent simulation of gateways, and the early end of a measurement
//	machine.go        the machine's memory and load
package fleetsim
