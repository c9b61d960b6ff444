package fleetsim

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Row is one measure at one size.
type Row struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Gateways int     `json:"doors"`
	Backends int     `json:"backends"`
	Value    float64 `json:"value"`
	Spread   float64 `json:"spread,omitempty"` // of a time: the largest round over the least
	Rounds   int     `json:"rounds,omitempty"` // repetitions behind Spread
	Noisy    bool    `json:"noisy,omitempty"`  // Spread is above the stated ratio: don't trust the value
	// The value over that of the size with BaseBackends and the same doors, and over that of the size with the
	// fewest doors and the same backends; 0 where that was not measured.
	ByBackends float64 `json:"by_backends,omitempty"`
	ByGateways float64 `json:"by_doors,omitempty"`
	Before     float64 `json:"before,omitempty"` // the value in an earlier report; see Report.Against
	How        string  `json:"how"`
}

// Timed says whether the value depends on the machine; the others repeat with the seed.
func (r *Row) Timed() bool { return r.Unit == "ns" || r.Unit == "bytes" }

// BaseBackends is the size that times are compared with, if a sweep holds it; else it is the smallest.
const BaseBackends = 200

// Report is what a run found.
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
	began       time.Time
}

// NewReport begins a run's report.
func NewReport(o Options) *Report {
	return &Report{Seed: o.Seed, Cores: runtime.NumCPU(), GoVersion: runtime.Version(), LoadBefore: loadAverage(),
		HeapLimit: o.HeapLimit, NoisyAbove: o.NoisyAbove, NotMeasured: []string{}, began: time.Now()}
}

// Add takes rows in.
func (r *Report) Add(rows ...Row) {
	for _, row := range rows {
		row.Noisy = row.Spread > r.NoisyAbove
		r.Rows = append(r.Rows, row)
	}
}

// NoteNotMeasured notes what was not measured.
func (r *Report) NoteNotMeasured(format string, args ...any) {
	r.NotMeasured = append(r.NotMeasured, fmt.Sprintf(format, args...))
}

// Close ends the run: it works out the ratios.
func (r *Report) Close() {
	r.LoadAfter, r.Seconds = loadAverage(), time.Since(r.began).Seconds()
	for i := range r.Rows {
		row := &r.Rows[i]
		if !row.Timed() {
			continue
		}
		var backends, doors *Row
		for j := range r.Rows {
			o := &r.Rows[j]
			if o.Name != row.Name || o.Value == 0 {
				continue
			}
			if o.Gateways == row.Gateways && (backends == nil || o.Backends == BaseBackends ||
				backends.Backends != BaseBackends && o.Backends < backends.Backends) {
				backends = o
			}
			if o.Backends == row.Backends && (doors == nil || o.Gateways < doors.Gateways) {
				doors = o
			}
		}
		if backends != nil && r.swept(row, func(o *Row) bool { return o.Gateways == row.Gateways }) {
			row.ByBackends = row.Value / backends.Value
		}
		if doors != nil && r.swept(row, func(o *Row) bool { return o.Backends == row.Backends }) {
			row.ByGateways = row.Value / doors.Value
		}
	}
}

// ReadReport reads what JSON has written.
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

// Against takes the values of an earlier report beside those of this one. The times of two runs compare only as far
// as the machine was as busy in both.
func (r *Report) Against(old *Report) {
	for i := range r.Rows {
		row := &r.Rows[i]
		for _, o := range old.Rows {
			if o.Name == row.Name && o.Gateways == row.Gateways && o.Backends == row.Backends {
				row.Before = o.Value
			}
		}
	}
	r.Earlier = fmt.Sprintf("seed %d, %d cores, load average %s before and %s after", old.Seed, old.Cores, old.LoadBefore,
		old.LoadAfter)
}

// swept says whether there are two sizes or more for a row of those that the test holds for.
func (r *Report) swept(row *Row, same func(*Row) bool) bool {
	n := 0
	for i := range r.Rows {
		if o := &r.Rows[i]; o.Name == row.Name && same(o) {
			n++
		}
	}
	return n > 1
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %d cores, %s, load average %s before and %s after, %.1f s\n", r.Seed, r.Cores, r.GoVersion,
		r.LoadBefore, r.LoadAfter, r.Seconds)
	fmt.Fprintf(w, "Ratios within a run count, not its times. Spread is the largest of the rounds over the least; over "+
		"%.2g it is noisy.\n", r.NoisyAbove)
	fmt.Fprintf(w, "/backends: over the value at %d backends (or the fewest) and the same doors. /doors: over that at the "+
		"fewest doors and the same backends.\n\n", BaseBackends)
	earlier := ""
	if r.Earlier != "" {
		fmt.Fprintf(w, "/before: over the value of the earlier run (%s).\n\n", r.Earlier)
		earlier = "before\t/before\t"
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "measure\tdoors\tbackends\tvalue\tunit\t/backends\t/doors\tspread\trounds\t\t"+earlier)
	for _, row := range r.Rows {
		noisy := ""
		if row.Noisy {
			noisy = "noisy"
		}
		was := ""
		if row.Before != 0 {
			was = short(row.Before) + "\t" + ratio(row.Value/row.Before) + "\t"
		}
		rounds := ""
		if row.Rounds > 0 {
			rounds = strconv.Itoa(row.Rounds)
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", row.Name, row.Gateways, row.Backends, short(row.Value),
			row.Unit, ratio(row.ByBackends), ratio(row.ByGateways), ratio(row.Spread), rounds, noisy, was)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "\nHow measured:")
	for i, row := range r.Rows {
		if slices.ContainsFunc(r.Rows[:i], func(o Row) bool { return o.Name == row.Name && o.How == row.How }) {
			continue
		}
		size := ""
		if slices.ContainsFunc(r.Rows, func(o Row) bool { return o.Name == row.Name && o.How != row.How }) {
			size = fmt.Sprintf(", %d x %d", row.Gateways, row.Backends)
		}
		fmt.Fprintf(w, "%s%s: %s\n", row.Name, size, row.How)
	}
	if n := r.noisy(); n > 0 {
		fmt.Fprintf(w, "\nThe machine was too busy to trust %d of the times: those marked noisy.\n", n)
	}
	for _, c := range r.NotMeasured {
		fmt.Fprintln(w, "cut:", c)
	}
	return nil
}

func (r *Report) noisy() (n int) {
	for _, row := range r.Rows {
		if row.Noisy {
			n++
		}
	}
	return n
}

// WriteFile writes the report into a file, whole or not at all.
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

// short words a value with four digits.
func short(v float64) string {
	s := strconv.FormatFloat(v, 'g', 4, 64)
	if strings.Contains(s, "e+") {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return s
}

func ratio(v float64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatFloat(v, 'f', 2, 64)
}
