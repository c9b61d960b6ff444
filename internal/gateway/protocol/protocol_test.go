package protocol

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"bellwood/internal/policy"
)

// ReadReply accepts any message of a backend, and marks those that are not valid replies to a request as Unexpected.
func TestReadReplyAcceptsAnyMessage(t *testing.T) {
	for text, want := range map[string]Reply{
		"*3\r\n$2\r\nhi\r\n$14\r\nused=37,cost=4\r\n$-1\r\n": {Status: policy.OK, Value: []byte("$2\r\nhi\r\n"), QuotaUsage: 38, Cost: 4},
		"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n":                     {Status: policy.OK, Value: []byte("$0\r\n\r\n")},
		"-ERR failed\r\n":                                    {Status: policy.Failed},
		"-ERR failed used=0 inflight=7\r\n":                  {Status: policy.Failed, QuotaUsage: 1},
		"-BUSY cost=1,used=120\r\n":                          {Status: policy.Rejected, QuotaUsage: 121},
		"-ER\x00 x used=3\r\n":                               {Status: policy.Failed, Unexpected: true, QuotaUsage: 4},
		"-BUSY\r\n":                                          {Status: policy.Rejected},
		"+PONG\r\n":                                          {Status: policy.OK, Unexpected: true, SimpleString: true},
		"*1\r\n$-1\r\n":                                      {Status: policy.Failed, Unexpected: true},
		"*0\r\n":                                             {Status: policy.Failed, Unexpected: true},
		"$2\r\nhi\r\n":                                       {Status: policy.Failed, Unexpected: true},
		":1\r\n":                                             {Status: policy.Failed, Unexpected: true},
	} {
		n, m := redcon.ReadNextRESP([]byte(text))
		if got := ReadReply(m); n != len(text) || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("ReadReply(%q): got %+v, want %+v", text, got, want)
		}
	}
}

// A rejection states the delay in whole milliseconds, rounded up, or no delay for 0.
func TestBusyRoundsTheDelayUpToMilliseconds(t *testing.T) {
	for retryAfter, want := range map[time.Duration]string{
		0: "-BUSY\r\n", 1: "-BUSY 1\r\n", 250 * time.Millisecond: "-BUSY 250\r\n",
	} {
		if got := string(Busy(retryAfter)); got != want {
			t.Errorf("Busy(%v): got %q, want %q", retryAfter, got, want)
		}
	}
}

// A client may send any bytes as an id. The logged form has a limited length and contains no control characters.
func TestLoggedIDIsPrintableAndBounded(t *testing.T) {
	for id, want := range map[string]string{
		"9b1f03aa5c7e2d41":          "9b1f03aa5c7e2d41",
		"a\x1b[2Jb\n":               "a?[2Jb?",
		strings.Repeat("x", 64<<10): strings.Repeat("x", maxLoggedID),
	} {
		request := Request{args: [][]byte{argumentID: []byte(id)}}
		if got := request.PrintableID(); got != want {
			t.Errorf("PrintableID of id %.20q: got %q, want %q", id, got, want)
		}
	}
}
