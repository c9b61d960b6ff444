package fleetsim

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bellwood/internal/policy"
)

const (
	// countedFrom: nothing is counted before, while the engines learn their backends.
	countedFrom = 5 * time.Second
	// backendsLostAt is when the backends are lost.
	backendsLostAt = 10 * time.Second
	// firstAfterLoss is the time after the loss that is counted apart from what follows.
	firstAfterLoss = 2 * time.Second
	// minLaterAfterLoss and laterRequests: what follows lasts so long, and until a gateway has had so many requests.
	minLaterAfterLoss = 3 * time.Second
	laterRequests     = 100
)

// The phases of ZoneLoss.
const (
	lossWarmUp = iota
	lossBefore
	lossFirst // firstAfterLoss
	lossLater
	lossPhases
)

// ZoneLoss takes every parts-th backend away at one moment, of which the gateways are told at the same time. Of the fleet
// it plays so many gateways, or all where that is 0.
func ZoneLoss(ctx context.Context, o Options, rep *Report, size Size, parts, gateways int) error {
	what := fmt.Sprintf("1/%d lost", parts)
	o.sayMeasure("%s, %v", what, size)
	indexes := sampleGateways(size.Gateways, gateways)
	m := newZoneLossMeasure(&o, size, parts)
	err := m.fleet.playEach(ctx, &o, indexes, lossPhases, func() gatewayRun {
		return &zoneLossRun{measure: m, sentToAfter: map[string]bool{}, waits: newWaitHistogram()}
	})
	if err != nil {
		return noteEarlyEnd(ctx, rep, fmt.Sprintf("%s, %v", what, size), err)
	}
	m.report(sizedRows{report: rep, size: size, variant: what}, len(indexes))
	return nil
}

// zoneLossMeasure is what the runs of ZoneLoss share, and what they found together.
type zoneLossMeasure struct {
	fleet     *fleet
	size      Size
	lost      map[string]bool
	lostDelta []policy.Backend // the lost ones, as terminated

	byPhase     [lossPhases]requestTotals
	minBackends int     // that a gateway sends to after the loss
	sumBackends float64 // the same, added up
	waits       *hdrhistogram.Histogram
}

func newZoneLossMeasure(o *Options, size Size, parts int) *zoneLossMeasure {
	m := &zoneLossMeasure{
		fleet:       o.fleet(size, EvenTraffic),
		size:        size,
		lost:        map[string]bool{},
		minBackends: math.MaxInt,
		waits:       newWaitHistogram(),
	}
	for i := parts / 2; i < len(m.fleet.endpoints); i += parts {
		b := m.fleet.endpoints[i]
		b.State = policy.Terminated
		m.lost[b.Name] = true
		m.lostDelta = append(m.lostDelta, b)
	}
	return m
}

// maxRecordedWait: longer waits count as this.
const maxRecordedWait = time.Minute

// newWaitHistogram returns a histogram of waits in microseconds, each a microsecond higher, as the least value is 1.
func newWaitHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRecordedWait/time.Microsecond), 3)
}

// zoneLossRun is one gateway's part in ZoneLoss.
type zoneLossRun struct {
	measure     *zoneLossMeasure
	sentToAfter map[string]bool         // backends that it sends to after the loss
	waits       *hdrhistogram.Histogram // for the first attempt, of requests just after the loss
}

func (r *zoneLossRun) attemptSent(sent sentAttempt) {
	if sent.sentAt >= backendsLostAt {
		r.sentToAfter[sent.backend] = true
	}
	if sent.first && sent.requestPhase == lossFirst {
		r.waits.RecordValue(int64(min(sent.wait, maxRecordedWait)/time.Microsecond) + 1)
	}
}

func (r *zoneLossRun) play(ctx context.Context, s *simulation) error {
	end := backendsLostAt + firstAfterLoss + max(minLaterAfterLoss, s.timeForRequests(laterRequests))
	ends := [lossPhases]time.Duration{
		lossWarmUp: countedFrom,
		lossBefore: backendsLostAt,
		lossFirst:  backendsLostAt + firstAfterLoss,
		lossLater:  end,
	}
	for phase, until := range ends {
		s.tally.phase = phase
		if phase == lossFirst {
			s.closeBackends(r.measure.lost)
			s.sendDelta(r.measure.lostDelta...)
		}
		if err := s.runUntil(ctx, until); err != nil {
			return err
		}
	}
	return nil
}

func (r *zoneLossRun) collect(s *simulation) {
	m := r.measure
	for phase := range m.byPhase {
		m.byPhase[phase].Add(s.tally.byPhase[phase])
	}
	m.minBackends = min(m.minBackends, len(r.sentToAfter))
	m.sumBackends += float64(len(r.sentToAfter))
	m.waits.Merge(r.waits)
}

func (m *zoneLossMeasure) report(rows sizedRows, played int) {
	atOnceShare := func(phase int) float64 {
		totals := &m.byPhase[phase]
		return totals.shareOfRequests(totals.ForwardedAtOnce)
	}
	who := fmt.Sprintf("%d of %d gateways, even traffic", played, m.size.Gateways)
	rows.add("at once before", "share", atOnceShare(lossBefore), fmt.Sprintf("of the requests of the %v before, sent within "+
		"%v; %s", backendsLostAt-countedFrom, forwardedAtOnceWithin, who))
	rows.add("at once after", "share", atOnceShare(lossFirst), fmt.Sprintf("the same of the %v after; wait for the first "+
		"attempt at the 99th percentile %.1f ms", firstAfterLoss, float64(m.waits.ValueAtQuantile(99))/1e3))
	rows.add("at once then", "share", atOnceShare(lossLater), "the same of what came later")
	rows.add("served before", "share", m.byPhase[lossBefore].servedShare(), who)
	rows.add("served after", "share", m.byPhase[lossFirst].servedShare(), fmt.Sprintf("of the requests of the %v after",
		firstAfterLoss))
	rows.add("least backends", "backends", float64(m.minBackends), fmt.Sprintf("that any of these gateways sends to after it, "+
		"in %v or the time of %d requests", firstAfterLoss+minLaterAfterLoss, laterRequests))
	rows.add("mean backends", "backends", m.sumBackends/float64(played), "the same, mean of these gateways")
	atClosed := 0
	for phase := range m.byPhase {
		atClosed += m.byPhase[phase].AtClosedBackend
	}
	rows.add("broken", "attempts", float64(atClosed), "in flight at a backend that went, or sent to it later")
}
