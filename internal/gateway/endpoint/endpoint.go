// Package endpoint has the form in which discovery and the configuration file list the backends, and turns it into that
// of the engine. The operators' pages PROTOCOL-bellwood ("Discovery") and DEPLOY-bellwood ("known"), which are not in
// this repository, describe it.
package endpoint

import (
	"fmt"
	"slices"
	"time"

	"bellwood/internal/policy"
)

// List is an endpoint list or changes of it.
type List struct {
	Index     int64 // of the agent's state that it leads to
	Snapshot  bool  // it is the whole list: a backend that it doesn't name is not in service
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
	SinceMS int64   `json:"since_ms"` // when the process began, in ms of Unix time
}

var states = map[string]policy.BackendState{"SERVING": policy.InService, "DRAINING": policy.Draining,
	"DELETED": policy.Terminated}

// InvalidError says that an entry has no name or no known status.
type InvalidError struct{ Name, Status string }

func (e *InvalidError) Error() string {
	if e.Name == "" {
		return fmt.Sprintf("an endpoint with the status %.40q has no name", e.Status)
	}
	return fmt.Sprintf("endpoint %.40q has the unknown status %.40q", e.Name, e.Status)
}

// Names are the zones and kinds of backends, in the order of the numbers that the engine has for them.
type Names struct{ Zones, Kinds []string }

// Backend is an entry in the engine's form. An unknown zone or kind counts as the first one. The error is an
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
