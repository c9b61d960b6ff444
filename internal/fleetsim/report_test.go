package fleetsim

import (
	"context"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// sweep measures the time and the memory of gateways of three sizes.
func sweep(t *testing.T, o Options) *Report {
	t.Helper()
	ctx, rep := context.Background(), NewReport(o)
	for _, size := range []Size{small, {30, 200}, {30, 14}} {
		if err := StepTimes(ctx, o, rep, size); err != nil {
			t.Fatal(err)
		}
		if err := Memory(ctx, o, rep, size); err != nil {
			t.Fatal(err)
		}
	}
	rep.Close()
	return rep
}

// A sweep has every row at every size, with ratios to its base, and its report is read back from JSON as written.
func TestSweepReport(t *testing.T) {
	o := quickOptions(1)
	rep := sweep(t, o)
	t.Run("rows", func(t *testing.T) { checkSweepRows(t, o, rep) })

	path := filepath.Join(t.TempDir(), "r.json")
	if err := rep.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	stored, err := ReadReport(path)
	if err != nil || !slices.Equal(stored.Rows, rep.Rows) || stored.Seed != o.Seed {
		t.Fatalf("%v: %+v", err, stored)
	}
	t.Run("against an earlier one", func(t *testing.T) { checkAgainst(t, rep, stored) })

	if _, err := ReadReport("report_test.go"); err == nil {
		t.Error("a file that is no report was taken")
	}
	var table strings.Builder
	if err := rep.WriteTable(&table); err != nil || strings.Count(table.String(), "\n") < len(rep.Rows) {
		t.Errorf("%v: %s", err, &table)
	}
}

// checkSweepRows checks that each measure has a row at each of the three sizes, and what the rows hold.
func checkSweepRows(t *testing.T, o Options, rep *Report) {
	t.Helper()
	missing := map[string]int{"list first": 3, "list again": 3, "request": 3, "decision": 3, "decision p99": 3,
		"outcome": 3, "check": 3, "drain used": 3, "drain other": 2, "new": 3, "restart used": 3, "restart other": 2,
		"heap listed": 3, "heap loaded": 3} // at 3 x 14 a gateway uses all
	for _, r := range rep.Rows {
		missing[r.Name]--
		if r.Value <= 0 || !r.Timed() {
			t.Errorf("no time: %+v", r)
		}
		if r.Unit == "ns" && (r.Spread < 1 || r.Rounds == 0) {
			t.Errorf("rounds: %+v", r)
		}
		if r.Noisy != (r.Spread > o.NoisyAbove) {
			t.Errorf("noisy or not: %+v", r)
		}
		if r.Gateways == 30 && r.Backends == 200 && r.ByBackends != 1 || r.Gateways == 3 && r.ByBackends != 0 {
			t.Errorf("ratio to the base: %+v", r)
		}
	}
	for name, n := range missing {
		if n != 0 {
			t.Errorf("%s: %d rows missing", name, n)
		}
	}
}

// checkAgainst checks that a later report shows the values of an earlier one, which held the rows of rep.
func checkAgainst(t *testing.T, rep, earlier *Report) {
	t.Helper()
	later := Report{Rows: slices.Clone(rep.Rows)}
	later.Rows[0].Value *= 3
	later.Rows = append(later.Rows, Row{Name: "none before", Unit: "x"})
	later.Against(earlier)
	if later.Rows[0].Before*3 != later.Rows[0].Value || later.Rows[len(rep.Rows)].Before != 0 {
		t.Errorf("against what was written: %+v", later.Rows[0])
	}
	var both strings.Builder
	if later.WriteTable(&both); !strings.Contains(both.String(), "  3.00") {
		t.Errorf("no ratio to the earlier run in %s", &both)
	}
}
