package fleetsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bellwood/internal/audit"
)

const (
	auditShare     = 0.05 // of the counter's calls
	auditRuns      = 8    // runs of a fleet, each with another door behind from another moment on
	auditAnswers   = ms   // that the counter takes
	auditLag       = 2 * time.Second
	auditMost      = 5 * time.Minute // of virtual time after the change that one door misses
	manyChanges    = 1571            // changes within a minute: a release of a seventh of 11,000 backends
	manyChangesFor = time.Minute
)

// Changes says how the list changes while a door is behind.
type Changes int

// Kinds of changes.
const (
	OneChange   Changes = iota // one, which the door misses
	ManyChanges                // 1,571 within a minute, of which it misses all
)

func (c Changes) String() string {
	return [...]string{"one change", fmt.Sprintf("%d changes a minute", manyChanges)}[c]
}

// AuditCounterCapacity is how many calls a second the counters of a fleet take: one bears 830, and 810 doors have five.
func AuditCounterCapacity(doors int) float64 {
	const one, five, many = 830, 5, 300
	if doors > many {
		return five * one
	}
	return one
}

// Audit tells how long it takes until a door whose agent has no news is called a straggler and is shut out, and how many
// calls the audits of all doors make. All doors are played, as audits alone.
func Audit(ctx context.Context, o Options, rep *Report, doors int, changes Changes) error {
	o.say("audit, %d doors, %v", doors, changes)
	var total auditSums
	for run := range auditRuns {
		s, err := newAuditSim(o.Seed+uint64(run), doors, changes)
		if err != nil {
			return err
		}
		if err := s.run(ctx, &total); err != nil {
			return cut(ctx, rep, fmt.Sprintf("audit, %d doors", doors), err)
		}
	}
	put := func(name, unit string, value float64, how string) {
		rep.Add(Row{Name: name + ", " + changes.String(), Unit: unit, Gateways: doors, Value: value, How: how})
	}
	runs := fmt.Sprintf("%d runs, each with another door behind; agents tell within %v, the counter answers in %v; window %v",
		auditRuns, auditLag, auditAnswers, total.window)
	put("straggler found, mean", "s", total.found.Seconds()/auditRuns, runs)
	put("straggler found, most", "s", total.foundMost.Seconds(), runs)
	put("straggler shut out, most", "s", total.outMost.Seconds(), fmt.Sprintf("%d of the runs came to it", total.outs))
	put("others called stragglers", "doors", float64(total.others), "of all runs")
	put("audit calls", "/s", total.calls/total.span.Seconds(), fmt.Sprintf("%.2f%% of the counter's %.0f",
		100*total.calls/total.span.Seconds()/AuditCounterCapacity(doors), AuditCounterCapacity(doors)))
	put("audit calls, most in a second", "/s", total.most, fmt.Sprintf("%.2f%% of the counter's %.0f",
		100*total.most/AuditCounterCapacity(doors), AuditCounterCapacity(doors)))
	return nil
}

// auditSums gathers what the runs found.
type auditSums struct {
	window           time.Duration
	found, foundMost time.Duration
	outMost          time.Duration
	outs, others     int
	calls, most      float64
	span             time.Duration
}

// auditSim is a fleet of audits in virtual time.
type auditSim struct {
	rng     *rand.Rand
	set     audit.Settings
	changes Changes
	now     time.Duration
	all     []*auditDoor
	numbers map[uint64]auditNumber
	calls   float64
	second  float64 // calls in the second that runs
}

type auditNumber struct {
	total float64
	until time.Duration
}

// auditDoor is one audit and what its agent has told.
type auditDoor struct {
	machine *audit.Machine
	events  []audit.Event
	lag     time.Duration
	told    int64
	noNews  bool
	out     bool
	behind  bool // called a straggler: it has reopened its watch
}

func newAuditSim(seed uint64, doors int, changes Changes) (*auditSim, error) {
	s := &auditSim{rng: rand.New(rand.NewPCG(seed, 3)), changes: changes, numbers: map[uint64]auditNumber{},
		now: time.Duration(1_800_000_000)*time.Second + time.Duration(seed)*3*time.Second,
		set: audit.Settings{Gateways: doors, CallsPerSecond: AuditCounterCapacity(doors), Share: auditShare, CounterTimeout: 50 * ms}}
	for rank := range doors {
		set := s.set
		set.GatewayIndex = rank
		machine, err := audit.New(set, s.rng.Uint64())
		if err != nil {
			return nil, err
		}
		s.all = append(s.all, &auditDoor{machine: machine, told: 1, lag: time.Duration(s.rng.Int64N(int64(auditLag))),
			events: []audit.Event{audit.Configured{}, audit.VersionAdopted{Index: 1, Changes: 1}}})
	}
	return s, nil
}

// run plays one door behind from a moment on, until it is shut out.
func (s *auditSim) run(ctx context.Context, sums *auditSums) error {
	sums.window = s.all[0].machine.Window()
	begun := s.now
	for s.now < begun+3*sums.window {
		if err := s.tick(ctx, sums, s.now+auditMost); err != nil {
			return err
		}
	}
	lost := s.all[s.rng.IntN(len(s.all))]
	lost.noNews = true
	from := s.now
	found := time.Duration(0)
	for s.now < from+auditMost && !lost.out {
		if err := s.tick(ctx, sums, from); err != nil {
			return err
		}
		if lost.behind && found == 0 {
			found = s.now - from
		}
	}
	if found == 0 {
		found = auditMost
	}
	sums.found += found
	sums.foundMost = max(sums.foundMost, found)
	if lost.out {
		sums.outs++
		sums.outMost = max(sums.outMost, s.now-from)
	}
	for _, d := range s.all {
		if d.behind && d != lost {
			sums.others++
		}
	}
	sums.calls += s.calls
	sums.span += s.now - begun
	return nil
}

// indexAfter is the list's index so long after the changes began.
func (s *auditSim) indexAfter(spent time.Duration) int64 {
	switch {
	case spent < 0:
		return 1
	case s.changes == OneChange:
		return 2
	}
	return 2 + int64(float64(manyChanges-1)*min(1, spent.Seconds()/manyChangesFor.Seconds()))
}

// tick lets all doors step once, where the list changes from a moment on.
func (s *auditSim) tick(ctx context.Context, sums *auditSums, from time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	s.now += audit.TickInterval
	if s.now%time.Second < audit.TickInterval {
		sums.most = max(sums.most, s.second)
		s.second = 0
	}
	for _, d := range s.all {
		s.news(d, s.indexAfter(s.now-from-d.lag))
		for first := true; first || len(d.events) > 0; first = false {
			events := d.events
			d.events = nil
			for _, action := range d.machine.Step(s.now, events) {
				s.act(d, action)
			}
		}
	}
	return nil
}

// news brings a door the changes that its agent has told, one by one.
func (s *auditSim) news(d *auditDoor, index int64) {
	for ; !d.noNews && d.told < index; d.told++ {
		d.events = append(d.events, audit.VersionAdopted{Index: d.told + 1, Source: audit.FromDelta, ReadAt: s.now, Changes: 1})
	}
}

func (s *auditSim) act(d *auditDoor, action audit.Action) {
	switch action := action.(type) {
	case audit.AddToCounter:
		s.calls++
		s.second++
		n := s.numbers[action.Name]
		if s.now >= n.until {
			n = auditNumber{until: s.now + min(action.TTL, time.Minute)}
		}
		n.total += action.Amount
		s.numbers[action.Name] = n
		d.events = append(d.events, audit.CounterResult{Call: action.Call, Status: audit.Added, Total: n.total})
	case audit.ReopenWatch:
		d.behind = true
	case audit.FetchSnapshot:
		d.events = append(d.events, audit.SnapshotFetched{OK: true})
	case audit.LeaveService:
		d.out = true
	case audit.ReturnToService:
		d.out = false
	}
}
