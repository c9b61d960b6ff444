package emulator

import (
	"encoding/json"
	"slices"
	"sync"
)

// Statuses of a backend in discovery.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Endpoint is one backend in the format of discovery.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // when the backend last started, as Unix time in milliseconds; 0: long ago
}

// Members is the whole endpoint list or the changes after an index, in the format of discovery.
type Members struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// maxChanges limits the changes that a catalog keeps. A watch that starts before the oldest of them gets the whole list.
const maxChanges = 4096

// Catalog is the list of backends that agents serve, with its latest changes. It is safe for concurrent use.
type Catalog struct {
	mu           sync.Mutex // guards all fields below
	index        int64      // of the last change
	endpoints    []Endpoint
	position     map[string]int // in endpoints, by name
	changes      []Endpoint     // the latest, at most maxChanges; the last one has the current index
	changed      chan struct{}  // closed at the next change
	snapshotJSON []byte         // cached JSON of the whole list; nil: outdated
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

// Apply applies changes, each of which increments the index, and notifies the watches. It returns the new index.
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
	c.changes = slices.Delete(c.changes, 0, max(0, len(c.changes)-maxChanges))
	c.notifyWatches()
	return c.index
}

// Restart sets the index and keeps the list, like a restart of a discovery system that loses its index.
func (c *Catalog) Restart(index int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index, c.changes = index, nil
	c.notifyWatches()
}

// notifyWatches tells the watches that the list has changed. The caller holds mu.
func (c *Catalog) notifyWatches() {
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
	members := Members{Index: c.index, Snapshot: true, Endpoints: make([]Endpoint, 0, len(c.endpoints))}
	for _, endpoint := range c.endpoints {
		if endpoint.Status != Deleted {
			members.Endpoints = append(members.Endpoints, endpoint)
		}
	}
	return members
}

// SnapshotJSON returns the whole list as the agent sends it. The caller must not modify it.
func (c *Catalog) SnapshotJSON() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cachedSnapshotJSON()
}

// cachedSnapshotJSON is SnapshotJSON for a caller that holds mu.
func (c *Catalog) cachedSnapshotJSON() []byte {
	if c.snapshotJSON == nil {
		c.snapshotJSON, _ = json.Marshal(c.snapshot()) // can't fail: only strings and finite numbers
	}
	return c.snapshotJSON
}

// ChangesSince returns the changes after an index, if any. It returns the whole list instead if not all of those changes are
// kept any more, or if the index is 0 or higher than the current one. The channel is closed at the next change.
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

// watchLine is an update to be sent on a watch.
type watchLine struct {
	text     []byte // JSON
	index    int64  // of the list after the update
	entries  int    // number of backends in the update
	snapshot bool
	changed  <-chan struct{} // closed at the next change
}

// watchLineSince returns the update to be sent on a watch that has received the list up to an index. It has no entries if
// nothing has changed since.
func (c *Catalog) watchLineSince(index int64) watchLine {
	update, changed := c.ChangesSince(index)
	line := watchLine{index: update.Index, entries: len(update.Endpoints), snapshot: update.Snapshot, changed: changed}
	if !update.Snapshot {
		line.text, _ = json.Marshal(update)
		return line
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	line.text, line.index, line.changed = c.cachedSnapshotJSON(), c.index, c.changed
	return line
}
