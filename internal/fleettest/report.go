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

// failedPrefix starts the How text of a row that has no value.
const failedPrefix = "failed: "

// Row is one measurement of a report. fleetbench mixed copies the rows, without Range, into its own report, which is stored
// and compared with other reports by row name. The names call a gateway a door and a simulated gateway a hollow door.
type Row struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Gateways int     `json:"doors"` // number of gateways measured
	Backends int     `json:"backends"`
	Value    float64 `json:"value"`
	Range    float64 `json:"spread"` // maximum less minimum, over the gateways or the repetitions
	// How says how the value was measured. It starts with "failed:" if there is no value, and ends with "noisy" if the
	// value is not reliable.
	How string `json:"how"`
}

// Setup is the part of the options that a report contains.
type Setup struct {
	RealGateways       int     `json:"real_doors"`
	SimulatedGateways  int     `json:"hollow_doors"`
	ConfiguredGateways int     `json:"doors"` // the fleet size in every gateway's settings
	Backends           int     `json:"backends"`
	Tenants            int     `json:"customers"`
	RequestsPerSecond  float64 `json:"rate"` // at each gateway
	Seed               uint64  `json:"seed"`
}

// Totals holds the sums of a whole run, by the kind of gateway that the requests went through.
type Totals struct {
	Real             emulator.Sums `json:"real"`   // requests through real gateways
	Simulated        emulator.Sums `json:"hollow"` // requests through simulated gateways
	Direct           emulator.Sums `json:"direct"` // requests that clients sent to a backend without a gateway
	AttemptsStarted  int           `json:"begun"`  // as the backends counted them
	AttemptsRejected int           `json:"turned_away"`
	RequestsSkipped  int64         `json:"skipped"` // by simulated gateways that were too far behind schedule
}

// Report is the result of a run. fleetbench mixed uses only the rows; only tests use Setup, Totals, Seconds, Noisy and
// WriteJSON. The tests check that the counts of faults in Totals (Phantom, Doubled, RejectedButStarted, Wrong and
// DroppedEvents) are 0.
type Report struct {
	Setup
	Seconds float64 `json:"seconds"` // length of the measurement
	Noisy   bool    `json:"noisy"`   // the machine was too busy for some of the values; see takeNoiseSuffix
	Totals
	Rows []Row `json:"rows"`

	processIDs []int // of all processes that the run started
}

// Failed returns the rows that have no value because their measurement failed.
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

// reporter fills in the report and writes progress lines. Only the goroutine of the run may use it, except for
// processStarted.
type reporter struct {
	report          *Report
	progress        io.Writer
	startedAt       time.Time
	schedulingDelay schedulingDelayMeter

	processMu sync.Mutex // guards report.processIDs; gateways are started concurrently
}

func newReporter(o Options, startedAt time.Time) *reporter {
	return &reporter{progress: o.Progress, startedAt: startedAt,
		schedulingDelay: schedulingDelayMeter{delays: newHistogram()},
		report: &Report{Setup: Setup{RealGateways: o.Fleet.RealGateways, SimulatedGateways: o.Fleet.SimulatedGateways,
			ConfiguredGateways: o.Fleet.ConfiguredGateways, Backends: o.Fleet.Backends, Tenants: o.Fleet.Tenants,
			RequestsPerSecond: o.Load.RequestsPerSecond, Seed: o.Load.Seed}}}
}

// logPhase writes a progress line with the time since the run began.
func (r *reporter) logPhase(format string, args ...any) {
	fmt.Fprintf(r.progress, "%6.1f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// processStarted records a process id. It is safe for concurrent use.
func (r *reporter) processStarted(pid int) {
	r.processMu.Lock()
	defer r.processMu.Unlock()
	r.report.processIDs = append(r.report.processIDs, pid)
}

// addRow adds a row with the mean and the range of values. Without values, the row is a failed one.
func (r *reporter) addRow(name, unit string, gateways int, values []float64, how string) {
	row := Row{Name: name, Unit: unit, Gateways: gateways, Backends: r.report.Backends, How: how}
	if len(values) == 0 {
		row.How = failedPrefix + "nothing to measure: " + how
	} else {
		row.Value = mean(values)
		row.Range = slices.Max(values) - slices.Min(values)
	}
	r.report.Rows = append(r.report.Rows, row)
}

// addPooledRow adds a row whose value covers all gateways together, with the range of the gateways' values.
func (r *reporter) addPooledRow(row Row, perGateway []float64) {
	row.Backends = r.report.Backends
	if len(perGateway) > 0 {
		row.Range = slices.Max(perGateway) - slices.Min(perGateway)
	}
	r.report.Rows = append(r.report.Rows, row)
}

// addFailure adds a row without a value, with the error on one line as its text.
func (r *reporter) addFailure(name, unit string, gateways int, err error) {
	text := strings.Join(strings.Fields(err.Error()), " ")
	r.report.Rows = append(r.report.Rows, Row{Name: name, Unit: unit, Gateways: gateways, Backends: r.report.Backends,
		How: failedPrefix + text})
	r.logPhase("%s failed: %s", name, text)
}

// takeNoiseSuffix returns the suffix for the How texts of rows with times, and resets the scheduling delays. The suffix is
// empty unless this process's goroutines were woken so late since the last reset that times are unreliable; in that case
// the report is marked as noisy too.
func (r *reporter) takeNoiseSuffix() string {
	p99 := r.schedulingDelay.takeP99()
	if p99 <= noisySchedulingDelay {
		return ""
	}
	r.report.Noisy = true
	return fmt.Sprintf("; scheduling delay of this process p99 %.1f ms: noisy", milliseconds(p99))
}

// resetSchedulingDelays discards the scheduling delays before a new measurement. If they were too long, they still mark the
// report as noisy.
func (r *reporter) resetSchedulingDelays() { r.takeNoiseSuffix() }

func mean(values []float64) (mean float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	return mean
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
