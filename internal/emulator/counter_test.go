package emulator

import (
	"strings"
	"testing"
	"time"
)

// The counter replies to calls as its protocol specifies, and closes the connection on a malformed call.
func TestCounterRepliesToCallsAndClosesOnMalformedOnes(t *testing.T) {
	store := NewCounterStore(0)
	counter, err := StartCounter("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	defer counter.Close()
	expectReply(t, counter.Addr(), "add a 2.5 4000\r\nadd a -1 4000\r\nadd b 1 4000\r\nping\r\n",
		"ok 2.5\r\nok 1.5\r\nok 1\r\npong\r\n")
	for _, malformed := range []string{"add a 1\r\n", "add a x 5\r\n", "add a 2e9 5\r\n", "add a 1 0\r\n", "sub a 1 5\r\n",
		"add " + strings.Repeat("n", 65) + " 1 5\r\n"} {
		expectReplyAndClose(t, counter.Addr(), malformed, "error\r\n")
	}
	expectReplyAndClose(t, counter.Addr(), strings.Repeat("a", 2*maxCallBytes), "")
	store.RejectAll()
	expectReply(t, counter.Addr(), "add a 1 4000\r\n", "busy\r\n")
	if all, rejected := store.Calls(); all != 4 || rejected != 1 {
		t.Errorf("%d calls, %d of them rejected; want 4 and 1", all, rejected)
	}
	if counter.Meter.Received.Load() == 0 || counter.Meter.Sent.Load() == 0 {
		t.Error("the meter counted no bytes received or no bytes sent")
	}
}

// An entry expires a TTL after its first call, whatever later calls ask for. A store with a limited call rate accepts a
// burst of a tenth of a second's calls.
func TestCounterStoreExpiresEntriesAndLimitsCallRate(t *testing.T) {
	store, now := NewCounterStore(0), time.Now()
	store.Add(now, "a", 3, time.Second)
	if total, _ := store.Add(now.Add(900*time.Millisecond), "a", 1, time.Hour); total != 4 {
		t.Errorf("total %v before the entry expires, want 4", total)
	}
	if total, _ := store.Add(now.Add(time.Second), "a", 1, time.Hour); total != 1 {
		t.Errorf("total %v after the entry has expired, want 1", total)
	}
	store.Add(now.Add(2*maxTTL), "b", 1, time.Second)
	if store.Len() != 1 {
		t.Errorf("%d entries stored, want 1", store.Len())
	}
	store = NewCounterStore(100)
	for range 30 {
		store.Add(now, "a", 1, time.Second)
	}
	if _, rejected := store.Calls(); rejected != 20 {
		t.Errorf("%d calls rejected, want 20", rejected)
	}
}
