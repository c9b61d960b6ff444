package lease_test

import (
	"testing"
	"time"

	"bellwood/internal/policy/lease"
)

const ms = time.Millisecond

var bucket = lease.Bucket{Rate: 2, Burst: 8}

// newLease returns the lease of a new tenant whose requests arrive at the given number of gateways.
func newLease(gateways float64) *lease.Lease {
	l := lease.New(bucket, gateways, 0)
	return &l
}

// spendFallback uses up the fallback tokens and returns how many requests of cost 1 they paid for.
func spendFallback(l *lease.Lease) (paid int) {
	for l.TakeFallback(1) {
		paid++
	}
	return paid
}

func TestNewLeaseHasEvenShareOfBurst(t *testing.T) {
	for gateways, want := range map[float64]int{1: 8, 2: 4, 3: 2, 100: 0} {
		l := newLease(gateways)
		if l.TakeTokens(1) {
			t.Errorf("%v gateways: leased tokens before any call", gateways)
		}
		if paid := spendFallback(l); paid != want {
			t.Errorf("%v gateways: %d requests paid, want %d", gateways, paid, want)
		}
	}
}

func TestFallbackTokensRefillByShareThatMayNotCall(t *testing.T) {
	// One of two gateways has an even share of 1 unit per second, 4 units in 4 s.
	for callShare, want := range map[float64]int{1: 0, 0.5: 2, 0: 4} {
		l := newLease(2)
		spendFallback(l)
		l.Refresh(4*time.Second, callShare)
		if paid := spendFallback(l); paid != want {
			t.Errorf("call share %v: %d requests paid, want %d", callShare, paid, want)
		}
	}
}

func TestFallbackDebtIsRepaidAtFullRate(t *testing.T) {
	l := newLease(2)
	spendFallback(l)
	l.TakeOnCredit(2)
	l.Refresh(2*time.Second, 1) // all requests may call: the 2 units only repay the debt
	if l.HasFallback() || !l.HasCredit(1) {
		t.Errorf("after repaying the debt: fallback tokens left %v, credit %v; want false and true", l.HasFallback(),
			l.HasCredit(1))
	}
	if l.TakeFallback(0.5) || !l.TakeFallback(0) {
		t.Error("the fallback balance is not exactly 0 after repaying the debt")
	}
}

func TestCreditIsLimitedToGatewaysPartOfBurst(t *testing.T) {
	l := newLease(2)
	spendFallback(l)
	n := 0
	for ; l.HasCredit(1) && n < 100; n++ {
		l.TakeOnCredit(1)
	}
	if n != 3 { // the limit is half the burst, 4, including the cost of the request
		t.Errorf("%d requests on credit, want 3", n)
	}
	if l := newLease(100); l.HasCredit(2) != l.HasFallback() {
		t.Error("credit was given for a cost above the gateway's limit")
	}
}

func TestBeginCallReportsUsagePaidWithFallbackTokens(t *testing.T) {
	l := newLease(2)
	paid := spendFallback(l)
	call := l.BeginCall(ms, 1, 1)
	if call.Unreported != float64(paid) || call.Amount != call.Block+call.Unreported || !l.AwaitsAnswer() {
		t.Errorf("call %+v after %d requests paid with fallback tokens, want one that reports them and awaits an answer",
			call, paid)
	}
	if again := l.BeginCall(ms, 1, 1); again.Unreported != 0 {
		t.Errorf("the same usage was reported twice: %+v", again)
	}
}

func TestBeginCallAccountsForRequestsThatMayNotCall(t *testing.T) {
	for callShare, want := range map[float64]float64{1: 1, 0.5: 2, 0.1: 3} {
		if call := newLease(100).BeginCall(ms, 1, callShare); call.Amount != want {
			t.Errorf("call share %v: %v added, want %v", callShare, call.Amount, want)
		}
	}
}

func TestBlockCoversDemandWithinEvenShareOfBucket(t *testing.T) {
	for perSecond, want := range map[int]float64{1: 1, 2: 3, 50: 4} { // at most 8 units / 2 gateways
		l := newLease(2)
		for i := range 20 * perSecond {
			l.RecordDemand(time.Duration(i)*time.Second/time.Duration(perSecond), 1)
		}
		if call := l.BeginCall(20*time.Second, 1, 1); call.Block != want {
			t.Errorf("%d requests per second: block of %v, want %v", perSecond, call.Block, want)
		}
	}
}

func TestFailedCallReportsUsageAgainOnlyIfNothingWasAdded(t *testing.T) {
	l := newLease(2)
	paid := spendFallback(l)
	l.CallRejected(l.BeginCall(ms, 1, 1))
	if call := l.BeginCall(ms, 1, 1); call.Unreported != float64(paid) {
		t.Errorf("after a rejected call %v of %d units were reported again, want all", call.Unreported, paid)
	}
	l.AnswerLost()
	if call := l.BeginCall(ms, 1, 1); l.AwaitsAnswer() == false || call.Unreported != 0 {
		t.Errorf("after a lost answer %v units were reported again, want 0 and a call in flight", call.Unreported)
	}
}

func TestSettleGrantsTokensWhileBucketHoldsCost(t *testing.T) {
	for _, c := range []struct {
		name       string
		total      float64 // including the one unit requested
		granted    bool
		correction float64
		overflow   float64
	}{
		{"full", 1, true, 0, 0},
		{"nearly empty", 8, true, 0, 0},
		{"less than the cost", 8.4, false, -1, 0},
		{"overdrawn", 30, false, -1, 0},
		{"the counter lost its total", -60, true, 0, 61},
	} {
		l := newLease(100)
		call := l.BeginCall(0, 1, 1)
		got := l.Settle(ms, call, c.total, 0, 1)
		want := lease.Settlement{CostCovered: c.granted, Reduced: !c.granted, Correction: c.correction, Overflow: c.overflow}
		if got != want {
			t.Errorf("%s: settlement %+v, want %+v", c.name, got, want)
		}
		if paid := l.TakeTokens(1); paid != c.granted || l.AwaitsAnswer() {
			t.Errorf("%s: request paid for %v, awaits an answer %v; want %v and false", c.name, paid, l.AwaitsAnswer(),
				c.granted)
		}
		if l.SeemsEmpty(2*ms) == c.granted {
			t.Errorf("%s: seems empty %v, want %v", c.name, l.SeemsEmpty(2*ms), !c.granted)
		}
	}
}

func TestEmptyBucketBackoffGrowsWithGateways(t *testing.T) {
	for gateways, want := range map[float64]time.Duration{2: 500 * ms, 8: time.Second, 100: 8 * time.Second} {
		l := newLease(gateways)
		spendFallback(l)
		call := l.BeginCall(0, 1, 1)
		l.Settle(0, call, 8+call.Amount, 0, 1) // the bucket is empty; it gains one token in 500 ms
		if !l.SeemsEmpty(want-1) || l.SeemsEmpty(want) {
			t.Errorf("%v gateways: seems empty %v just before %v and %v at that time; want true and false", gateways,
				l.SeemsEmpty(want-1), want, l.SeemsEmpty(want))
		}
	}
}

func TestExpiredTokensAreReturnedWithNextCall(t *testing.T) {
	l := newLease(2)
	call := l.BeginCall(0, 1, 1)
	l.Settle(0, call, call.Amount, 0, 1)
	if l.Refresh(3*time.Second, 1); !l.TakeTokens(1) {
		t.Fatal("the tokens expired before the end of their lifetime")
	}
	l.Refund(1)
	l.Refresh(3*time.Second+ms, 1)
	if l.TakeTokens(1) {
		t.Error("a request was paid for with expired tokens")
	}
	if call := l.BeginCall(4*time.Second, 1, 1); call.Unreported != -1 {
		t.Errorf("%v units reported, want -1: one unit returned", call.Unreported)
	}
}

func TestOthersRateIsEstimatedFromLevel(t *testing.T) {
	l := newLease(2)
	if _, known := l.KnownLevel(); known {
		t.Error("the level is known before any answer")
	}
	first := l.BeginCall(0, 1, 1)
	l.Settle(0, first, first.Amount, 0, 1)
	if level, known := l.KnownLevel(); !known || level != 7 || l.OthersRate() != 0 {
		t.Errorf("level %v, known %v, others' rate %v; want 7, true, 0", level, known, l.OthersRate())
	}
	second := l.BeginCall(time.Second, 1, 1)
	l.Settle(time.Second, second, first.Amount+second.Amount+5, time.Second, 1)
	if got := l.OthersRate(); got < 1.5 || got > 2.5 { // 5 per second, less overflow, observed for half the averaging time
		t.Errorf("others' rate %v per second, want 1.5 to 2.5", got)
	}
}

func TestRunsLowOnlyForTenantWithFrequentRequests(t *testing.T) {
	frequent, rare := newLease(2), newLease(2)
	for i := range 40 {
		frequent.RecordDemand(time.Duration(i)*50*ms, 1)
	}
	rare.RecordDemand(0, 1)
	if !frequent.RunsLow(1) || rare.RunsLow(1) {
		t.Errorf("runs low: %v at 20 requests per second, %v after a single request; want true and false",
			frequent.RunsLow(1), rare.RunsLow(1))
	}
	if frequent.BeginCall(2*time.Second, 1, 1); frequent.RunsLow(1) {
		t.Error("the lease asks for another call while it awaits an answer")
	}
}

func TestCorrectCostReplacesEstimateByActualCost(t *testing.T) {
	l := newLease(2)
	l.Refund(5)
	l.CorrectCost(1, 4)
	if l.TakeTokens(3) || !l.TakeTokens(2) {
		t.Error("of 5 tokens, not exactly 2 are left after a cost was corrected by 3")
	}
}

func TestTimeUntilBucketHoldsCost(t *testing.T) {
	l := newLease(2)
	for cost, want := range map[float64]time.Duration{1: 10 * ms, 8: 10 * ms, 10: time.Second} {
		if got := l.TimeUntil(0, cost); got != want {
			t.Errorf("cost %v: %v, want %v", cost, got, want)
		}
	}
	none := lease.New(lease.Bucket{}, 2, 0)
	if got := none.TimeUntil(0, 1); got != 10*time.Second {
		t.Errorf("plan without a rate: %v, want 10s", got)
	}
}
