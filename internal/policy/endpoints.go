package policy

// The endpoint list: which backends there are, and what a change of it brings about.

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// endpointsUpdated takes a change of the endpoint list, or the failure of a call for it.
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
	e.endpoints.removeLeft()
	e.assignSubset()
	e.fillAll()
}

// applyEntry takes what the list says of one backend. One that was started lately is warming up.
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
		e.endpoints.list(b)
	} else {
		e.retire(b)
	}
	e.countWarm(b)
}

// retire takes a backend out of service: it gets nothing new, and what waits for it goes elsewhere. Its
// attempts in flight go on.
func (e *Engine) retire(b *backend) {
	if b.listed {
		e.endpoints.unlist(b)
		e.countWarm(b)
		e.moveQueue(b)
	}
	e.endpoints.addLeaving(b)
}

// retireMissing retires the backends that a whole list leaves out.
func (e *Engine) retireMissing() {
	for _, b := range e.endpoints.all {
		if e.endpoints.isMissing(b) {
			e.retire(b)
		}
	}
}

// assignSubset deals the backends out anew, and gives those that are new their first concurrency limit.
func (e *Engine) assignSubset() {
	changed := e.endpoints.takeChanged()
	e.subset.assign(&e.endpoints, changed)
	for _, b := range changed {
		if !b.limiter.Ready() {
			b.limiter.Start(e.subset.gatewaysPerBackend)
			e.countWarm(b)
		}
	}
}

// endpointRegistry holds the backends that the endpoint list has named and that are not yet gone. It owns
// its backends' membership.
type endpointRegistry struct {
	byName    map[string]*backend
	all       []*backend // those of byName; written by findOrAdd and remove alone
	leaving   []*backend // out of service; some with attempts in flight
	changed   []*backend // came into service or left it since takeChanged
	inService int
	updates   uint64
}

// membership is what the registry keeps with each backend.
type membership struct {
	listed  bool   // in service, by the list
	leaving bool   // in endpointRegistry.leaving
	namedIn uint64 // the update that named it last
	index   int    // in endpointRegistry.all
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

// list takes a backend into service.
func (r *endpointRegistry) list(b *backend) {
	if !b.listed {
		b.listed = true
		r.inService++
		r.changed = append(r.changed, b)
	}
}

// unlist takes a listed backend out of service.
func (r *endpointRegistry) unlist(b *backend) {
	b.listed = false
	r.inService--
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

// removeLeft forgets the backends that are out of service and have no attempt in flight.
func (r *endpointRegistry) removeLeft() {
	kept := r.leaving[:0]
	for _, b := range r.leaving {
		switch {
		case b.listed: // it is back
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
	// firstPollBackoff is the pause after a call for the list has failed, half of it by chance: gateways
	// fail together.
	firstPollBackoff = 250 * time.Millisecond
	// maxPollBackoff is the longest pause. A change counts as known after 6 s: two calls that fail after
	// 2 s each, and their pauses, leave time for a third.
	maxPollBackoff = 750 * time.Millisecond
)

// endpointPolling says when to ask for the endpoint list.
type endpointPolling struct {
	lastPoll     time.Duration // or when an update came
	backoff      time.Duration // the last; 0: the last call brought the list
	retryPending bool
}

// succeeded says that an update has come.
func (p *endpointPolling) succeeded(now time.Duration) { p.lastPoll, p.backoff = now, 0 }

// failed says that a call for the list has failed, and returns the pause after which to ask again, unless
// that is under way.
func (p *endpointPolling) failed(rng *rand.Rand) (retry bool, pause time.Duration) {
	if p.retryPending {
		return false, 0
	}
	p.retryPending = true
	p.backoff = min(maxPollBackoff, max(firstPollBackoff, 2*p.backoff))
	return true, p.backoff/2 + time.Duration(rng.Int64N(int64(p.backoff/2)+1))
}

// retried says that the pause is over.
func (p *endpointPolling) retried() { p.retryPending = false }

// isDue says whether the list would else become older than the interval, and takes it for asked for.
func (p *endpointPolling) isDue(now, interval time.Duration) bool {
	if interval <= 0 || now-p.lastPoll <= interval/2 {
		return false
	}
	p.lastPoll = now
	return true
}
