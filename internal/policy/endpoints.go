package policy

// The endpoint list: which backends exist, and how the engine reacts to a change of the list.

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// endpointsUpdated handles an update of the endpoint list, or the failure of a call for the list.
func (e *Engine) endpointsUpdated(update EndpointUpdate) {
	if update.Kind == UpdateFailed {
		if retry, pause := e.polling.failed(e.rng); retry {
			e.emit(SetTimer{At: e.now + pause, Cookie: pollCookie})
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
	e.endpoints.removeRetired()
	e.assignSubset()
	e.sendAllQueued()
}

// applyEntry applies one entry of the list. A backend that was started recently begins a slow start.
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

// retire takes a backend out of service: it gets no new attempts, and the requests in its queue are
// dispatched again. Its attempts in flight continue.
func (e *Engine) retire(b *backend) {
	if b.inService {
		e.endpoints.takeOutOfService(b)
		e.updateWarm(b)
		e.moveQueue(b)
	}
	e.endpoints.addRetired(b)
}

// retireMissing retires the backends that a snapshot does not contain.
func (e *Engine) retireMissing() {
	for _, b := range e.endpoints.all {
		if e.endpoints.isMissing(b) {
			e.retire(b)
		}
	}
}

// assignSubset updates the subset after a change of the list, and gives new backends their first concurrency
// limit. All backends are reassigned only when the number of bins changes (beginRound).
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

// endpointRegistry holds the backends that are in service, and those out of service that had attempts in
// flight at the last update. It owns the registryState of its backends.
type endpointRegistry struct {
	byName         map[string]*backend
	all            []*backend // the values of byName; modified by findOrAdd and remove only
	retired        []*backend // out of service; removed by an update once no attempt is in flight
	changed        []*backend // have come into service or left it since the last takeChanged
	inServiceCount int
	updates        uint64
}

// registryState is the state that the registry keeps for each backend.
type registryState struct {
	inService  bool   // in service, according to the list
	retired    bool   // in endpointRegistry.retired
	lastUpdate uint64 // number of the last update that contained it
	index      int    // index in endpointRegistry.all
}

func newEndpointRegistry() endpointRegistry {
	return endpointRegistry{byName: map[string]*backend{}}
}

func (r *endpointRegistry) beginUpdate() { r.updates++ }

// find returns the backend with a name, or nil if it is unknown.
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
	b.lastUpdate = r.updates
	return b
}

// isMissing reports whether the current update did not contain a backend.
func (r *endpointRegistry) isMissing(b *backend) bool { return b.lastUpdate != r.updates }

// putInService puts a backend into service.
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

func (r *endpointRegistry) addRetired(b *backend) {
	if !b.retired {
		b.retired = true
		r.retired = append(r.retired, b)
	}
}

// takeChanged returns the backends that have come into service or left it since the last call. The slice is
// valid until the next change.
func (r *endpointRegistry) takeChanged() []*backend {
	changed := r.changed
	r.changed = r.changed[:0]
	return changed
}

// removeRetired removes the retired backends that have no attempt in flight, unless they are in service
// again.
func (r *endpointRegistry) removeRetired() {
	kept := r.retired[:0]
	for _, b := range r.retired {
		switch {
		case b.inService: // back in service
			b.retired = false
		case len(b.inFlight) > 0:
			kept = append(kept, b)
		default:
			r.remove(b)
		}
	}
	clear(r.retired[len(kept):])
	r.retired = kept
}

func (r *endpointRegistry) remove(b *backend) {
	last := len(r.all) - 1
	r.all[b.index], r.all[last].index = r.all[last], b.index
	r.all[last] = nil
	r.all = r.all[:last]
	delete(r.byName, b.name)
}

const (
	// firstPollBackoff is the maximum pause after the first failed call for the list. One half of each pause is
	// fixed and the other random, because the calls of all gateways fail together.
	firstPollBackoff = 250 * time.Millisecond
	// maxPollBackoff is the upper limit of the maximum pause. A change must be known within 6 s: two calls that
	// fail after 2 s each, and the pauses after them, leave time for a third call.
	maxPollBackoff = 750 * time.Millisecond
)

// endpointPolling schedules the calls for the endpoint list.
type endpointPolling struct {
	lastPoll     time.Duration // time of the last scheduled call or update
	backoff      time.Duration // maximum of the last pause; 0 after an update
	retryPending bool          // a pause after a failed call is running
}

// succeeded records that an update was received.
func (p *endpointPolling) succeeded(now time.Duration) { p.lastPoll, p.backoff = now, 0 }

// failed records that a call for the list has failed, and returns the pause after which to retry it. If a
// pause is running already, retry is false; otherwise a random number is drawn for the pause.
func (p *endpointPolling) failed(rng *rand.Rand) (retry bool, pause time.Duration) {
	if p.retryPending {
		return false, 0
	}
	p.retryPending = true
	p.backoff = min(maxPollBackoff, max(firstPollBackoff, 2*p.backoff))
	return true, p.backoff/2 + time.Duration(rng.Int64N(int64(p.backoff/2)+1))
}

// retried records that the pause is over.
func (p *endpointPolling) retried() { p.retryPending = false }

// pollIfDue reports whether to call for the list again: the last call or update was longer ago than half the
// interval. If so, it records a call at the present time, which the caller must make.
func (p *endpointPolling) pollIfDue(now, interval time.Duration) bool {
	if interval <= 0 || now-p.lastPoll <= interval/2 {
		return false
	}
	p.lastPoll = now
	return true
}
