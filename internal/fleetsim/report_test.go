package fleetsim

import (
	"context"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// runSweep measures the processor time and the memory of a gateway at three sizes.
func runSweep(t *testing.T, o Options) *Report {
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
	rep.Finalize()
	return rep
}

// A sweep has all rows at each size, with ratios to the baseline, and its report is read back from JSON as it was written.
func TestSweepReportHasAllRowsAndSurvivesJSON(t *testing.T) {
	o := fastOptions(1)
	rep := runSweep(t, o)
	t.Run("rows", func(t *testing.T) { checkSweepRows(t, o, rep) })

	path := filepath.Join(t.TempDir(), "r.json")
	if err := rep.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	stored, err := ReadReport(path)
	if err != nil || !slices.Equal(stored.Rows, rep.Rows) || stored.Seed != o.Seed {
		t.Fatalf("the stored report differs: error %v, got %+v", err, stored)
	}
	t.Run("compared with an earlier report", func(t *testing.T) { checkComparison(t, rep, stored) })

	if _, err := ReadReport("report_test.go"); err == nil {
		t.Error("a file that is not a report was accepted")
	}
	var table strings.Builder
	if err := rep.WriteTable(&table); err != nil || strings.Count(table.String(), "\n") < len(rep.Rows) {
		t.Errorf("the table is incomplete: error %v, got %s", err, &table)
	}
}

// checkSweepRows checks that each row name occurs at each of the three sizes, and checks the rows' contents.
func checkSweepRows(t *testing.T, o Options, rep *Report) {
	t.Helper()
	missing := map[string]int{"list first": 3, "list again": 3, "request": 3, "decision": 3, "decision p99": 3,
		"outcome": 3, "check": 3, "drain used": 3, "drain other": 2, "new": 3, "restart used": 3, "restart other": 2,
		"heap listed": 3, "heap loaded": 3} // "other" rows are missing at 3 x 14, where a gateway uses all backends
	for _, r := range rep.Rows {
		missing[r.Name]--
		if r.Value <= 0 || !r.Timed() {
			t.Errorf("value not above 0, or not timed: %+v", r)
		}
		if r.Unit == "ns" && (r.Spread < 1 || r.Rounds == 0) {
			t.Errorf("invalid spread or rounds: %+v", r)
		}
		if r.Noisy != (r.Spread > o.NoisyAbove) {
			t.Errorf("Noisy does not match Spread: %+v", r)
		}
		if r.Gateways == 30 && r.Backends == 200 && r.ByBackends != 1 || r.Gateways == 3 && r.ByBackends != 0 {
			t.Errorf("wrong ratio to the baseline: %+v", r)
		}
	}
	for name, n := range missing {
		if n != 0 {
			t.Errorf("%s: %d rows missing (below 0: too many rows)", name, n)
		}
	}
}

// checkComparison checks that CompareWith sets the values of an earlier report, which has the rows of rep.
func checkComparison(t *testing.T, rep, earlier *Report) {
	t.Helper()
	later := Report{Rows: slices.Clone(rep.Rows)}
	later.Rows[0].Value *= 3
	later.Rows = append(later.Rows, Row{Name: "none before", Unit: "x"})
	later.CompareWith(earlier)
	if later.Rows[0].Before*3 != later.Rows[0].Value || later.Rows[len(rep.Rows)].Before != 0 {
		t.Errorf("Before is not a third of the value in %+v, or not 0 in a row that the earlier report lacks: %+v",
			later.Rows[0], later.Rows[len(rep.Rows)])
	}
	var both strings.Builder
	if later.WriteTable(&both); !strings.Contains(both.String(), "  3.00") {
		t.Errorf("the ratio to the earlier run is missing in %s", &both)
	}
}
