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

// auditedGateway is what the audit needs of its gateway. All methods are called on the event loop.
type auditedGateway interface {
	// now is the loop's clock: Unix time that does not go back.
	now() time.Duration
	// every runs a task again and again.
	every(interval time.Duration, task func())
	// emit keeps an event for the engine's next Step, and step runs that Step.
	emit(policy.Event)
	step()
	// setOutOfService takes the gateway out of service or puts it back. Attempts that are written go on.
	setOutOfService(out bool)
	// reopenWatch opens discovery's watch anew, from the version in force.
	reopenWatch()
	// fetchSnapshot gets the whole list and, if it has another index than the one applied last, opens a watch from
	// there. It calls ended once, at the end, with whether the list was applied.
	fetchSnapshot(ended func(ok bool))
	// addToCounter makes a counter call. It calls ended once, possibly before it returns.
	addToCounter(name uint64, amount float64, ttl time.Duration, ended func(policy.Status, float64))
}

// auditor stands between the event loop and the audit of the fleet: it collects what happens at this gateway as events
// of the audit's machine, and carries out the machine's actions. The loop owns it. nil is the audit turned off: the
// methods that the gateway calls do nothing then.
type auditor struct {
	gateway auditedGateway
	config  *Config
	log     *slog.Logger
	machine *audit.Machine
	events  []audit.Event // for the machine's next Step
	// Versions whose last part the loop has applied. They are in force once the engine's next Step has taken their events.
	appliedVersions []audit.VersionAdopted
	// When the last pass of the loop began or ended. The engine's periodic check alone brings a pass every 20 ms, so a
	// much longer time without one is a pause of the process.
	lastPass time.Duration
}

// newAuditor returns nil if the configuration has no section audit. The error is a *SettingError.
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

// start begins the audit, with the endpoint list of the configuration. It has to be called before the first pass.
func (a *auditor) start() {
	if a == nil {
		return
	}
	a.lastPass = a.gateway.now()
	a.configured(a.config.Discovery, a.config.Counter, a.config.Audit.Revision)
	if known := a.config.Known.Index; known > 0 {
		a.adopted(known, audit.FromConfiguration)
	}
	a.log.Info("the audit is on", "window", a.machine.Window())
	a.gateway.every(audit.TickInterval, a.step)
}

// The methods from here on are called when something happens at the gateway.

// configured tells the audit the configuration in force: the addresses of discovery and the counter, and the name that
// the operators gave the configuration.
func (a *auditor) configured(discovery, counter, revision string) {
	if a == nil {
		return
	}
	fleetWide := fmt.Sprintf("%x %s", a.config.Audit.settingsDigest, revision)
	own := fmt.Sprintf("%s %s %s", fleetWide, discovery, counter)
	a.tell(audit.Configured{Revision: xxhash.Sum64String(fleetWide), Digest: xxhash.Sum64String(own)})
}

// adopted notes a version whose last part the loop has applied. The engine acts on it from its next Step on.
func (a *auditor) adopted(index int64, source audit.Source) {
	if a != nil {
		version := audit.VersionAdopted{Index: index, Source: source, ReadAt: a.gateway.now(), Changes: 1}
		a.appliedVersions = append(a.appliedVersions, version)
	}
}

// inForce notes that the engine has had a Step, so it acts on what was adopted before.
func (a *auditor) inForce() {
	if a == nil {
		return
	}
	for _, version := range a.appliedVersions {
		a.tell(version)
	}
	a.appliedVersions = a.appliedVersions[:0]
}

// decided notes that the engine is given a client's request. clientID is the id that the client gave it.
func (a *auditor) decided(clientID []byte) {
	if a != nil {
		a.tell(audit.RequestDecided{ClientID: string(clientID)})
	}
}

// attempted notes that an attempt is started.
func (a *auditor) attempted() {
	if a != nil {
		a.tell(audit.AttemptSent{})
	}
}

// quotaCallEnded notes how a counter call for a quota ended: after a failed one the audit makes no calls for a while.
func (a *auditor) quotaCallEnded(status policy.Status) {
	if a != nil && status != policy.OK {
		a.tell(audit.QuotaCallFailed{})
	}
}

func (a *auditor) tell(event audit.Event) { a.events = append(a.events, event) }

// beginPass tells the audit, before anything else that has gathered, if the process was paused.
func (a *auditor) beginPass() {
	if a == nil {
		return
	}
	now := a.gateway.now()
	pause := a.pauseAt(now)
	a.lastPass = now
	if pause > 0 {
		a.tell(audit.ResumedAfterPause{Pause: pause})
		a.step()
	}
}

// endPass lets the audit act on what has happened in a pass. If the process was paused within the pass, the next
// beginPass finds it.
func (a *auditor) endPass() {
	if a == nil {
		return
	}
	if now := a.gateway.now(); now-a.lastPass < audit.MinPause {
		a.lastPass = now
	}
	if len(a.events) > 0 {
		a.step()
		a.gateway.step() // takes what the audit told the engine
	}
}

// pausedInPass says whether the process was paused in this pass, so that what was decided before is old.
func (a *auditor) pausedInPass(now time.Duration) bool { return a.pauseAt(now) > 0 }

// pauseAt is how long the process has been paused since lastPass; 0 if it was not, or for less than audit.MinPause.
func (a *auditor) pauseAt(now time.Duration) time.Duration {
	if a == nil || a.lastPass == 0 || now-a.lastPass < audit.MinPause {
		return 0
	}
	return now - a.lastPass
}

// The methods from here on carry out what the audit wants.

// step runs the machine and carries out its actions, until no event is left: an action may end at once and bring an
// event.
func (a *auditor) step() {
	for first := true; first || len(a.events) > 0; first = false {
		events := a.events
		a.events = nil
		for _, action := range a.machine.Step(a.gateway.now(), events) {
			a.carryOut(action)
		}
	}
}

func (a *auditor) carryOut(action audit.Action) {
	switch action := action.(type) {
	case audit.AddToCounter:
		a.addToCounter(action)
	case audit.ReopenWatch:
		a.gateway.reopenWatch()
	case audit.FetchSnapshot:
		a.gateway.fetchSnapshot(func(ok bool) { a.tell(audit.SnapshotFetched{OK: ok}) })
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
		a.tell(audit.CounterResult{Call: call.Call, Status: auditCallStatus(status), Total: total})
	})
}

// auditCallStatus is how a counter call ended, in the audit's terms.
func auditCallStatus(status policy.Status) audit.CallStatus {
	switch status {
	case policy.OK:
		return audit.Added
	case policy.Rejected, policy.ConnectFailed:
		return audit.NotAdded
	}
	return audit.MaybeAdded
}

// writeLog logs a record. Steps are warnings: they are logged only if the gateway is behind, was paused, or has another
// configuration than the fleet.
func (a *auditor) writeLog(record audit.Record) {
	level := slog.LevelInfo
	if _, ok := record.(audit.StepRecord); ok {
		level = slog.LevelWarn
	}
	a.log.LogAttrs(context.Background(), level, record.Message(), record.Attrs()...)
}

// auditedServer is the auditedGateway of a Server.
type auditedServer struct{ *Server }

func (s auditedServer) setOutOfService(out bool) {
	s.suspended.Store(out)
	s.emit(policy.Suspend{On: out})
	if out {
		s.upstream.cancelAllDials()
	}
}

func (s auditedServer) reopenWatch() { s.discovery.Follow(s.discovery.Address()) }

func (s auditedServer) fetchSnapshot(ended func(ok bool)) { s.discovery.FetchAndFollow(ended) }

func (s auditedServer) addToCounter(name uint64, amount float64, ttl time.Duration,
	ended func(policy.Status, float64)) {
	s.counter.Add(name, amount, ttl, func(result counter.Result) { ended(result.Status, result.Total) })
}
