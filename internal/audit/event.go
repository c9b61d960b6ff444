package audit

import "time"

// MinPause is the shortest pause of a process for which ResumedAfterPause is told. A change of the list counts as told to
// every gateway after the same time.
const MinPause = 6 * time.Second

// Source says how a version of the endpoint list came.
type Source int

// Sources of versions.
const (
	FromConfiguration Source = iota // the list of the configuration
	FromDelta                       // a change that discovery sent
	FromSnapshot                    // a whole list that discovery sent
)

// String is the source's word on the log.
func (s Source) String() string { return [...]string{"known", "change", "whole"}[s] }

// CallStatus says how a counter call ended.
type CallStatus int

// Ends of a counter call.
const (
	Added      CallStatus = iota // the total is told
	NotAdded                     // the call had no effect
	MaybeAdded                   // the call may have had its effect, or may have it later
)

// Event is something that happened at the gateway: one of the types below.
type Event interface{ event() }

// VersionAdopted tells that the gateway acts on another version of the endpoint list.
type VersionAdopted struct {
	Index   int64         // discovery's
	Source  Source        // how it came
	ReadAt  time.Duration // when its last part was read; Unix time
	Changes int           // lists or changes that it stands for; at least 1
}

// Configured tells of the configuration in force.
type Configured struct {
	Revision uint64 // digest of what all gateways should have alike
	Digest   uint64 // digest with the gateway's own addresses besides
}

// RequestDecided tells that the engine was given a client's request. ClientID is the id that the client gave it.
type RequestDecided struct{ ClientID string }

// AttemptSent tells that an attempt was started at a backend.
type AttemptSent struct{}

// CounterResult ends the AddToCounter with the same Call.
type CounterResult struct {
	Call   uint64
	Status CallStatus
	Total  float64 // of the number after the amount was added; only if Status is Added
}

// QuotaCallFailed tells that the counter rejected a call for a quota, or did not answer it.
type QuotaCallFailed struct{}

// ResumedAfterPause tells that the process was paused as a whole, for MinPause or longer. It has to come before anything
// else that has gathered meanwhile.
type ResumedAfterPause struct{ Pause time.Duration }

// SnapshotFetched ends a FetchSnapshot. The VersionAdopted of the list that it brought, if any, comes before it.
type SnapshotFetched struct{ OK bool }

func (VersionAdopted) event()    {}
func (Configured) event()        {}
func (RequestDecided) event()    {}
func (AttemptSent) event()       {}
func (CounterResult) event()     {}
func (QuotaCallFailed) event()   {}
func (ResumedAfterPause) event() {}
func (SnapshotFetched) event()   {}

// Action is something that the gateway must do: one of the types below.
type Action interface{ action() }

// AddToCounter adds an amount to one of the counter's numbers, once. A CounterResult answers it; a call that ends as
// MaybeAdded must not be repeated.
type AddToCounter struct {
	Call   uint64
	Name   uint64        // of the number, 63 bits
	Amount float64       // 0: the number is only read
	TTL    time.Duration // life of the number, if the call makes it
}

// ReopenWatch opens discovery's watch anew, from the version in force.
type ReopenWatch struct{}

// FetchSnapshot asks discovery for the whole list. A SnapshotFetched answers it.
type FetchSnapshot struct{}

// LeaveService takes the gateway out of service: it starts no attempt, rejects new requests at once and says that it is
// not ready. Attempts whose command is written go on.
type LeaveService struct{}

// ReturnToService puts the gateway back in service.
type ReturnToService struct{}

// Log is a record for the log.
type Log struct{ Record Record }

func (AddToCounter) action()    {}
func (ReopenWatch) action()     {}
func (FetchSnapshot) action()   {}
func (LeaveService) action()    {}
func (ReturnToService) action() {}
func (Log) action()             {}
