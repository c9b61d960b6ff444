package fleetsim

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"
)

// The JSON keys, row names and units must remain as in stored reports, where a gateway is called a door and a tenant a
// customer. Report.CompareWith matches rows by name and size.

// Row is the result of one measurement at one size.
type Row struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Gateways int     `json:"doors"`
	Backends int     `json:"backends"`
	Value    float64 `json:"value"`
	Spread   float64 `json:"spread,omitempty"` // of a timing: the largest round divided by the smallest
	Rounds   int     `json:"rounds,omitempty"` // number of rounds
	Noisy    bool    `json:"noisy,omitempty"`  // Spread exceeds Report.NoisyAbove, so the value is unreliable

	// ByBackends is the value divided by that at baselineBackends with the same gateways. ByGateways is the value divided
	// by that at the fewest gateways with the same backends. Each is 0 if there is nothing to compare with.
	ByBackends float64 `json:"by_backends,omitempty"`
	ByGateways float64 `json:"by_doors,omitempty"`

	Before float64 `json:"before,omitempty"` // the value in an earlier report; see Report.CompareWith
	How    string  `json:"how"`              // explains how the value was measured
}

// Timed reports whether the value is a processor time or a memory size measured by this package, which depends on the
// machine. All other values of this package are determined by the seed. The rows of fleetbench mixed depend on the machine
// in other units as well (ms, us, MB), but only those in bytes count as timed.
func (r *Row) Timed() bool { return r.Unit == "ns" || r.Unit == "bytes" }

// baselineBackends is the number of backends that Row.ByBackends relates to. If a sweep doesn't include it, the smallest
// number of the sweep takes its place.
const baselineBackends = 200

// Report holds the results of a run. It is not safe for concurrent use.
type Report struct {
	Seed        uint64   `json:"seed"`
	Cores       int      `json:"cores"`
	GoVersion   string   `json:"go"`
	LoadBefore  string   `json:"load_before"` // load averages over 1, 5 and 15 minutes
	LoadAfter   string   `json:"load_after"`
	Seconds     float64  `json:"seconds"` // duration of the run
	HeapLimit   uint64   `json:"heap_limit_bytes"`
	NoisyAbove  float64  `json:"noisy_above"` // limit of Row.Spread
	Rows        []Row    `json:"rows"`
	NotMeasured []string `json:"cut"`               // measurements that were skipped or ended early, with the reasons
	Earlier     string   `json:"earlier,omitempty"` // describes the run whose values are in Row.Before
	startedAt   time.Time
}

// NewReport returns an empty report for a run that starts now.
func NewReport(o Options) *Report {
	return &Report{
		Seed:        o.Seed,
		Cores:       runtime.NumCPU(),
		GoVersion:   runtime.Version(),
		LoadBefore:  loadAverage(),
		HeapLimit:   o.HeapLimit,
		NoisyAbove:  o.NoisyAbove,
		NotMeasured: []string{},
		startedAt:   time.Now(),
	}
}

// Add appends rows and marks those whose Spread exceeds NoisyAbove as noisy.
func (r *Report) Add(rows ...Row) {
	for _, row := range rows {
		row.Noisy = row.Spread > r.NoisyAbove
		r.Rows = append(r.Rows, row)
	}
}

// sizedRows adds rows for one size to a report.
type sizedRows struct {
	report  *Report
	size    Size
	variant string // suffix of the row names; may be empty
}

func (s sizedRows) add(name, unit string, value float64, how string) {
	if s.variant != "" {
		name += ", " + s.variant
	}
	s.report.Add(Row{Name: name, Unit: unit, Gateways: s.size.Gateways, Backends: s.size.Backends, Value: value, How: how})
}

// AddNotMeasured adds a measurement that was skipped or ended early, with the reason.
func (r *Report) AddNotMeasured(format string, args ...any) {
	r.NotMeasured = append(r.NotMeasured, fmt.Sprintf(format, args...))
}

// Finalize completes the report at the end of the run: it sets LoadAfter and Seconds and computes ByBackends and ByGateways.
func (r *Report) Finalize() {
	r.LoadAfter, r.Seconds = loadAverage(), time.Since(r.startedAt).Seconds()
	for i := range r.Rows {
		if row := &r.Rows[i]; row.Timed() {
			row.ByBackends = ratioToBaseline(row, r.sameGateways(row), preferBaselineBackends)
			row.ByGateways = ratioToBaseline(row, r.sameBackends(row), preferFewerGateways)
		}
	}
}

// sameGateways returns all rows with the name and the number of gateways of the given row, including itself.
func (r *Report) sameGateways(row *Row) (found []*Row) {
	for i := range r.Rows {
		if other := &r.Rows[i]; other.Name == row.Name && other.Gateways == row.Gateways {
			found = append(found, other)
		}
	}
	return found
}

// sameBackends returns all rows with the name and the number of backends of the given row, including itself.
func (r *Report) sameBackends(row *Row) (found []*Row) {
	for i := range r.Rows {
		if other := &r.Rows[i]; other.Name == row.Name && other.Backends == row.Backends {
			found = append(found, other)
		}
	}
	return found
}

// ratioToBaseline returns a row's value divided by that of the sweep's baseline: the row with a value other than 0 that
// isPreferred prefers to all others. It returns 0 if the sweep has fewer than two rows or no value other than 0.
func ratioToBaseline(row *Row, sweep []*Row, isPreferred func(other, baseline *Row) bool) float64 {
	var baseline *Row
	for _, other := range sweep {
		if other.Value != 0 && (baseline == nil || isPreferred(other, baseline)) {
			baseline = other
		}
	}
	if baseline == nil || len(sweep) < 2 {
		return 0
	}
	return row.Value / baseline.Value
}

// preferBaselineBackends reports whether other is the better baseline for Row.ByBackends: a row with baselineBackends, or
// else the one with fewer backends.
func preferBaselineBackends(other, baseline *Row) bool {
	return other.Backends == baselineBackends || baseline.Backends != baselineBackends && other.Backends < baseline.Backends
}

// preferFewerGateways reports whether other is the better baseline for Row.ByGateways.
func preferFewerGateways(other, baseline *Row) bool { return other.Gateways < baseline.Gateways }

// ReadReport reads a report from a file written by WriteFile.
func ReadReport(path string) (*Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Report
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("%s is not a report: %w", path, err)
	}
	return &r, nil
}

// CompareWith sets Row.Before to the values of the same rows in an earlier report. Times of two runs are comparable only if
// the machine had a similar load in both.
func (r *Report) CompareWith(earlier *Report) {
	for i := range r.Rows {
		row := &r.Rows[i]
		for _, before := range earlier.Rows {
			if before.Name == row.Name && before.Gateways == row.Gateways && before.Backends == row.Backends {
				row.Before = before.Value
			}
		}
	}
	r.Earlier = fmt.Sprintf("seed %d, %d cores, load average %s before and %s after", earlier.Seed, earlier.Cores,
		earlier.LoadBefore, earlier.LoadAfter)
}

// WriteFile writes the report as JSON to a file. The file is replaced atomically, by way of the path with the suffix
// ".part".
func (r *Report) WriteFile(path string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".part", append(b, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".part", path)
}
