// Package endpoint defines the JSON endpoint list, as used by discovery and by the configuration file, and converts its
// entries to policy.Backend. The format is described in the operators' pages PROTOCOL-bellwood ("Discovery") and
// DEPLOY-bellwood ("known"), which are not in this repository.
package endpoint

import (
	"fmt"
	"slices"
	"time"

	"bellwood/internal/policy"
)

// List is a full endpoint list, or changes to one.
type List struct {
	Index     int64 // index of the agent's state after this list
	Snapshot  bool  // whether this is the full list; backends absent from it are then out of service
	Endpoints []Entry
}

// Entry is one backend.
type Entry struct {
	Name    string
	Address string // IP address and port
	Zone    string
	Kind    string  `json:"type"`
	Group   int     // policy.Backend.Cell
	Status  string  // SERVING, DRAINING or DELETED
	Weight  float64 // relative to the other backends
	SinceMS int64   `json:"since_ms"` // start of the backend's process, in Unix milliseconds
}

var states = map[string]policy.BackendState{"SERVING": policy.InService, "DRAINING": policy.Draining,
	"DELETED": policy.Terminated}

// InvalidError is returned for an entry without a name or with an unknown status.
type InvalidError struct{ Name, Status string }

func (e *InvalidError) Error() string {
	if e.Name == "" {
		return fmt.Sprintf("endpoint with status %.40q has no name", e.Status)
	}
	return fmt.Sprintf("endpoint %.40q has unknown status %.40q", e.Name, e.Status)
}

// Names lists the names of zones and kinds. The engine identifies a zone or kind by its position in the list.
type Names struct{ Zones, Kinds []string }

// Backend converts an entry to the engine's form. An unknown zone or kind is mapped to the first one. The error is an
// *InvalidError.
func (n *Names) Backend(e *Entry) (policy.Backend, error) {
	state, known := states[e.Status]
	if !known || e.Name == "" {
		return policy.Backend{}, &InvalidError{Name: e.Name, Status: e.Status}
	}
	return policy.Backend{Name: e.Name, Zone: max(0, slices.Index(n.Zones, e.Zone)),
		Kind: max(0, slices.Index(n.Kinds, e.Kind)), Cell: e.Group, State: state, Weight: e.Weight,
		Started: time.Duration(e.SinceMS) * time.Millisecond}, nil
}
