package audit

import "time"

// MinPause is the shortest pause of the process that is reported by ResumedAfterPause. A change of the endpoint list is
// expected to reach every gateway within the same time.
const MinPause = 6 * time.Second

// Source is where a version of the endpoint list came from.
type Source int

// Sources of versions.
const (
	FromConfiguration Source = iota // the list in the configuration
	FromDelta                       // a change that discovery sent
	FromSnapshot                    // a whole list that discovery sent
)

// String returns the source's name in the log.
func (s Source) String() string { return [...]string{"known", "change", "whole"}[s] }

// CallStatus is the outcome of a counter call.
type CallStatus int

// Outcomes of a counter call.
const (
	Added      CallStatus = iota // the amount was added, and the total is known
	NotAdded                     // the call had no effect
	MaybeAdded                   // the call may have had its effect, or may still have it
)

// Event is an input to Machine.Step, something that happened at the gateway: one of the types below.
type Event interface{ event() }

// VersionAdopted reports that the gateway acts on another version of the endpoint list.
type VersionAdopted struct {
	Index   int64         // discovery's index
	Source  Source        // where it came from
	ReadAt  time.Duration // when its last part was read; Unix time
	Changes int           // number of lists or changes that it includes; at least 1
}

// Configured reports the configuration in force.
type Configured struct {
	Revision uint64 // digest of the settings that should be the same at all gateways
	Digest   uint64 // digest of the same settings and the gateway's own addresses
}

// RequestDecided reports that a client's request was passed to the engine. ClientID is the id that the client gave it.
type RequestDecided struct{ ClientID string }

// AttemptSent reports that an attempt was started at a backend.
type AttemptSent struct{}

// CounterResult is the result of the AddToCounter with the same Call.
type CounterResult struct {
	Call   uint64
	Status CallStatus
	Total  float64 // of the entry after the amount was added; valid only if Status is Added
}

// QuotaCallFailed reports that the counter rejected a call for a quota or did not answer it.
type QuotaCallFailed struct{}

// ResumedAfterPause reports that the whole process was paused, for MinPause or longer. It must precede all other events
// that accumulated during the pause.
type ResumedAfterPause struct{ Pause time.Duration }

// SnapshotFetched is the result of a FetchSnapshot. If a list was fetched, its VersionAdopted precedes this event.
type SnapshotFetched struct{ OK bool }

func (VersionAdopted) event()    {}
func (Configured) event()        {}
func (RequestDecided) event()    {}
func (AttemptSent) event()       {}
func (CounterResult) event()     {}
func (QuotaCallFailed) event()   {}
func (ResumedAfterPause) event() {}
func (SnapshotFetched) event()   {}

// Action is an output of Machine.Step, something that the gateway must do: one of the types below.
type Action interface{ action() }

// AddToCounter adds an amount to an entry of the counter, once. Its result is a CounterResult. A call that ends as
// MaybeAdded must not be repeated.
type AddToCounter struct {
	Call   uint64
	Name   uint64        // of the entry, 63 bits
	Amount float64       // 0: the entry is only read
	TTL    time.Duration // of the entry, if the call creates it
}

// ReopenWatch opens a new watch of discovery, from the version in force.
type ReopenWatch struct{}

// FetchSnapshot requests the whole list from discovery. Its result is a SnapshotFetched.
type FetchSnapshot struct{}

// LeaveService takes the gateway out of service: it starts no attempts, rejects new requests at once and reports that it
// is not ready. Attempts whose command was already written continue.
type LeaveService struct{}

// ReturnToService puts the gateway back in service.
type ReturnToService struct{}

// Log writes a record to the log.
type Log struct{ Record Record }

func (AddToCounter) action()    {}
func (ReopenWatch) action()     {}
func (FetchSnapshot) action()   {}
func (LeaveService) action()    {}
func (ReturnToService) action() {}
func (Log) action()             {}
