package emulator

import (
	"encoding/json"
	"slices"
	"sync"
)

// Words of discovery for the state of a backend.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Endpoint is one backend in discovery's form.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // when it last started, Unix time in milliseconds; 0: long ago
}

// Members is the whole list, or the changes after some index.
type Members struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

const maxKeptChanges = 4096 // kept; a watch from before them gets the whole list

// Catalog is the list of backends that agents tell, with its latest changes. It is safe for concurrent use.
type Catalog struct {
	mu           sync.Mutex
	index        int64
	position     map[string]int // of a name in members
	endpoints    []Endpoint
	changes      []Endpoint // the last of them has the index
	changed      chan struct{}
	snapshotJSON []byte // the whole list as JSON; nil: to be made
}

// NewCatalog returns a catalog at index 1.
func NewCatalog(members []Endpoint) *Catalog {
	c := &Catalog{index: 1, position: make(map[string]int, len(members)), endpoints: slices.Clone(members),
		changed: make(chan struct{})}
	for i, m := range members {
		c.position[m.Name] = i
	}
	return c
}

// Apply takes in changes, each with an index of its own, and wakes those that watch. It returns the last index.
func (c *Catalog) Apply(changes ...Endpoint) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range changes {
		c.index++
		if i, known := c.position[m.Name]; known {
			c.endpoints[i] = m
		} else {
			c.position[m.Name] = len(c.endpoints)
			c.endpoints = append(c.endpoints, m)
		}
		c.changes = append(c.changes, m)
	}
	c.changes = slices.Delete(c.changes, 0, max(0, len(c.changes)-maxKeptChanges))
	c.snapshotJSON = nil
	close(c.changed)
	c.changed = make(chan struct{})
	return c.index
}

// Restart gives the same list under index 1, as a discovery that has lost its versions.
func (c *Catalog) Restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index, c.changes, c.snapshotJSON = 1, nil, nil
	close(c.changed)
	c.changed = make(chan struct{})
}

// Snapshot returns the list without deleted backends.
func (c *Catalog) Snapshot() Members {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot()
}

func (c *Catalog) snapshot() Members {
	m := Members{Index: c.index, Snapshot: true, Endpoints: make([]Endpoint, 0, len(c.endpoints))}
	for _, e := range c.endpoints {
		if e.Status != Deleted {
			m.Endpoints = append(m.Endpoints, e)
		}
	}
	return m
}

// SnapshotJSON returns the whole list as the agent sends it. The caller must not change it.
func (c *Catalog) SnapshotJSON() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cachedSnapshotJSON()
}

func (c *Catalog) cachedSnapshotJSON() []byte {
	if c.snapshotJSON == nil {
		c.snapshotJSON, _ = json.Marshal(c.snapshot()) // of strings and finite numbers: it can't fail
	}
	return c.snapshotJSON
}

// ChangesSince returns what changed after an index, or the whole list where that is not known any more or was never had. The
// channel is closed at the next change. Where nothing has changed the list has no entries.
func (c *Catalog) ChangesSince(index int64) (Members, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.index - index; index > 0 && n >= 0 && n <= int64(len(c.changes)) {
		return Members{Index: c.index, Endpoints: slices.Clone(c.changes[len(c.changes)-int(n):])}, c.changed
	}
	return c.snapshot(), c.changed
}

// watchLine is what a watch is sent.
type watchLine struct {
	text    []byte // as JSON; nil: nothing to tell
	index   int64  // after it
	entries int
	whole   bool
	wake    <-chan struct{} // closed at the next change
}

// line returns what a watch from an index is to be sent.
func (c *Catalog) line(index int64) watchLine {
	m, wake := c.ChangesSince(index)
	l := watchLine{index: m.Index, entries: len(m.Endpoints), whole: m.Snapshot, wake: wake}
	switch {
	case m.Snapshot:
		c.mu.Lock()
		defer c.mu.Unlock()
		l.text, l.index, l.wake = c.cachedSnapshotJSON(), c.index, c.changed
	case len(m.Endpoints) > 0:
		l.text, _ = json.Marshal(m)
	}
	return l
}
