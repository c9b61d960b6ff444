package protocol

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"bellwood/internal/policy"
	"bellwood/internal/simprotocol"
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

// newTestParser returns a parser for one gateway with one class and one plan.
func newTestParser() *Parser {
	return &Parser{Settings: &policy.Settings{Gateways: 1, Classes: make([]policy.Class, 1)},
		Transport: &simprotocol.Transport{Classes: []string{"evaluate"}, Plans: []string{"open"}}}
}

// Guards against commands of very many short fields, which took time in proportion to the square of their number, and
// memory of many times their length.
func TestParseOfManyFieldsAllocatesLittle(t *testing.T) {
	const maxAllocated = 4 << 10 // bytes
	list := "c=evaluate,t=open,d=500,units=1,spread=1,first=0"
	for i := 0; len(list) < 64_000; i++ {
		list += fmt.Sprintf(",x%x", i)
	}
	parser := newTestParser()
	args := [][]byte{[]byte(CommandAsk), []byte("00000000b4d65521"), []byte("1"), []byte(list)}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if _, err := parser.Parse(CommandAsk, args); err != nil {
				b.Fatal(err)
			}
		}
	})
	if result.N == 0 {
		t.Fatal("Parse failed")
	}
	if allocated := result.AllocedBytesPerOp(); allocated > maxAllocated {
		t.Errorf("%d bytes allocated for %d bytes of fields, want at most %d", allocated, len(list), maxAllocated)
	}
}

// A field that the gateway reads may be given only once, as a backend might use the other value. Others are passed on.
func TestOnlyKnownFieldsMustBeUnique(t *testing.T) {
	parser := newTestParser()
	const fields = "c=evaluate,t=open,d=500,units=1,spread=1,first=0"
	for again, want := range map[string]bool{"x=1,x=2": true, "x,x": true, "c=evaluate": false, "t=open": false, "d=500": false,
		"k=1,k=1": false, "r=0,r=1": false, "units=1": false, "spread=1": false, "first=0": false} {
		args := [][]byte{[]byte(CommandAsk), []byte("00000000b4d65521"), []byte("1"), []byte(fields + "," + again)}
		if _, err := parser.Parse(CommandAsk, args); (err == nil) != want {
			t.Errorf("%s again: error %v, want none: %v", again, err, want)
		}
	}
}
