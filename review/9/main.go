// Command 9 shows a keyed request whose effect is had twice: a front door refuses it with -BUSY after the time for which
// backends drop repeats.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bellwood/review/rig"
)

const (
	backends   = 10
	window     = time.Second             // for repeats, as the settings tell it
	giveUp     = 2500 * time.Millisecond // of submit, over all tries of a client
	work       = 120 * time.Millisecond
	hangTime   = 11 * time.Second
	hangs      = 4 // one backend of ten hangs at a time, one after another
	calmTime   = 2 * time.Second
	clients    = 6 // at each front door
	pause      = 400 * time.Millisecond
	maxRetries = 2
)

// effect is what the backends together did for one key, and what the client was told.
type effect struct {
	runs    []oneRun
	refused map[string]time.Time // when a try was answered with -BUSY, by the id of the try
}

// oneRun is one time that the effect was had.
type oneRun struct {
	id string // of the request
	at time.Time
}

// last returns when the effect was had last.
func (e *effect) last() time.Time { return e.runs[len(e.runs)-1].at }

// jobs is what all backends together know of the keys: they drop a repeat within the window.
type jobs struct {
	mu      sync.Mutex
	byKey   map[string]*effect
	hanging string // the backend that takes requests and answers none
}

func main() {
	site := rig.ClujSemnare()
	site.Classes[1].Window = window
	rig.Case("9", site, run)
}

func run(fleet *rig.Fleet) (int, error) {
	all := &jobs{byKey: map[string]*effect{}}
	if err := fleet.StartBackends(backends, func(a *rig.Attempt) rig.Answer { return all.serve(fleet, a) }); err != nil {
		return rig.NotRun, err
	}
	if err := fleet.StartGateways(rig.Limits{Cores: 1, MemoryMB: 128, Sockets: 1024}); err != nil {
		return rig.NotRun, err
	}
	end := time.Now().Add(calmTime + hangs*hangTime)
	var ended sync.WaitGroup
	for g := range fleet.Gateways {
		for c := range clients {
			ended.Go(func() { client(fleet, all, g, c, end) })
		}
	}
	time.Sleep(calmTime)
	for i := range hangs {
		name := fleet.Backends[i].Name
		if fleet.Trouble {
			fleet.Record.Logf("backend %s hangs: it takes requests and answers none", name)
			all.setHanging(name)
		}
		time.Sleep(hangTime)
	}
	all.setHanging("")
	ended.Wait()
	if err := fleet.Crashed(); err != nil {
		return rig.NotRun, err
	}
	return all.check(fleet), nil
}

// job returns what is known of a key. The caller holds mu.
func (j *jobs) job(key string) *effect {
	if j.byKey[key] == nil {
		j.byKey[key] = &effect{refused: map[string]time.Time{}}
	}
	return j.byKey[key]
}

// recordRefusal records that a try was answered with -BUSY.
func (j *jobs) recordRefusal(key, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.job(key).refused[id] = time.Now()
}

func (j *jobs) setHanging(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.hanging = name
}

// serve has the effect of a request, unless it is a repeat within the window. A backend that hangs does the work as well, but
// answers nothing.
func (j *jobs) serve(fleet *rig.Fleet, a *rig.Attempt) rig.Answer {
	j.mu.Lock()
	defer j.mu.Unlock()
	what := "runs"
	if key := a.Fields["k"]; a.Fields["c"] == "submit" {
		job := j.job(key)
		if len(job.runs) > 0 && a.At.Sub(job.last()) < window {
			what = "drops the repeat of"
		} else {
			job.runs = append(job.runs, oneRun{a.ID, a.At})
		}
	}
	if a.Backend == j.hanging {
		fleet.Record.Logf("backend %s %s %s k=%s and does not answer", a.Backend, what, a, a.Fields["k"])
		return rig.Answer{After: work}
	}
	if a.Fields["c"] == "submit" {
		fleet.Record.Logf("backend %s %s %s k=%s", a.Backend, what, a, a.Fields["k"])
	}
	return rig.Answer{After: work, Text: rig.Value(a.ID)}
}

// client sends requests until the end. It retries a submit as the wire page tells: after any failure within the window, and
// later only after a refusal; never after the time that it waits in all.
func client(fleet *rig.Fleet, all *jobs, gateway, number int, end time.Time) {
	random := rand.New(rand.NewPCG(uint64(gateway), uint64(number)))
	addr := fleet.Gateways[gateway].Config.Listen
	customer := fmt.Sprintf("%016x", 0x1000+gateway*16+number)
	var conn *rig.Conn
	for job := 0; time.Now().Before(end); job++ {
		key := fmt.Sprintf("%02x%02x%012x", gateway+1, number, job)
		begun := time.Now()
		try := time.Duration((0.5 + random.Float64()/2) * float64(giveUp)) // a try is given up after 50 to 100% of it
		for attempt := 0; attempt <= maxRetries; attempt++ {
			left := min(try, giveUp-time.Since(begun)).Truncate(time.Millisecond)
			if left < 100*time.Millisecond {
				break
			}
			if conn == nil {
				var err error
				if conn, err = rig.Dial(addr); err != nil {
					fleet.Record.Logf("client %d.%d: %v", gateway, number, err)
					return
				}
			}
			id := fmt.Sprintf("%02x%02x%010x%02x", gateway+1, number, job, attempt)
			request := rig.NewRequest(id, left)
			fleet.Record.Logf("client sends %s k=%s d=%d to n%d", id, key, left.Milliseconds(), gateway)
			err := conn.Send(request, rig.Command("Q.DO", customer, id, rig.Fields("submit", "mare", left, key, 3, 0), "image"))
			if err == nil {
				select {
				case <-request.Done():
				case <-time.After(left):
				}
			}
			reply, _, _, answered := request.Result()
			fleet.Record.Logf("client has %s k=%s answered %v: %s, %.3f s after its first try", id, key, answered, reply,
				time.Since(begun).Seconds())
			if !answered || err != nil { // given up; the answer to it is not awaited
				conn.Close()
				conn = nil
			}
			if reply.Served {
				break
			}
			if reply.Busy() {
				all.recordRefusal(key, id)
			}
			if !reply.Busy() && time.Since(begun) >= window {
				break
			}
		}
		time.Sleep(pause/2 + time.Duration(random.Float64()*float64(pause)))
	}
	if conn != nil {
		conn.Close()
	}
}

// check reports whether the effect of a job was had again after a front door had refused the try that had it first: by a later
// try, which the refusal called harmless. A repeat that a client sent without a refusal doesn't count.
func (j *jobs) check(fleet *rig.Fleet) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	code, broken := rig.Held, 0
	for key, job := range j.byKey {
		for i := 1; i < len(job.runs); i++ {
			first, second := job.runs[i-1], job.runs[i]
			refusedAt, refused := job.refused[first.id]
			if second.id != first.id && (!refused || refusedAt.After(second.at)) {
				fleet.Record.Logf("the job k=%s ran twice, but its first try was not refused", key)
				continue
			}
			broken++
			code = rig.Broken
			fleet.Record.Logf("BROKEN: the job k=%s ran for %s; this was refused %.3f s later; it ran again for %s, %.3f s after the first time",
				key, first.id, refusedAt.Sub(first.at).Seconds(), second.id, second.at.Sub(first.at).Seconds())
		}
	}
	fleet.Record.Logf("%d jobs; %d ran again after a refusal", len(j.byKey), broken)
	return code
}
