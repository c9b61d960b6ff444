// Case 3: of many commands sent at once, those behind the first 256 are treated as if they had just come when a slow one
// before them ends: they are answered too late, and backends are told more time than their clients have left.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"runtime"
	"strconv"
	"sync"
	"time"

	"bellwood/review/stand"
)

const (
	backends   = 12
	commands   = 500
	valueBytes = 200
	work       = 150 * time.Millisecond
	d          = 2500 * time.Millisecond
	slack      = 550 * time.Millisecond // half a second, and the 50 ms by which each limit is longer
	toldSlack  = 200 * time.Millisecond // 0.15 s, and the same 50 ms
)

// outcome counts the requests of one client.
type outcome struct{ served, refused, failed, lost, late, told int }

func main() {
	runtime.LockOSThread() // the gateways die with this thread
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(root, recordPath string, trouble bool) int {
	site, err := stand.StartSite(stand.SiteConfig{Root: root, RecordPath: recordPath, Backends: backends, Work: work,
		ValueBytes: valueBytes, Limits: stand.Limits{Cores: 1, MemoryMB: 80, Sockets: 640}})
	defer site.End()
	if err != nil {
		fmt.Println("could not run:", err)
		return stand.NotRun
	}
	for range 20 { // a quiet time: one request after another
		for _, g := range site.Gateways {
			if o := exchange(site, g, 1); o.served != 1 {
				fmt.Println("could not run: a request of the quiet time was not served")
				return stand.NotRun
			}
		}
	}
	connections, rounds, atOnce, name := 1, 1, commands, "many commands at once"
	if !trouble { // as many on eight connections, one after another on each
		connections, rounds, atOnce, name = 8, commands/8, 1, "one command after another"
	}
	var mu sync.Mutex
	var sum outcome
	var clients sync.WaitGroup
	for _, g := range site.Gateways {
		for range connections {
			clients.Go(func() {
				for range rounds {
					o := exchange(site, g, atOnce)
					mu.Lock()
					sum = outcome{sum.served + o.served, sum.refused + o.refused, sum.failed + o.failed, sum.lost + o.lost,
						sum.late + o.late, sum.told + o.told}
					mu.Unlock()
				}
			})
		}
	}
	clients.Wait()
	site.Record.Say("%s: %d served, %d refused, %d failed; lost: %d without an answer, %d made later than half a second "+
		"after their time; attempts that told too much time: %d", name, sum.served, sum.refused, sum.failed, sum.lost,
		sum.late, sum.told)
	if sum.lost+sum.late+sum.told > 0 {
		return stand.RuleBroken
	}
	return stand.RuleHeld
}

// exchange sends commands at once on a new connection and reads the answers as they come.
func exchange(site *stand.Site, g *stand.Gateway, count int) (o outcome) {
	conn, err := net.Dial("tcp", g.Addr)
	if err != nil {
		return outcome{lost: count}
	}
	defer conn.Close()
	var ids []string
	var all []byte
	for i := range count {
		id, command := site.NewRequest([]string{"status", "submit", "release"}[i%3], d)
		ids, all = append(ids, id), append(all, command...)
		site.Record.Line("client at %s sends %s, number %d of %d", g.Name, id, i+1, count)
	}
	if _, err := conn.Write(all); err != nil {
		return outcome{lost: count}
	}
	sent := time.Now() // the last byte of the last command: no request's time began later
	in := bufio.NewReader(conn)
	conn.SetReadDeadline(sent.Add(30 * time.Second))
	for i, id := range ids {
		answer, err := stand.ReadAnswer(in)
		if err != nil {
			site.Record.Line("client at %s: the connection ended: %v", g.Name, err)
			o.lost += count - i
			break
		}
		site.Record.Line("client at %s gets %s for %s %s, %d ms after its command", g.Name, answer.Kind, id, answer.Line,
			time.Since(sent).Milliseconds())
		switch answer.Kind {
		case "served":
			o.served++
		case "refused":
			o.refused++
		default:
			o.failed++
		}
	}
	for _, id := range ids {
		judge(site, id, sent, &o)
	}
	return o
}

// judge looks at what backends saw of a request. The time for which a finished answer waits for those before it does not
// count; so a request is late only if its own answer was made too late.
func judge(site *stand.Site, id string, sent time.Time, o *outcome) {
	due := sent.Add(d)
	for _, run := range site.Runs.Of(id) {
		told, err := strconv.Atoi(run.Told)
		if left := due.Sub(run.Begun); err != nil || time.Duration(told)*time.Millisecond > max(0, left)+toldSlack {
			o.told++
			site.Record.Line("%s: %s was told d=%s with %d ms left", id, run.Backend, run.Told, left.Milliseconds())
		}
		if over := run.Answered.Sub(due); !run.Answered.IsZero() && over > slack {
			o.late++
			site.Record.Line("%s: %s made the answer %d ms after the request's time", id, run.Backend, over.Milliseconds())
		}
	}
}
