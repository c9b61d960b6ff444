package fleetsim

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"
)

// The keys of a report's JSON, the names of its rows and their units stay as stored reports have them: a gateway is a door
// there, and a tenant a customer. Report.Against finds rows by them.

// Row is one measure at one size.
type Row struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Gateways int     `json:"doors"`
	Backends int     `json:"backends"`
	Value    float64 `json:"value"`
	Spread   float64 `json:"spread,omitempty"` // of a time: the largest round over the least
	Rounds   int     `json:"rounds,omitempty"` // repetitions behind Spread
	Noisy    bool    `json:"noisy,omitempty"`  // Spread is above the stated ratio: the value is not to be trusted

	// The value over that of the size with baseBackends and the same gateways, and over that of the size with the
	// fewest gateways and the same backends; 0 where that was not measured.
	ByBackends float64 `json:"by_backends,omitempty"`
	ByGateways float64 `json:"by_doors,omitempty"`

	Before float64 `json:"before,omitempty"` // the value in an earlier report; see Report.Against
	How    string  `json:"how"`
}

// Timed says whether the value is a time or a size of memory of this package's measures, which depend on the computer; the
// others of these repeat with the seed. The rows that fleetbench mixed adds depend on the computer in other units as well
// (ms, us, MB), and only those in bytes count as timed.
func (r *Row) Timed() bool { return r.Unit == "ns" || r.Unit == "bytes" }

// baseBackends is the size that times are compared with, if a sweep holds it; else it is the smallest.
const baseBackends = 200

// Report is what a run found. It is not safe for concurrent use.
type Report struct {
	Seed        uint64   `json:"seed"`
	Cores       int      `json:"cores"`
	GoVersion   string   `json:"go"`
	LoadBefore  string   `json:"load_before"` // load averages over 1, 5 and 15 minutes
	LoadAfter   string   `json:"load_after"`
	Seconds     float64  `json:"seconds"` // that the run took
	HeapLimit   uint64   `json:"heap_limit_bytes"`
	NoisyAbove  float64  `json:"noisy_above"` // of Row.Spread
	Rows        []Row    `json:"rows"`
	NotMeasured []string `json:"cut"`               // what was not measured, and why
	Earlier     string   `json:"earlier,omitempty"` // the run whose values are in Row.Before
	startedAt   time.Time
}

// NewReport begins a run's report.
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

// Add takes rows in.
func (r *Report) Add(rows ...Row) {
	for _, row := range rows {
		row.Noisy = row.Spread > r.NoisyAbove
		r.Rows = append(r.Rows, row)
	}
}

// sizedRows adds rows of one size to a report.
type sizedRows struct {
	report  *Report
	size    Size
	variant string // ends the names; may be empty
}

func (s sizedRows) add(name, unit string, value float64, how string) {
	if s.variant != "" {
		name += ", " + s.variant
	}
	s.report.Add(Row{Name: name, Unit: unit, Gateways: s.size.Gateways, Backends: s.size.Backends, Value: value, How: how})
}

// NoteNotMeasured notes what was not measured, and why.
func (r *Report) NoteNotMeasured(format string, args ...any) {
	r.NotMeasured = append(r.NotMeasured, fmt.Sprintf(format, args...))
}

// Close ends the run: it works out the ratios.
func (r *Report) Close() {
	r.LoadAfter, r.Seconds = loadAverage(), time.Since(r.startedAt).Seconds()
	for i := range r.Rows {
		if row := &r.Rows[i]; row.Timed() {
			row.ByBackends = ratioToBase(row, r.sameGateways(row), closerToBaseBackends)
			row.ByGateways = ratioToBase(row, r.sameBackends(row), fewerGateways)
		}
	}
}

// sameGateways returns the rows of a row's measure and number of gateways, itself included.
func (r *Report) sameGateways(row *Row) (found []*Row) {
	for i := range r.Rows {
		if other := &r.Rows[i]; other.Name == row.Name && other.Gateways == row.Gateways {
			found = append(found, other)
		}
	}
	return found
}

// sameBackends returns the rows of a row's measure and number of backends, itself included.
func (r *Report) sameBackends(row *Row) (found []*Row) {
	for i := range r.Rows {
		if other := &r.Rows[i]; other.Name == row.Name && other.Backends == row.Backends {
			found = append(found, other)
		}
	}
	return found
}

// ratioToBase is a row's value over that of the base of its sweep; 0 if there is no sweep, or nothing to compare with.
// isBetterBase compares two rows of a sweep.
func ratioToBase(row *Row, sweep []*Row, isBetterBase func(other, base *Row) bool) float64 {
	var base *Row
	for _, other := range sweep {
		if other.Value != 0 && (base == nil || isBetterBase(other, base)) {
			base = other
		}
	}
	if base == nil || len(sweep) < 2 {
		return 0
	}
	return row.Value / base.Value
}

func closerToBaseBackends(other, base *Row) bool {
	return other.Backends == baseBackends || base.Backends != baseBackends && other.Backends < base.Backends
}

func fewerGateways(other, base *Row) bool { return other.Gateways < base.Gateways }

// ReadReport reads what WriteFile has written.
func ReadReport(path string) (*Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Report
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("%s is no report: %w", path, err)
	}
	return &r, nil
}

// Against takes the values of an earlier report beside those of this one. The times of two runs compare only as far as the
// computer was as busy in both.
func (r *Report) Against(earlier *Report) {
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

// WriteFile writes the report as JSON into a file, whole or not at all.
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
