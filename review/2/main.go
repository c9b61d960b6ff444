// Case 2: answers that are ready behind a slow one are not counted in the memory that clients may use, and the gateway goes
// over its memory limit.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bellwood/review/stand"
)

const (
	backends   = 14
	hanging    = 2 // 14% of the backends; the page allows 19%
	clients    = 4
	commands   = 250
	valueBytes = 60_000 // the page allows 64 KiB
	work       = 100 * time.Millisecond
	d          = 5 * time.Second // of status
	memoryMB   = 36              // the page has 32 to 192 MB
	watchEvery = 5 * time.Millisecond
)

var answered, unanswered atomic.Int64

func main() {
	runtime.LockOSThread() // the gateways die with this thread
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(root, recordPath string, trouble bool) int {
	site, err := stand.StartSite(stand.SiteConfig{Root: root, RecordPath: recordPath, Backends: backends, Work: work,
		ValueBytes: valueBytes, Limits: stand.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: 1024}})
	defer site.End()
	if err != nil {
		fmt.Println("could not run:", err)
		return stand.NotRun
	}
	g := site.Gateways[0]
	for range 20 { // a quiet time: one request after another
		exchange(site, g, 1)
	}
	if unanswered.Load() > 0 {
		fmt.Println("could not run: a request of the quiet time was not answered")
		return stand.NotRun
	}
	for i := range hanging {
		site.Backends[i].Hangs.Store(trouble)
		site.Record.Line("%s hangs: %v", site.Backends[i].Name, trouble)
	}
	done := make(chan struct{})
	killed := make(chan bool)
	go func() { killed <- platform(site, g, done) }()
	var asking sync.WaitGroup
	for range clients {
		asking.Go(func() { exchange(site, g, commands) })
	}
	asking.Wait()
	close(done)
	over := <-killed
	site.Record.Say("%d answered; no answer, because the connection ended: %d that a backend ran", answered.Load(), unanswered.Load())
	select {
	case <-g.Exited:
		over = true
	default:
	}
	if over {
		return stand.RuleBroken
	}
	return stand.RuleHeld
}

// platform kills the gateway if its own memory goes over the limit of its configuration, and reports whether it did.
func platform(site *stand.Site, g *stand.Gateway, done <-chan struct{}) bool {
	peak := 0
	for tick := time.NewTicker(watchEvery); ; {
		select {
		case <-done:
			site.Record.Say("%s: at most %d KiB of %d KiB", g.Name, peak, memoryMB<<10)
			return false
		case <-tick.C:
		}
		now := g.AnonymousMemory()
		if now > peak {
			peak = now
			site.Record.Line("%s has %d KiB", g.Name, now)
		}
		if now > memoryMB<<10 {
			g.Signal(syscall.SIGKILL)
			site.Record.Say("%s is killed: it has %d KiB, its limit is %d KiB", g.Name, now, memoryMB<<10)
			return true
		}
	}
}

// exchange sends commands at once on a new connection and reads the answers as they come.
func exchange(site *stand.Site, g *stand.Gateway, count int) {
	conn, err := net.Dial("tcp", g.Addr)
	if err != nil {
		unanswered.Add(int64(count))
		return
	}
	defer conn.Close()
	var ids []string
	var all []byte
	for i := range count {
		id, command := site.NewRequest("status", d)
		ids, all = append(ids, id), append(all, command...)
		site.Record.Line("client at %s sends %s, number %d of %d", g.Name, id, i+1, count)
	}
	conn.Write(all)
	in := bufio.NewReaderSize(conn, 1<<20)
	conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	for i, id := range ids {
		answer, err := stand.ReadAnswer(in)
		if err != nil {
			site.Record.Line("client at %s: the connection ended: %v", g.Name, err)
			for _, id := range ids[i:] {
				if len(site.Runs.Of(id)) > 0 {
					unanswered.Add(1)
				}
			}
			return
		}
		answered.Add(1)
		site.Record.Line("client at %s gets %s for %s %s", g.Name, answer.Kind, id, answer.Line)
	}
}
