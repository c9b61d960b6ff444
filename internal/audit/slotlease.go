package audit

import (
	"math"
	"math/rand/v2"
	"time"
)

// Phases of an epoch, as fractions of its length. docs/AUDIT.md, "Slots", lists the same values.
const (
	// Holders renew before this: they claim their own slots for the next epoch.
	renewEnd = 0.2
	// Other gateways claim the remaining slots at a random moment between claimStart and claimSpreadEnd, so that few claim
	// at the same time. If the pacer denies the call, they retry until claimEnd.
	claimStart     = 0.25
	claimSpreadEnd = 0.45
	claimEnd       = 0.5
	// A claim that is answered after this is void.
	claimResultEnd = 0.55
	// Between these, when no further claim counts, each gateway verifies its own claim.
	verifyStart = 0.65
	verifyEnd   = 0.9
)

// slotNeed is what a gateway needs a slot for.
type slotNeed struct {
	kind   slotNeedKind
	target int64 // the version that the fleet acts on, for the records
}

type slotNeedKind int

const (
	noSlotNeeded slotNeedKind = iota
	keepSlot                  // renew the slot that is held, and claim no other
	acquireSlot               // claim any slot
)

// slotLease is the slot that a gateway holds, and its claim for the next epoch. The number of slots bounds how many
// gateways are out of service at once.
//
// A slot is leased for one epoch and claimed in the epoch before. A gateway claims a slot by adding its claim value to
// the slot's counter entry, which must be empty. It gets the slot if the entry holds exactly that value once no further
// claim counts. A counter that loses its entries in between therefore makes gateways lose their claims, but never leases
// a slot to two gateways for the same epoch.
//
// There is no guard time between two leases, and each gateway enters a new epoch at its own Step. The holders of one
// epoch and of the next may therefore both be out of service until the former has had its first Step in the new epoch.
type slotLease struct {
	step         *stepContext
	schedule     schedule
	counter      *counterClient
	rng          *rand.Rand
	gatewayIndex int

	firstEpoch    int64   // first epoch in which to claim
	epoch         int64   // current epoch
	claimFraction float64 // fraction of the current epoch at which to claim
	slotNumber    int     // slot that is held or claimed
	held          bool    // the slot is leased to this gateway in the current epoch
	noSlotLogged  bool    // StepNoSlot is logged already; it is logged once while the gateway needs a slot

	// State of the claim for the next epoch, in the order in which it proceeds.
	claimStarted  bool // a call was made that claims a slot or reads whether one is free
	claimed       bool // the claim value was added to an empty entry
	verifyStarted bool // a call was made that verifies the claim
	verified      bool // the claim is confirmed
}

// start keeps the gateway from claiming in the current epoch: before a restart, a gateway with the same index may have
// claimed in it.
func (l *slotLease) start(now time.Duration) { l.firstEpoch = l.schedule.epochAt(now) + 1 }

// isHeld reports whether the gateway holds a slot in the current epoch.
func (l *slotLease) isHeld() bool { return l.held }

// advanceEpoch enters the current epoch if it is a new one, and reports whether a slot that was held has been lost.
func (l *slotLease) advanceEpoch(need slotNeed) (notRenewed bool) {
	epoch := l.schedule.epochAt(l.step.now)
	if epoch == l.epoch {
		return false
	}
	wasHeld := l.held
	l.held = l.isClaimedFor(epoch)
	l.recordLeaseChange(wasHeld, need)
	l.resetClaim(epoch)
	return wasHeld && !l.held
}

// isClaimedFor reports whether a verified claim exists for this epoch.
func (l *slotLease) isClaimedFor(epoch int64) bool { return l.verified && epoch == l.epoch+1 }

// resetClaim starts an epoch without a claim, and picks the moment at which to claim in it.
func (l *slotLease) resetClaim(epoch int64) {
	l.epoch = epoch
	l.claimFraction = claimStart + l.rng.Float64()*(claimSpreadEnd-claimStart)
	l.claimStarted, l.claimed, l.verifyStarted, l.verified = false, false, false, false
}

// recordLeaseChange records what a new epoch means for a gateway that needs a slot. In the text for a lost slot "it serves
// on" means "it serves again". The wording is kept because the log's texts must not change.
func (l *slotLease) recordLeaseChange(wasHeld bool, need slotNeed) {
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
	case !l.held && l.claimStarted && !l.noSlotLogged:
		l.noSlotLogged = true
		l.step.recordStep(StepNoSlot, need.target, "no slot of %d was to be had: it serves on", slots)
	}
}

// run claims a slot for the next epoch, or verifies the claim, when that is due.
func (l *slotLease) run(need slotNeed) {
	if !l.wantsSlot(need) || l.epoch < l.firstEpoch {
		return
	}
	fraction := l.schedule.epochFraction(l.step.now)
	switch {
	case l.claimDue(fraction):
		l.claim()
	case l.verifyDue(fraction):
		l.verify()
	}
}

// wantsSlot reports whether the gateway wants a slot in the next epoch.
func (l *slotLease) wantsSlot(need slotNeed) bool {
	return need.kind == acquireSlot || need.kind == keepSlot && l.held
}

// claimDue reports whether it is time to claim. Holders claim before other gateways.
func (l *slotLease) claimDue(fraction float64) bool {
	switch {
	case l.claimStarted:
		return false
	case l.held:
		return fraction < renewEnd
	}
	return fraction >= l.claimFraction && fraction < claimEnd
}

// verifyDue reports whether it is time to verify the claim.
func (l *slotLease) verifyDue(fraction float64) bool {
	return l.claimed && !l.verifyStarted && fraction >= verifyStart && fraction < verifyEnd
}

// claim claims a slot for the next epoch. A holder claims its own slot. Any other gateway picks one at random and first
// reads whether it is free, because a second claim would invalidate the first.
func (l *slotLease) claim() {
	if l.held {
		l.claimStarted = l.addClaim(l.epoch)
		return
	}
	l.slotNumber = l.rng.IntN(l.schedule.slots)
	epoch := l.epoch
	l.claimStarted = l.counter.read(slotName(epoch+1, l.slotNumber), l.schedule.slotTTL,
		func(status CallStatus, total float64) {
			if status == Added && total == 0 && l.claimInTime(epoch) {
				l.addClaim(epoch)
			}
		})
}

// claimValue returns the amount that the gateway adds to a slot's entry to claim it: above 0, and different for each
// gateway.
func (l *slotLease) claimValue() float64 { return float64(l.gatewayIndex + 1) }

// addClaim claims the slot for the epoch after the given one, and reports whether the pacer allowed the call. The claim
// succeeds if the entry was empty before. Claim values are whole numbers and the counter returns exact totals, so the
// total is compared for equality; the tolerance in verify makes no difference as long as that holds.
func (l *slotLease) addClaim(epoch int64) bool {
	name := slotName(epoch+1, l.slotNumber)
	return l.counter.add(name, l.claimValue(), l.schedule.slotTTL, func(status CallStatus, total float64) {
		l.claimed = status == Added && total == l.claimValue() && l.claimInTime(epoch)
	})
}

// claimInTime reports whether a claim made in an epoch still counts if it is answered now.
func (l *slotLease) claimInTime(epoch int64) bool {
	return l.epoch == epoch && l.step.now <= l.schedule.inEpoch(epoch, claimResultEnd)
}

// verify reads the slot's entry and confirms the claim if the entry holds only this gateway's claim value.
func (l *slotLease) verify() {
	epoch := l.epoch
	name := slotName(epoch+1, l.slotNumber)
	l.verifyStarted = l.counter.read(name, l.schedule.slotTTL, func(status CallStatus, total float64) {
		l.verified = status == Added && math.Abs(total-l.claimValue()) < 0.5 && l.epoch == epoch
	})
}
