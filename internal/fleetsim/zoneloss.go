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
	// lossWarmUpTime is the time during which the engines learn about their backends and nothing is counted.
	lossWarmUpTime = 5 * time.Second
	// backendsLostAt is the time of the loss.
	backendsLostAt = 10 * time.Second
	// rightAfterLossTime is the duration of the phase right after the loss.
	rightAfterLossTime = 2 * time.Second
	// minLaterAfterLossTime is the minimum duration of the phase after that.
	minLaterAfterLossTime = 3 * time.Second
	// laterAfterLossRequests is the mean number of requests of a gateway in that phase, which is extended if they take
	// longer.
	laterAfterLossRequests = 100
)

// The phases of ZoneLoss.
const (
	lossWarmUp = iota
	beforeLoss
	rightAfterLoss // lasts rightAfterLossTime
	laterAfterLoss
	numLossPhases
)

// ZoneLoss removes every divisor-th backend at the same time, which is a whole zone if the divisor is the number of zones.
// The gateways are told immediately. It reports how many requests are forwarded immediately and served, before and after
// the loss. It simulates the given number of gateways, or all if that is 0.
func ZoneLoss(ctx context.Context, o Options, rep *Report, size Size, divisor, gateways int) error {
	what := fmt.Sprintf("1/%d lost", divisor)
	o.reportProgress("%s, %v", what, size)
	indexes := sampleGateways(size.Gateways, gateways)
	m := newZoneLossMeasurement(&o, size, divisor)
	err := m.fleet.simulateEach(ctx, &o, indexes, numLossPhases, func() gatewayRun {
		return &zoneLossRun{measurement: m, usedAfterLoss: map[string]bool{}, waits: newWaitHistogram()}
	})
	if err != nil {
		return recordEarlyEnd(ctx, rep, fmt.Sprintf("%s, %v", what, size), err)
	}
	m.report(sizedRows{report: rep, size: size, variant: what}, len(indexes))
	return nil
}

// zoneLossMeasurement holds the common input and the summed results of the runs of ZoneLoss.
type zoneLossMeasurement struct {
	fleet     *fleet
	size      Size
	lost      map[string]bool
	lostDelta []policy.Backend // the lost backends, as terminated

	byPhase     [numLossPhases]requestTotals
	minBackends int                     // backends that a gateway sent to after the loss: minimum over the gateways
	sumBackends float64                 // the same: sum over the gateways
	waits       *hdrhistogram.Histogram // see zoneLossRun.waits; of all gateways
}

func newZoneLossMeasurement(o *Options, size Size, divisor int) *zoneLossMeasurement {
	m := &zoneLossMeasurement{
		fleet:       o.fleet(size, EvenTraffic),
		size:        size,
		lost:        map[string]bool{},
		minBackends: math.MaxInt,
		waits:       newWaitHistogram(),
	}
	for i := divisor / 2; i < len(m.fleet.endpoints); i += divisor {
		b := m.fleet.endpoints[i]
		b.State = policy.Terminated
		m.lost[b.Name] = true
		m.lostDelta = append(m.lostDelta, b)
	}
	return m
}

// maxRecordedWait is the longest wait in the histograms. Longer waits are recorded as this.
const maxRecordedWait = time.Minute

// newWaitHistogram returns a histogram of waits in microseconds. One microsecond is added to each, as a histogram's lowest
// value is 1.
func newWaitHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRecordedWait/time.Microsecond), 3)
}

// zoneLossRun is one gateway's part in ZoneLoss.
type zoneLossRun struct {
	measurement   *zoneLossMeasurement
	usedAfterLoss map[string]bool         // backends that it sends to after the loss
	waits         *hdrhistogram.Histogram // from arrival to first attempt, of the requests of rightAfterLoss
}

func (r *zoneLossRun) attemptSent(sent sentAttempt) {
	if sent.sentAt >= backendsLostAt {
		r.usedAfterLoss[sent.backend] = true
	}
	if sent.first && sent.requestPhase == rightAfterLoss {
		r.waits.RecordValue(int64(min(sent.wait, maxRecordedWait)/time.Microsecond) + 1)
	}
}

func (r *zoneLossRun) run(ctx context.Context, s *simulation) error {
	end := backendsLostAt + rightAfterLossTime + max(minLaterAfterLossTime, s.timeForRequests(laterAfterLossRequests))
	ends := [numLossPhases]time.Duration{
		lossWarmUp:     lossWarmUpTime,
		beforeLoss:     backendsLostAt,
		rightAfterLoss: backendsLostAt + rightAfterLossTime,
		laterAfterLoss: end,
	}
	for phase, until := range ends {
		s.totals.phase = phase
		if phase == rightAfterLoss {
			s.closeBackends(r.measurement.lost)
			s.sendDelta(r.measurement.lostDelta...)
		}
		if err := s.runUntil(ctx, until); err != nil {
			return err
		}
	}
	return nil
}

func (r *zoneLossRun) collect(s *simulation) {
	m := r.measurement
	for phase := range m.byPhase {
		m.byPhase[phase].Add(s.totals.byPhase[phase])
	}
	m.minBackends = min(m.minBackends, len(r.usedAfterLoss))
	m.sumBackends += float64(len(r.usedAfterLoss))
	m.waits.Merge(r.waits)
}

func (m *zoneLossMeasurement) report(rows sizedRows, simulated int) {
	immediateShare := func(phase int) float64 {
		totals := &m.byPhase[phase]
		return totals.shareOfRequests(totals.ForwardedImmediately)
	}
	gateways := fmt.Sprintf("%d of %d gateways, even traffic", simulated, m.size.Gateways)
	rows.add("at once before", "share", immediateShare(beforeLoss), fmt.Sprintf("share of the requests in the %v before "+
		"the loss whose first attempt was sent within %v; %s", backendsLostAt-lossWarmUpTime, maxImmediateWait, gateways))
	rows.add("at once after", "share", immediateShare(rightAfterLoss), fmt.Sprintf("the same in the first %v after the "+
		"loss; 99th percentile of the wait for the first attempt: %.1f ms", rightAfterLossTime,
		float64(m.waits.ValueAtQuantile(99))/1e3))
	rows.add("at once then", "share", immediateShare(laterAfterLoss), "the same for later requests")
	rows.add("served before", "share", m.byPhase[beforeLoss].servedShare(), "of the requests before the loss; "+gateways)
	rows.add("served after", "share", m.byPhase[rightAfterLoss].servedShare(), fmt.Sprintf("of the requests in the first "+
		"%v after the loss", rightAfterLossTime))
	rows.add("least backends", "backends", float64(m.minBackends), fmt.Sprintf("that a gateway sends to after the loss, "+
		"minimum of these gateways, in at least %v and the time of %d later requests",
		rightAfterLossTime+minLaterAfterLossTime, laterAfterLossRequests))
	rows.add("mean backends", "backends", m.sumBackends/float64(simulated), "the same, mean of these gateways")
	atClosed := 0
	for phase := range m.byPhase {
		atClosed += m.byPhase[phase].FailedAtClosedBackend
	}
	rows.add("broken", "attempts", float64(atClosed), "in flight at a lost backend, or sent to one after the loss")
}
