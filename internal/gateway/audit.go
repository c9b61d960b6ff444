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

// auditedGateway is what the audit needs of the gateway round it. All methods are for the event loop.
type auditedGateway interface {
	// now is the loop's clock: Unix time that does not go back.
	now() time.Duration
	// every runs a task again and again.
	every(interval time.Duration, task func())
	// emit keeps an event for the engine's next Step, and step runs it.
	emit(policy.Event)
	step()
	// setOutOfService stops or starts the taking of requests. Attempts in flight go on.
	setOutOfService(out bool)
	// reopenWatch opens discovery's watch anew, from the version in force.
	reopenWatch()
	// fetchSnapshot gets the whole list and watches on from there. It calls ended once, when that is done.
	fetchSnapshot(ended func(ok bool))
	// addToCounter makes a counter call. It calls ended once, possibly before it returns.
	addToCounter(name uint64, amount float64, ttl time.Duration, ended func(policy.Status, float64))
}

// auditor stands between the event loop and the audit of the fleet: it collects what happens at this gateway as events
// of the audit's machine, and carries out the machine's actions. The loop owns it. All methods may be called on nil,
// which is the audit turned off; they do nothing then.
type auditor struct {
	gateway auditedGateway
	config  *Config
	log     *slog.Logger
	machine *audit.Machine
	events  []audit.Event // for the machine's next Step
	// Versions that the loop has taken to their ends. They are in force once the engine's next Step has seen them.
	taken []audit.VersionAdopted
	// When the last pass of the loop began or ended. The engine's check of its queues alone brings a pass every 20 ms, so
	// a much longer time without one is a process that stood still.
	lastPass time.Duration
}

// newAuditor returns nil where the configuration has no section audit. The error is a *SettingError.
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

// start begins the audit, with the list of the configuration. It has to come before the first pass.
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

// What happens at the gateway follows.

// configured tells of the configuration in force: the addresses of discovery and the counter, and the name that the
// operators gave it.
func (a *auditor) configured(discovery, counter, revision string) {
	if a == nil {
		return
	}
	fleetWide := fmt.Sprintf("%x %s", a.config.Audit.fleetSettings, revision)
	own := fmt.Sprintf("%s %s %s", fleetWide, discovery, counter)
	a.tell(audit.Configured{Revision: xxhash.Sum64String(fleetWide), Digest: xxhash.Sum64String(own)})
}

// adopted notes a version that the loop has taken to its end. The engine acts on it from its next Step on.
func (a *auditor) adopted(index int64, source audit.Source) {
	if a != nil {
		a.taken = append(a.taken, audit.VersionAdopted{Index: index, Source: source, ReadAt: a.gateway.now(), Changes: 1})
	}
}

// inForce says that the engine has had a Step, so it acts on what was adopted before.
func (a *auditor) inForce() {
	if a == nil {
		return
	}
	for _, version := range a.taken {
		a.tell(version)
	}
	a.taken = a.taken[:0]
}

// decided notes that a client's request is decided on.
func (a *auditor) decided(requestID []byte) {
	if a != nil {
		a.tell(audit.RequestDecided{RequestID: string(requestID)})
	}
}

// attempted notes that an attempt is sent.
func (a *auditor) attempted() {
	if a != nil {
		a.tell(audit.AttemptSent{})
	}
}

// quotaCallEnded notes how a counter call for a quota ended: where the counter does not answer, the audit spares it.
func (a *auditor) quotaCallEnded(status policy.Status) {
	if a != nil && status != policy.OK {
		a.tell(audit.QuotaCallFailed{})
	}
}

func (a *auditor) tell(event audit.Event) { a.events = append(a.events, event) }

// beginPass tells the audit, before anything else that has gathered, that the process stood still.
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

// endPass lets the audit act on what has happened in a pass. Where the process stood still within the pass, the next
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

// stoodStill says whether the process has stood still in this pass, so that what was decided before is old.
func (a *auditor) stoodStill(now time.Duration) bool { return a.pauseAt(now) > 0 }

// pauseAt is how long the process stood still; 0 if it did not.
func (a *auditor) pauseAt(now time.Duration) time.Duration {
	if a == nil || a.lastPass == 0 || now-a.lastPass < audit.MinPause {
		return 0
	}
	return now - a.lastPass
}

// What the audit wants follows.

// step runs the machine and carries out what it wants. An action may end at once and so bring the next event.
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

// auditCallStatus is how a counter call ended, as the audit takes it.
func auditCallStatus(status policy.Status) audit.CallStatus {
	switch status {
	case policy.OK:
		return audit.Added
	case policy.Rejected, policy.ConnectFailed:
		return audit.NotAdded
	}
	return audit.MaybeAdded
}

// writeLog logs a record. Steps are warnings: the gateway is behind, or another thing is wrong with it.
func (a *auditor) writeLog(record audit.Record) {
	level := slog.LevelInfo
	if _, ok := record.(audit.StepRecord); ok {
		level = slog.LevelWarn
	}
	a.log.LogAttrs(context.Background(), level, record.Message(), record.Attrs()...)
}

// auditedServer is a Server as the audit needs it.
type auditedServer struct{ *Server }

func (s auditedServer) setOutOfService(out bool) {
	s.suspended.Store(out)
	s.emit(policy.Suspend{On: out})
	if out {
		s.upstream.takeBackAllDialing()
	}
}

func (s auditedServer) reopenWatch() { s.discovery.Follow(s.discovery.Address()) }

func (s auditedServer) fetchSnapshot(ended func(ok bool)) { s.discovery.FetchAndFollow(ended) }

func (s auditedServer) addToCounter(name uint64, amount float64, ttl time.Duration,
	ended func(policy.Status, float64)) {
	s.counter.Add(name, amount, ttl, func(result counter.Result) { ended(result.Status, result.Total) })
}
