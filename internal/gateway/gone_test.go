package gateway

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bellwood/internal/policy"
	"bellwood/internal/resp"
)

// ended waits until the end of a connection has come to this side, whatever lies before it.
func ended(t *testing.T, c *clientConn) {
	t.Helper()
	for end := time.Now().Add(patient); !hungUp(c.nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end has not come")
		}
	}
}

// ask makes a client ask and takes the request as its reader would, which then stands still.
func (p *peer) ask(f *Server, c *clientConn, id string) *request {
	p.t.Helper()
	p.command("Q.ASK", customer, id, list)
	m, err := c.in.Next()
	if err != nil || !c.command(m) {
		p.t.Fatal("the request is not taken: ", err)
	}
	pump(p.t, f, func() bool { return f.open[id] })
	f.events = nil
	for _, r := range f.requests {
		if string(r.ask.args[2]) == id {
			return r
		}
	}
	return nil
}

// A client has left once the end of its connection has come, though its reader has not read so far: no attempt
// begins for it, on whatever way, and all that it has asked ends.
func TestEndThatIsNotYetReadStopsTheSend(t *testing.T) {
	send := func(f *Server, r *request) { f.send(r, policy.SendAttempt{ID: r.id, Backend: "s-0"}) }
	ways := map[string]func(t *testing.T, f *Server, r *request, b func() *peer, leave func()) *peer{
		"new connection": func(t *testing.T, f *Server, r *request, b func() *peer, leave func()) *peer {
			leave()
			send(f, r)
			return nil
		},
		"idle connection": func(t *testing.T, f *Server, r *request, b func() *peer, leave func()) *peer {
			first := try(t, f)
			warm := b()
			pump(t, f, func() bool { return first.conn.sent.Load() == whole })
			warm.message()
			warm.write("*1\r\n$1\r\nx\r\n")
			pump(t, f, func() bool { return len(f.backends.all["s-0"].idle) == 1 })
			f.answer(first.r, nil)
			leave()
			send(f, r)
			return warm
		},
		"pending dial": func(t *testing.T, f *Server, r *request, b func() *peer, leave func()) *peer {
			send(f, r)
			up := b() // but the loop has not heard of it
			leave()
			return up
		},
		"further attempt": func(t *testing.T, f *Server, r *request, b func() *peer, leave func()) *peer {
			send(f, r)
			warm := b()
			pump(t, f, func() bool { return r.attempts[0].conn.sent.Load() == whole })
			warm.message()
			warm.write("-ERR failed\r\n")
			pump(t, f, func() bool { return r.open == 0 })
			leave()
			send(f, r)
			return warm
		},
		"further attempt after a reset": func(t *testing.T, f *Server, r *request, b func() *peer, leave func()) *peer {
			send(f, r)
			old := b()
			pump(t, f, func() bool { return r.attempts[0].conn.sent.Load() == whole })
			old.message()
			old.reset()
			pump(t, f, func() bool { return r.open == 0 })
			leave()
			send(f, r)
			return nil
		},
	}
	for name, way := range ways {
		for behind, text := range map[string]string{"nothing": "", "a command": command("PING"),
			"much": command("Q.DO", customer, "9", keyed, strings.Repeat("b", 30<<10))} {
			for how, end := range map[string]func(p *peer){"closes": func(p *peer) { p.nc.Close() }, "resets": (*peer).reset} {
				t.Run(name+", "+how+" behind "+behind, func(t *testing.T) {
					ln := listen(t)
					f := idle(t, ln.Addr().String())
					f.backends.settle = 0
					c, p := pair(t, f)
					r, other := p.ask(f, c, "2"), p.ask(f, c, "3")
					b := way(t, f, r, func() *peer { return accept(t, ln) }, func() {
						p.write(text)
						end(p)
						ended(t, c)
					})
					last := r.attempts[len(r.attempts)-1]
					pump(t, f, func() bool { return last.ended || last.conn != nil && last.conn.sent.Load() != unsent })
					if !last.ended {
						t.Fatal("it is sent on")
					}
					told := outcomes(f)
					if last := told[len(told)-1]; last.Status != policy.NotSent || !last.RequestClosed {
						t.Errorf("outcomes %+v", told)
					}
					if b != nil && name != "pending dial" && !quiet(b.nc) {
						t.Error("the backend got something")
					} else if name == "pending dial" {
						b.wantsEnd()
					} else if b == nil && f.backends.count != 0 {
						t.Error("a connection is made")
					}
					go c.read()
					pump(t, f, func() bool { return len(f.requests) == 0 && len(f.clients.all) == 0 })
					if !other.ended || len(f.open) != 0 {
						t.Error("what else it asked goes on")
					}
				})
			}
		}
	}
}

// With all places of a connection taken, and more read ahead than may be, the reader waits and reads no further. The
// end behind that is seen when one of the requests is to go out.
func TestEndBehindTheReadAheadStopsTheSend(t *testing.T) {
	many := ""
	for i := range mostPipelined {
		many += command("Q.ASK", customer, fmt.Sprint("r", i), list)
	}
	for len(many) < mostPipelined*len(command("Q.ASK", customer, "r", list))+resp.MaxMessageBytes+(32<<10) {
		many += command("Q.ASK", customer, fmt.Sprint("s", len(many)), list)
	}
	for how, end := range map[string]func(p *peer){"closes": func(p *peer) { p.nc.Close() }, "resets": (*peer).reset} {
		t.Run(how, func(t *testing.T) {
			ln := listen(t)
			f := idle(t, ln.Addr().String())
			c, p := pair(t, f)
			go c.read()
			p.write(many)
			pump(t, f, func() bool { return len(f.requests) == mostPipelined })
			end(p)
			ended(t, c)
			f.events = nil
			for _, r := range f.requests {
				f.send(r, policy.SendAttempt{ID: r.id, Backend: "s-0"})
				break
			}
			if len(outcomes(f)) == 0 {
				t.Fatal("it is sent on")
			}
			wantOutcome(t, f, policy.NotSent)
			pump(t, f, func() bool { return len(f.requests) == 0 && len(f.clients.all) == 0 })
			if held := f.clients.memory.held.Load(); held != 0 || f.backends.count != 0 {
				t.Errorf("%d bytes and %d connections are kept", held, f.backends.count)
			}
		})
	}
}

// A connection can be closed while its reader is about to read: the closing waits for the reader, which must not
// wait for who closes.
func TestCloseCrossingARead(t *testing.T) {
	f := idle(t, freeAddr(t))
	c, p := pair(t, f)
	c.mu.Lock()
	read := make(chan error, 1)
	go func() {
		_, err := c.receive(make([]byte, 1))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond) // it gets as far as it can
	closed := make(chan struct{})
	go func() {
		c.close()
		c.mu.Unlock()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(patient):
		t.Fatal("the closing and the reader wait for each other")
	}
	if err := <-read; err == nil {
		t.Error("something was read")
	}
	p.wantsEnd()
}

// asked is a command that a stand-in backend has got.
type asked struct {
	by *peer
	id string
	d  int // milliseconds
}

func (a asked) value() { a.by.write("*1\r\n" + bulk("value")) }

// standIn is a backend that takes all that comes to a listener and tells of each whole command.
func standIn(t *testing.T, ln net.Listener) <-chan asked {
	got := make(chan asked, 1024)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p := &peer{t, nc, bufio.NewReader(nc)}
			t.Cleanup(func() { nc.Close() })
			go func() {
				for {
					m, err := p.try()
					if err != nil {
						return
					}
					if len(m) < 4 { // a probe
						nc.Write([]byte("+PONG\r\n"))
						continue
					}
					a := asked{by: p, id: m[2]}
					for _, item := range strings.Split(m[3], ",") {
						if v, ok := strings.CutPrefix(item, "d="); ok {
							a.d, _ = strconv.Atoi(v)
						}
					}
					got <- a
				}
			}()
		}
	}()
	return got
}

// next waits for the next command.
func next(t *testing.T, got <-chan asked) asked {
	t.Helper()
	select {
	case a := <-got:
		return a
	case <-time.After(patient):
		t.Fatal("nothing is sent on")
		return asked{}
	}
}

// hold stops the loop until the returned function is called.
func (w *world) hold() (release func()) {
	holds, until := make(chan struct{}), make(chan struct{})
	w.f.post(func() {
		close(holds)
		<-until
	})
	<-holds
	release = sync.OnceFunc(func() { close(until) })
	w.t.Cleanup(release) // a failed test must not wait for the loop
	return release
}

// posted waits until so many tasks wait for a loop that is held.
func (w *world) posted(n int) {
	w.t.Helper()
	for end := time.Now().Add(patient); len(w.f.tasks) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("%d tasks wait, not %d", len(w.f.tasks), n)
		}
	}
}

// A client leaves while its request waits, in the whole front door: what is sent on next is what another client asks
// afterwards.
func TestNothingIsSentOnForAClientThatHasLeft(t *testing.T) {
	leaves := func(w *world, p *peer) {
		p.nc.Close()
		w.until(func() bool { return !w.f.open["victim"] })
	}
	// fill asks until a request waits for a slot, and returns what is out.
	fill := func(w *world, c *peer, got <-chan asked) (out []asked) {
		for i := 0; ; i++ {
			c.command("Q.ASK", customer, fmt.Sprint("filler", i), list)
			w.until(func() bool { return w.f.open[fmt.Sprint("filler", i)] })
			sent := 0
			w.until(func() bool {
				sent = 0
				for _, r := range w.f.requests {
					sent += len(r.attempts)
				}
				return true
			})
			if sent == i {
				return out
			}
			out = append(out, next(t, got))
		}
	}
	for name, place := range map[string]func(w *world, victim, other *peer, got <-chan asked){
		"posted to the loop": func(w *world, victim, other *peer, got <-chan asked) {
			release := w.hold()
			victim.command("Q.ASK", customer, "victim", list)
			victim.nc.Close()
			w.posted(2) // it has come, and gone
			release()
		},
		"in a queue": func(w *world, victim, other *peer, got <-chan asked) {
			out := fill(w, other, got)
			victim.command("Q.ASK", customer, "victim", list)
			w.until(func() bool { return w.f.open["victim"] })
			leaves(w, victim)
			for _, a := range out {
				a.value()
			}
			for range out {
				other.wants("value")
			}
			next(w.t, got).value() // the filler that waited
			other.wants("value")
		},
		"before a further attempt": func(w *world, victim, other *peer, got <-chan asked) {
			victim.command("Q.ASK", customer, "victim", list)
			first := next(w.t, got)
			other.command("Q.ASK", customer, "filler", list)
			out := next(w.t, got)
			first.by.write("-BUSY\r\n") // which leaves less than a slot, and the other one holds it
			w.until(func() bool {
				for _, r := range w.f.requests {
					if string(r.ask.args[2]) == "victim" {
						return len(r.attempts) == 1 && r.open == 0
					}
				}
				return false
			})
			leaves(w, victim)
			out.value()
			other.wants("value")
		},
		"as its connection breaks": func(w *world, victim, other *peer, got <-chan asked) {
			victim.command("Q.ASK", customer, "victim", list)
			first := next(w.t, got)
			release := w.hold()
			first.by.reset()
			w.posted(1)
			victim.nc.Close()
			w.posted(2)
			release()
		},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			w := start(t, []string{ln.Addr().String()}, unsettled)
			w.t = t
			got := standIn(t, ln)
			victim, other := w.dial(), w.dial()
			place(w, victim, other, got)
			w.until(func() bool { return len(w.f.requests) == 0 })
			other.command("Q.ASK", customer, "marker", list)
			if a := next(t, got); a.id != "marker" {
				t.Errorf("%s is sent on", a.id)
			}
		})
	}
	t.Run("no backend", func(t *testing.T) {
		ln := listen(t)
		w := start(t, nil)
		got := standIn(t, ln)
		victim, other := w.dial(), w.dial()
		victim.command("Q.ASK", customer, "victim", list)
		w.until(func() bool { return w.f.open["victim"] })
		leaves(w, victim)
		w.news <- members(2, ln.Addr().String())
		w.until(func() bool { return len(w.f.backends.all) == 1 })
		other.command("Q.ASK", customer, "marker", list)
		if a := next(t, got); a.id != "marker" {
			t.Errorf("%s is sent on", a.id)
		}
	})
}

// A command of which a part is written to a backend that does not read never becomes whole once its client has left.
func TestHalfWrittenCommandStaysHalf(t *testing.T) {
	small := newClosedPort(t)
	if err := syscall.SetsockoptInt(int(small.file.Fd()), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048); err != nil {
		t.Fatal(err)
	}
	ln := small.open(t, 16)
	f := idle(t, ln.Addr().String())
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc.(*net.TCPConn).SetWriteBuffer(4096)
	pool := f.backends.all["s-0"]
	conn := &conn{f: f, b: pool, era: pool.era, nc: nc, dial: func() {}} // it has served before
	f.backends.count++
	pool.conns[conn], pool.idle = true, append(pool.idle, conn)
	c, p := pair(t, f)
	go c.read()
	p.command("Q.DO", customer, "1", keyed, strings.Repeat("b", resp.MaxValueBytes))
	pump(t, f, func() bool { return len(f.requests) == 1 })
	f.events = nil
	for _, r := range f.requests {
		f.send(r, policy.SendAttempt{ID: r.id, Backend: "s-0"})
	}
	if conn.attempt == nil || conn.sent.Load() != sending {
		t.Fatal("the command is not half written")
	}
	p.nc.Close()
	pump(t, f, func() bool { return len(f.requests) == 0 })
	wantOutcome(t, f, policy.Cancelled)
	if !conn.closed || f.backends.count != 0 {
		t.Error("the connection stays open")
	}
	if m, err := accept(t, ln).try(); err == nil {
		t.Errorf("the backend got %.40q whole", m)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("the backend's connection does not end")
	}
}

// late is a backend's address at which connections come up late: the system drops what asks for one while the line
// is full, and the asker tries again after a second.
type late struct {
	t      *testing.T
	ln     net.Listener
	filler net.Conn
}

func newLate(t *testing.T) *late {
	t.Helper()
	l := &late{t: t, ln: newClosedPort(t).open(t, 0)}
	l.close()
	return l
}

// close makes further connections wait.
func (l *late) close() {
	l.t.Helper()
	nc, err := net.Dial("tcp", l.ln.Addr().String())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { nc.Close() })
	l.filler = nc
}

// open lets them come up.
func (l *late) open() {
	l.t.Helper()
	if p := accept(l.t, l.ln); p.nc.RemoteAddr().String() != l.filler.LocalAddr().String() {
		l.t.Fatal("a connection came up before")
	}
}

// dialling waits until a connection to a backend is asked for, and not up.
func (w *world) dialling() {
	w.t.Helper()
	w.until(func() bool {
		for _, b := range w.f.backends.all {
			for c := range b.conns {
				if c.nc == nil && c.attempt != nil {
					return true
				}
			}
		}
		return false
	})
}

// A client that leaves while a connection comes up late takes its request along.
func TestClientLeavesBeforeALateConnectionIsUp(t *testing.T) {
	l := newLate(t)
	w := start(t, []string{l.ln.Addr().String()})
	victim, other := w.dial(), w.dial()
	victim.command("Q.ASK", customer, "victim", list)
	w.dialling()
	victim.nc.Close()
	w.until(func() bool { return len(w.f.requests) == 0 && w.f.backends.count == 0 })
	l.open()
	got := standIn(t, l.ln)
	other.command("Q.ASK", customer, "marker", list)
	if a := next(t, got); a.id != "marker" {
		t.Errorf("%s is sent on", a.id)
	}
}

// An attempt whose connection comes up late tells its backend what is left to the client then, the first and a
// further one.
func TestLateConnectionIsToldWhatIsLeft(t *testing.T) {
	const most, wait = 8 * time.Second, 300 * time.Millisecond
	l := newLate(t)
	w := start(t, []string{l.ln.Addr().String()})
	c := w.dial()
	c.command("Q.ASK", customer, "1", strings.Replace(list, "d=20000", fmt.Sprint("d=", most.Milliseconds()), 1))
	w.until(func() bool { return w.f.open["1"] })
	come := time.Now() // or before
	for _, which := range []string{"first", "further"} {
		w.dialling()
		time.Sleep(wait)
		up := time.Now() // or later
		l.open()
		b := accept(t, l.ln)
		m := b.message()
		told := 0
		for _, item := range strings.Split(m[3], ",") {
			fmt.Sscanf(item, "d=%d", &told)
		}
		if left := most - up.Sub(come); told < 1 || time.Duration(told)*time.Millisecond > left {
			t.Errorf("the %s attempt tells %d ms, and %v is left", which, told, left)
		}
		l.close()
		b.reset()
	}
}
