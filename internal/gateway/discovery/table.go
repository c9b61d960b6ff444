package discovery

import (
	"log/slog"

	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
)

const (
	// A list of up to batchThreshold entries reaches the engine in one update. A longer list is applied in batches of
	// batchSize entries. The loop applies such a batch in under 1 ms and serves requests between batches.
	batchThreshold = 256
	batchSize      = 64
	// scanBatchSize is the number of backends that one task on the loop checks for absence from a snapshot.
	scanBatchSize = 1024
	// removeBatchSize is the number of terminated backends that one task on the loop removes from the table.
	removeBatchSize = 256
)

// table holds the state of each backend as last reported to the engine. It is owned by the event loop's goroutine.
//
// Several lists may be open at the same time: the response to a fetch may be read after a change that the watch received
// since the fetch was requested. If that response, the older list, were applied regardless, it could return a draining
// backend to service, and requests would be sent to the backend. Lists are therefore numbered: fetched ones in the order
// in which they were requested, watched ones when they begin to arrive. Each backend records the number of the latest
// list containing it, and older lists do not change it.
type table struct {
	names    endpoint.Names
	log      *slog.Logger
	onChange func(backend policy.Backend, address string) // called for each change

	byName         map[string]*knownBackend
	byAddress      map[string]*knownBackend // of those at one address, the one that started last
	backends       []*knownBackend          // unordered; each element records its position
	lastListNumber uint64                   // number of the list opened last
	openLists      int                      // number of open lists
	terminated     []*knownBackend          // to be removed, unless listed again before
	everInService  bool                     // some backend has been in service
}

// knownBackend is a backend in the table.
type knownBackend struct {
	backend    policy.Backend
	address    string
	listNumber uint64 // number of the latest list that contained or terminated the backend
	position   int    // in table.backends
}

// openList is a list or change that is being applied.
type openList struct {
	number  uint64
	scanned int // number of leading elements of table.backends already checked for absence from the list
	closed  bool
}

func newTable(names endpoint.Names, log *slog.Logger, onChange func(policy.Backend, string)) *table {
	return &table{names: names, log: log, onChange: onChange, byName: map[string]*knownBackend{},
		byAddress: map[string]*knownBackend{}}
}

// open assigns a number to a new list. Until the list is closed, no backend is removed or changes its position.
func (t *table) open() *openList {
	t.lastListNumber++
	t.openLists++
	return &openList{number: t.lastListNumber}
}

// close ends a list, whether it was applied or not. Closing a list again has no effect.
func (t *table) close(list *openList) {
	if list.closed {
		return
	}
	list.closed = true
	t.openLists--
	t.removeTerminated()
}

// apply applies entries of a list to the table and returns the changes to report to the engine. Invalid entries are
// skipped and logged; they do not invalidate the rest of the list.
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
		changes = t.setEntry(changes, list, backend, endpoints[i].Address)
	}
	if invalid > 1 {
		t.log.Warn("further endpoint list entries ignored", slog.Int("count", invalid-1))
	}
	return changes
}

// setEntry stores the state of a backend according to a list, and appends what that changes to changes.
//
// Only one process can be at an address. If the entry's process has started after that of another backend at its address, the
// other one has gone, whether or not discovery has reported that already: its connections would lead to the new process, and
// what is sent to it would run at a backend of another zone or cell, and in excess of the new one's slow start. If the
// entry's process has started before the other one's, the entry's backend has gone.
func (t *table) setEntry(changes []policy.Backend, list *openList, backend policy.Backend, address string) []policy.Backend {
	other := t.byAddress[address]
	if other != nil && other.backend.Name != backend.Name && other.backend.State != policy.Terminated {
		switch {
		case other.backend.Started < backend.Started && backend.State == policy.InService:
			gone := other.backend
			gone.State = policy.Terminated
			if t.setBackend(list, gone, address) {
				changes = append(changes, gone)
			}
		case other.backend.Started > backend.Started:
			backend.State = policy.Terminated
		}
	}
	if t.setBackend(list, backend, address) {
		changes = append(changes, backend)
	}
	return changes
}

// setBackend stores the state of a backend according to a list, unless a later list contained or terminated it. It reports
// whether that changed anything.
func (t *table) setBackend(list *openList, backend policy.Backend, address string) bool {
	known := t.byName[backend.Name]
	if known == nil {
		known = &knownBackend{position: len(t.backends)}
		t.byName[backend.Name] = known
		t.backends = append(t.backends, known)
	} else if known.listNumber > list.number {
		return false
	}
	known.listNumber = list.number
	if known.backend == backend && known.address == address {
		return false
	}
	t.setAddress(known, backend, address)
	switch backend.State {
	case policy.InService:
		t.everInService = true
	case policy.Terminated:
		t.terminated = append(t.terminated, known)
	}
	t.onChange(backend, address)
	return true
}

// setAddress stores the state and the address of a backend. The one that is stored for the address is then the backend that
// started last of those that have been listed with it.
func (t *table) setAddress(known *knownBackend, backend policy.Backend, address string) {
	t.forgetAddress(known)
	known.backend, known.address = backend, address
	if other := t.byAddress[address]; other == nil || other.backend.State == policy.Terminated ||
		other.backend.Started <= backend.Started {
		t.byAddress[address] = known
	}
}

// forgetAddress removes a backend from those stored by address.
func (t *table) forgetAddress(known *knownBackend) {
	if t.byAddress[known.address] == known {
		delete(t.byAddress, known.address)
	}
}

// terminateMissing marks the backends absent from a snapshot as terminated, a batch per call. It returns the changes to
// report to the engine, and whether all backends have been checked.
func (t *table) terminateMissing(list *openList) (changes []policy.Backend, last bool) {
	maxChanges := batchThreshold
	if len(t.backends) > scanBatchSize {
		maxChanges = batchSize
	}
	end := min(len(t.backends), list.scanned+scanBatchSize)
	for ; list.scanned < end && len(changes) < maxChanges; list.scanned++ {
		known := t.backends[list.scanned]
		if known.listNumber >= list.number || known.backend.State == policy.Terminated {
			continue
		}
		backend := known.backend
		backend.State = policy.Terminated
		t.setBackend(list, backend, known.address)
		changes = append(changes, backend)
	}
	return changes, list.scanned == len(t.backends)
}

// removeTerminated removes up to removeBatchSize terminated backends from the table. It does nothing while a list is open:
// terminateMissing relies on the positions, and the list may contain a terminated backend again.
func (t *table) removeTerminated() {
	if t.openLists > 0 {
		return
	}
	batch := t.terminated[:min(len(t.terminated), removeBatchSize)]
	for _, known := range batch {
		if known.backend.State == policy.Terminated && t.byName[known.backend.Name] == known {
			t.remove(known)
		}
	}
	if t.terminated = t.terminated[len(batch):]; len(t.terminated) == 0 {
		t.terminated = nil
	}
}

// remove removes a backend and moves the last one to its position.
func (t *table) remove(known *knownBackend) {
	last := t.backends[len(t.backends)-1]
	t.backends[known.position], last.position = last, known.position
	t.backends[len(t.backends)-1] = nil
	t.backends = t.backends[:len(t.backends)-1]
	delete(t.byName, known.backend.Name)
	t.forgetAddress(known)
}
