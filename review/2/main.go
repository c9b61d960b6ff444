// Case 2: while bad clients have stopped in the middle of long requests, the gateway closes connections of sound clients
// instead of writing them an answer of the longest allowed length.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"bellwood/review/stand"
)

const (
	backends   = 12
	valueBytes = 64 << 10 // the longest that the page allows
	work       = 150 * time.Millisecond
	d          = 2500 * time.Millisecond
	slack      = 550 * time.Millisecond // half a second, and the 50 ms by which each limit is longer
	clients    = 6                      // sound ones at each gateway, each with one request after another
	badClients = 300                    // at each gateway
	duration   = 14 * time.Second
	waveEvery  = 4 * time.Second
)

// outcome counts the requests of sound clients.
type outcome struct {
	mu                                           sync.Mutex
	served, refused, failed, foreign, late, lost int
}

func (o *outcome) count(n *int) {
	o.mu.Lock()
	*n++
	o.mu.Unlock()
}

func main() {
	runtime.LockOSThread() // the gateways die with this thread
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(root, recordPath string, trouble bool) int {
	site, err := stand.StartSite(stand.SiteConfig{Root: root, RecordPath: recordPath, Backends: backends, Work: work,
		ValueBytes: valueBytes, Limits: stand.Limits{Cores: 1, MemoryMB: 64, Sockets: 640}})
	defer site.End()
	if err != nil {
		fmt.Println("could not run:", err)
		return stand.NotRun
	}
	var o outcome
	end := time.Now().Add(duration)
	var running sync.WaitGroup
	for _, g := range site.Gateways {
		for range clients {
			running.Go(func() {
				for time.Now().Before(end) {
					client(site, g, end, &o)
				}
			})
		}
		if !trouble {
			continue
		}
		running.Go(func() {
			for time.Sleep(2 * time.Second); time.Now().Before(end); time.Sleep(waveEvery) {
				site.Record.Line("%d bad clients connect to %s", badClients, g.Name)
				for range badClients {
					running.Go(func() { badClient(site, g) })
				}
			}
		})
	}
	running.Wait()
	site.Record.Say("sound clients: %d served, %d refused, %d failed; lost: %d without an answer, %d later than half a second, "+
		"%d foreign", o.served, o.refused, o.failed, o.lost, o.late, o.foreign)
	switch {
	case o.lost+o.late+o.foreign > 0:
		return stand.RuleBroken
	case o.served == 0:
		return stand.NotRun
	}
	return stand.RuleHeld
}

// client is a sound client: it sends one request after another on one connection until that ends, and reads the answers
// as they come.
func client(site *stand.Site, g *stand.Gateway, end time.Time, o *outcome) {
	conn, err := net.Dial("tcp", g.Addr)
	if err != nil {
		return
	}
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 1<<17)
	for i := 0; time.Now().Before(end); i++ {
		id, command := site.NewRequest([]string{"status", "submit", "release"}[i%3], d)
		site.Record.Line("client at %s sends %s", g.Name, id)
		if _, err := conn.Write(command); err != nil {
			return // not written: it is not taken
		}
		sent := time.Now()
		conn.SetReadDeadline(sent.Add(20 * time.Second))
		answer, err := stand.ReadAnswer(in)
		if err != nil {
			site.Record.Line("client at %s: the gateway ended the connection: %v", g.Name, err)
			if lost(site, g, id) {
				o.count(&o.lost)
			}
			return
		}
		site.Record.Line("client at %s gets %s for %s %s", g.Name, answer.Kind, id, answer.Line)
		switch answer.Kind {
		case "served":
			o.count(&o.served)
			if answer.Value != stand.Value(id, valueBytes) {
				o.count(&o.foreign)
			}
		case "refused":
			o.count(&o.refused)
			time.Sleep(100 * time.Millisecond)
		default:
			o.count(&o.failed)
		}
		if time.Since(sent) > d+slack {
			o.count(&o.late)
		}
	}
}

// lost reports whether a request that has no answer was lost. One that the gateway never read may be sent once more; so
// only those count that a backend got, which therefore the gateway had read.
func lost(site *stand.Site, g *stand.Gateway, id string) bool {
	for _, run := range site.Runs.Of(id) {
		site.Record.Line("client at %s: %s has no answer, but %s ran it (answered: %v)", g.Name, id, run.Backend,
			!run.Answered.IsZero())
		return true
	}
	return false
}

// badClient sends most of a request with the longest body, stops, and reads until the gateway ends the connection.
func badClient(site *stand.Site, g *stand.Gateway) {
	conn, err := net.Dial("tcp", g.Addr)
	if err != nil {
		return
	}
	defer conn.Close()
	began := time.Now()
	conn.SetDeadline(began.Add(10 * time.Second))
	fmt.Fprintf(conn, "*5\r\n$4\r\nQ.DO\r\n$16\r\n0000000040000001\r\n$16\r\nbad0000000000001\r\n$51\r\n"+
		"c=release,t=mediu,d=2500,units=1,spread=3,first=0,x\r\n$65536\r\n%s", strings.Repeat("b", 65_000))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	site.Record.Line("bad client at %s: %.40q after %d ms", g.Name, line, time.Since(began).Milliseconds())
}
