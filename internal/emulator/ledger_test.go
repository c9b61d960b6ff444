package emulator

import "testing"

func TestLedgerFindsWhatMustNotHappen(t *testing.T) {
	ledger := NewLedger()
	once := &Request{ID: "0000000000000001", Idempotency: NonIdempotent}
	ledger.AttemptStarted(once.ID)
	ledger.AttemptStarted(once.ID)
	ledger.RequestEnded(once, Rejected)
	ledger.RequestEnded(&Request{ID: "0000000100000002"}, Served)
	s := ledger.Sums(nil)
	if s.Doubled != 1 || s.RejectedRan != 1 || s.Phantom != 1 || s.RanNotServed != 1 {
		t.Errorf("sums %+v", s)
	}
	if s := ledger.Sums(func(id string) bool { return GatewayOf(id) == 1 }); s.Requests != 1 || s.Phantom != 1 {
		t.Errorf("sums of gateway 1 %+v", s)
	}
}
