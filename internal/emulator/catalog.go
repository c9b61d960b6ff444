package emulator

import (
	"encoding/json"
	"slices"
	"sync"
)

// Discovery's words for the state of a backend.
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

// Members is the whole list, or the changes after some index, in discovery's form.
type Members struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// maxKeptChanges bounds the changes that a catalog keeps; a watch from before them gets the whole list.
const maxKeptChanges = 4096

// Catalog is the list of backends that agents tell, with its latest changes. It is safe for concurrent use.
type Catalog struct {
	mu           sync.Mutex // guards all below
	index        int64      // of the last change
	endpoints    []Endpoint
	position     map[string]int // in endpoints, by name
	changes      []Endpoint     // the last of them has the index
	changed      chan struct{}  // closed at the next change
	snapshotJSON []byte         // the whole list; nil: to be made
}

// NewCatalog returns a catalog at index 1.
func NewCatalog(endpoints []Endpoint) *Catalog {
	c := &Catalog{index: 1, position: make(map[string]int, len(endpoints)), endpoints: slices.Clone(endpoints),
		changed: make(chan struct{})}
	for i, endpoint := range endpoints {
		c.position[endpoint.Name] = i
	}
	return c
}

// Apply takes in changes, each with an index of its own, and wakes those that watch. It returns the last index.
func (c *Catalog) Apply(changes ...Endpoint) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, endpoint := range changes {
		c.index++
		if i, known := c.position[endpoint.Name]; known {
			c.endpoints[i] = endpoint
		} else {
			c.position[endpoint.Name] = len(c.endpoints)
			c.endpoints = append(c.endpoints, endpoint)
		}
		c.changes = append(c.changes, endpoint)
	}
	c.changes = slices.Delete(c.changes, 0, max(0, len(c.changes)-maxKeptChanges))
	c.wakeWatches()
	return c.index
}

// Restart gives the same list under index 1, as a discovery that has lost its versions.
func (c *Catalog) Restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index, c.changes = 1, nil
	c.wakeWatches()
}

// wakeWatches says that the list has changed. The caller holds mu.
func (c *Catalog) wakeWatches() {
	c.snapshotJSON = nil
	close(c.changed)
	c.changed = make(chan struct{})
}

// Snapshot returns the whole list, without deleted backends.
func (c *Catalog) Snapshot() Members {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot()
}

// snapshot is Snapshot for a caller that holds mu.
func (c *Catalog) snapshot() Members {
	all := Members{Index: c.index, Snapshot: true, Endpoints: make([]Endpoint, 0, len(c.endpoints))}
	for _, endpoint := range c.endpoints {
		if endpoint.Status != Deleted {
			all.Endpoints = append(all.Endpoints, endpoint)
		}
	}
	return all
}

// SnapshotJSON returns the whole list as the agent sends it. The caller must not change it.
func (c *Catalog) SnapshotJSON() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cachedSnapshotJSON()
}

// cachedSnapshotJSON is SnapshotJSON for a caller that holds mu.
func (c *Catalog) cachedSnapshotJSON() []byte {
	if c.snapshotJSON == nil {
		c.snapshotJSON, _ = json.Marshal(c.snapshot()) // of strings and finite numbers: it can't fail
	}
	return c.snapshotJSON
}

// ChangesSince returns what changed after an index, or the whole list where the changes since the index are no longer kept,
// or the index was never reached. The channel is closed at the next change. Where nothing has changed the list has no entries.
func (c *Catalog) ChangesSince(index int64) (Members, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missed := c.index - index
	if index > 0 && missed >= 0 && missed <= int64(len(c.changes)) {
		changes := slices.Clone(c.changes[len(c.changes)-int(missed):])
		return Members{Index: c.index, Endpoints: changes}, c.changed
	}
	return c.snapshot(), c.changed
}

// watchLine is what a watch is sent.
type watchLine struct {
	text     []byte // as JSON; nil: nothing to tell
	index    int64  // after it
	entries  int
	snapshot bool
	changed  <-chan struct{} // closed at the next change
}

// watchLine returns what a watch from an index is to be sent.
func (c *Catalog) watchLine(index int64) watchLine {
	update, changed := c.ChangesSince(index)
	line := watchLine{index: update.Index, entries: len(update.Endpoints), snapshot: update.Snapshot, changed: changed}
	switch {
	case update.Snapshot:
		c.mu.Lock()
		defer c.mu.Unlock()
		line.text, line.index, line.changed = c.cachedSnapshotJSON(), c.index, c.changed
	case len(update.Endpoints) > 0:
		line.text, _ = json.Marshal(update)
	}
	return line
}
