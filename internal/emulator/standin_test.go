package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const patient = 20 * time.Second // bounds every wait; none is expected to take a noticeable part of it

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patient))
	return nc, bufio.NewReader(nc)
}

// talk writes text and compares what comes back up to the end of the connection, or as much of it as is wanted.
func talk(t *testing.T, addr, text, want string, ends bool) {
	t.Helper()
	nc, in := dial(t, addr)
	io.WriteString(nc, text)
	b := make([]byte, len(want))
	if n, err := io.ReadFull(in, b); err != nil || string(b) != want {
		t.Fatalf("%q is answered %q (%v), want %q", text, b[:n], err, want)
	}
	if ends {
		if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatalf("after %q come %q and %v, want the end", text, rest, err)
		}
	}
}

func TestNoAddressBeyondLoopback(t *testing.T) {
	for _, addr := range []string{"0.0.0.0:0", ":0", "192.0.2.1:0"} {
		if c, err := StartCounter(addr, NewNumbers(0)); err == nil {
			c.Close()
			t.Errorf("listens on %s", addr)
		}
	}
}

func TestCounter(t *testing.T) {
	nums := NewNumbers(0)
	c, err := StartCounter("127.0.0.1:0", nums)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	talk(t, c.Addr(), "add a 2.5 4000\r\nadd a -1 4000\r\nadd b 1 4000\r\nping\r\n", "ok 2.5\r\nok 1.5\r\nok 1\r\npong\r\n", false)
	for _, bad := range []string{"add a 1\r\n", "add a x 5\r\n", "add a 2e9 5\r\n", "add a 1 0\r\n", "sub a 1 5\r\n",
		"add " + strings.Repeat("n", 65) + " 1 5\r\n"} {
		talk(t, c.Addr(), bad, "error\r\n", true)
	}
	talk(t, c.Addr(), strings.Repeat("a", 2*maxCallBytes), "", true)
	nums.TurnAway(true)
	talk(t, c.Addr(), "add a 1 4000\r\n", "busy\r\n", false)
	if all, busy := nums.Calls(); all != 4 || busy != 1 {
		t.Errorf("%d calls, %d turned away; want 4 and 1", all, busy)
	}
	if c.Meter.Received.Load() == 0 || c.Meter.Sent.Load() == 0 {
		t.Error("no bytes are counted")
	}
}

func TestNumbersAreForgotten(t *testing.T) {
	n, now := NewNumbers(0), time.Now()
	n.Add(now, "a", 3, time.Second)
	if v, _ := n.Add(now.Add(900*time.Millisecond), "a", 1, time.Hour); v != 4 {
		t.Errorf("total %v, want 4", v)
	}
	if v, _ := n.Add(now.Add(time.Second), "a", 1, time.Hour); v != 1 { // the life of a name counts from its start
		t.Errorf("total %v, want 1", v)
	}
	n.Add(now.Add(2*maxTTL), "b", 1, time.Second)
	if n.Names() != 1 {
		t.Errorf("%d names, want 1", n.Names())
	}
	n = NewNumbers(100)
	for range 30 {
		n.Add(now, "a", 1, time.Second)
	}
	if _, busy := n.Calls(); busy != 20 {
		t.Errorf("%d calls turned away, want 20", busy)
	}
}

func TestAgent(t *testing.T) {
	cat := NewCatalog([]Endpoint{{Name: "a", Status: Serving}, {Name: "b", Status: Serving}})
	told := make(chan WatchSent, 8)
	a, err := StartAgent("127.0.0.1:0", cat, func(w WatchSent) { told <- w })
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	url := "http://" + a.Addr() + "/catalog/members"
	get := func(url string) (*bufio.Reader, int) {
		ctx, stop := context.WithTimeout(context.Background(), patient)
		t.Cleanup(stop)
		req, _ := http.NewRequestWithContext(ctx, "GET", url, nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { resp.Body.Close() })
		return bufio.NewReader(resp.Body), resp.StatusCode
	}
	next := func(in *bufio.Reader) (m Members) {
		text, err := in.ReadBytes('\n')
		if err != nil && err != io.EOF {
			t.Fatal(err)
		}
		if len(text) > 1 {
			if err := json.Unmarshal(text, &m); err != nil {
				t.Fatal(err)
			}
		}
		return m
	}
	in, _ := get(url)
	if m := next(in); !m.Snapshot || m.Index != 1 || len(m.Endpoints) != 2 {
		t.Errorf("the whole list is %+v", m)
	}
	watch, _ := get(url + "?stream=1&index=1")
	cat.Apply(Endpoint{Name: "b", Status: Draining})
	if m := next(watch); m.Snapshot || m.Index != 2 || len(m.Endpoints) != 1 || m.Endpoints[0].Status != Draining {
		t.Errorf("the change is %+v", m)
	}
	if w := <-told; w.Entries != 1 || w.Snapshot || w.Index != 2 || w.GatewayAddr.Port() == 0 || w.AgentAddr.Port() == 0 {
		t.Errorf("told %+v", w)
	}
	cat.Apply(Endpoint{Name: "a", Status: Deleted}, Endpoint{Name: "c", Status: Serving})
	next(watch)
	if m := next(watch); m.Index != 0 { // nothing changes for 2 s: an empty line
		t.Errorf("instead of an empty line came %+v", m)
	}
	for index, whole := range map[int]bool{0: true, 1: false, 9: true} {
		in, _ = get(fmt.Sprintf("%s?stream=1&index=%d", url, index))
		if m := next(in); m.Snapshot != whole || m.Index != 4 {
			t.Errorf("a watch from %d begins with %+v", index, m)
		}
	}
	if _, status := get(url + "?stream=1&index=x"); status != http.StatusBadRequest {
		t.Errorf("a watch from x gets %d", status)
	}
}

// The clients speak to a backend here: it answers what a door would pass on.
func TestBackendsAndClients(t *testing.T) {
	ledger, seen := NewLedger(), make(chan int, 64)
	model := NewModel(5, 1, time.Millisecond, time.Second, 1)
	b, err := StartBackends("127.0.0.1", model, ledger, 2, 2, time.Minute, func(i int, id string, at time.Time) { seen <- i })
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if b.Addr(2) == b.Addr(3) || b.Addr(2) != b.Addr(4) || b.Addr(0) == b.Addr(1) || b.HasOwnListener(2) || !b.HasOwnListener(1) {
		t.Error("the listeners are not shared as they should be")
	}
	for range 6 {
		if i := b.backendAt(2); i != 2 && i != 4 {
			t.Errorf("backend %d at the address of 2 and 4", i)
		}
	}
	conf := TrafficConfig{Gateways: 3, GatewaysPerTenant: 2, Tenants: 30, Plans: []string{"p", "q"}, RequestsPerSecond: 100, Seed: 1,
		Classes: []Class{{Name: "safe", Share: 1, ClientTimeout: patient}, {Name: "once", Idempotency: NonIdempotent, Share: 1, ClientTimeout: patient}}}
	traffic := NewTraffic(conf, 2)
	again := NewTraffic(conf, 2)
	clients := NewClients(b.Addr(1), 4, 0)
	defer clients.Close()
	for range 20 {
		gap, q := traffic.Next()
		if gap2, q2 := again.Next(); gap != gap2 || *q != *q2 {
			t.Fatalf("the same seed gives %+v and %+v", q, q2)
		}
		if (2-q.FirstGateway+3)%3 >= 2 || GatewayOf(q.ID) != 2 {
			t.Errorf("%+v reaches door 2", q)
		}
		how, took := clients.Do(context.Background(), q)
		ledger.RequestEnded(q, how)
		if s := ledger.ServiceTime(q.ID); how != Served || s <= 0 || s > took {
			t.Fatalf("ended as %v after %v, of which the backend took %v", how, took, s)
		}
		if i := <-seen; i != 1 {
			t.Errorf("seen at %d", i)
		}
	}
	if alone, all := b.OpenConnections(); alone[1] != 1 || all != 1 {
		t.Errorf("%v connections, %d in all; want one", alone, all)
	}
	if s := ledger.Sums(nil); s.Served != 20 || s.Ran != 20 || s.Runs != 20 || s.Phantom+s.Doubled+s.RanNotServed+s.Wrong != 0 {
		t.Errorf("sums %+v", s)
	}
	talk(t, b.Addr(0), "*1\r\n$4\r\nPING\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n*1\r\n$5\r\nHELLO\r\n", "+PONG\r\n+OK\r\n-ERR", false)
	for _, bad := range []string{"PING\r\n", "*1\r\n$99999999\r\n", "*2\r\n$5\r\nQ.ASK\r\n$1\r\nx\r\n", "*1\r\n$4\r\nPINGxx"} {
		talk(t, b.Addr(0), bad, "-SYNTAX\r\n", true)
	}
	if b.Malformed() != 4 {
		t.Errorf("%d commands of no form, want 4", b.Malformed())
	}
}

func TestModelTurnsAwayWhoWouldWaitTooLong(t *testing.T) {
	m, now := NewModel(1, 2, time.Second, 0, 1), time.Now()
	for want := range 3 {
		if _, ok := m.StartAttempt(0, now); ok != (want < 2) {
			t.Errorf("attempt %d begins: %v", want, ok)
		}
	}
	if each, turned := m.Attempts(); each[0] != 2 || turned != 1 {
		t.Errorf("begun %v, turned away %d", each, turned)
	}
}

func TestLedgerFindsWhatMustNotHappen(t *testing.T) {
	l := NewLedger()
	once := &Request{ID: "0000000000000001", Idempotency: NonIdempotent}
	l.AttemptStarted(once.ID)
	l.AttemptStarted(once.ID)
	l.RequestEnded(once, Rejected)
	l.RequestEnded(&Request{ID: "0000000100000002"}, Served)
	s := l.Sums(nil)
	if s.Doubled != 1 || s.RejectedRan != 1 || s.Phantom != 1 || s.RanNotServed != 1 {
		t.Errorf("sums %+v", s)
	}
	if s := l.Sums(func(id string) bool { return GatewayOf(id) == 1 }); s.Requests != 1 || s.Phantom != 1 {
		t.Errorf("sums of door 1 %+v", s)
	}
}

// A link passes both directions on, holds one and lets it go, loses one, delays one, and resets.
func TestLink(t *testing.T) {
	echo, err := listen("127.0.0.1:0", 8, &Meter{})
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	echo.serve(func(nc net.Conn) { io.Copy(nc, nc) })
	link, err := StartLink("127.0.0.1:0", echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", link.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	says := func(nc net.Conn, text string) { io.WriteString(nc, text) }
	hears := func(nc net.Conn, want string, within time.Duration) bool {
		nc.SetReadDeadline(time.Now().Add(within))
		b := make([]byte, len(want))
		_, err := io.ReadFull(nc, b)
		return err == nil && string(b) == want
	}
	const long, short = 20 * time.Second, 50 * time.Millisecond
	nc := dial()
	if says(nc, "one"); !hears(nc, "one", long) {
		t.Error("it does not pass on")
	}
	link.Set(ToClient, Hold)
	if says(nc, "two"); hears(nc, "two", short) {
		t.Error("what is held comes")
	}
	link.Set(ToClient, Pass)
	if !hears(nc, "two", long) {
		t.Error("what was held does not come")
	}
	link.Set(ToServer, Drop)
	if says(nc, "three"); hears(nc, "three", short) {
		t.Error("what is lost comes")
	}
	link.Set(ToServer, Pass)
	link.Delay(ToServer, short)
	begun := time.Now()
	if says(nc, "four"); !hears(nc, "four", long) || time.Since(begun) < short {
		t.Errorf("what is delayed came after %v", time.Since(begun))
	}
	link.Reset()
	nc.SetReadDeadline(time.Now().Add(long))
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) {
		t.Errorf("after a reset: %v", err)
	}
	link.Delay(ToServer, 0)
	nc = dial()
	if says(nc, "five"); !hears(nc, "five", long) {
		t.Error("no new connection passes")
	}
}

// A catalog that starts anew has a lower index, and a watch from the higher one gets the whole list.
func TestCatalogStartsAnew(t *testing.T) {
	c := NewCatalog([]Endpoint{{Name: "a", Status: Serving}, {Name: "b", Status: Serving}})
	index := c.Apply(Endpoint{Name: "a", Status: Draining})
	_, wake := c.ChangesSince(index)
	c.Restart()
	<-wake
	if m, _ := c.ChangesSince(index); !m.Snapshot || m.Index >= index || len(m.Endpoints) != 2 {
		t.Errorf("after %d the watch gets %+v", index, m)
	}
}
