package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// soakSeeds is the number of seeds that TestDrainsAreObeyedUnderDiscoveryFaults plays; they are 1, 2 and so on.
var soakSeeds = flag.Int("soak-seeds", 6, "seeds of the drain soak")

const (
	soakGroups    = 5 // of backends; a group drains as a whole
	soakTime      = 4 * time.Second
	soakKillAfter = 3700 * time.Millisecond
)

// A real gateway is killed, terminated and started again while groups of backends drain and discovery's watch is reset,
// silent or slow, sends whole lists that leave out what drains, or sends them in pieces. No request reaches a backend
// later than drainDeadline after the agent had its drain.
func TestDrainsAreObeyedUnderDiscoveryFaults(t *testing.T) {
	for seed := 1; seed <= *soakSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newDrainSoak(t, uint64(seed)).run() })
	}
}

// drainSoak is one run of the soak.
type drainSoak struct {
	t         *testing.T
	random    *rand.Rand // of the test's goroutine
	backends  int
	throttled bool
	groups    [soakGroups]*recordingBackend
	discovery *soakDiscovery
	address   string
	process   *exec.Cmd
	stopped   context.CancelFunc // ends the throttling of the process
	log       syncBuffer
}

func newDrainSoak(t *testing.T, seed uint64) *drainSoak {
	soak := &drainSoak{t: t, random: rand.New(rand.NewPCG(seed, 0)), address: freeAddr(t)}
	soak.backends = []int{10, 300, 3200}[soak.random.IntN(3)]
	soak.throttled = soak.random.IntN(2) == 0 && !raceDetector
	for i := range soak.groups {
		soak.groups[i] = startRecordingBackend(t)
	}
	soak.discovery = &soakDiscovery{soak: soak, random: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{}),
		version: 1}
	agent := httptest.NewServer(http.HandlerFunc(soak.discovery.serve))
	t.Cleanup(agent.Close)
	t.Cleanup(agent.CloseClientConnections)
	soak.discovery.server = agent
	return soak
}

// run plays the soak: a start while the first group drains already, and two more drains, a restart between them.
func (soak *drainSoak) run() {
	ctx, cancel := context.WithTimeout(soak.t.Context(), soakTime+2*maxReadyTime)
	defer cancel()
	known := soak.discovery.list(true)
	soak.discovery.drain(0)
	soak.start(known)
	started := []time.Time{time.Now()}
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() { sendRequests(ctx, soak.address, i) })
	}
	soak.awaitServed(started[0])
	soak.pause(400)
	soak.discovery.faultAndDrain(1)
	soak.pause(600)
	known = soak.discovery.list(true)
	soak.stop()
	soak.discovery.drain(2)
	soak.start(known)
	started = append(started, time.Now())
	soak.awaitServed(started[1])
	soak.pause(400)
	soak.discovery.faultAndDrain(3)
	soak.pause(700)
	cancel()
	clients.Wait()
	soak.stop()
	soak.check(started)
}

// pause waits for a random time around the given number of milliseconds.
func (soak *drainSoak) pause(milliseconds int) {
	time.Sleep(time.Duration(milliseconds/2+soak.random.IntN(milliseconds)) * time.Millisecond)
}

// start starts the gateway with a list as the last known one.
func (soak *drainSoak) start(known map[string]any) {
	soak.discovery.processStarted()
	agent := strings.TrimPrefix(soak.discovery.server.URL, "http://")
	soak.process = startListedGateway(soak.t, soak.address, agent, known, &soak.log)
	ctx, cancel := context.WithCancel(context.Background())
	soak.stopped = cancel
	if soak.throttled {
		go throttle(ctx, soak.process.Process)
	}
}

// stop ends the gateway by SIGKILL, or by SIGTERM and, at the earliest that the operators state, SIGKILL.
func (soak *drainSoak) stop() {
	if soak.random.IntN(2) == 0 {
		soak.process.Process.Signal(syscall.SIGTERM)
		soak.process.Process.Signal(syscall.SIGTERM)
		timer := time.AfterFunc(soakKillAfter, func() { soak.process.Process.Kill() })
		defer timer.Stop()
	} else {
		soak.process.Process.Kill()
	}
	soak.process.Wait()
	soak.stopped()
}

// awaitServed waits until a backend in service has received a request since the given time.
func (soak *drainSoak) awaitServed(since time.Time) {
	soak.t.Helper()
	for end := time.Now().Add(maxReadyTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if requests := soak.groups[soakGroups-1].requests(since); len(requests) > 0 && requests[len(requests)-1] > 0 {
			return
		}
	}
	soak.t.Errorf("no request was served within %v of a start:\n%s", maxReadyTime, soak.log.String())
}

// check compares the arrivals at each group with the moment from which its drain counts as notified: when the agent had it,
// or the start of a process that started later.
func (soak *drainSoak) check(started []time.Time) {
	for group, backend := range soak.groups {
		drained := soak.discovery.drainedAt[group]
		if drained.IsZero() {
			continue
		}
		for _, arrival := range backend.requests(drained) {
			notified := time.Duration(0)
			for _, start := range started {
				if after := start.Sub(drained); after <= arrival {
					notified = max(notified, after)
				}
			}
			if arrival-notified > drainDeadline {
				soak.t.Errorf("%d backends, throttled %v: a request reached group %d %v after the notification of its drain (%s)\n%s",
					soak.backends, soak.throttled, group, arrival-notified, soak.discovery.faults(), soak.log.String())
				return
			}
		}
	}
}

// soakDiscovery is a discovery agent with faults.
type soakDiscovery struct {
	soak   *drainSoak
	server *httptest.Server

	mu        sync.Mutex // guards the fields below
	random    *rand.Rand
	version   int
	drainedAt [soakGroups]time.Time
	changed   chan struct{} // closed at the next change
	calls     int           // since the last start of a process
	log       []string
}

// processStarted makes the next call the first one of a process.
func (d *soakDiscovery) processStarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = 0
}

// drain drains a group. The agent has this change from then on.
func (d *soakDiscovery) drain(group int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.drainedAt[group] = time.Now()
	close(d.changed)
	d.changed = make(chan struct{})
}

// faultAndDrain drains a group, in half of the cases just after all watches were reset.
func (d *soakDiscovery) faultAndDrain(group int) {
	d.mu.Lock()
	reset := d.random.IntN(2) == 0
	d.note("reset before drain %d: %v", group, reset)
	d.mu.Unlock()
	if reset {
		d.server.CloseClientConnections()
	}
	d.drain(group)
}

// note records a fault. The caller holds mu.
func (d *soakDiscovery) note(format string, args ...any) {
	d.log = append(d.log, fmt.Sprintf(format, args...))
}

func (d *soakDiscovery) faults() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.log, "; ")
}

// list returns the whole list as of now. It has the draining backends only if asked to.
func (d *soakDiscovery) list(withDraining bool) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked(withDraining)
}

func (d *soakDiscovery) listLocked(withDraining bool) map[string]any {
	entries := []map[string]any{}
	for i := range d.soak.backends {
		group, status := i%soakGroups, "SERVING"
		if !d.drainedAt[group].IsZero() {
			status = "DRAINING"
		}
		if status == "SERVING" || withDraining {
			entries = append(entries, listEntry(i, d.soak.groups[group].address, status))
		}
	}
	return map[string]any{"index": d.version, "snapshot": true, "endpoints": entries}
}

// answer is what the agent does with a call.
type answer struct {
	silent bool   // sends nothing
	text   string // the list, if the watch is to be told anything
	pieces int    // in which the text is sent
	next   <-chan struct{}
}

// serve answers a watch: with the whole list at first, in one of several forms, and after each change.
func (d *soakDiscovery) serve(rw http.ResponseWriter, r *http.Request) {
	for first := true; ; first = false {
		answer := d.nextAnswer(first)
		if answer.silent {
			<-r.Context().Done()
			return
		}
		for i := range answer.pieces {
			part := answer.text[len(answer.text)*i/answer.pieces : len(answer.text)*(i+1)/answer.pieces]
			if _, err := io.WriteString(rw, part); err != nil {
				return
			}
			rw.(http.Flusher).Flush()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
		}
		select {
		case <-answer.next:
		case <-r.Context().Done():
			return
		}
	}
}

// nextAnswer chooses how a call or change is answered. Only the first call of a process may get no answer.
func (d *soakDiscovery) nextAnswer(first bool) answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first {
		d.calls++
	}
	result := answer{next: d.changed, pieces: 1 + d.random.IntN(6)*d.random.IntN(2)}
	if first && d.calls == 1 && d.random.IntN(4) == 0 {
		d.note("silent first call")
		result.silent = true
		return result
	}
	leavesOut := d.random.IntN(2) == 0
	d.note("whole list in %d pieces, leaves out what drains: %v", result.pieces, leavesOut)
	text, _ := json.Marshal(d.listLocked(!leavesOut)) // can't fail: only strings and numbers
	result.text = string(text) + "\n"
	return result
}
