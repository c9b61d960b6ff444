package hardlimit_test

import (
	"math"
	"testing"
	"time"

	"bellwood/internal/policy/hardlimit"
)

const ms = time.Millisecond

// thin is a limit of which an even share among 13 gateways holds two requests.
func thin() hardlimit.Terms {
	return hardlimit.Terms{Limit: hardlimit.Limit{Rate: 11, Burst: 27}, LargestCost: 1, SharedCounter: true}
}

func wide() hardlimit.Terms {
	return hardlimit.Terms{Limit: hardlimit.Limit{Rate: 20, Burst: 40}, LargestCost: 4, SharedCounter: true}
}

func TestWithoutALimitThereIsNoEnd(t *testing.T) {
	s := hardlimit.New(hardlimit.Terms{LargestCost: 1, SharedCounter: true}, 2, 0)
	if s.Limited() || s.HasCommonPart() || !math.IsInf(s.Available(time.Second), 1) || !s.HoldsUnreserved(time.Second, 1e9) {
		t.Errorf("shared %v, available %v", s.HasCommonPart(), s.Available(time.Second))
	}
	if short := s.Shortfall(time.Second, 1e9); short > 0 {
		t.Errorf("short of %v units", short)
	}
}

func TestAFreshShareIsEmptyAndFillsToItsPart(t *testing.T) {
	s := hardlimit.New(wide(), 2, time.Second)
	for _, c := range []struct {
		now  time.Duration
		want float64
	}{{time.Second, 0}, {1500 * ms, 5}, {2 * time.Second, 10}, {time.Minute, 20}} {
		if got := s.Available(c.now); got != c.want {
			t.Errorf("at %v the share holds %v, want %v", c.now, got, c.want)
		}
	}
}

func TestGatewaysTogetherStayWithinTheLimit(t *testing.T) {
	for name, terms := range map[string]hardlimit.Terms{"thin": thin(), "wide": wide()} {
		const gateways = 13
		spent := 0.0
		shares := make([]hardlimit.Share, gateways)
		for i := range shares {
			shares[i] = hardlimit.New(terms, gateways, 0)
		}
		const span = 30 * time.Second
		for now := time.Duration(0); now <= span; now += ms {
			for i := range shares {
				if shares[i].Available(now) >= terms.LargestCost {
					shares[i].Spend(terms.LargestCost)
					spent += terms.LargestCost
				}
			}
		}
		if most := terms.Limit.Burst + terms.Limit.Rate*span.Seconds(); spent > most {
			t.Errorf("%s: %v units spent of %v", name, spent, most)
		}
	}
}

func TestReservedUnitsAreNotGivenTwice(t *testing.T) {
	s := hardlimit.New(wide(), 2, 0)
	now := 300 * ms // 3 units
	if s.Reserve(2); !s.HoldsUnreserved(now, 1) || s.HoldsUnreserved(now, 2) {
		t.Error("of 3 units with 2 reserved, 1 and not 2 are left")
	}
	if short := s.Shortfall(now, 2); short != 1 {
		t.Errorf("short of %v units, want 1", short)
	}
	if fill := s.FillSeconds(1); fill != 0.1 {
		t.Errorf("a unit fills in %v s, want 0.1", fill)
	}
	if s.Release(2); !s.HoldsUnreserved(now, 3) {
		t.Error("what is released can't be had")
	}
	if s.Spend(3); s.Available(now) != 0 {
		t.Errorf("%v units left after all were spent", s.Available(now))
	}
}

func TestWhenAPartIsKeptInCommon(t *testing.T) {
	for _, c := range []struct {
		name     string
		terms    hardlimit.Terms
		gateways float64
		want     bool
	}{
		{"few requests in an even share", thin(), 13, true},
		{"many requests in an even share", thin(), 2, false},
		{"no counter", hardlimit.Terms{Limit: thin().Limit, LargestCost: 1}, 13, false},
		{"own part holds no request", hardlimit.Terms{Limit: hardlimit.Limit{Rate: 13, Burst: 13}, LargestCost: 1,
			SharedCounter: true}, 13, false},
		{"a window lends no request", hardlimit.Terms{Limit: hardlimit.Limit{Rate: 400, Burst: 27}, LargestCost: 1,
			SharedCounter: true}, 13, false},
	} {
		s := hardlimit.New(c.terms, c.gateways, 0)
		if got := s.HasCommonPart(); got != c.want {
			t.Errorf("%s: kept in common %v", c.name, got)
		}
		want := c.terms.Limit.Rate / c.gateways
		if c.want {
			want *= 0.75
		}
		if got := s.Rate(); math.Abs(got-want) > 1e-12 {
			t.Errorf("%s: own rate %v, want %v", c.name, got, want)
		}
	}
}

// Whatever two more windows than fit into a span have lent, it stays, with the own parts, within the limit.
func TestLentUnitsStayWithinTheLimit(t *testing.T) {
	terms := thin()
	s := hardlimit.New(terms, 13, 0)
	until, lent := s.Borrow(0, 1)
	if !lent {
		t.Fatal("the first unit of a window is not lent")
	}
	window := until - 100*ms
	if s.Window(window-1) != 0 || s.Window(window) != 1 {
		t.Fatalf("a window of %v: it is number %d at its end", window, s.Window(window))
	}
	inWindow := 0.0
	for total := 1.0; ; total++ {
		if _, lent := s.Borrow(0, total); !lent {
			break
		}
		inWindow = total
	}
	for windows := range 50 {
		span := time.Duration(windows)*window + 100*ms
		common := float64(windows+2) * inWindow
		if most := 0.25 * (terms.Limit.Burst + terms.Limit.Rate*span.Seconds()); common > most {
			t.Errorf("in %v, %v units are lent of %v", span, common, most)
		}
	}
	if ttl := s.CounterTTL(50 * ms); ttl < 2*window+50*ms {
		t.Errorf("a number is kept for %v, a window is %v", ttl, window)
	}
}

func TestASpentWindowLendsNothingMore(t *testing.T) {
	s := hardlimit.New(thin(), 13, 0)
	if s.CommonPartSpent(0) {
		t.Error("spent before anything was lent")
	}
	if _, lent := s.Borrow(0, 1e6); lent || !s.CommonPartSpent(0) {
		t.Errorf("lent %v; spent %v", lent, s.CommonPartSpent(0))
	}
	until, _ := s.Borrow(1, 1)
	if s.CommonPartSpent(until) {
		t.Error("a later window counts as spent")
	}
}

func TestFewerGatewaysMeanLargerShares(t *testing.T) {
	s := hardlimit.New(wide(), 4, 0)
	if s.SetGateways(2); s.Rate() != 10 || s.Available(time.Minute) != 20 {
		t.Errorf("rate %v, %v units; want half the limit", s.Rate(), s.Available(time.Minute))
	}
}
