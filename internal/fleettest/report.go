package fleettest

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"bellwood/internal/emulator"
)

// failedPrefix begins the text of a row that has no value.
const failedPrefix = "failed: "

// Row is one figure of a report. fleetbench mixed puts the rows, without Spread, into its own report, which is stored and
// compared with others by the rows' names; in these a gateway is a door, and a simulated one a hollow door.
type Row struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Gateways int     `json:"doors"` // over which it was taken
	Backends int     `json:"backends"`
	Value    float64 `json:"value"`
	Spread   float64 `json:"spread"` // largest less smallest, of the gateways or of the repeats
	// How it was measured. It begins with "failed:" where there is no value, and ends with "noisy" where that is not to
	// be trusted.
	How string `json:"how"`
}

// Setup is what a report says of the options.
type Setup struct {
	RealGateways       int     `json:"real_doors"`
	SimulatedGateways  int     `json:"hollow_doors"`
	ConfiguredGateways int     `json:"doors"` // how many all are told there are
	Backends           int     `json:"backends"`
	Tenants            int     `json:"customers"`
	RequestsPerSecond  float64 `json:"rate"` // at each gateway
	Seed               uint64  `json:"seed"`
}

// Totals are sums over a whole run.
type Totals struct {
	Real             emulator.Sums `json:"real"`   // requests of the real gateways
	Simulated        emulator.Sums `json:"hollow"` // ... and of the simulated ones
	Direct           emulator.Sums `json:"direct"` // ... and of those that went from clients to a backend with no gateway between
	AttemptsStarted  int           `json:"begun"`  // by the backends' own count
	AttemptsRejected int           `json:"turned_away"`
	RequestsSkipped  int64         `json:"skipped"` // by simulated gateways, which came to them too late
}

// Report is what a run measured. fleetbench mixed takes the rows alone: Setup, Totals, Seconds, Noisy and WriteJSON are read
// by tests alone. These check in Totals what must not happen: Phantom, Doubled, RejectedButStarted, Wrong and DroppedEvents
// are 0.
type Report struct {
	Setup
	Seconds float64 `json:"seconds"` // how long was measured
	Noisy   bool    `json:"noisy"`   // the computer was too busy for some of the figures; see takeNoise
	Totals
	Rows []Row `json:"rows"`

	processIDs []int // of the processes started
}

// Failed returns the rows that have no value, since something failed.
func (r *Report) Failed() (rows []Row) {
	for _, row := range r.Rows {
		if strings.HasPrefix(row.How, failedPrefix) {
			rows = append(rows, row)
		}
	}
	return rows
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// reporter fills in the report and tells how the run proceeds. It belongs to the goroutine of the run, but for
// processStarted.
type reporter struct {
	report   *Report
	progress io.Writer
	begun    time.Time
	delay    schedulingDelay

	processMu sync.Mutex // guards report.processIDs: gateways start side by side
}

func newReporter(o Options, begun time.Time) *reporter {
	return &reporter{progress: o.Progress, begun: begun, delay: schedulingDelay{late: newHistogram()},
		report: &Report{Setup: Setup{RealGateways: o.Fleet.RealGateways, SimulatedGateways: o.Fleet.SimulatedGateways,
			ConfiguredGateways: o.Fleet.ConfiguredGateways, Backends: o.Fleet.Backends, Tenants: o.Fleet.Tenants,
			RequestsPerSecond: o.Load.RequestsPerSecond, Seed: o.Load.Seed}}}
}

// phase tells what begins now.
func (r *reporter) phase(format string, args ...any) {
	fmt.Fprintf(r.progress, "%6.1f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// processStarted notes a process. It may be called from any goroutine.
func (r *reporter) processStarted(pid int) {
	r.processMu.Lock()
	defer r.processMu.Unlock()
	r.report.processIDs = append(r.report.processIDs, pid)
}

// row adds a figure with the mean of some values and their spread.
func (r *reporter) row(name, unit string, gateways int, values []float64, how string) {
	row := Row{Name: name, Unit: unit, Gateways: gateways, Backends: r.report.Backends, How: how}
	if len(values) == 0 {
		row.How = failedPrefix + "nothing to measure: " + how
	} else {
		row.Value = mean(values)
		row.Spread = slices.Max(values) - slices.Min(values)
	}
	r.report.Rows = append(r.report.Rows, row)
}

// rowOfAll adds a figure that was taken over all gateways together, with the spread of the gateways' own values.
func (r *reporter) rowOfAll(row Row, own []float64) {
	row.Backends = r.report.Backends
	if len(own) > 0 {
		row.Spread = slices.Max(own) - slices.Min(own)
	}
	r.report.Rows = append(r.report.Rows, row)
}

// failure adds a row for what has no value.
func (r *reporter) failure(name, unit string, gateways int, err error) {
	text := strings.Join(strings.Fields(err.Error()), " ")
	r.report.Rows = append(r.report.Rows, Row{Name: name, Unit: unit, Gateways: gateways, Backends: r.report.Backends,
		How: failedPrefix + text})
	r.phase("%s failed: %s", name, text)
}

// takeNoise returns what to add to a row's text, and marks the report as noisy, where this process was woken too late to
// trust times since takeNoise or resetNoise was called last; it forgets these delays.
func (r *reporter) takeNoise() string {
	p99 := r.delay.takeP99()
	if p99 <= noisySchedulingDelay {
		return ""
	}
	r.report.Noisy = true
	return fmt.Sprintf("; own scheduling delay p99 %.1f ms: noisy", milliseconds(p99))
}

// resetNoise forgets the delays so far, before what is measured next. They mark the report as noisy all the same.
func (r *reporter) resetNoise() { r.takeNoise() }

func mean(values []float64) (mean float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	return mean
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
