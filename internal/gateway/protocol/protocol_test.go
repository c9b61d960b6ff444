package protocol

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"bellwood/internal/policy"
)

// A reply is read whatever a backend makes of it; what is none to a request is marked.
func TestReadReply(t *testing.T) {
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
			t.Errorf("%q: got %+v, want %+v", text, got, want)
		}
	}
}

// A rejection tells whole milliseconds, rounded up; none where no pause is wanted.
func TestBusyReply(t *testing.T) {
	for pause, want := range map[time.Duration]string{0: "-BUSY\r\n", 1: "-BUSY 1\r\n", 250 * time.Millisecond: "-BUSY 250\r\n"} {
		if got := string(Busy(pause)); got != want {
			t.Errorf("%v: %q", pause, got)
		}
	}
}

// A client may give any bytes as an id. What the log shows of it is bounded, and harms no terminal.
func TestLoggedIDIsPrintableAndBounded(t *testing.T) {
	for id, want := range map[string]string{
		"9b1f03aa5c7e2d41":          "9b1f03aa5c7e2d41",
		"a\x1b[2Jb\n":               "a?[2Jb?",
		strings.Repeat("x", 64<<10): strings.Repeat("x", maxLoggedID),
	} {
		request := Request{args: [][]byte{argumentID: []byte(id)}}
		if got := request.PrintableID(); got != want {
			t.Errorf("%.20q: %q", id, got)
		}
	}
}
