package fleetsim

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the report for people. Its headings and units are the words of the stored rows; what they mean stands
// in the lines on how each was measured.
func (r *Report) WriteTable(w io.Writer) error {
	r.writeHead(w)
	if err := r.writeRows(w); err != nil {
		return err
	}
	r.writeHow(w)
	if n := r.noisyRows(); n > 0 {
		fmt.Fprintf(w, "\nThe computer was too busy to trust %d of the times: those marked noisy.\n", n)
	}
	for _, what := range r.NotMeasured {
		fmt.Fprintln(w, "cut:", what)
	}
	return nil
}

// writeHead says on which computer the run was, and how to read the ratios.
func (r *Report) writeHead(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %d cores, %s, load average %s before and %s after, %.1f s\n", r.Seed, r.Cores, r.GoVersion,
		r.LoadBefore, r.LoadAfter, r.Seconds)
	fmt.Fprintf(w, "Ratios within a run count, not its times. Spread is the largest of the rounds over the least; over "+
		"%.2g it is noisy.\n", r.NoisyAbove)
	fmt.Fprintf(w, "/backends: over the value at %d backends (or the fewest) and the same doors. /doors: over that at the "+
		"fewest doors and the same backends.\n\n", baseBackends)
	if r.Earlier != "" {
		fmt.Fprintf(w, "/before: over the value of the earlier run (%s).\n\n", r.Earlier)
	}
}

func (r *Report) writeRows(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	heading := "measure\tdoors\tbackends\tvalue\tunit\t/backends\t/doors\tspread\trounds\t\t"
	if r.Earlier != "" {
		heading += "before\t/before\t"
	}
	fmt.Fprintln(t, heading)
	for i := range r.Rows {
		r.Rows[i].writeCells(t)
	}
	return t.Flush()
}

func (r *Row) writeCells(w io.Writer) {
	rounds, noisy, before := "", "", ""
	if r.Rounds > 0 {
		rounds = strconv.Itoa(r.Rounds)
	}
	if r.Noisy {
		noisy = "noisy"
	}
	if r.Before != 0 {
		before = fourDigits(r.Before) + "\t" + ratioText(r.Value/r.Before) + "\t"
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Name, r.Gateways, r.Backends, fourDigits(r.Value),
		r.Unit, ratioText(r.ByBackends), ratioText(r.ByGateways), ratioText(r.Spread), rounds, noisy, before)
}

// writeHow says how each measure was made, with its size where that differs by size.
func (r *Report) writeHow(w io.Writer) {
	fmt.Fprintln(w, "\nHow measured:")
	for i, row := range r.Rows {
		written := func(o Row) bool { return o.Name == row.Name && o.How == row.How }
		if slices.ContainsFunc(r.Rows[:i], written) {
			continue
		}
		size := ""
		if slices.ContainsFunc(r.Rows, func(o Row) bool { return o.Name == row.Name && o.How != row.How }) {
			size = fmt.Sprintf(", %d x %d", row.Gateways, row.Backends)
		}
		fmt.Fprintf(w, "%s%s: %s\n", row.Name, size, row.How)
	}
}

func (r *Report) noisyRows() (n int) {
	for _, row := range r.Rows {
		if row.Noisy {
			n++
		}
	}
	return n
}

// fourDigits words a value with four digits, and a large one with all that it has before the point.
func fourDigits(v float64) string {
	s := strconv.FormatFloat(v, 'g', 4, 64)
	if strings.Contains(s, "e+") {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return s
}

// ratioText words a ratio; nothing for 0, which was not measured.
func ratioText(v float64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatFloat(v, 'f', 2, 64)
}
