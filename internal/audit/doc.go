// Package audit finds the gateways of a fleet that act on an old version of the endpoint list. It brings such a gateway up
// to date, or takes it out of service until it is.
//
// # The model
//
// A [Machine] is the audit of one gateway. It is a pure state machine without sockets, clock or goroutines. The gateway
// reports what happened to [Machine.Step] as events ([Event]) and carries out the actions that Step returns ([Action]).
// The machines of a fleet share nothing but the entries at the counter. docs/AUDIT.md describes the protocol between
// them, why it is safe and what it costs.
//
//   - A version is the index of the endpoint list that a gateway acts on.
//   - Time is divided into windows, the same at all gateways. In each window one gateway proposes its version, every
//     gateway that acts on that version or a newer one votes for it, and a gateway that is behind the proposal reads the
//     vote count. One window in eight compares the configuration instead.
//   - A quorum of different voters proves that the fleet acts on a newer version. Only such a proof marks a gateway as
//     behind. The gateway finds it by comparing the votes in a window, or by its check after its process was paused.
//   - A gateway is behind if a quorum is ahead of it. It then goes through stages: it waits, reopens the watch, fetches
//     the whole list, and is stale if all of that has failed. A stale gateway must be out of service until it has
//     caught up.
//   - A stale gateway is out of service only while it holds a slot. Slots are leased for an epoch, so that a bounded part
//     of the fleet is out of service at once. The check after a pause of the process needs no slot.
//
// # Files
//
//	machine.go     Machine: the order of a Step; which part handles which event; in or out of service
//	settings.go    Settings: the configuration of a Machine, and its bounds
//	schedule.go    schedule: lengths of windows and epochs, TTLs of counter entries; derived once
//	event.go       the events and actions between a Machine and its gateway
//	versions.go    versionHistory: the version and the configuration in force, and the record of each
//	records.go     the log records and the ring buffer of the latest ones
//	output.go      stepContext: the time of a Step, its actions and records; shared by all parts
//	calls.go       counterClient: the counter calls in flight
//	pacer.go       pacer: rate limit and backoff of the counter calls
//	proposer.go    proposerOrder: which gateway proposes in a window
//	ballot.go      ballot: proposals and votes at the counter
//	round.go       round: when to propose, vote and compare; the verdict
//	tally.go       tally: counting different voters in a total; quorum; versions encoded as totals
//	staleness.go   staleness: the stages of a gateway that is behind, with a table of their transitions
//	slotlease.go   slotLease: the slot that is held, and the claim for the next epoch
//	pausecheck.go  pauseCheck: the check after the process was paused
//
// A Machine and all its parts belong to the goroutine that calls Step. Nothing in the package is safe for concurrent use.
package audit
