package gateway

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// pair is a connection of which the front door's end is not read by anybody yet.
func pair(t *testing.T, f *Server) (*clientConn, *peer) {
	t.Helper()
	ln := listen(t)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	c := newClientConn(f.clients, far)
	f.clients.count.Add(1)
	f.clients.all[c] = true
	return c, newPeer(t, nc)
}

// come waits until what a peer wrote lies in the other end's socket.
func come(t *testing.T, nc net.Conn) {
	t.Helper()
	for end := time.Now().Add(patient); quiet(nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what was written has not come")
		}
	}
}

// A connection whose next request lies unread in the socket, or was read in part, is not closed by an eviction, by
// the deadline of its first command or by a shutdown: the request has been taken and is answered.
func TestUnreadRequestKeepsTheConnection(t *testing.T) {
	for _, cut := range []int{1, 5, len(command("PING")) - 1, len(command("PING"))} {
		f := idle(t, freeAddr(t))
		f.ready.Store(true)
		c, p := pair(t, f)
		p.write(command("PING")[:cut])
		come(t, c.nc)
		if c.closeNow() {
			t.Fatalf("closed with %d bytes unread", cut)
		}
		c.idle.Store(int64(f.now() - time.Hour))
		if f.clients.makeRoom(true) {
			t.Fatalf("evicted with %d bytes unread", cut)
		}
		c.finish()
		go c.read()
		p.write(command("PING")[cut:])
		p.wants("+PONG")
		p.wantsEnd() // what is owed on it has been given
	}
}

// taken waits until a connection owes so many answers.
func (w *world) taken(n int) {
	w.t.Helper()
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		most := 0
		w.f.clients.mu.Lock()
		for c := range w.f.clients.all {
			c.mu.Lock()
			most = max(most, len(c.slots))
			c.mu.Unlock()
		}
		w.f.clients.mu.Unlock()
		if most == n {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("%d answers are owed, not %d", most, n)
		}
	}
}

// At a shutdown a connection that still owes an answer takes requests, as they count as taken, and refuses them; it
// ends with the last answer, one that was read in part included.
func TestShutdownRefusesWhatCrosses(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	busy, quiet := w.dial(), w.dial()
	quiet.command("PING")
	quiet.wants("+PONG")
	busy.command("Q.ASK", customer, "1", list)
	b := accept(t, ln)
	b.message()
	third := command("Q.ASK", customer, "3", list)
	busy.write(command("PING"))
	w.stop()
	quiet.wantsEnd() // nothing is taken in any more
	busy.write(command("Q.ASK", customer, "2", list) + third[:len(third)-1])
	w.taken(3) // the first, the PING and the second
	b.write("*1\r\n" + bulk("value"))
	busy.wants("value")
	busy.wants("+PONG")
	busy.wants("-BUSY")
	busy.write(third[len(third)-1:])
	busy.wants("-BUSY")
	busy.wantsEnd()
	w.ends()
}

// Connections that stand in the listener's line when it is to be closed have been accepted by the machine: they
// are taken and answered.
func TestBacklogIsTakenAtTheEnd(t *testing.T) {
	f := idle(t, freeAddr(t))
	f.ready.Store(true)
	ln := listen(t)
	var all []*peer
	for range 5 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		p := newPeer(t, nc)
		p.command("PING")
		all = append(all, p)
	}
	f.clients.close(ln) // nobody has accepted yet
	f.clients.accept(ln)
	for _, p := range all {
		p.wants("+PONG")
	}
	for !f.clients.drain() {
		time.Sleep(time.Millisecond)
	}
	for _, p := range all {
		p.wantsEnd()
	}
	if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		nc.Close()
		t.Error("connections are still taken")
	}
}

// When the time for a shutdown is over, what is still open is answered: SIGKILL does not wait for a long deadline.
func TestWhatIsOpenAtTheEndIsAnswered(t *testing.T) {
	ln := listen(t)
	f := idle(t, ln.Addr().String())
	c, p := pair(t, f)
	go c.read()
	p.command("Q.ASK", customer, "1", list)
	pump(t, f, func() bool { return len(f.requests) == 1 })
	f.events = nil
	for _, r := range f.requests {
		f.send(r, policy.SendAttempt{ID: r.id, Backend: "s-0"})
	}
	b := accept(t, ln)
	pump(t, f, func() bool { return f.backends.dialled("s-0") })
	b.message()
	f.giveUp()
	p.wants("-ERR no answer in time")
	b.wantsEnd()
	if f.step(); len(f.requests) != 0 || len(f.open) != 0 {
		t.Error("the request is kept")
	}
}

// A second signal changes nothing, nor does a new configuration meanwhile; a backend that hangs is waited for no
// longer than its request.
func TestHungBackendAtShutdown(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	c := w.dial()
	c.command("Q.ASK", customer, "1", strings.Replace(list, "d=20000", "d=1500", 1))
	b := accept(t, ln)
	b.message()
	w.stop()
	w.f.Reload(freeAddr(t), w.f.cfg.Counter, "")
	w.stop()
	if m := c.message(); len(m) != 1 || m[0][0] != '-' {
		t.Errorf("got %q", m)
	}
	c.wantsEnd()
	w.ends()
}

// A client that leaves is seen wherever its reader stands, so that nothing is sent on for it: with more commands
// on its connection than may be open, behind one that can't be read, and between bad ones.
func TestLeavingClientIsSeen(t *testing.T) {
	request := func(i int) string { return command("Q.ASK", customer, fmt.Sprint("r", i), list) }
	many := ""
	for i := range mostPipelined + 100 {
		many += request(i)
	}
	for name, sent := range map[string]struct {
		text string
		open int
	}{
		"idle reader":    {request(0), 1},
		"too many":       {many, mostPipelined},
		"unreadable":     {request(0) + "nonsense\r\n", 1},
		"half a command": {request(0) + request(1)[:20], 1},
	} {
		for _, end := range []func(p *peer){func(p *peer) { p.nc.Close() }, (*peer).reset} {
			f := idle(t, freeAddr(t))
			c, p := pair(t, f)
			go c.read()
			p.write(sent.text)
			pump(t, f, func() bool { return len(f.requests) == sent.open })
			end(p)
			pump(t, f, func() bool { return len(f.requests) == 0 })
			if n := len(f.clients.all); n != 0 {
				t.Errorf("%s: %d connections are kept", name, n)
			}
			if held := f.clients.memory.held.Load(); held != 0 {
				t.Errorf("%s: %d bytes are kept", name, held)
			}
		}
	}
}

// The pause after a bad command ends with the connection.
func TestPauseEndsWithTheConnection(t *testing.T) {
	f := idle(t, freeAddr(t))
	c, p := pair(t, f)
	p.write("*1\r\n$4\r\nPI") // is kept
	come(t, c.nc)
	p.nc.Close()
	if c.pause(time.Hour) {
		t.Error("the end is not seen")
	}
	if got := string(c.in.Buffered()); got != "*1\r\n$4\r\nPI" {
		t.Errorf("kept %q", got)
	}
}

// What was read ahead while too many were open is taken when answers make room.
func TestReadAheadIsTaken(t *testing.T) {
	f := idle(t, freeAddr(t))
	f.ready.Store(true)
	c, p := pair(t, f)
	go c.read()
	p.write(command("Q.ASK", customer, "1", list))
	for range mostPipelined {
		p.write(command("PING"))
	}
	p.write(command("PI")) // it is answered last
	pump(t, f, func() bool { return len(f.requests) == 1 })
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		parked := c.parked
		c.mu.Unlock()
		if parked {
			break
		} else if time.Now().After(end) {
			t.Fatal("the reader does not wait")
		}
	}
	for _, r := range f.requests {
		f.answer(r, []byte("-BUSY\r\n"))
	}
	p.wants("-BUSY")
	for range mostPipelined {
		p.wants("+PONG")
	}
	p.wants("-ERR unknown command 'PI'")
}

// A client for which there is no place hears so though it has already sent its request.
func TestNoPlaceIsTold(t *testing.T) {
	f := idle(t, freeAddr(t))
	f.clients.most = noPlaceMost
	c, p := pair(t, f)
	p.command("Q.ASK", customer, "1", list)
	come(t, c.nc)
	f.clients.sendAway(c.nc)
	p.wantsPrefix("-BUSY ")
	p.wantsEnd()
}

// An error line is not lost to a reset though the client goes on sending.
func TestErrorLineOutlivesTheRest(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	c := w.dial()
	c.command("Q.ASK", customer, "1", list)
	b := accept(t, ln)
	b.message()
	c.write("nonsense\r\n" + strings.Repeat("x", 100<<10))
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
	c.wants("-ERR Protocol error")
	c.wantsEnd()
}

// The listener's deadline ends the taking of connections though clients go on coming.
func TestAcceptEndsUnderLoad(t *testing.T) {
	f := idle(t, freeAddr(t))
	ln := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for range 4 {
		go func() {
			for ctx.Err() == nil {
				if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
					nc.Close()
				}
			}
		}()
	}
	f.clients.close(ln)
	f.clients.accept(ln)
}

// until waits until the loop finds that something holds.
func (w *world) until(holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		got := make(chan bool)
		w.f.post(func() { got <- holds() })
		if <-got {
			return
		}
		if time.Now().After(end) {
			w.t.Fatal("it never came to that")
		}
	}
}

// A request whose client leaves while the counter is asked for it is not sent on when the answer comes.
func TestClientLeavesDuringACounterCall(t *testing.T) {
	ln, counter := listen(t), listen(t)
	w := start(t, []string{ln.Addr().String()}, func(c *Config, t *testing.T) {
		c.Counter = counter.Addr().String()
		c.Settings.SharedCounter, c.Settings.CounterTimeout = true, patient
		c.Settings.Plans[1].Burst = 1 // so the second request has to ask
	})
	metered := strings.Replace(list, "t=open", "t=starter", 1)
	c := w.dial()
	c.command("Q.ASK", customer, "1", metered)
	b := accept(t, ln)
	b.message()
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
	c.command("Q.ASK", customer, "2", metered)
	called := accept(t, counter)
	if line := called.message(); !strings.HasPrefix(line[0], "add ") {
		t.Fatalf("got %q", line)
	}
	c.nc.Close()
	w.until(func() bool { return len(w.f.requests) == 0 })
	called.write("ok 1\r\n")
	go func() { // what is put right afterwards
		for {
			if _, err := called.try(); err != nil {
				return
			}
			called.nc.Write([]byte("ok 1\r\n"))
		}
	}()
	w.until(func() bool { return len(w.f.counter.open) == 0 && len(w.f.events) == 0 })
	if !quiet(b.nc) {
		t.Error("it was sent on")
	}
	ln.Close()
	if w.until(func() bool { return w.f.backends.count <= 1 }); len(w.f.open) != 0 {
		t.Error("its id is kept")
	}
}

// A shutdown leaves a new connection the time to bring its first request, and no longer.
func TestNewConnectionHasTimeForItsRequest(t *testing.T) {
	f := idle(t, freeAddr(t))
	c, p := pair(t, f)
	c.idle.Store(int64(f.now() + time.Hour)) // it came just now, however slow this test is
	f.clients.drain()
	if c.closed || c.leaving() {
		t.Fatal("closed at once")
	}
	c.idle.Store(int64(f.now() - freshFor))
	f.clients.drain()
	p.wantsEnd()
}
