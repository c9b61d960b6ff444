// Package audit finds the gateways of a fleet that act on an old version of the endpoint list, and brings such a gateway
// up to date or takes it out of service until it is.
//
// # The model
//
// A [Machine] is the audit of one gateway. It is a pure state machine: no socket, clock or goroutine. The gateway tells
// [Machine.Step] what happened ([Event]) and carries out what Step answers ([Action]). The machines of a fleet share
// nothing but the numbers of the counter. docs/AUDIT.md has the protocol between them, why it is safe and what it costs.
//
//   - A version is the index of the endpoint list that a gateway acts on.
//   - Time is cut into windows, alike at all gateways. In each window one gateway proposes its version, every gateway
//     that acts on that version or a newer one votes for it, and a gateway that is behind the proposal counts the votes.
//     One window in eight compares the configuration instead.
//   - A quorum of different voters is the proof that the fleet acts on a newer version. Nothing else makes a gateway
//     count as behind, except its own check after its process was paused.
//   - A gateway that a quorum is ahead of is behind. It goes through stages: it waits, reopens the watch, fetches the
//     whole list, and is stale if all that has failed: it wants to be out of service until it has caught up.
//   - For being stale only the holder of a slot is out of service. Slots are leased for an epoch, so that a bounded part
//     of the fleet is out at once. The check after a pause of the process needs no slot.
//
// # Who owns what
//
//	machine.go     Machine: the order of a Step; which event goes to which part; in or out of service
//	settings.go    Settings: what a Machine is told at its start, and its bounds
//	schedule.go    schedule: lengths of windows and epochs, lifetimes of the counter's numbers, derived once
//	event.go       the events and actions at the boundary
//	versions.go    versionHistory: the version and the configuration in force, and the record of each
//	records.go     the records on the log and the ring of the latest ones
//	output.go      output: the time of a Step, its actions and records; shared by all parts
//	calls.go       counterCalls: the counter calls in flight
//	pacer.go       pacer: when a counter call may be made
//	proposer.go    proposerOrder: which gateway proposes in a window
//	ballot.go      ballot: proposals and votes at the counter
//	round.go       round: when to propose, vote and compare; the verdict
//	tally.go       tally: how many different gateways a total stands for; quorum; versions as totals
//	staleness.go   staleness: the stages of a gateway that is behind; their transitions as one table
//	slotlease.go   slotLease: the slot that is held, and the claim to one for the next epoch
//	pausecheck.go  pauseCheck: the check after the process was paused
//
// A Machine and all its parts belong to the goroutine that calls Step; nothing in the package is safe for concurrent use.
package audit
