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

// Member is one backend in discovery's form.
type Member struct {
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
	Index     int64    `json:"index"`
	Snapshot  bool     `json:"snapshot"`
	Endpoints []Member `json:"endpoints"`
}

const mostChanges = 4096 // kept; a watch from before them gets the whole list

// Catalog is the list of backends that agents tell, with its latest changes. It is safe for concurrent use.
type Catalog struct {
	mu      sync.Mutex
	index   int64
	spot    map[string]int // of a name in members
	members []Member
	changes []Member // the last of them has the index
	wake    chan struct{}
	whole   []byte // the whole list as JSON; nil: to be made
}

// NewCatalog returns a catalog at index 1.
func NewCatalog(members []Member) *Catalog {
	c := &Catalog{index: 1, spot: make(map[string]int, len(members)), members: slices.Clone(members),
		wake: make(chan struct{})}
	for i, m := range members {
		c.spot[m.Name] = i
	}
	return c
}

// Apply takes in changes, each with an index of its own, and wakes those that watch. It returns the last index.
func (c *Catalog) Apply(changes ...Member) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range changes {
		c.index++
		if i, known := c.spot[m.Name]; known {
			c.members[i] = m
		} else {
			c.spot[m.Name] = len(c.members)
			c.members = append(c.members, m)
		}
		c.changes = append(c.changes, m)
	}
	c.changes = slices.Delete(c.changes, 0, max(0, len(c.changes)-mostChanges))
	c.whole = nil
	close(c.wake)
	c.wake = make(chan struct{})
	return c.index
}

// StartAnew gives the same list under index 1, as a discovery that has lost its versions.
func (c *Catalog) StartAnew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index, c.changes, c.whole = 1, nil, nil
	close(c.wake)
	c.wake = make(chan struct{})
}

// Whole returns the list without deleted backends.
func (c *Catalog) Whole() Members {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list()
}

func (c *Catalog) list() Members {
	m := Members{Index: c.index, Snapshot: true, Endpoints: make([]Member, 0, len(c.members))}
	for _, e := range c.members {
		if e.Status != Deleted {
			m.Endpoints = append(m.Endpoints, e)
		}
	}
	return m
}

// WholeJSON returns the whole list as the agent sends it. The caller must not change it.
func (c *Catalog) WholeJSON() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wholeJSON()
}

func (c *Catalog) wholeJSON() []byte {
	if c.whole == nil {
		c.whole, _ = json.Marshal(c.list()) // of strings and finite numbers: it can't fail
	}
	return c.whole
}

// Since returns what changed after an index, or the whole list where that is not known any more or was never had. The
// channel is closed at the next change. Where nothing has changed the list has no entries.
func (c *Catalog) Since(index int64) (Members, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.index - index; index > 0 && n >= 0 && n <= int64(len(c.changes)) {
		return Members{Index: c.index, Endpoints: slices.Clone(c.changes[len(c.changes)-int(n):])}, c.wake
	}
	return c.list(), c.wake
}

// line is what a watch is sent.
type line struct {
	text    []byte // as JSON; nil: nothing to tell
	index   int64  // after it
	entries int
	whole   bool
	wake    <-chan struct{} // closed at the next change
}

// line returns what a watch from an index is to be sent.
func (c *Catalog) line(index int64) line {
	m, wake := c.Since(index)
	l := line{index: m.Index, entries: len(m.Endpoints), whole: m.Snapshot, wake: wake}
	switch {
	case m.Snapshot:
		c.mu.Lock()
		defer c.mu.Unlock()
		l.text, l.index, l.wake = c.wholeJSON(), c.index, c.wake
	case len(m.Endpoints) > 0:
		l.text, _ = json.Marshal(m)
	}
	return l
}
