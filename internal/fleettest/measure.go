package fleettest

import (
	"fmt"
	"time"

	"bellwood/internal/emulator"
)

// reportedPercentiles: of each time that is measured at many requests or Steps, these percentiles have a row.
var reportedPercentiles = []float64{50, 99}

// readings are what all counts of the run were at some time.
type runMetrics struct {
	readAt                        time.Time
	gateways                      []gatewayMetrics // of the real gateways that became ready
	counterCalls, counterRejected int64            // of all gateways
	arrivals                      int64            // requests at all gateways
	connectionsOpened             int64            // at the backends
	simulatedSteps                int64
}

// gatewayMetrics are what the counts of one real gateway were.
type gatewayMetrics struct {
	agentReceived, agentSent     int64 // bytes
	counterReceived, counterSent int64 // bytes
	requestsEnded                int64 // while loadMetrics.measuring was set
	usage                        processUsage
}

// read reads all counts.
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

// read reads the counts of one gateway.
func (g *measuredGateway) readMetrics() gatewayMetrics {
	now := gatewayMetrics{
		agentReceived:   g.agent.Meter.Received.Load(),
		agentSent:       g.agent.Meter.Sent.Load(),
		counterReceived: g.counter.Meter.Received.Load(),
		counterSent:     g.counter.Meter.Sent.Load(),
	}
	now.usage, _ = g.process.usage() // a gateway that has ended is found out by reportExitedGateways
	now.requestsEnded = g.requestsEnded.Load()
	return now
}

// connectionSamples gather how many connections backends hold.
type connectionSamples struct {
	samples int64
	sum     int64 // over the samples, of all backends
	max     int64 // of one backend
}

func (c *connectionSamples) sample(backends *emulator.Backends) {
	dedicated, all := backends.OpenConnections()
	c.samples++
	c.sum += all
	for _, open := range dedicated {
		c.max = max(c.max, open)
	}
}

func (c *connectionSamples) mean(backends int) float64 {
	return float64(c.sum) / float64(max(1, c.samples)) / float64(backends)
}

// loadMeasurement is what lies between two readings.
type loadMeasurement struct {
	before, after runMetrics
	seconds       float64
	noise         string // see reporter.takeNoiseSuffix
}

// rate is how fast a count grew, in units of its own a second.
func (m *loadMeasurement) rate(before, after int64) float64 { return float64(after-before) / m.seconds }

// rates are those of one count of each real gateway.
func (m *loadMeasurement) rates(metric func(*gatewayMetrics) int64) (rates []float64) {
	for i := range m.after.gateways {
		rates = append(rates, m.rate(metric(&m.before.gateways[i]), metric(&m.after.gateways[i])))
	}
	return rates
}

// reportLoad makes rows of what lies between two readings.
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

// reportTraffic makes rows of what goes between real gateways and discovery and the counter.
func (r *fleetRun) reportTraffic(m *loadMeasurement) {
	n := len(r.ready)
	r.reporter.addRow("whole list", "bytes", 1, []float64{float64(len(r.emulated.catalog.SnapshotJSON()))},
		"body of GET /catalog/members")
	for _, row := range []struct {
		name, how string
		metric    func(*gatewayMetrics) int64
	}{
		{"from discovery", "TCP payload at each gateway's agent; no backend drains meanwhile, " +
			"unless a number of requests is measured",
			func(g *gatewayMetrics) int64 { return g.agentSent }},
		{"to discovery", "TCP payload at each gateway's agent", func(g *gatewayMetrics) int64 { return g.agentReceived }},
		{"to the counter", "TCP payload by gateway", func(g *gatewayMetrics) int64 { return g.counterReceived }},
		{"from the counter", "TCP payload by gateway", func(g *gatewayMetrics) int64 { return g.counterSent }},
	} {
		r.reporter.addRow(row.name, "bytes/s", n, m.rates(row.metric), row.how)
	}
}

// reportAddedLatency makes rows of a percentile of the time that the real gateways add to a request: of all their requests
// together, with the spread of the gateways' own; and of the same without a gateway.
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
			"client's time less the backend's, %d served requests of all real gateways%s", count, noise)}, perGateway)
	}
	if value, count := r.load.directLatency.percentile(percent); count > 0 {
		r.reporter.addRow(fmt.Sprintf("added without a door, p%.0f", percent), "us", 0, []float64{value}, fmt.Sprintf(
			"the same for %d requests from the clients to a backend: what sockets and this process add%s", count, noise))
	}
}

// reportProcesses makes rows of what the real gateways' processes use.
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
	r.reporter.addRow("requests ended", "1/s", n, ended, "by gateway")
	r.reporter.addRow("processor time for a request", "us", n, perRequest,
		"utime and stime in /proc/PID/stat, all that the gateway did"+m.noise)
	r.reporter.addRow("processor time", "ms/s", n, perSecond, "the same, whatever the requests"+m.noise)
	r.reporter.addRow("resident memory", "MB", n, resident, "VmRSS at the end of the load")
	r.reporter.addRow("resident memory, most", "MB", n, peak, "VmHWM since the start")
	r.reporter.addRow("open descriptors", "", n, descriptors, "/proc/PID/fd at the end of the load")
}

// reportConnections makes rows of the connections from real gateways to backends.
func (r *fleetRun) reportConnections(m *loadMeasurement, connections *connectionSamples) {
	n := len(r.ready)
	r.reporter.addRow("connections held by a backend, mean", "", n, []float64{connections.mean(r.options.Fleet.Backends)},
		fmt.Sprintf("of the real gateways alone, %d samples", connections.samples))
	r.reporter.addRow("connections held by a backend, most", "", n, []float64{float64(connections.max)},
		fmt.Sprintf("of the real gateways alone, over the %d backends with an address of their own",
			dedicatedBackends(r.options)))
	r.reporter.addRow("connections opened to backends", "1/s", n,
		[]float64{m.rate(m.before.connectionsOpened, m.after.connectionsOpened)}, "by all real gateways")
}

// reportCounterCalls makes rows of the calls that all gateways made.
func (r *fleetRun) reportCounterCalls(m *loadMeasurement) {
	calls, requests := float64(m.after.counterCalls-m.before.counterCalls), float64(m.after.arrivals-m.before.arrivals)
	r.reporter.addRow("counter calls", "1/s", r.runningGateways(), []float64{calls / m.seconds},
		fmt.Sprintf("of all gateways; %d rejected", m.after.counterRejected-m.before.counterRejected))
	if requests > 0 {
		r.reporter.addRow("counter calls for a request", "", r.runningGateways(), []float64{calls / requests},
			fmt.Sprintf("%.0f requests reached all gateways", requests))
	}
}

// reportSimulated makes rows of how the simulated gateways keep up.
func (r *fleetRun) reportSimulated(m *loadMeasurement) {
	n := len(r.simulated.gateways)
	for _, percent := range reportedPercentiles {
		value, steps := r.simulated.stepTime.percentile(percent)
		r.reporter.addRow(fmt.Sprintf("Step of a hollow door, p%.0f", percent), "us", n, []float64{value}, fmt.Sprintf(
			"%d steps with all that came since the one before, %d gateways at a time%s", steps, maxConcurrentSteps, m.noise))
	}
	late, _ := r.simulated.timerLateness.percentile(99)
	r.reporter.addRow("hollow doors' lateness, p99", "us", n, []float64{late}, "of what was due in their loops"+m.noise)
	r.reporter.addRow("hollow doors' steps", "1/s", n, []float64{m.rate(m.before.simulatedSteps, m.after.simulatedSteps)},
		"all together")
}

// reportExitedGateways makes a row of each real gateway that has ended, which none should.
func (r *fleetRun) reportExitedGateways() {
	for _, gateway := range r.ready {
		if gateway.process.ended() {
			r.reporter.addFailure("a door ended under load", "", 1,
				fmt.Errorf("%s: %w", gateway.name(), gateway.process.endError()))
		}
	}
}
