package fleettest

import (
	"fmt"
	"time"

	"bellwood/internal/emulator"
)

// reportedPercentiles: of each time that is measured at many requests or Steps, these percentiles have a row.
var reportedPercentiles = []float64{50, 99}

// readings are what all counts of the run were at some time.
type readings struct {
	readAt                        time.Time
	gateways                      []gatewayReadings // of the real gateways that became ready
	counterCalls, counterRejected int64             // of all gateways
	arrivals                      int64             // requests at all gateways
	connectionsOpened             int64             // at the backends
	simulatedSteps                int64
}

// gatewayReadings are what the counts of one real gateway were.
type gatewayReadings struct {
	agentReceived, agentSent     int64 // bytes
	counterReceived, counterSent int64 // bytes
	requestsEnded                int64 // while loadMeter.measuring was set
	usage                        processUsage
}

// read reads all counts.
func (r *fleetRun) read() readings {
	now := readings{readAt: time.Now(), arrivals: r.load.arrivals.Load(),
		connectionsOpened: r.emulated.backends.ConnectionsAccepted()}
	for _, gateway := range r.ready {
		now.gateways = append(now.gateways, gateway.read())
	}
	now.counterCalls, now.counterRejected = r.emulated.numbers.Calls()
	now.simulatedSteps = r.simulated.steps()
	return now
}

// read reads the counts of one gateway.
func (g *measuredGateway) read() gatewayReadings {
	now := gatewayReadings{
		agentReceived:   g.agent.Meter.Received.Load(),
		agentSent:       g.agent.Meter.Sent.Load(),
		counterReceived: g.counter.Meter.Received.Load(),
		counterSent:     g.counter.Meter.Sent.Load(),
	}
	now.usage, _ = g.process.usage() // a gateway that has ended is found out by reportEnded
	now.requestsEnded = g.requestsEnded.Load()
	return now
}

// connectionSamples gather how many connections backends hold.
type connectionSamples struct {
	samples int64
	sum     int64 // over the samples, of all backends
	max     int64 // of one backend
}

func (c *connectionSamples) take(backends *emulator.Backends) {
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
	before, after readings
	seconds       float64
	noise         string // see reporter.takeNoise
}

// rate is how fast a count grew, in units of its own a second.
func (m *loadMeasurement) rate(before, after int64) float64 { return float64(after-before) / m.seconds }

// rates are those of one count of each real gateway.
func (m *loadMeasurement) rates(reading func(*gatewayReadings) int64) (rates []float64) {
	for i := range m.after.gateways {
		rates = append(rates, m.rate(reading(&m.before.gateways[i]), reading(&m.after.gateways[i])))
	}
	return rates
}

// reportLoad makes rows of what lies between two readings.
func (r *fleetRun) reportLoad(before, after readings, connections *connectionSamples) {
	m := &loadMeasurement{before: before, after: after, seconds: after.readAt.Sub(before.readAt).Seconds(),
		noise: r.reporter.takeNoise()}
	r.reporter.report.Seconds = m.seconds
	if len(r.ready) > 0 {
		r.reportTraffic(m)
		for _, percent := range reportedPercentiles {
			r.reportAddedTime(percent, m.noise)
		}
		r.reportProcesses(m)
		r.reportConnections(m, connections)
	}
	r.reportCounterCalls(m)
	if len(r.simulated.gateways) > 0 {
		r.reportSimulated(m)
	}
	r.reportEnded()
}

// reportTraffic makes rows of what goes between real gateways and discovery and the counter.
func (r *fleetRun) reportTraffic(m *loadMeasurement) {
	n := len(r.ready)
	r.reporter.row("whole list", "bytes", 1, []float64{float64(len(r.emulated.catalog.SnapshotJSON()))},
		"body of GET /catalog/members")
	for _, row := range []struct {
		name, how string
		reading   func(*gatewayReadings) int64
	}{
		{"from discovery", "TCP payload at each gateway's agent; no backend drains meanwhile, " +
			"unless a number of requests is measured",
			func(g *gatewayReadings) int64 { return g.agentSent }},
		{"to discovery", "TCP payload at each gateway's agent", func(g *gatewayReadings) int64 { return g.agentReceived }},
		{"to the counter", "TCP payload by gateway", func(g *gatewayReadings) int64 { return g.counterReceived }},
		{"from the counter", "TCP payload by gateway", func(g *gatewayReadings) int64 { return g.counterSent }},
	} {
		r.reporter.row(row.name, "bytes/s", n, m.rates(row.reading), row.how)
	}
}

// reportAddedTime makes rows of a percentile of the time that the real gateways add to a request: of all their requests
// together, with the spread of the gateways' own; and of the same without a gateway.
func (r *fleetRun) reportAddedTime(percent float64, noise string) {
	name := fmt.Sprintf("added by the door, p%.0f", percent)
	if value, count := r.load.added.percentile(percent); count == 0 {
		r.reporter.row(name, "us", len(r.ready), nil, "no request was served")
	} else {
		var own []float64
		for _, gateway := range r.ready {
			if value, count := gateway.added.percentile(percent); count > 0 {
				own = append(own, value)
			}
		}
		r.reporter.rowOfAll(Row{Name: name, Unit: "us", Gateways: len(r.ready), Value: value, How: fmt.Sprintf(
			"client's time less the backend's, %d served requests of all real gateways%s", count, noise)}, own)
	}
	if value, count := r.load.direct.percentile(percent); count > 0 {
		r.reporter.row(fmt.Sprintf("added without a door, p%.0f", percent), "us", 0, []float64{value}, fmt.Sprintf(
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
	ended := m.rates(func(g *gatewayReadings) int64 { return g.requestsEnded })
	r.reporter.row("requests ended", "1/s", n, ended, "by gateway")
	r.reporter.row("processor time for a request", "us", n, perRequest,
		"utime and stime in /proc/PID/stat, all that the gateway did"+m.noise)
	r.reporter.row("processor time", "ms/s", n, perSecond, "the same, whatever the requests"+m.noise)
	r.reporter.row("resident memory", "MB", n, resident, "VmRSS at the end of the load")
	r.reporter.row("resident memory, most", "MB", n, peak, "VmHWM since the start")
	r.reporter.row("open descriptors", "", n, descriptors, "/proc/PID/fd at the end of the load")
}

// reportConnections makes rows of the connections from real gateways to backends.
func (r *fleetRun) reportConnections(m *loadMeasurement, connections *connectionSamples) {
	n := len(r.ready)
	r.reporter.row("connections held by a backend, mean", "", n, []float64{connections.mean(r.options.Fleet.Backends)},
		fmt.Sprintf("of the real gateways alone, %d samples", connections.samples))
	r.reporter.row("connections held by a backend, most", "", n, []float64{float64(connections.max)},
		fmt.Sprintf("of the real gateways alone, over the %d backends with an address of their own",
			dedicatedBackends(r.options)))
	r.reporter.row("connections opened to backends", "1/s", n,
		[]float64{m.rate(m.before.connectionsOpened, m.after.connectionsOpened)}, "by all real gateways")
}

// reportCounterCalls makes rows of the calls that all gateways made.
func (r *fleetRun) reportCounterCalls(m *loadMeasurement) {
	calls, requests := float64(m.after.counterCalls-m.before.counterCalls), float64(m.after.arrivals-m.before.arrivals)
	r.reporter.row("counter calls", "1/s", r.running(), []float64{calls / m.seconds},
		fmt.Sprintf("of all gateways; %d rejected", m.after.counterRejected-m.before.counterRejected))
	if requests > 0 {
		r.reporter.row("counter calls for a request", "", r.running(), []float64{calls / requests},
			fmt.Sprintf("%.0f requests reached all gateways", requests))
	}
}

// reportSimulated makes rows of how the simulated gateways keep up.
func (r *fleetRun) reportSimulated(m *loadMeasurement) {
	n := len(r.simulated.gateways)
	for _, percent := range reportedPercentiles {
		value, steps := r.simulated.stepTime.percentile(percent)
		r.reporter.row(fmt.Sprintf("Step of a hollow door, p%.0f", percent), "us", n, []float64{value}, fmt.Sprintf(
			"%d steps with all that came since the one before, %d gateways at a time%s", steps, simulatedCores, m.noise))
	}
	late, _ := r.simulated.lateness.percentile(99)
	r.reporter.row("hollow doors' lateness, p99", "us", n, []float64{late}, "of what was due in their loops"+m.noise)
	r.reporter.row("hollow doors' steps", "1/s", n, []float64{m.rate(m.before.simulatedSteps, m.after.simulatedSteps)},
		"all together")
}

// reportEnded makes a row of each real gateway that has ended, which none should.
func (r *fleetRun) reportEnded() {
	for _, gateway := range r.ready {
		if gateway.process.ended() {
			r.reporter.failure("a door ended under load", "", 1,
				fmt.Errorf("%s: %w", gateway.name(), gateway.process.endError()))
		}
	}
}
