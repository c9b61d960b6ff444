package emulator

import (
	"strings"
	"testing"
	"time"
)

// The counter answers calls as the protocol page has it, and closes a connection on what is no call.
func TestCounterAnswersCallsAndClosesOnBadOnes(t *testing.T) {
	numbers := NewCounterStore(0)
	counter, err := StartCounter("127.0.0.1:0", numbers)
	if err != nil {
		t.Fatal(err)
	}
	defer counter.Close()
	expectAnswer(t, counter.Addr(), "add a 2.5 4000\r\nadd a -1 4000\r\nadd b 1 4000\r\nping\r\n",
		"ok 2.5\r\nok 1.5\r\nok 1\r\npong\r\n")
	for _, bad := range []string{"add a 1\r\n", "add a x 5\r\n", "add a 2e9 5\r\n", "add a 1 0\r\n", "sub a 1 5\r\n",
		"add " + strings.Repeat("n", 65) + " 1 5\r\n"} {
		expectAnswerAndClose(t, counter.Addr(), bad, "error\r\n")
	}
	expectAnswerAndClose(t, counter.Addr(), strings.Repeat("a", 2*maxCallBytes), "")
	numbers.RejectAll()
	expectAnswer(t, counter.Addr(), "add a 1 4000\r\n", "busy\r\n")
	if all, rejected := numbers.Calls(); all != 4 || rejected != 1 {
		t.Errorf("%d calls, %d rejected; want 4 and 1", all, rejected)
	}
	if counter.Meter.Received.Load() == 0 || counter.Meter.Sent.Load() == 0 {
		t.Error("no bytes are counted")
	}
}

// A number's life counts from its first call; a counter with a bound takes a tenth of a second's calls at once.
func TestNumbersExpireAndCallsAreBounded(t *testing.T) {
	numbers, now := NewCounterStore(0), time.Now()
	numbers.Add(now, "a", 3, time.Second)
	if total, _ := numbers.Add(now.Add(900*time.Millisecond), "a", 1, time.Hour); total != 4 {
		t.Errorf("total %v, want 4", total)
	}
	if total, _ := numbers.Add(now.Add(time.Second), "a", 1, time.Hour); total != 1 {
		t.Errorf("total %v, want 1", total)
	}
	numbers.Add(now.Add(2*maxTTL), "b", 1, time.Second)
	if numbers.Len() != 1 {
		t.Errorf("%d numbers, want 1", numbers.Len())
	}
	numbers = NewCounterStore(100)
	for range 30 {
		numbers.Add(now, "a", 1, time.Second)
	}
	if _, rejected := numbers.Calls(); rejected != 20 {
		t.Errorf("%d calls rejected, want 20", rejected)
	}
}
