package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// toldAfter is when a change counts as told that discovery has, if it can be reached: the operators' term.
const toldAfter = 6 * time.Second

// calls is an agent of which two calls come to nothing and all later ones are well.
type calls struct {
	t       *testing.T
	ln      net.Listener
	failed  func(nc net.Conn) // what a call comes to; nil: it is refused
	path    string            // of the calls that count; others are told that there is no such thing
	answer  string            // to those that are well
	refused atomic.Int32
	bad     atomic.Int32
	from    chan string // the indices that calls asked from
	held    chan struct{}
}

const callsThatFail = 2

func (c *calls) serve() {
	for {
		nc, err := c.ln.Accept()
		if err != nil {
			return
		}
		go c.call(nc)
	}
}

func (c *calls) call(nc net.Conn) {
	defer nc.Close()
	req, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	if req.URL.RawQuery != "" != (c.path == "watch") {
		io.WriteString(nc, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	select {
	case c.from <- req.URL.Query().Get("index"):
	default:
	}
	if c.failed != nil && c.bad.Add(1) <= callsThatFail {
		c.failed(nc)
		return
	}
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunked(c.answer))
	if c.path != "watch" {
		io.WriteString(nc, "0\r\n\r\n")
		return
	}
	for { // signs of life
		select {
		case <-time.After(10 * time.Millisecond):
		case <-c.held:
			return
		}
		if _, err := io.WriteString(nc, chunked("\r\n")); err != nil {
			return
		}
	}
}

func chunked(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// dial refuses the first calls, if that is how they are to fail.
func (c *calls) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if c.failed == nil && c.refused.Add(1) <= callsThatFail {
		addr = freeAddr(c.t)
	}
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

// failures are the ways in which a call to discovery may come to nothing.
func (c *calls) failures() map[string]func(net.Conn) {
	const ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	says := func(s string, then func(net.Conn)) func(net.Conn) {
		return func(nc net.Conn) {
			io.WriteString(nc, s)
			then(nc)
		}
	}
	ends := func(net.Conn) {}
	hold := func(net.Conn) { <-c.held }
	reset := func(nc net.Conn) { nc.(*net.TCPConn).SetLinger(0) }
	half := ok + chunked(`{"index":9,"snapshot":true,"endpoints":[{"name":"s-9","addr`)
	return map[string]func(net.Conn){
		"refused":                  nil,
		"reset":                    reset,
		"ended":                    ends,
		"silent":                   hold,
		"silent behind its head":   says(ok, hold),
		"silent within its head":   says(ok[:20], hold),
		"silent within a list":     says(half, hold),
		"reset within a list":      says(half, reset),
		"status 500":               says("HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\n{}", hold),
		"status 503":               says("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", ends),
		"nonsense":                 says(ok+chunked("<html>"), hold),
		"no HTTP":                  says("hello?\r\n\r\n", hold),
		"a list without its index": says(ok+chunked(`{"snapshot":true,"endpoints":[]}`), hold),
		"an entry that drips": says(ok+chunked(`{"index":9,"endpoints":[{"name":"`), func(nc net.Conn) {
			for {
				select {
				case <-time.After(10 * time.Millisecond):
				case <-c.held:
					return
				}
				if _, err := io.WriteString(nc, chunked("x")); err != nil {
					return
				}
			}
		}),
	}
}

// reaches says that a change gets through to the door behind two failed calls of each kind, and from where they asked.
func reaches(t *testing.T, path, answer string, kinds []string, options ...option) {
	for _, kind := range kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c := &calls{t: t, ln: listen(t), path: path, answer: answer, from: make(chan string, 64),
				held: make(chan struct{})}
			c.failed = c.failures()[kind]
			cfg := config(t, false, 5_000_000)
			cfg.Discovery, cfg.Known, cfg.watchSilence = c.ln.Addr().String(), members(1, freeAddr(t)), 200*time.Millisecond
			for _, o := range options {
				o(cfg, t)
			}
			f, err := New(cfg, discardLog)
			if err != nil {
				t.Fatal(err)
			}
			f.discovery.http.Transport.(*http.Transport).DialContext = c.dial
			ctx, stop := context.WithCancel(context.Background())
			go f.Run(ctx, listen(t))
			t.Cleanup(func() {
				close(c.held)
				stop()
				<-f.done
			})
			go c.serve()
			(&testGateway{t: t, server: f}).until(func() bool { return f.discovery.known["s-7"] != nil })
			if n := max(c.bad.Load(), c.refused.Load()); n <= callsThatFail {
				t.Errorf("only %d calls", n)
			}
			for i := 0; i < callsThatFail && path == "watch" && c.failed != nil; i++ {
				if from := <-c.from; from != "1" {
					t.Errorf("call %d asks from %s", i, from)
				}
			}
		})
	}
}

func change(t *testing.T, whole bool) string {
	m := members(7, freeAddr(t))
	m.Snapshot, m.Endpoints[0].Name = whole, "s-7"
	return text(t, m)
}

func allKinds() (kinds []string) {
	for kind := range (&calls{}).failures() {
		kinds = append(kinds, kind)
	}
	return kinds
}

// A change reaches the door by the watch though two calls in a row came to nothing.
func TestChangeComesBehindFailedWatches(t *testing.T) {
	reaches(t, "watch", change(t, false), allKinds())
}

// A list that the Door has to ask for comes though two calls in a row came to nothing.
func TestListComesBehindFailedCalls(t *testing.T) {
	reaches(t, "list", change(t, true), allKinds(), func(c *Config, t *testing.T) { c.Settings.PollEndpoints = true })
}

// By the time-outs and pauses alone, two calls of the slowest kind leave time for the third to bring the news.
func TestCallsAndPausesAreShort(t *testing.T) {
	const bring = 500 * time.Millisecond // for the call that is well
	if worst := callsThatFail*(watchSilence+rewatchMost) + bring; worst > toldAfter {
		t.Errorf("by the watch a change may come after %v", worst)
	}
	const doorPause = 750 * time.Millisecond // the longest that a Door may take to ask again
	if worst := callsThatFail*(askSilence+doorPause) + bring; worst > toldAfter {
		t.Errorf("by calls for the list a change may come after %v", worst)
	}
	const sign = 2 * time.Second // between a watch's signs of life
	if watchSilence < sign+sign/5 {
		t.Errorf("a watch that gives its signs counts as dead after %v", watchSilence)
	}
	f := newIdleServer(t)
	for _, err := range []error{io.EOF, errNonsense, errMoved} {
		pause := rewatchAfter
		for range 20 {
			if pause = f.discovery.pause(pause, err); pause > rewatchMost {
				t.Errorf("behind %v a pause of %v", err, pause)
			}
		}
	}
}
