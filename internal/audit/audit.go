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
	Gateways       int           // doors of the fleet, this one included; 1 at least
	GatewayIndex   int           // this door's number among them, from 0
	CallsPerSecond float64       // calls that the counter takes, from all doors for all purposes
	Share          float64       // of them, that the audits of all doors may make together
	CounterTimeout time.Duration // after which a call ends unanswered
}

// Limits of what the settings may ask for.
const (
	MaxShare      = 0.2              // of the counter's calls: quotas go first
	longestWindow = 25 * time.Second // the counter's numbers live for 60 s
	mostDoors     = 1 << 20
)

// Check says what is wrong with the settings; nil: nothing.
func (s *Settings) Check() error {
	switch {
	case s.Gateways < 1 || s.Gateways > mostDoors:
		return fmt.Errorf("audit: %d doors, not 1 to %d", s.Gateways, mostDoors)
	case s.GatewayIndex < 0 || s.GatewayIndex >= s.Gateways:
		return fmt.Errorf("audit: rank %d is not under %d", s.GatewayIndex, s.Gateways)
	case !(s.CallsPerSecond > 0) || s.CallsPerSecond > 1e9:
		return errors.New("audit: calls_per_second is not above 0")
	case !(s.Share > 0) || s.Share > MaxShare:
		return fmt.Errorf("audit: share is not above 0 and at most %v", MaxShare)
	case s.CounterTimeout <= 0:
		return errors.New("audit: the counter's time-out is not above 0")
	case s.window() > longestWindow:
		return fmt.Errorf("audit: %d doors at %v calls a second and a share of %v take %v for one round, over %v",
			s.Gateways, s.CallsPerSecond, s.Share, s.window(), longestWindow)
	}
	return nil
}

// Source says how a version came.
type Source int

// Sources of versions.
const (
	FromConfiguration Source = iota // the list of the configuration
	FromDelta                       // a change that the watch told
	FromSnapshot                    // a whole list
)

func (s Source) String() string { return [...]string{"known", "change", "whole"}[s] }

// CallStatus says how a call to the counter ended.
type CallStatus int

// Ends of a call.
const (
	Added      CallStatus = iota
	NotAdded              // nothing was added
	MaybeAdded            // it may have been added
)

// Event is something that happened: one of the types below.
type Event interface{ event() }

// VersionAdopted says that the door acts on another version of the list.
type VersionAdopted struct {
	Index   int64         // discovery's
	Source  Source        // how it came
	ReadAt  time.Duration // when its last part was read
	Changes int           // lists or changes that it stands for; 1 at least
}

// Configured tells of the configuration in force. Revision is what all doors should have alike, Digest has the door's
// own addresses besides.
type Configured struct{ Revision, Digest uint64 }

// RequestDecided says that a client's request was decided on.
type RequestDecided struct{ RequestID string }

// AttemptSent says that an attempt was sent to a backend.
type AttemptSent struct{}

// CounterResult ends the Count with the same number.
type CounterResult struct {
	Call   uint64
	Status CallStatus
	Total  float64
}

// QuotaCallFailed says that the counter turned a call for a quota away, or was silent.
type QuotaCallFailed struct{}

// ResumedAfterPause says that the door stood still as a whole. It comes before anything else that has gathered meanwhile.
type ResumedAfterPause struct{ Pause time.Duration }

// SnapshotFetched ends a FetchSnapshot. The version that it brought, if any, is told before.
type SnapshotFetched struct{ OK bool }

func (VersionAdopted) event()    {}
func (Configured) event()        {}
func (RequestDecided) event()    {}
func (AttemptSent) event()       {}
func (CounterResult) event()     {}
func (QuotaCallFailed) event()   {}
func (ResumedAfterPause) event() {}
func (SnapshotFetched) event()   {}

// Action is something that the caller must do: one of the types below.
type Action interface{ action() }

// AddToCounter adds an amount to one of the counter's numbers, once: a call that ends as Unknown is not repeated.
type AddToCounter struct {
	Call   uint64 // a Counted answers it
	Name   uint64
	Amount float64
	TTL    time.Duration // life of a new name
}

// ReopenWatch opens discovery's watch anew, from the version in force.
type ReopenWatch struct{}

// FetchSnapshot asks for the whole list. A SnapshotFetched answers it.
type FetchSnapshot struct{}

// LeaveService takes the door out of service: it starts no attempt, refuses new requests at once and says that it is not
// ready. What is out goes on.
type LeaveService struct{}

// ReturnToService puts it back.
type ReturnToService struct{}

// Log is a record for the log.
type Log struct{ Record Record }

func (AddToCounter) action()    {}
func (ReopenWatch) action()     {}
func (FetchSnapshot) action()   {}
func (LeaveService) action()    {}
func (ReturnToService) action() {}
func (Log) action()             {}
