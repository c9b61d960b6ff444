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

// auditor feeds the audit of the fleet with what happens at this door, and carries out what it wants. The loop owns it.
// All methods do nothing where the audit is off (nil).
type auditor struct {
	f       *Server
	machine *audit.Machine
	events  []audit.Event
	read    []audit.VersionAdopted // versions that are in force after the next Step of the Door
	passAt  time.Duration          // when the last pass began or ended; the module's check alone brings one every 20 ms
}

func newAuditor(f *Server) (*auditor, error) {
	if f.cfg.Audit == nil {
		return nil, nil
	}
	machine, err := audit.New(f.cfg.auditSettings(), f.cfg.Seed)
	if err != nil {
		return nil, err
	}
	return &auditor{f: f, machine: machine}, nil
}

// start begins the audit, with the known list.
func (a *auditor) start() {
	if a == nil {
		return
	}
	a.passAt = a.f.now()
	a.configured(a.f.cfg.Discovery, a.f.cfg.Counter, a.f.cfg.Audit.Revision)
	if known := &a.f.cfg.Known; known.Index > 0 {
		a.adopted(known.Index, audit.FromConfiguration)
	}
	a.f.log.Info("the audit is on", "window", a.machine.Window())
	a.f.every(audit.TickInterval, a.step)
}

// configured tells of the configuration in force.
func (a *auditor) configured(discovery, counter, revision string) {
	if a == nil {
		return
	}
	fleet := fmt.Sprintf("%x %s", a.f.cfg.Audit.settings, revision)
	a.tell(audit.Configured{Revision: xxhash.Sum64String(fleet),
		Digest: xxhash.Sum64String(fmt.Sprintf("%s %s %s", fleet, discovery, counter))})
}

// adopted notes a version that has been taken to its end.
func (a *auditor) adopted(index int64, source audit.Source) {
	if a != nil {
		a.read = append(a.read, audit.VersionAdopted{Index: index, Source: source, ReadAt: a.f.now(), Changes: 1})
	}
}

// inForce says that the Door acts on what was adopted.
func (a *auditor) inForce() {
	if a == nil {
		return
	}
	for _, version := range a.read {
		a.tell(version)
	}
	a.read = a.read[:0]
}

func (a *auditor) decided(r *openRequest) {
	if a != nil {
		a.tell(audit.RequestDecided{RequestID: string(r.received.args[2])})
	}
}

func (a *auditor) attempted() {
	if a != nil {
		a.tell(audit.AttemptSent{})
	}
}

// quotaCallEnded tells of calls that the counter did not answer, so that the audit spares it.
func (a *auditor) quotaCallEnded(status policy.Status) {
	if a != nil && status != policy.OK {
		a.tell(audit.QuotaCallFailed{})
	}
}

func (a *auditor) tell(event audit.Event) { a.events = append(a.events, event) }

// beginPass tells the audit, before anything else, that the process stood still.
func (a *auditor) beginPass() {
	if a == nil {
		return
	}
	now := a.f.now()
	stood := a.stoodStillFor(now)
	if a.passAt = now; stood > 0 {
		a.tell(audit.ResumedAfterPause{Pause: stood})
		a.step()
	}
}

// endPass lets the audit act on what has happened in a pass. One that took so long is found by the next.
func (a *auditor) endPass() {
	if a == nil {
		return
	}
	if now := a.f.now(); now-a.passAt < audit.MinPause {
		a.passAt = now
	}
	if len(a.events) > 0 {
		a.step()
		a.f.step() // what it told the Door
	}
}

// stoodStill says whether the process has stood still in this pass, so that what was decided is old.
func (a *auditor) stoodStill(now time.Duration) bool { return a.stoodStillFor(now) > 0 }

func (a *auditor) stoodStillFor(now time.Duration) time.Duration {
	if a == nil || a.passAt == 0 || now-a.passAt < audit.MinPause {
		return 0
	}
	return now - a.passAt
}

// step runs the audit and carries out what it wants.
func (a *auditor) step() {
	for first := true; first || len(a.events) > 0; first = false {
		events := a.events
		a.events = nil
		for _, action := range a.machine.Step(a.f.now(), events) {
			a.act(action)
		}
	}
}

func (a *auditor) act(action audit.Action) {
	switch action := action.(type) {
	case audit.AddToCounter:
		a.count(action)
	case audit.ReopenWatch:
		a.f.discovery.Follow(a.f.discovery.Address())
	case audit.FetchSnapshot:
		a.f.discovery.FetchAndFollow(func(ok bool) { a.tell(audit.SnapshotFetched{OK: ok}) })
	case audit.LeaveService:
		a.f.suspended.Store(true)
		a.f.emit(policy.Suspend{On: true})
		a.f.upstream.takeBackAllDialing()
	case audit.ReturnToService:
		a.f.suspended.Store(false)
		a.f.emit(policy.Suspend{On: false})
	case audit.Log:
		level := slog.LevelInfo
		if _, ok := action.Record.(audit.StepRecord); ok {
			level = slog.LevelWarn
		}
		a.f.log.LogAttrs(context.Background(), level, action.Record.Message(), action.Record.Attrs()...)
	}
}

// count makes a call for the audit.
func (a *auditor) count(c audit.AddToCounter) {
	a.f.counter.Add(c.Name, c.Amount, c.TTL, func(result counter.Result) {
		ended := audit.MaybeAdded
		switch result.Status {
		case policy.OK:
			ended = audit.Added
		case policy.Rejected, policy.ConnectFailed:
			ended = audit.NotAdded
		}
		a.tell(audit.CounterResult{Call: c.Call, Status: ended, Total: result.Total})
	})
}
