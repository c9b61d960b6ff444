package lease_test

import (
	"testing"
	"time"

	"bellwood/internal/policy/lease"
)

const ms = time.Millisecond

var bucket = lease.Bucket{Rate: 2, Burst: 8}

func fresh(gateways float64) *lease.Lease {
	l := lease.New(bucket, gateways, 0)
	return &l
}

// spendFallback pays with fallback tokens while these last and returns how many requests they paid.
func spendFallback(l *lease.Lease) (paid int) {
	for l.TakeFallback(1) {
		paid++
	}
	return paid
}

func TestATenantNeverSeenHasAnEvenShareOfTheBurst(t *testing.T) {
	for gateways, want := range map[float64]int{1: 8, 2: 4, 3: 2, 100: 0} {
		l := fresh(gateways)
		if l.TakeTokens(1) {
			t.Errorf("%v gateways: leased tokens before any call", gateways)
		}
		if paid := spendFallback(l); paid != want {
			t.Errorf("%v gateways: %d requests paid, want %d", gateways, paid, want)
		}
	}
}

func TestFallbackTokensFillByWhatTheCounterCantServe(t *testing.T) {
	for callShare, want := range map[float64]int{1: 0, 0.5: 2, 0: 4} { // in 4 s a gateway of two gains 4 of 8 units
		l := fresh(2)
		spendFallback(l)
		l.Refresh(4*time.Second, callShare)
		if paid := spendFallback(l); paid != want {
			t.Errorf("call share %v: %d requests paid, want %d", callShare, paid, want)
		}
	}
}

func TestADebtIsPaidOffAtTheFullRate(t *testing.T) {
	l := fresh(2)
	spendFallback(l)
	l.TakeOnCredit(2)
	l.Refresh(2*time.Second, 1) // the counter serves all: only the debt is paid, with 2 units
	if l.HasFallback() || !l.HasCredit(1) {
		t.Errorf("fallback left %v, credit %v", l.HasFallback(), l.HasCredit(1))
	}
	if l.TakeFallback(0.5) || !l.TakeFallback(0) {
		t.Error("after the debt there is not exactly nothing")
	}
}

func TestCreditEndsWithTheGatewaysPartOfTheBurst(t *testing.T) {
	l := fresh(2)
	spendFallback(l)
	n := 0
	for ; l.HasCredit(1) && n < 100; n++ {
		l.TakeOnCredit(1)
	}
	if n != 3 { // half the burst is 4, this request's cost included
		t.Errorf("%d requests on credit, want 3", n)
	}
	if l := fresh(100); l.HasCredit(2) != l.HasFallback() {
		t.Error("credit for a cost beyond the gateway's part")
	}
}

func TestACallReportsWhatWasSpentWithoutALease(t *testing.T) {
	l := fresh(2)
	paid := spendFallback(l)
	call := l.BeginCall(ms, 1, 1)
	if call.Unreported != float64(paid) || call.Amount != call.Block+call.Unreported || !l.AwaitsAnswer() {
		t.Errorf("%+v after %d requests without a lease", call, paid)
	}
	if again := l.BeginCall(ms, 1, 1); again.Unreported != 0 {
		t.Errorf("reported twice: %+v", again)
	}
}

func TestOneCallStandsForThoseThatMayNotCall(t *testing.T) {
	for callShare, want := range map[float64]float64{1: 1, 0.5: 2, 0.1: 3} {
		if call := fresh(100).BeginCall(ms, 1, callShare); call.Amount != want {
			t.Errorf("call share %v: %v added, want %v", callShare, call.Amount, want)
		}
	}
}

func TestABlockCoversTheDemandWithinAnEvenPart(t *testing.T) {
	for perSecond, want := range map[int]float64{1: 1, 2: 3, 50: 4} { // at most 8 units by 2 gateways
		l := fresh(2)
		for i := range 20 * perSecond {
			l.RecordDemand(time.Duration(i)*time.Second/time.Duration(perSecond), 1)
		}
		if call := l.BeginCall(20*time.Second, 1, 1); call.Block != want {
			t.Errorf("%d requests a second: a block of %v, want %v", perSecond, call.Block, want)
		}
	}
}

func TestACallThatCameToNothing(t *testing.T) {
	l := fresh(2)
	paid := spendFallback(l)
	l.CallRejected(l.BeginCall(ms, 1, 1))
	if call := l.BeginCall(ms, 1, 1); call.Unreported != float64(paid) {
		t.Errorf("nothing was added, and %v of %d are reported again", call.Unreported, paid)
	}
	l.AnswerLost()
	if call := l.BeginCall(ms, 1, 1); l.AwaitsAnswer() == false || call.Unreported != 0 {
		t.Errorf("it may have been added, and %v are reported again", call.Unreported)
	}
}

func TestTheAnswerGivesTokensWhileTheBucketHolds(t *testing.T) {
	for _, c := range []struct {
		name       string
		total      float64 // with the one unit requested
		found      bool
		correction float64
		overflow   float64
	}{
		{"full", 1, true, 0, 0},
		{"nearly empty", 8, true, 0, 0},
		{"less than the cost", 8.4, false, -1, 0},
		{"overdrawn", 30, false, -1, 0},
		{"the counter has lost its number", -60, true, 0, 61},
	} {
		l := fresh(100)
		call := l.BeginCall(0, 1, 1)
		s := l.Settle(ms, call, c.total, 0, 1)
		if s.CostCovered != c.found || s.Reduced != !c.found || s.Correction != c.correction || s.Overflow != c.overflow {
			t.Errorf("%s: %+v", c.name, s)
		}
		if paid := l.TakeTokens(1); paid != c.found || l.AwaitsAnswer() {
			t.Errorf("%s: paid %v, awaits %v", c.name, paid, l.AwaitsAnswer())
		}
		if l.SeemsEmpty(2*ms) == c.found {
			t.Errorf("%s: seems empty %v", c.name, l.SeemsEmpty(2*ms))
		}
	}
}

func TestAnEmptyBucketIsLeftAloneForAWhile(t *testing.T) {
	for gateways, want := range map[float64]time.Duration{2: 500 * ms, 8: time.Second, 100: 8 * time.Second} {
		l := fresh(gateways)
		spendFallback(l)
		call := l.BeginCall(0, 1, 1)
		l.Settle(0, call, 8+call.Amount, 0, 1) // it holds nothing: one token fills in 500 ms
		if !l.SeemsEmpty(want-1) || l.SeemsEmpty(want) {
			t.Errorf("%v gateways: left alone %v just before %v, %v then", gateways, l.SeemsEmpty(want-1), want,
				l.SeemsEmpty(want))
		}
	}
}

func TestExpiredTokensAreGivenBack(t *testing.T) {
	l := fresh(2)
	call := l.BeginCall(0, 1, 1)
	l.Settle(0, call, call.Amount, 0, 1)
	if l.Refresh(3*time.Second, 1); !l.TakeTokens(1) {
		t.Fatal("expired within the lifetime")
	}
	l.Refund(1)
	l.Refresh(3*time.Second+ms, 1)
	if l.TakeTokens(1) {
		t.Error("paid with expired tokens")
	}
	if call := l.BeginCall(4*time.Second, 1, 1); call.Unreported != -1 {
		t.Errorf("%v reported, want one unit given back", call.Unreported)
	}
}

func TestTheLevelTellsWhatOthersTake(t *testing.T) {
	l := fresh(2)
	if _, known := l.KnownLevel(); known {
		t.Error("known before any answer")
	}
	first := l.BeginCall(0, 1, 1)
	l.Settle(0, first, first.Amount, 0, 1)
	if level, known := l.KnownLevel(); !known || level != 7 || l.OthersRate() != 0 {
		t.Errorf("level %v, known %v, others %v", level, known, l.OthersRate())
	}
	second := l.BeginCall(time.Second, 1, 1)
	l.Settle(time.Second, second, first.Amount+second.Amount+5, time.Second, 1)
	if got := l.OthersRate(); got < 1.5 || got > 2.5 { // 5 a second, less what overflowed, seen for half the averaging time
		t.Errorf("others take %v a second", got)
	}
}

func TestRunsLowOnlyForATenantThatComesOften(t *testing.T) {
	often, rarely := fresh(2), fresh(2)
	for i := range 40 {
		often.RecordDemand(time.Duration(i)*50*ms, 1)
	}
	rarely.RecordDemand(0, 1)
	if !often.RunsLow(1) || rarely.RunsLow(1) {
		t.Errorf("runs low: %v for 20 a second, %v for one request", often.RunsLow(1), rarely.RunsLow(1))
	}
	if often.BeginCall(2*time.Second, 1, 1); often.RunsLow(1) {
		t.Error("calls again while it awaits an answer")
	}
}

func TestTheTrueCostReplacesTheToldOne(t *testing.T) {
	l := fresh(2)
	l.Refund(5)
	l.CorrectCost(1, 4)
	if l.TakeTokens(3) || !l.TakeTokens(2) {
		t.Error("of 5 tokens not exactly 2 are left after 3 more were taken")
	}
}

func TestTimeUntilTheBucketHoldsACost(t *testing.T) {
	l := fresh(2)
	for cost, want := range map[float64]time.Duration{1: 10 * ms, 8: 10 * ms, 10: time.Second} {
		if got := l.TimeUntil(0, cost); got != want {
			t.Errorf("a cost of %v: %v, want %v", cost, got, want)
		}
	}
	none := lease.New(lease.Bucket{}, 2, 0)
	if got := none.TimeUntil(0, 1); got != 10*time.Second {
		t.Errorf("a plan without quota: %v", got)
	}
}
