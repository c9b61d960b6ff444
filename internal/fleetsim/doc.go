// Package fleetsim measures how the work and the memory of a gateway, and what all gateways together send, grow with the
// number of gateways and of backends. Everything runs in one process and in virtual time.
//
// # The model
//
// A fleet is a number of gateways, a population of tenants whose requests come through them, and a list of backends. Of
// each gateway only the decisions are played: a [policy.Engine] takes the place of the process. A simulation plays some
// gateways of a fleet. It holds a queue of events in virtual time, and each step does the next one: a request arrives, a
// backend answers, the counter answers, a timer is due. It hands the event to the engine and carries out the actions that
// come back, which puts further events into the queue.
//
//	arrival --> Engine.Step --> SendAttempt --> after the backend's answer time: AttemptResult --> Engine.Step
//	                        --> AddToCounter --> after the way to the counter and back: CounterResult --> Engine.Step
//	                        --> SetTimer --> Timer --> Engine.Step
//	                        --> Reject, Fail: the request's final answer
//
// Backends answer after a random time and have no queue; the counter takes every call. Nothing of the network is played:
// the fleet tests of package fleettest do that, with real processes.
//
// Gateways don't see each other but through the counter. A measure of a whole fleet therefore plays its gateways one by
// one, several at a time in goroutines of their own, and adds up what they did; each has a counter to itself. Where the
// calls to the counter are measured, the gateways share one simulation.
//
// What a seed decides (requests, answers, what gateways do) repeats with it, whatever runs side by side. Times and bytes
// are the computer's, and only their ratios within one run count.
//
// # Which measure stands where
//
//	how long an engine's Steps take           steptimes.go, endpointchanges.go; stepmeter.go has the clock
//	what an engine holds                      memory.go
//	what a backend just started is sent       slowstart.go
//	who sends to which backend                spread.go
//	what the loss of many backends does       zoneloss.go
//	how many calls the counter gets           countercalls.go
//	how long a gateway behind goes unnoticed  audit.go, which plays package audit instead of package policy
//
// Each adds rows to a [Report] (report.go, table.go), under [Options] (options.go). What they share:
//
//	simulation.go     the simulation: its clock, its gateways, and what each event leads to
//	eventqueue.go     what is to come, in order
//	requests.go       open requests and their attempts
//	totals.go         counts of what became of them
//	simcounter.go     the counter's numbers
//	population.go     the tenants, and how many requests come through each gateway
//	settings.go       the engines' settings, and the traffic's constants
//	fleet.go          what all simulations of one measure start from
//	run.go            gateways side by side; what ends a measure early
//	computer.go       the computer's memory and load
package fleetsim
