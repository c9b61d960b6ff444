package fleettest

import (
	"fmt"
	"time"

	"bellwood/internal/emulator"
)

// reportedPercentiles are the percentiles that are reported, in one row each, of times measured over many requests or Steps.
var reportedPercentiles = []float64{50, 99}

// runMetrics holds the values of all metrics of the run at one time.
type runMetrics struct {
	readAt                        time.Time
	gateways                      []gatewayMetrics // of the real gateways that became ready
	counterCalls, counterRejected int64            // of all gateways
	arrivals                      int64            // requests that reached any gateway, real or simulated
	connectionsOpened             int64            // accepted by the backends
	simulatedSteps                int64
}

// gatewayMetrics holds the values of one real gateway's metrics at one time.
type gatewayMetrics struct {
	agentReceived, agentSent     int64 // bytes
	counterReceived, counterSent int64 // bytes
	requestsEnded                int64 // requests that ended while loadMetrics.measuring was set
	usage                        processUsage
}

// readMetrics reads all metrics of the run.
func (r *fleetRun) readMetrics() runMetrics {
	now := runMetrics{readAt: time.Now(), arrivals: r.load.arrivals.Load(),
		connectionsOpened: r.emulated.backends.ConnectionsAccepted()}
	for _, gateway := range r.ready {
		now.gateways = append(now.gateways, gateway.readMetrics())
	}
	now.counterCalls, now.counterRejected = r.emulated.counterValues.Calls()
	now.simulatedSteps = r.simulated.steps()
	return now
}

// readMetrics reads the metrics of one gateway.
func (g *measuredGateway) readMetrics() gatewayMetrics {
	now := gatewayMetrics{
		agentReceived:   g.agent.Meter.Received.Load(),
		agentSent:       g.agent.Meter.Sent.Load(),
		counterReceived: g.counter.Meter.Received.Load(),
		counterSent:     g.counter.Meter.Sent.Load(),
	}
	now.usage, _ = g.process.usage() // fails if the process has ended, which reportExitedGateways reports
	now.requestsEnded = g.requestsEnded.Load()
	return now
}

// connectionSamples accumulates samples of the number of connections that the backends hold.
type connectionSamples struct {
	samples int64
	sum     int64 // of the connections of all backends, over all samples
	max     int64 // of the connections of one dedicated backend in one sample
}

// sample adds one sample.
func (c *connectionSamples) sample(backends *emulator.Backends) {
	dedicated, all := backends.OpenConnections()
	c.samples++
	c.sum += all
	for _, open := range dedicated {
		c.max = max(c.max, open)
	}
}

// mean returns the mean number of connections of one backend, given the number of backends.
func (c *connectionSamples) mean(backends int) float64 {
	return float64(c.sum) / float64(max(1, c.samples)) / float64(backends)
}

// loadMeasurement is the difference between the metrics at the start and at the end of the load.
type loadMeasurement struct {
	before, after runMetrics
	seconds       float64
	noise         string // see reporter.takeNoiseSuffix
}

// rate returns by how much a metric grew per second.
func (m *loadMeasurement) rate(before, after int64) float64 { return float64(after-before) / m.seconds }

// rates returns the rate of one metric for each real gateway.
func (m *loadMeasurement) rates(metric func(*gatewayMetrics) int64) (rates []float64) {
	for i := range m.after.gateways {
		rates = append(rates, m.rate(metric(&m.before.gateways[i]), metric(&m.after.gateways[i])))
	}
	return rates
}

// reportLoad adds the rows of the load that was measured between two readings of the metrics.
func (r *fleetRun) reportLoad(before, after runMetrics, connections *connectionSamples) {
	m := &loadMeasurement{before: before, after: after, seconds: after.readAt.Sub(before.readAt).Seconds(),
		noise: r.reporter.takeNoiseSuffix()}
	r.reporter.report.Seconds = m.seconds
	if len(r.ready) > 0 {
		r.reportTraffic(m)
		for _, percent := range reportedPercentiles {
			r.reportAddedLatency(percent, m.noise)
		}
		r.reportProcesses(m)
		r.reportConnections(m, connections)
	}
	r.reportCounterCalls(m)
	if len(r.simulated.gateways) > 0 {
		r.reportSimulated(m)
	}
	r.reportExitedGateways()
}

// reportTraffic adds the rows of the traffic between real gateways and their discovery agents and counters.
func (r *fleetRun) reportTraffic(m *loadMeasurement) {
	n := len(r.ready)
	r.reporter.addRow("whole list", "bytes", 1, []float64{float64(len(r.emulated.catalog.SnapshotJSON()))},
		"body of GET /catalog/members")
	for _, row := range []struct {
		name, how string
		metric    func(*gatewayMetrics) int64
	}{
		{"from discovery", "TCP payload sent by each gateway's agent; no backend drains during the measurement, " +
			"unless a number of requests is measured",
			func(g *gatewayMetrics) int64 { return g.agentSent }},
		{"to discovery", "TCP payload received by each gateway's agent",
			func(g *gatewayMetrics) int64 { return g.agentReceived }},
		{"to the counter", "TCP payload per gateway", func(g *gatewayMetrics) int64 { return g.counterReceived }},
		{"from the counter", "TCP payload per gateway", func(g *gatewayMetrics) int64 { return g.counterSent }},
	} {
		r.reporter.addRow(row.name, "bytes/s", n, m.rates(row.metric), row.how)
	}
}

// reportAddedLatency adds two rows with a percentile of the latency added to a request. The first is the latency that the
// real gateways add, over all their requests together, with the range of the gateways' values. The second is the same for
// requests that were sent to a backend without a gateway.
func (r *fleetRun) reportAddedLatency(percent float64, noise string) {
	name := fmt.Sprintf("added by the door, p%.0f", percent)
	if value, count := r.load.addedLatency.percentile(percent); count == 0 {
		r.reporter.addRow(name, "us", len(r.ready), nil, "no request was served")
	} else {
		var perGateway []float64
		for _, gateway := range r.ready {
			if value, count := gateway.addedLatency.percentile(percent); count > 0 {
				perGateway = append(perGateway, value)
			}
		}
		r.reporter.addPooledRow(Row{Name: name, Unit: "us", Gateways: len(r.ready), Value: value, How: fmt.Sprintf(
			"client's latency less the backend's service time, %d served requests of all real gateways%s", count, noise)},
			perGateway)
	}
	if value, count := r.load.directLatency.percentile(percent); count > 0 {
		r.reporter.addRow(fmt.Sprintf("added without a door, p%.0f", percent), "us", 0, []float64{value}, fmt.Sprintf(
			"the same for %d requests sent directly to a backend: the overhead of sockets and of this process%s", count,
			noise))
	}
}

// reportProcesses adds the rows of the resource usage of the real gateways' processes.
func (r *fleetRun) reportProcesses(m *loadMeasurement) {
	var perRequest, perSecond, resident, peak, descriptors []float64
	for i := range r.ready {
		before, after := &m.before.gateways[i], &m.after.gateways[i]
		cpu := after.usage.cpu - before.usage.cpu
		perSecond = append(perSecond, milliseconds(cpu)/m.seconds)
		if ended := float64(after.requestsEnded - before.requestsEnded); ended > 0 {
			perRequest = append(perRequest, float64(cpu.Microseconds())/ended)
		}
		resident = append(resident, megabytes(after.usage.residentBytes))
		peak = append(peak, megabytes(after.usage.peakResident))
		descriptors = append(descriptors, float64(after.usage.openDescriptors))
	}
	n := len(r.ready)
	ended := m.rates(func(g *gatewayMetrics) int64 { return g.requestsEnded })
	r.reporter.addRow("requests ended", "1/s", n, ended, "per gateway")
	r.reporter.addRow("processor time for a request", "us", n, perRequest,
		"utime and stime in /proc/PID/stat, including work not caused by requests"+m.noise)
	r.reporter.addRow("processor time", "ms/s", n, perSecond, "utime and stime in /proc/PID/stat, per second"+m.noise)
	r.reporter.addRow("resident memory", "MB", n, resident, "VmRSS at the end of the load")
	r.reporter.addRow("resident memory, most", "MB", n, peak, "VmHWM, the peak since the process's start")
	r.reporter.addRow("open descriptors", "", n, descriptors, "/proc/PID/fd at the end of the load")
}

// reportConnections adds the rows of the connections from real gateways to backends.
func (r *fleetRun) reportConnections(m *loadMeasurement, connections *connectionSamples) {
	n := len(r.ready)
	r.reporter.addRow("connections held by a backend, mean", "", n, []float64{connections.mean(r.options.Fleet.Backends)},
		fmt.Sprintf("from real gateways only, %d samples", connections.samples))
	r.reporter.addRow("connections held by a backend, most", "", n, []float64{float64(connections.max)},
		fmt.Sprintf("from real gateways only, maximum over the %d backends with their own address",
			dedicatedBackends(r.options)))
	r.reporter.addRow("connections opened to backends", "1/s", n,
		[]float64{m.rate(m.before.connectionsOpened, m.after.connectionsOpened)}, "by all real gateways together")
}

// reportCounterCalls adds the rows of the counter calls of all gateways.
func (r *fleetRun) reportCounterCalls(m *loadMeasurement) {
	calls, requests := float64(m.after.counterCalls-m.before.counterCalls), float64(m.after.arrivals-m.before.arrivals)
	r.reporter.addRow("counter calls", "1/s", r.runningGateways(), []float64{calls / m.seconds},
		fmt.Sprintf("of all gateways; %d rejected", m.after.counterRejected-m.before.counterRejected))
	if requests > 0 {
		r.reporter.addRow("counter calls for a request", "", r.runningGateways(), []float64{calls / requests},
			fmt.Sprintf("%.0f requests reached the gateways", requests))
	}
}

// reportSimulated adds the rows that show whether the simulated gateways keep up with real time.
func (r *fleetRun) reportSimulated(m *loadMeasurement) {
	n := len(r.simulated.gateways)
	for _, percent := range reportedPercentiles {
		value, steps := r.simulated.stepTime.percentile(percent)
		r.reporter.addRow(fmt.Sprintf("Step of a hollow door, p%.0f", percent), "us", n, []float64{value}, fmt.Sprintf(
			"%d Steps, each with all events since the last one, of at most %d gateways concurrently%s", steps,
			maxConcurrentSteps, m.noise))
	}
	late, _ := r.simulated.timerLateness.percentile(99)
	r.reporter.addRow("hollow doors' lateness, p99", "us", n, []float64{late},
		"lateness of the timers of their event loops"+m.noise)
	r.reporter.addRow("hollow doors' steps", "1/s", n, []float64{m.rate(m.before.simulatedSteps, m.after.simulatedSteps)},
		"of all simulated gateways together")
}

// reportExitedGateways adds a failed row for each real gateway whose process has ended; none should end under load.
func (r *fleetRun) reportExitedGateways() {
	for _, gateway := range r.ready {
		if gateway.process.ended() {
			r.reporter.addFailure("a door ended under load", "", 1,
				fmt.Errorf("%s: %w", gateway.name(), gateway.process.endError()))
		}
	}
}
