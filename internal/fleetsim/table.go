package fleetsim

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the report as a readable table. Headings and units use the terms of stored reports. The lines below the
// table explain how each row was measured.
func (r *Report) WriteTable(w io.Writer) error {
	r.writeHeader(w)
	if err := r.writeRows(w); err != nil {
		return err
	}
	r.writeMethods(w)
	if n := r.noisyRows(); n > 0 {
		fmt.Fprintf(w, "\nThe machine was too busy: %d of the times are unreliable and marked noisy.\n", n)
	}
	for _, what := range r.NotMeasured {
		fmt.Fprintln(w, "cut:", what)
	}
	return nil
}

// writeHeader describes the run and explains the ratios.
func (r *Report) writeHeader(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %d cores, %s, load average %s before and %s after, %.1f s\n", r.Seed, r.Cores, r.GoVersion,
		r.LoadBefore, r.LoadAfter, r.Seconds)
	fmt.Fprintf(w, "Times depend on the machine; compare only ratios within a run. Spread is the largest round divided by the "+
		"smallest; a value above %.2g is noisy.\n", r.NoisyAbove)
	fmt.Fprintf(w, "/backends: value divided by that at %d backends (or the fewest) and the same doors. /doors: value divided "+
		"by that at the fewest doors and the same backends.\n\n", baselineBackends)
	if r.Earlier != "" {
		fmt.Fprintf(w, "/before: value divided by that of the earlier run (%s).\n\n", r.Earlier)
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
		before = formatValue(r.Before) + "\t" + formatRatio(r.Value/r.Before) + "\t"
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Name, r.Gateways, r.Backends, formatValue(r.Value),
		r.Unit, formatRatio(r.ByBackends), formatRatio(r.ByGateways), formatRatio(r.Spread), rounds, noisy, before)
}

// writeMethods explains how each row was measured, for each size separately where the explanations differ.
func (r *Report) writeMethods(w io.Writer) {
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

// formatValue formats a value with four significant digits, or with all of its integer digits if there are more.
func formatValue(v float64) string {
	s := strconv.FormatFloat(v, 'g', 4, 64)
	if strings.Contains(s, "e+") {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return s
}

// formatRatio formats a ratio, and 0, which means not measured, as an empty string.
func formatRatio(v float64) string {
	if v == 0 {
		return ""
	}
	return strconv.FormatFloat(v, 'f', 2, 64)
}
