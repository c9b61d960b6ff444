// Command 10 shows that front doors that start while discovery is down send requests to backends that drain.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"bellwood/review/rig"
)

const (
	backends  = 10
	killed    = 2 // of the three front doors
	draining  = 2 // backends that begin to drain while the front doors are down
	work      = 120 * time.Millisecond
	clients   = 8 // at each front door
	pause     = 200 * time.Millisecond
	outage    = 8 * time.Second
	afterward = 3 * time.Second
	// A send to a backend that drains may come 250 ms after the front door was told, and each time limit is longer by 50 ms on
	// sockets. The rest is for this machine.
	grace = 250*time.Millisecond + 50*time.Millisecond + 100*time.Millisecond
)

// world is what the backends that drain know.
type world struct {
	fleet  *rig.Fleet
	mu     sync.Mutex
	drains map[string]bool
	told   time.Time // when the new processes count as told
	late   int       // attempts at a backend that drains, later than the grace
}

func main() { rig.Case("10", rig.ClujSemnare(), run) }

func run(fleet *rig.Fleet) (int, error) {
	w := &world{fleet: fleet, drains: map[string]bool{}}
	if err := fleet.StartBackends(backends, w.serve); err != nil {
		return rig.NotRun, err
	}
	if err := fleet.StartGateways(rig.Limits{Cores: 1, MemoryMB: 128, Sockets: 1024}); err != nil {
		return rig.NotRun, err
	}
	stop := make(chan struct{})
	var ended sync.WaitGroup
	for g := range fleet.Gateways {
		for c := range clients {
			ended.Go(func() { w.client(g, c, stop) })
		}
	}
	time.Sleep(2 * time.Second)

	for _, gateway := range fleet.Gateways[:killed] {
		gateway.Signal(syscall.SIGKILL)
		<-gateway.Ended()
	}
	time.Sleep(500 * time.Millisecond)
	w.beginDrain()
	time.Sleep(500 * time.Millisecond)
	if fleet.Trouble {
		fleet.Record.Logf("discovery is down: the agents are silent")
		w.setSilent(true)
	}
	time.Sleep(200 * time.Millisecond)
	w.mu.Lock()
	w.told = time.Now()
	w.mu.Unlock()
	for _, gateway := range fleet.Gateways[:killed] { // with the list that it last had, which is older than the drain
		if err := gateway.Start(); err != nil {
			return rig.NotRun, err
		}
	}
	time.Sleep(outage)
	if fleet.Trouble {
		fleet.Record.Logf("discovery is back")
		w.setSilent(false)
	}
	time.Sleep(afterward)
	close(stop)
	ended.Wait()
	if err := fleet.Crashed(); err != nil {
		return rig.NotRun, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fleet.Record.Logf("%d attempts at backends that drain, later than %v after the start of the new processes", w.late, grace)
	if w.late > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}

func (w *world) setSilent(silent bool) {
	for _, agent := range w.fleet.Agents {
		agent.SetSilent(silent)
	}
}

// beginDrain lets backends drain, and all agents know it.
func (w *world) beginDrain() {
	var entries []rig.Entry
	w.mu.Lock()
	for _, entry := range w.fleet.Entries()[:draining] {
		entry.Status = "DRAINING"
		entries = append(entries, entry)
		w.drains[entry.Name] = true
		w.fleet.Record.Logf("backend %s begins to drain, and the agents know it", entry.Name)
	}
	w.mu.Unlock()
	for _, agent := range w.fleet.Agents {
		agent.Change(entries)
	}
}

// serve answers a request, or turns it away if the backend drains.
func (w *world) serve(a *rig.Attempt) rig.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.drains[a.Backend] {
		w.fleet.Record.Logf("an attempt: %s", a)
		return rig.Answer{After: work, Text: rig.Value(a.ID)}
	}
	after := time.Since(w.told)
	w.fleet.Record.Logf("backend %s drains and gets %s, %.3f s after the start", a.Backend, a, after.Seconds())
	if !w.told.IsZero() && after > grace {
		w.late++
	}
	return rig.Answer{Text: "-BUSY\r\n"}
}

// client sends one request after another, and connects again when its connection has ended.
func (w *world) client(gateway, number int, stop chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(gateway), uint64(number)))
	addr := w.fleet.Gateways[gateway].Config.Listen
	customer := fmt.Sprintf("%016x", 0x1000+gateway*256+number)
	var conn *rig.Conn
	for n := 0; ; n++ {
		select {
		case <-stop:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(pause))):
		}
		if conn == nil {
			var err error
			if conn, err = rig.Dial(addr); err != nil {
				conn = nil
				continue
			}
		}
		id := fmt.Sprintf("%02x%02x%012x", gateway+1, number, n)
		request := rig.NewRequest(id, 4*time.Second)
		w.fleet.Record.Logf("the client sends %s to n%d", id, gateway)
		err := conn.Send(request, rig.Command("Q.ASK", customer, id, rig.Fields("status", "mare", 4*time.Second, "", 3, 0)))
		if err == nil {
			<-request.Done()
			var reply rig.Reply
			reply, _, err, _ = request.Result()
			w.fleet.Record.Logf("the client has %s answered: %s %v", id, reply, err)
		}
		if err != nil {
			conn.Close()
			conn = nil
		}
	}
}
