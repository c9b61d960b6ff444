// Package audit finds out which doors of a fleet act on an old list of backends, and brings such a door up to date or
// takes it out of service for a while.
//
// A [Machine] is the part of one door. It is pure: no socket, clock or goroutine; [Machine.Step] takes what happened and
// returns what to do. The machines of a fleet share nothing but the counter's numbers. docs/AUDIT.md has the protocol
// between them, why it is safe, and what it costs.
package audit

import (
	"errors"
	"fmt"
	"time"
)

// Settings is what a Machine is told at its start.
type Settings struct {
	Doors          int           // doors of the fleet, this one included; 1 at least
	Rank           int           // this door's number among them, from 0
	CallsPerSecond float64       // calls that the counter takes, from all doors for all purposes
	Share          float64       // of them, that the audits of all doors may make together
	CounterTimeout time.Duration // after which a call ends unanswered
}

// Limits of what the settings may ask for.
const (
	MostShare     = 0.2              // of the counter's calls: quotas go first
	longestWindow = 25 * time.Second // the counter's numbers live for 60 s
	mostDoors     = 1 << 20
)

// Check says what is wrong with the settings; nil: nothing.
func (s *Settings) Check() error {
	switch {
	case s.Doors < 1 || s.Doors > mostDoors:
		return fmt.Errorf("audit: %d doors, not 1 to %d", s.Doors, mostDoors)
	case s.Rank < 0 || s.Rank >= s.Doors:
		return fmt.Errorf("audit: rank %d is not under %d", s.Rank, s.Doors)
	case !(s.CallsPerSecond > 0) || s.CallsPerSecond > 1e9:
		return errors.New("audit: calls_per_second is not above 0")
	case !(s.Share > 0) || s.Share > MostShare:
		return fmt.Errorf("audit: share is not above 0 and at most %v", MostShare)
	case s.CounterTimeout <= 0:
		return errors.New("audit: the counter's time-out is not above 0")
	case s.window() > longestWindow:
		return fmt.Errorf("audit: %d doors at %v calls a second and a share of %v take %v for one round, over %v",
			s.Doors, s.CallsPerSecond, s.Share, s.window(), longestWindow)
	}
	return nil
}

// Source says how a version came.
type Source int

// Sources of versions.
const (
	FromKnown  Source = iota // the list of the configuration
	FromChange               // a change that the watch told
	FromWhole                // a whole list
)

func (s Source) String() string { return [...]string{"known", "change", "whole"}[s] }

// Status says how a call to the counter ended.
type Status int

// Ends of a call.
const (
	Added   Status = iota
	Refused        // nothing was added
	Unknown        // it may have been added
)

// Event is something that happened: one of the types below.
type Event interface{ event() }

// Adopted says that the door acts on another version of the list.
type Adopted struct {
	Index   int64         // discovery's
	Source  Source        // how it came
	ReadAt  time.Duration // when its last part was read
	Changes int           // lists or changes that it stands for; 1 at least
}

// Configured tells of the configuration in force. Revision is what all doors should have alike, Digest has the door's
// own addresses besides.
type Configured struct{ Revision, Digest uint64 }

// Decided says that a client's request was decided on.
type Decided struct{ RequestID string }

// Attempted says that an attempt was sent to a backend.
type Attempted struct{}

// Counted ends the Count with the same number.
type Counted struct {
	Call   uint64
	Status Status
	Total  float64
}

// QuotaCallFailed says that the counter turned a call for a quota away, or was silent.
type QuotaCallFailed struct{}

// Woke says that the door stood still as a whole. It comes before anything else that has gathered meanwhile.
type Woke struct{ StoodStill time.Duration }

// ListTaken ends a FetchList. The version that it brought, if any, is told before.
type ListTaken struct{ OK bool }

func (Adopted) event()         {}
func (Configured) event()      {}
func (Decided) event()         {}
func (Attempted) event()       {}
func (Counted) event()         {}
func (QuotaCallFailed) event() {}
func (Woke) event()            {}
func (ListTaken) event()       {}

// Action is something that the caller must do: one of the types below.
type Action interface{ action() }

// Count adds an amount to one of the counter's numbers, once: a call that ends as Unknown is not repeated.
type Count struct {
	Call   uint64 // a Counted answers it
	Name   uint64
	Amount float64
	Keep   time.Duration // life of a new name
}

// Rewatch opens discovery's watch anew, from the version in force.
type Rewatch struct{}

// FetchList asks for the whole list. A ListTaken answers it.
type FetchList struct{}

// Suspend takes the door out of service: it starts no attempt, refuses new requests at once and says that it is not
// ready. What is out goes on.
type Suspend struct{}

// Resume puts it back.
type Resume struct{}

// Log is a record for the log.
type Log struct{ Record Record }

func (Count) action()     {}
func (Rewatch) action()   {}
func (FetchList) action() {}
func (Suspend) action()   {}
func (Resume) action()    {}
func (Log) action()       {}
