package hardlimit_test

import (
	"math"
	"testing"
	"time"

	"bellwood/internal/policy/hardlimit"
)

const ms = time.Millisecond

// smallShareConfig is a limit whose even share among 13 gateways holds two requests.
func smallShareConfig() hardlimit.Config {
	return hardlimit.Config{Limit: hardlimit.Limit{Rate: 11, Burst: 27}, LargestCost: 1, SharedCounter: true}
}

// largeShareConfig is a limit whose even share among two gateways holds five requests of the largest cost.
func largeShareConfig() hardlimit.Config {
	return hardlimit.Config{Limit: hardlimit.Limit{Rate: 20, Burst: 40}, LargestCost: 4, SharedCounter: true}
}

func TestShareWithoutLimitHoldsUnlimitedUnits(t *testing.T) {
	s := hardlimit.New(hardlimit.Config{LargestCost: 1, SharedCounter: true}, 2, 0)
	if s.Limited() || s.HasSharedPool() || !math.IsInf(s.Available(time.Second), 1) || !s.HoldsUnreserved(time.Second, 1e9) {
		t.Errorf("without a limit: limited %v, shared pool %v, available %v; want no limit, no pool and infinite units",
			s.Limited(), s.HasSharedPool(), s.Available(time.Second))
	}
	if short := s.Shortfall(time.Second, 1e9); short > 0 {
		t.Errorf("without a limit: short of %v units, want none", short)
	}
}

func TestNewShareStartsEmptyAndFillsToEvenShare(t *testing.T) {
	s := hardlimit.New(largeShareConfig(), 2, time.Second)
	for _, c := range []struct {
		now  time.Duration
		want float64
	}{{time.Second, 0}, {1500 * ms, 5}, {2 * time.Second, 10}, {time.Minute, 20}} {
		if got := s.Available(c.now); got != c.want {
			t.Errorf("at %v the share holds %v, want %v", c.now, got, c.want)
		}
	}
}

func TestSharesOfAllGatewaysStayWithinLimit(t *testing.T) {
	configs := map[string]hardlimit.Config{"small shares": smallShareConfig(), "large shares": largeShareConfig()}
	for name, config := range configs {
		const gateways = 13
		spent := 0.0
		shares := make([]hardlimit.Share, gateways)
		for i := range shares {
			shares[i] = hardlimit.New(config, gateways, 0)
		}
		const span = 30 * time.Second
		for now := time.Duration(0); now <= span; now += ms {
			for i := range shares {
				if shares[i].Available(now) >= config.LargestCost {
					shares[i].Spend(config.LargestCost)
					spent += config.LargestCost
				}
			}
		}
		if most := config.Limit.Burst + config.Limit.Rate*span.Seconds(); spent > most {
			t.Errorf("%s: %v units spent, want at most %v", name, spent, most)
		}
	}
}

func TestReservedUnitsAreNotAvailableToOthers(t *testing.T) {
	s := hardlimit.New(largeShareConfig(), 2, 0)
	now := 300 * ms // 3 units
	if s.Reserve(2); !s.HoldsUnreserved(now, 1) || s.HoldsUnreserved(now, 2) {
		t.Error("of 3 units with 2 reserved, want exactly 1 unreserved")
	}
	if short := s.Shortfall(now, 2); short != 1 {
		t.Errorf("short of %v units, want 1", short)
	}
	if fill := s.FillSeconds(1); fill != 0.1 {
		t.Errorf("the share gains a unit in %v s, want 0.1", fill)
	}
	if s.Release(2); !s.HoldsUnreserved(now, 3) {
		t.Error("released units are not available")
	}
	if s.Spend(3); s.Available(now) != 0 {
		t.Errorf("%v units left after all were spent", s.Available(now))
	}
}

func TestSharedPoolExistsOnlyForSmallShares(t *testing.T) {
	for _, c := range []struct {
		name     string
		config   hardlimit.Config
		gateways float64
		want     bool
	}{
		{"few requests in an even share", smallShareConfig(), 13, true},
		{"many requests in an even share", smallShareConfig(), 2, false},
		{"no counter", hardlimit.Config{Limit: smallShareConfig().Limit, LargestCost: 1}, 13, false},
		{"own share holds no request", hardlimit.Config{Limit: hardlimit.Limit{Rate: 13, Burst: 13}, LargestCost: 1,
			SharedCounter: true}, 13, false},
		{"window allowance holds no request", hardlimit.Config{Limit: hardlimit.Limit{Rate: 400, Burst: 27}, LargestCost: 1,
			SharedCounter: true}, 13, false},
	} {
		s := hardlimit.New(c.config, c.gateways, 0)
		if got := s.HasSharedPool(); got != c.want {
			t.Errorf("%s: shared pool %v, want %v", c.name, got, c.want)
		}
		want := c.config.Limit.Rate / c.gateways
		if c.want {
			want *= 0.75
		}
		if got := s.Rate(); math.Abs(got-want) > 1e-12 {
			t.Errorf("%s: own rate %v, want %v", c.name, got, want)
		}
	}
}

// In any span, the allowances of all windows that overlap it must stay within the shared pool's part of the limit.
// Up to two windows more than fit into the span can overlap it.
func TestBorrowedUnitsStayWithinLimit(t *testing.T) {
	config := smallShareConfig()
	s := hardlimit.New(config, 13, 0)
	until, granted := s.Borrow(0, 1)
	if !granted {
		t.Fatal("the first unit of a window was not granted")
	}
	window := until - 100*ms
	if s.Window(window-1) != 0 || s.Window(window) != 1 {
		t.Fatalf("window length %v: number %d at its end, want 1 there and 0 just before", window, s.Window(window))
	}
	allowance := 0.0
	for total := 1.0; ; total++ {
		if _, granted := s.Borrow(0, total); !granted {
			break
		}
		allowance = total
	}
	for windows := range 50 {
		span := time.Duration(windows)*window + 100*ms
		borrowed := float64(windows+2) * allowance
		if most := 0.25 * (config.Limit.Burst + config.Limit.Rate*span.Seconds()); borrowed > most {
			t.Errorf("in %v, %v units were borrowed, want at most %v", span, borrowed, most)
		}
	}
	if ttl := s.CounterTTL(50 * ms); ttl < 2*window+50*ms {
		t.Errorf("the counter keeps a total for %v, want at least two windows of %v and the time-out of 50 ms", ttl, window)
	}
}

func TestBorrowFromExhaustedWindowIsDenied(t *testing.T) {
	s := hardlimit.New(smallShareConfig(), 13, 0)
	if s.SharedPoolExhausted(0) {
		t.Error("exhausted before anything was borrowed")
	}
	if _, granted := s.Borrow(0, 1e6); granted || !s.SharedPoolExhausted(0) {
		t.Errorf("granted %v, exhausted %v; want false and true", granted, s.SharedPoolExhausted(0))
	}
	until, _ := s.Borrow(1, 1)
	if s.SharedPoolExhausted(until) {
		t.Error("a later window counts as exhausted")
	}
}

func TestSetGatewaysFewerGatewaysEnlargeShare(t *testing.T) {
	s := hardlimit.New(largeShareConfig(), 4, 0)
	if s.SetGateways(2); s.Rate() != 10 || s.Available(time.Minute) != 20 {
		t.Errorf("rate %v, %v units; want half the limit for each of 2 gateways", s.Rate(), s.Available(time.Minute))
	}
}
