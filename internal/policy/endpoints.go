package policy

// The endpoint list: which backends there are, and what follows from a change of it.

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// endpointsUpdated handles a change of the endpoint list, or the failure of a call for it.
func (e *Engine) endpointsUpdated(update EndpointUpdate) {
	if update.Kind == UpdateFailed {
		if retry, pause := e.polling.failed(e.rng); retry {
			e.emit(SetTimer{e.now + pause, pollCookie})
		}
		return
	}
	e.polling.succeeded(e.now)
	e.endpoints.beginUpdate()
	for i := range update.Backends {
		e.applyEntry(&update.Backends[i])
	}
	if update.Kind != Delta {
		e.retireMissing()
	}
	e.endpoints.removeGone()
	e.assignSubset()
	e.sendAllQueued()
}

// applyEntry applies what the list says of one backend. One that was started lately begins a slow start.
func (e *Engine) applyEntry(entry *Backend) {
	b := e.endpoints.findOrAdd(entry)
	if b == nil {
		return
	}
	if b.started != entry.Started {
		b.started = entry.Started
		b.latencyFactor.Reset()
		b.detector.Reset(e.now)
		if entry.Started > 0 && e.now-entry.Started < e.settings.SlowStartDuration {
			b.limiter.Restart()
			e.beginSlowStart(b, entry.Started)
		}
	}
	b.zone, b.cell, b.weight = entry.Zone, entry.Cell, cmp.Or(max(0, entry.Weight), 1)
	if entry.State == InService {
		e.endpoints.putInService(b)
	} else {
		e.retire(b)
	}
	e.updateWarm(b)
}

// retire takes a backend out of service: it gets nothing new, and what waits for it goes elsewhere. Its
// attempts in flight go on.
func (e *Engine) retire(b *backend) {
	if b.inService {
		e.endpoints.takeOutOfService(b)
		e.updateWarm(b)
		e.moveQueue(b)
	}
	e.endpoints.addLeaving(b)
}

// retireMissing retires the backends that a snapshot leaves out.
func (e *Engine) retireMissing() {
	for _, b := range e.endpoints.all {
		if e.endpoints.isMissing(b) {
			e.retire(b)
		}
	}
}

// assignSubset makes the subset follow the changes of the list, and gives backends that are new their first
// concurrency limit. It deals all out anew only when the number of seats changes (beginRound).
func (e *Engine) assignSubset() {
	changed := e.endpoints.takeChanged()
	e.subset.assign(&e.endpoints, changed)
	for _, b := range changed {
		if !b.limiter.Ready() {
			b.limiter.Start(e.subset.gatewaysPerBackend)
			e.updateWarm(b)
		}
	}
}

// endpointRegistry holds the backends that the endpoint list has named and that are not yet gone. It owns
// its backends' registryState.
type endpointRegistry struct {
	byName         map[string]*backend
	all            []*backend // those of byName; written by findOrAdd and remove alone
	leaving        []*backend // out of service; some with attempts in flight
	changed        []*backend // came into service or left it since takeChanged
	inServiceCount int
	updates        uint64
}

// registryState is what the registry keeps with each backend.
type registryState struct {
	inService bool   // in service, by the list
	leaving   bool   // in endpointRegistry.leaving
	namedIn   uint64 // the update that named it last
	index     int    // in endpointRegistry.all
}

func newEndpointRegistry() endpointRegistry {
	return endpointRegistry{byName: map[string]*backend{}}
}

func (r *endpointRegistry) beginUpdate() { r.updates++ }

// find returns the backend of a name, or nil if it is unknown.
func (r *endpointRegistry) find(name string) *backend { return r.byName[name] }

// findOrAdd returns the backend of an entry, or nil if it is unknown and not in service.
func (r *endpointRegistry) findOrAdd(entry *Backend) *backend {
	b := r.byName[entry.Name]
	if b == nil {
		if entry.State != InService {
			return nil
		}
		b = newBackend(entry.Name)
		r.byName[entry.Name] = b
		b.index = len(r.all)
		r.all = append(r.all, b)
	}
	b.namedIn = r.updates
	return b
}

// isMissing says whether the present update has not named a backend.
func (r *endpointRegistry) isMissing(b *backend) bool { return b.namedIn != r.updates }

// putInService takes a backend into service.
func (r *endpointRegistry) putInService(b *backend) {
	if !b.inService {
		b.inService = true
		r.inServiceCount++
		r.changed = append(r.changed, b)
	}
}

// takeOutOfService takes a backend that is in service out of it.
func (r *endpointRegistry) takeOutOfService(b *backend) {
	b.inService = false
	r.inServiceCount--
	r.changed = append(r.changed, b)
}

func (r *endpointRegistry) addLeaving(b *backend) {
	if !b.leaving {
		b.leaving = true
		r.leaving = append(r.leaving, b)
	}
}

// takeChanged returns the backends that came into service or left it since the last call. The slice is
// valid until the next change.
func (r *endpointRegistry) takeChanged() []*backend {
	changed := r.changed
	r.changed = r.changed[:0]
	return changed
}

// removeGone forgets the backends that are out of service and have no attempt in flight.
func (r *endpointRegistry) removeGone() {
	kept := r.leaving[:0]
	for _, b := range r.leaving {
		switch {
		case b.inService: // it is back
			b.leaving = false
		case len(b.inFlight) > 0:
			kept = append(kept, b)
		default:
			r.remove(b)
		}
	}
	clear(r.leaving[len(kept):])
	r.leaving = kept
}

func (r *endpointRegistry) remove(b *backend) {
	last := len(r.all) - 1
	r.all[b.index], r.all[last].index = r.all[last], b.index
	r.all[last] = nil
	r.all = r.all[:last]
	delete(r.byName, b.name)
}

const (
	// firstPollBackoff is the longest pause after the first call for the list that failed. Of each pause one
	// half is fixed and the other random, as gateways fail together.
	firstPollBackoff = 250 * time.Millisecond
	// maxPollBackoff is the longest pause of all. A change counts as known after 6 s: two calls that fail after
	// 2 s each, and their pauses, leave time for a third.
	maxPollBackoff = 750 * time.Millisecond
)

// endpointPolling says when to ask for the endpoint list.
type endpointPolling struct {
	lastPoll     time.Duration // when the list was asked for, or when an update came
	backoff      time.Duration // the longest that the last pause could be; 0: the last call brought the list
	retryPending bool          // a pause is under way
}

// succeeded notes that an update has come.
func (p *endpointPolling) succeeded(now time.Duration) { p.lastPoll, p.backoff = now, 0 }

// failed notes that a call for the list has failed, and returns the pause after which to ask again, unless
// one is under way already. It draws a random number for the pause.
func (p *endpointPolling) failed(rng *rand.Rand) (retry bool, pause time.Duration) {
	if p.retryPending {
		return false, 0
	}
	p.retryPending = true
	p.backoff = min(maxPollBackoff, max(firstPollBackoff, 2*p.backoff))
	return true, p.backoff/2 + time.Duration(rng.Int64N(int64(p.backoff/2)+1))
}

// retried notes that the pause is over.
func (p *endpointPolling) retried() { p.retryPending = false }

// pollIfDue says whether the list is to be asked for: it is older than half the interval. If so it notes that
// the caller asks for it now.
func (p *endpointPolling) pollIfDue(now, interval time.Duration) bool {
	if interval <= 0 || now-p.lastPoll <= interval/2 {
		return false
	}
	p.lastPoll = now
	return true
}
