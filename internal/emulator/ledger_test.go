package emulator

import "testing"

func TestLedgerSumsCountViolations(t *testing.T) {
	ledger := NewLedger()
	nonIdempotent := &Request{ID: "0000000000000001", Idempotency: NonIdempotent}
	ledger.AttemptStarted(nonIdempotent.ID)
	ledger.AttemptStarted(nonIdempotent.ID)
	ledger.RequestEnded(nonIdempotent, Rejected)
	ledger.RequestEnded(&Request{ID: "0000000100000002"}, Served)
	s := ledger.Sums(nil)
	if s.Doubled != 1 || s.RejectedButStarted != 1 || s.Phantom != 1 || s.StartedNotServed != 1 {
		t.Errorf("sums of all requests are %+v, want Doubled, RejectedButStarted, Phantom and StartedNotServed to be 1", s)
	}
	if s := ledger.Sums(func(id string) bool { return GatewayOf(id) == 1 }); s.Requests != 1 || s.Phantom != 1 {
		t.Errorf("sums of gateway 1 are %+v, want Requests and Phantom to be 1", s)
	}
}
