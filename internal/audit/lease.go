package audit

import (
	"math"
	"time"
)

const (
	slotPart      = 10              // at most one door in so many is shut out at once, and one at least
	shortestEpoch = 4 * time.Second // that a slot is leased for
	renewTo       = 0.2             // part of an epoch in which holders claim their slots for the next one ...
	claimFrom     = 0.25            // ... and others what is left, from here ...
	claimLast     = 0.45            // ... to here, by chance, so that few claim at once ...
	claimTo       = 0.5             // ... or a little later, where there was no time then
	claimAnswered = 0.55            // a claim that is answered later does not count
	verifyFrom    = 0.65            // from here on all is claimed, and each looks whether its claim stands ...
	verifyTo      = 0.9             // ... up to here
)

// lease is a door's claim to one of the slots that bound how many doors are shut out at once. A slot is leased for one
// epoch and claimed in the one before: whoever finds its number empty and adds a mark of its own has it, if it finds
// just that again when nobody may claim any more. So a counter that comes back empty in between makes doors lose their
// claims, and never gives a slot to two.
type lease struct {
	first   int64   // the first epoch in which to claim
	epoch   int64   // that runs
	turn    float64 // part of it at which to claim
	slot    int
	held    bool // the slot, in this epoch
	tried   bool // to claim one for the next
	claimed bool // it, so far
	asked   bool // to verify
	next    bool // it is verified
	refused bool // the log has been told that there is no slot
}

// epoch is two windows long in a large fleet, so that the calls for slots fit into a door's pace.
func (s *Settings) epoch() time.Duration { return max(shortestEpoch, 2*s.window()) }

// keepSlot is how long a slot's number lives: from its making to the end of that epoch.
func (s *Settings) keepSlot() time.Duration { return s.epoch() * 11 / 10 }

func (s *Settings) slots() int { return max(1, s.Gateways/slotPart) }

func (m *Machine) epochAt(now time.Duration) int64 { return int64(now / m.set.epoch()) }

// keepLease claims, verifies and ends leases.
func (m *Machine) keepLease() {
	l := &m.lease
	if epoch := m.epochAt(m.now); epoch != l.epoch {
		m.beginEpoch(epoch)
	}
	wanted := m.straggler.stage == wantsOut || m.straggler.stage == staysABit && l.held
	if !wanted || l.epoch < l.first {
		return
	}
	part := float64(m.now%m.set.epoch()) / float64(m.set.epoch())
	switch {
	case !l.tried && l.held && part < renewTo, !l.tried && !l.held && part >= l.turn && part < claimTo:
		m.claim()
	case l.claimed && !l.asked && part >= verifyFrom && part < verifyTo:
		m.verify()
	}
}

// beginEpoch takes what was leased for the epoch that begins.
func (m *Machine) beginEpoch(epoch int64) {
	l := &m.lease
	had, follows := l.held, epoch == l.epoch+1
	l.held = l.next && follows
	wants := m.straggler.stage == wantsOut
	switch {
	case l.held && !had && wants:
		m.step(ShutOut, m.straggler.target, "slot %d of %d is leased until the next epoch", l.slot, m.set.slots())
	case !l.held && had && wants:
		m.step(SlotLost, m.straggler.target, "the lease was not renewed: it serves on")
	case !l.held && wants && l.tried && !l.refused:
		l.refused = true
		m.step(NoSlot, m.straggler.target, "no slot of %d was to be had: it serves on", m.set.slots())
	}
	if !wants {
		l.refused = false
	}
	if had && !l.held && m.straggler.stage == staysABit {
		m.straggler.returned = m.now
		m.enter(level)
	}
	l.epoch = epoch
	l.turn = claimFrom + m.rng.Float64()*(claimLast-claimFrom)
	l.tried, l.claimed, l.asked, l.next = false, false, false, false
}

func (m *Machine) slotName(epoch int64, slot int) uint64 { return name("slot %d %d", epoch, slot) }

// mark is what a door adds to a slot's number.
func (m *Machine) mark() float64 { return float64(m.set.GatewayIndex + 1) }

// claim asks for a slot in the next epoch. A holder claims the one it has, before others may; these look first whether
// one by chance is free, as a second claim would spoil the first.
func (m *Machine) claim() {
	l := &m.lease
	if l.held {
		l.tried = m.addMark(l.epoch)
		return
	}
	l.slot = m.rng.IntN(m.set.slots())
	epoch := l.epoch
	l.tried = m.count(m.slotName(epoch+1, l.slot), 0, m.set.keepSlot(), func(status CallStatus, total float64) {
		if status == Added && total == 0 && l.epoch == epoch && m.mayClaim(epoch) {
			m.addMark(epoch)
		}
	})
}

// addMark claims the slot.
func (m *Machine) addMark(epoch int64) bool {
	l := &m.lease
	return m.count(m.slotName(epoch+1, l.slot), m.mark(), m.set.keepSlot(), func(status CallStatus, total float64) {
		l.claimed = status == Added && total == m.mark() && l.epoch == epoch && m.mayClaim(epoch)
	})
}

// mayClaim says whether claims in an epoch still count.
func (m *Machine) mayClaim(epoch int64) bool {
	return m.now <= m.epochStart(epoch)+time.Duration(claimAnswered*float64(m.set.epoch()))
}

func (m *Machine) epochStart(epoch int64) time.Duration { return time.Duration(epoch) * m.set.epoch() }

// verify looks whether the claim stands.
func (m *Machine) verify() {
	l := &m.lease
	epoch := l.epoch
	l.asked = m.count(m.slotName(epoch+1, l.slot), 0, m.set.keepSlot(), func(status CallStatus, total float64) {
		l.next = status == Added && math.Abs(total-m.mark()) < 0.5 && l.epoch == epoch
	})
}
