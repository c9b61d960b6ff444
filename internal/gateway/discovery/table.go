package discovery

import (
	"log/slog"

	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
)

const (
	// A list of up to partThreshold entries reaches the engine in one update. A longer one comes in parts of
	// partSize entries, which the loop applies in under 1 ms, so that requests are served in between.
	partThreshold = 256
	partSize      = 64
	// sweepSize is how many backends the loop looks at in one task for those that a snapshot has not named.
	sweepSize = 1024
	// removeSize is how many terminated backends are taken out of the table in one task.
	removeSize = 256
)

// table has what the engine has been told of each backend. The event loop's goroutine owns it.
//
// Several lists may be open at the same time: a fetch that was asked for before a change came by the watch may be
// read after it. If it were applied as it comes, the older list would put a backend that has begun to drain back into
// service, and requests would go to it. So lists are numbered in the order in which they were asked for or, for the
// watch, began to come, and a backend keeps the number of the latest list that named it: an older list changes nothing
// of it.
type table struct {
	names   endpoint.Names
	log     *slog.Logger
	changed func(backend policy.Backend, address string) // called at each change

	byName        map[string]*knownBackend
	backends      []*knownBackend // in no order; each knows its position
	lastNumber    uint64          // of a list
	openLists     int             // begun and not closed
	terminated    []*knownBackend // to be taken out, unless they come back
	everInService bool            // a backend has been in service
}

// knownBackend has what is known of one backend.
type knownBackend struct {
	backend  policy.Backend
	address  string
	namedBy  uint64 // number of the latest list that named it
	position int    // in table.backends
}

// openList is a list, or a change of it, that is being applied.
type openList struct {
	number uint64
	swept  int // backends of the table, from the first, of which is known whether the list names them
	closed bool
}

func newTable(names endpoint.Names, log *slog.Logger, changed func(policy.Backend, string)) *table {
	return &table{names: names, log: log, changed: changed, byName: map[string]*knownBackend{}}
}

// open numbers a list. Until it is closed no backend is taken out or changes its position.
func (t *table) open() *openList {
	t.lastNumber++
	t.openLists++
	return &openList{number: t.lastNumber}
}

// close ends a list, whether it was applied or not. A second call does nothing.
func (t *table) close(list *openList) {
	if list.closed {
		return
	}
	list.closed = true
	t.openLists--
	t.removeTerminated()
}

// apply takes entries of a list into the table, and returns the changes that the engine has to be told of.
// An invalid entry is passed over: the others still hold.
func (t *table) apply(list *openList, endpoints []endpoint.Entry) (changes []policy.Backend) {
	invalid := 0
	for i := range endpoints {
		backend, err := t.names.Backend(&endpoints[i])
		if err != nil {
			if invalid++; invalid == 1 {
				t.log.Warn("endpoint list entry ignored", slog.Any("error", err))
			}
			continue
		}
		if t.set(list, backend, endpoints[i].Address) {
			changes = append(changes, backend)
		}
	}
	if invalid > 1 {
		t.log.Warn("further endpoint list entries ignored", slog.Int("count", invalid-1))
	}
	return changes
}

// set keeps what a list has of one backend unless a later list has named it, and says whether that is a change.
func (t *table) set(list *openList, backend policy.Backend, address string) bool {
	known := t.byName[backend.Name]
	if known == nil {
		known = &knownBackend{position: len(t.backends)}
		t.byName[backend.Name] = known
		t.backends = append(t.backends, known)
	} else if known.namedBy > list.number {
		return false
	}
	known.namedBy = list.number
	if known.backend == backend && known.address == address {
		return false
	}
	known.backend, known.address = backend, address
	switch backend.State {
	case policy.InService:
		t.everInService = true
	case policy.Terminated:
		t.terminated = append(t.terminated, known)
	}
	t.changed(backend, address)
	return true
}

// terminateUnnamed marks the backends that a snapshot has not named as terminated, a part at each call. It returns the
// changes that the engine has to be told of, and whether that was the last part.
func (t *table) terminateUnnamed(list *openList) (changes []policy.Backend, last bool) {
	maxChanges := partThreshold
	if len(t.backends) > sweepSize {
		maxChanges = partSize
	}
	end := min(len(t.backends), list.swept+sweepSize)
	for ; list.swept < end && len(changes) < maxChanges; list.swept++ {
		known := t.backends[list.swept]
		if known.namedBy >= list.number || known.backend.State == policy.Terminated {
			continue
		}
		backend := known.backend
		backend.State = policy.Terminated
		t.set(list, backend, known.address)
		changes = append(changes, backend)
	}
	return changes, list.swept == len(t.backends)
}

// removeTerminated takes some of the terminated backends out of the table. While a list is open it does nothing: the
// list counts on the positions, and may name a terminated backend again.
func (t *table) removeTerminated() {
	if t.openLists > 0 {
		return
	}
	some := t.terminated[:min(len(t.terminated), removeSize)]
	for _, known := range some {
		if known.backend.State == policy.Terminated && t.byName[known.backend.Name] == known {
			t.remove(known)
		}
	}
	if t.terminated = t.terminated[len(some):]; len(t.terminated) == 0 {
		t.terminated = nil
	}
}

// remove takes a backend out; the last one takes its position.
func (t *table) remove(known *knownBackend) {
	last := t.backends[len(t.backends)-1]
	t.backends[known.position], last.position = last, known.position
	t.backends[len(t.backends)-1] = nil
	t.backends = t.backends[:len(t.backends)-1]
	delete(t.byName, known.backend.Name)
}
