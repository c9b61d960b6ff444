package audit

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parts of an epoch, as fractions of it. docs/AUDIT.md, "Slots", has the same ones.
const (
	// Holders claim their slots for the next epoch before this.
	renewTo = 0.2
	// Others claim what is left at a random moment between claimFrom and claimSpreadTo, so that few claim at once, or up
	// to claimTo where the pacer allowed no call at that moment.
	claimFrom     = 0.25
	claimSpreadTo = 0.45
	claimTo       = 0.5
	// A claim that is answered later does not count.
	claimAnsweredTo = 0.55
	// No claim counts any more, and each gateway looks between these whether its own stands.
	verifyFrom = 0.65
	verifyTo   = 0.9
)

// slotNeed says what a gateway needs a slot for.
type slotNeed struct {
	kind   slotNeedKind
	target int64 // the version that the fleet acts on, for the records
}

type slotNeedKind int

const (
	noSlotNeeded slotNeedKind = iota
	keepSlot                  // it renews the slot that it holds, and claims no other
	acquireSlot               // it claims any
)

// slotLease is the slot that a gateway holds, and its claim to one for the next epoch. The slots bound how many gateways
// are out of service at once. A slot is leased for one epoch and claimed in the one before: a gateway that finds the
// slot's number empty and adds its mark has claimed it, and gets it if just that mark is still there when no claim counts
// any more. So a counter that comes back empty in between makes gateways lose their claims, and never gives a slot to
// two for one epoch.
//
// No guard time lies between two leases, and each gateway goes over to a new epoch at a Step of its own. So the holder of
// one epoch and that of the next may both be out of service until the former has had its first Step in the new epoch.
type slotLease struct {
	step         *stepContext
	schedule     schedule
	counter      *counterClient
	rng          *rand.Rand
	gatewayIndex int

	firstEpoch    int64   // in which to claim
	epoch         int64   // that runs
	claimFraction float64 // fraction of this epoch at which to claim
	slotNumber    int     // held or claimed
	held          bool    // the slot, in this epoch
	noSlotLogged  bool    // StepNoSlot is on the log, and is not repeated while the gateway needs a slot

	// The claim for the next epoch, in the order in which it proceeds.
	tried       bool // a call to claim, or to look for a free slot, was made
	claimed     bool // the gateway's mark was added, and no other was there
	verifyAsked bool // a call that looks whether the claim stands was made
	verified    bool // the claim stands
}

// start keeps the gateway from claiming in the epoch that runs: one of its name may have claimed in it before a restart.
func (l *slotLease) start(now time.Duration) { l.firstEpoch = l.schedule.epochAt(now) + 1 }

// isHeld says whether the gateway holds a slot in this epoch.
func (l *slotLease) isHeld() bool { return l.held }

// advanceEpoch goes over to the epoch that runs, if that is another one, and says whether a slot that was held is not held
// any more.
func (l *slotLease) advanceEpoch(need slotNeed) (notRenewed bool) {
	epoch := l.schedule.epochAt(l.step.now)
	if epoch == l.epoch {
		return false
	}
	wasHeld := l.held
	l.held = l.isClaimedFor(epoch)
	l.recordChange(wasHeld, need)
	l.beginEpoch(epoch)
	return wasHeld && !l.held
}

// isClaimedFor says whether the claim that was verified is one for this epoch.
func (l *slotLease) isClaimedFor(epoch int64) bool { return l.verified && epoch == l.epoch+1 }

// beginEpoch forgets the claim of the epoch before and draws the moment of the next one.
func (l *slotLease) beginEpoch(epoch int64) {
	l.epoch = epoch
	l.claimFraction = claimFrom + l.rng.Float64()*(claimSpreadTo-claimFrom)
	l.tried, l.claimed, l.verifyAsked, l.verified = false, false, false, false
}

// recordChange records what a new epoch means to a gateway that needs a slot. Where the slot is lost the text says "it
// serves on" in the sense of "it serves again"; the log's texts stay as they are.
func (l *slotLease) recordChange(wasHeld bool, need slotNeed) {
	if need.kind != acquireSlot {
		l.noSlotLogged = false
		return
	}
	slots := l.schedule.slots
	switch {
	case l.held && !wasHeld:
		l.step.recordStep(StepOutOfService, need.target, "slot %d of %d is leased until the next epoch", l.slotNumber, slots)
	case !l.held && wasHeld:
		l.step.recordStep(StepSlotLost, need.target, "the lease was not renewed: it serves on")
	case !l.held && l.tried && !l.noSlotLogged:
		l.noSlotLogged = true
		l.step.recordStep(StepNoSlot, need.target, "no slot of %d was to be had: it serves on", slots)
	}
}

// run claims a slot for the next epoch, or verifies the claim, when it is time for that.
func (l *slotLease) run(need slotNeed) {
	if !l.isWanted(need) || l.epoch < l.firstEpoch {
		return
	}
	fraction := l.schedule.epochFraction(l.step.now)
	switch {
	case l.mayTry(fraction):
		l.claim()
	case l.mayVerify(fraction):
		l.verify()
	}
}

// isWanted says whether the gateway wants a slot in the next epoch.
func (l *slotLease) isWanted(need slotNeed) bool {
	return need.kind == acquireSlot || need.kind == keepSlot && l.held
}

// mayTry says whether it is time to claim: holders come before the others.
func (l *slotLease) mayTry(fraction float64) bool {
	switch {
	case l.tried:
		return false
	case l.held:
		return fraction < renewTo
	}
	return fraction >= l.claimFraction && fraction < claimTo
}

// mayVerify says whether it is time to look whether the claim stands.
func (l *slotLease) mayVerify(fraction float64) bool {
	return l.claimed && !l.verifyAsked && fraction >= verifyFrom && fraction < verifyTo
}

// claim claims a slot for the next epoch: a holder the one that it has, any other a slot drawn at random. The latter
// looks first whether that slot is free, as a second claim would spoil the first.
func (l *slotLease) claim() {
	if l.held {
		l.tried = l.addMark(l.epoch)
		return
	}
	l.slotNumber = l.rng.IntN(l.schedule.slots)
	epoch := l.epoch
	l.tried = l.counter.read(slotName(epoch+1, l.slotNumber), l.schedule.slotTTL, func(status CallStatus, total float64) {
		if status == Added && total == 0 && l.claimsCount(epoch) {
			l.addMark(epoch)
		}
	})
}

// mark is what a gateway adds to a slot's number: above 0, and another one for each gateway.
func (l *slotLease) mark() float64 { return float64(l.gatewayIndex + 1) }

// addMark claims the slot for the epoch behind the given one, and says whether the pacer allowed the call. The slot is
// claimed if no other mark was there. Marks are whole numbers and the counter gives totals exactly, so the total is
// compared as it is; the tolerance in verify makes no difference while that holds.
func (l *slotLease) addMark(epoch int64) bool {
	name := slotName(epoch+1, l.slotNumber)
	return l.counter.add(name, l.mark(), l.schedule.slotTTL, func(status CallStatus, total float64) {
		l.claimed = status == Added && total == l.mark() && l.claimsCount(epoch)
	})
}

// claimsCount says whether a claim made in an epoch that is answered now still counts.
func (l *slotLease) claimsCount(epoch int64) bool {
	return l.epoch == epoch && l.step.now <= l.schedule.inEpoch(epoch, claimAnsweredTo)
}

// verify looks whether the claim stands: just this gateway's mark is there.
func (l *slotLease) verify() {
	epoch := l.epoch
	name := slotName(epoch+1, l.slotNumber)
	l.verifyAsked = l.counter.read(name, l.schedule.slotTTL, func(status CallStatus, total float64) {
		l.verified = status == Added && math.Abs(total-l.mark()) < 0.5 && l.epoch == epoch
	})
}
