package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"bellwood/internal/audit"
	"bellwood/internal/gateway/counter"
	"bellwood/internal/policy"
)

// auditedGateway is the part of the gateway that the audit uses. All methods are called on the event loop.
type auditedGateway interface {
	// now returns the time on the loop's clock, which is Unix time and monotonic.
	now() time.Duration
	// runEvery runs a task periodically.
	runEvery(interval time.Duration, task func())
	// emit queues an event for the engine's next Step, and step runs that Step.
	emit(policy.Event)
	step()
	// setOutOfService takes the gateway out of service or returns it to service. Attempts already written continue.
	setOutOfService(out bool)
	// reopenWatch reopens the watch at discovery, starting from the version applied last.
	reopenWatch()
	// fetchSnapshot fetches the whole endpoint list. If its index differs from the one applied last, it also opens a
	// watch from that index. It calls done once, at the end, and reports whether the list was applied.
	fetchSnapshot(done func(ok bool))
	// addToCounter makes a counter call. It calls done once, possibly before it returns.
	addToCounter(name uint64, amount float64, ttl time.Duration, done func(policy.Status, float64))
}

// auditor connects the event loop to the state machine of the fleet audit: it collects what happens at this gateway as
// events for the machine and executes the machine's actions. The loop owns it. A nil *auditor means that the audit is
// disabled; the methods that the gateway calls then do nothing.
type auditor struct {
	gateway auditedGateway
	config  *Config
	log     *slog.Logger
	machine *audit.Machine
	events  []audit.Event // for the machine's next Step
	// Versions (indexes) of the endpoint list that the loop has applied completely. They are in force once the engine's
	// next Step has processed their events.
	appliedVersions []audit.VersionAdopted
	// When the last iteration of the loop began or ended. The engine's periodic check alone causes an iteration every
	// 20 ms, so a much longer gap means that the process was paused.
	lastIteration time.Duration
}

// newAuditor returns nil if the configuration has no audit section. The error is a *SettingError.
func newAuditor(server *Server) (*auditor, error) {
	if server.cfg.Audit == nil {
		return nil, nil
	}
	machine, err := audit.New(server.cfg.auditSettings(), server.cfg.Seed)
	if err != nil {
		return nil, &SettingError{"audit", err}
	}
	return &auditor{gateway: auditedServer{server}, config: server.cfg, log: server.log, machine: machine}, nil
}

// start starts the audit with the endpoint list of the configuration. It must be called before the loop's first iteration.
func (a *auditor) start() {
	if a == nil {
		return
	}
	a.lastIteration = a.gateway.now()
	a.configurationChanged(a.config.Discovery, a.config.Counter, a.config.Audit.Revision)
	if known := a.config.Known.Index; known > 0 {
		a.versionAdopted(known, audit.FromConfiguration)
	}
	a.log.Info("fleet audit enabled", "window", a.machine.Window())
	a.gateway.runEvery(audit.TickInterval, a.step)
}

// The following methods report what happens at the gateway.

// configurationChanged reports the configuration in force: the addresses of discovery and the counter, and the operators'
// revision of the configuration.
func (a *auditor) configurationChanged(discovery, counter, revision string) {
	if a == nil {
		return
	}
	shared := fmt.Sprintf("%x %s", a.config.Audit.settingsDigest, revision)
	full := fmt.Sprintf("%s %s %s", shared, discovery, counter)
	a.addEvent(audit.Configured{Revision: xxhash.Sum64String(shared), Digest: xxhash.Sum64String(full)})
}

// versionAdopted records a version that the loop has applied completely. The engine uses it from its next Step on.
func (a *auditor) versionAdopted(index int64, source audit.Source) {
	if a != nil {
		version := audit.VersionAdopted{Index: index, Source: source, ReadAt: a.gateway.now(), Changes: 1}
		a.appliedVersions = append(a.appliedVersions, version)
	}
}

// engineStepped records that the engine has run a Step, which puts the versions applied before it in force.
func (a *auditor) engineStepped() {
	if a == nil {
		return
	}
	for _, version := range a.appliedVersions {
		a.addEvent(version)
	}
	a.appliedVersions = a.appliedVersions[:0]
}

// requestDecided records a client's request that the engine decides in the Step that follows. clientID is the id that the
// client gave it.
func (a *auditor) requestDecided(clientID []byte) {
	if a != nil {
		a.addEvent(audit.RequestDecided{ClientID: string(clientID)})
	}
}

// attemptStarted records the start of an attempt.
func (a *auditor) attemptStarted() {
	if a != nil {
		a.addEvent(audit.AttemptSent{})
	}
}

// quotaCallEnded records the result of a counter call for a quota. After a failed one the audit makes no counter calls for
// a while.
func (a *auditor) quotaCallEnded(status policy.Status) {
	if a != nil && status != policy.OK {
		a.addEvent(audit.QuotaCallFailed{})
	}
}

// addEvent queues an event for the machine's next Step.
func (a *auditor) addEvent(event audit.Event) { a.events = append(a.events, event) }

// beginIteration checks whether the process was paused since the last iteration. If so, the audit processes the pause
// before any pending work of the loop.
func (a *auditor) beginIteration() {
	if a == nil {
		return
	}
	now := a.gateway.now()
	pause := a.pauseAt(now)
	a.lastIteration = now
	if pause > 0 {
		a.addEvent(audit.ResumedAfterPause{Pause: pause})
		a.step()
	}
}

// endIteration lets the audit process the events of an iteration. If the process was paused during the iteration,
// lastIteration stays unchanged so that the next beginIteration detects the pause.
func (a *auditor) endIteration() {
	if a == nil {
		return
	}
	if now := a.gateway.now(); now-a.lastIteration < audit.MinPause {
		a.lastIteration = now
	}
	if len(a.events) > 0 {
		a.step()
		a.gateway.step() // processes the events that the audit emitted to the engine
	}
}

// pausedInIteration reports whether the process was paused during this iteration of the loop, which makes the decisions
// taken before the pause stale.
func (a *auditor) pausedInIteration(now time.Duration) bool { return a.pauseAt(now) > 0 }

// pauseAt returns how long the process has been paused since lastIteration; 0 if not at all, or for less than
// audit.MinPause.
func (a *auditor) pauseAt(now time.Duration) time.Duration {
	if a == nil || a.lastIteration == 0 || now-a.lastIteration < audit.MinPause {
		return 0
	}
	return now - a.lastIteration
}

// The following methods execute the actions of the audit.

// step runs the machine and executes its actions. It repeats this until no event is pending, because an action may
// complete immediately and add an event.
func (a *auditor) step() {
	for first := true; first || len(a.events) > 0; first = false {
		events := a.events
		a.events = nil
		for _, action := range a.machine.Step(a.gateway.now(), events) {
			a.executeAction(action)
		}
	}
}

func (a *auditor) executeAction(action audit.Action) {
	switch action := action.(type) {
	case audit.AddToCounter:
		a.addToCounter(action)
	case audit.ReopenWatch:
		a.gateway.reopenWatch()
	case audit.FetchSnapshot:
		a.gateway.fetchSnapshot(func(ok bool) { a.addEvent(audit.SnapshotFetched{OK: ok}) })
	case audit.LeaveService:
		a.gateway.setOutOfService(true)
	case audit.ReturnToService:
		a.gateway.setOutOfService(false)
	case audit.Log:
		a.writeLog(action.Record)
	}
}

// addToCounter makes a counter call for the audit.
func (a *auditor) addToCounter(call audit.AddToCounter) {
	a.gateway.addToCounter(call.Name, call.Amount, call.TTL, func(status policy.Status, total float64) {
		a.addEvent(audit.CounterResult{Call: call.Call, Status: auditCallStatus(status), Total: total})
	})
}

// auditCallStatus converts the status of a counter call to the audit's terms.
func auditCallStatus(status policy.Status) audit.CallStatus {
	switch status {
	case policy.OK:
		return audit.Added
	case policy.Rejected, policy.ConnectFailed:
		return audit.NotAdded
	}
	return audit.MaybeAdded
}

// writeLog logs a record. A StepRecord is a warning: there is one only if the gateway is behind, was paused, or has a
// configuration that differs from the fleet's.
func (a *auditor) writeLog(record audit.Record) {
	level := slog.LevelInfo
	if _, ok := record.(audit.StepRecord); ok {
		level = slog.LevelWarn
	}
	a.log.LogAttrs(context.Background(), level, record.Message(), record.Attrs()...)
}

// auditedServer implements auditedGateway for a Server.
type auditedServer struct{ *Server }

func (s auditedServer) setOutOfService(out bool) {
	s.suspended.Store(out)
	s.emit(policy.Suspend{On: out})
	if out {
		s.upstream.cancelAllDials(gatewayOutOfService)
	}
}

func (s auditedServer) reopenWatch() { s.discovery.Follow(s.discovery.Address()) }

func (s auditedServer) fetchSnapshot(done func(ok bool)) { s.discovery.FetchAndFollow(done) }

func (s auditedServer) addToCounter(name uint64, amount float64, ttl time.Duration,
	done func(policy.Status, float64)) {
	s.counter.Add(name, amount, ttl, func(result counter.Result) { done(result.Status, result.Total) })
}
