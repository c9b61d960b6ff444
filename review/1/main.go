// Case 1: a client that sends many commands at once loses answers that became ready before the first one.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"bellwood/review/stand"
)

const (
	backends   = 12
	commands   = 64
	valueBytes = 60_000 // the page allows 64 KiB
	work       = 100 * time.Millisecond
	d          = 2500 * time.Millisecond
	slack      = 550 * time.Millisecond // half a second, and the 50 ms by which each limit is longer
)

// outcome counts the requests of one client.
type outcome struct{ served, refused, failed, foreign, late, lost int }

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
	// A quiet time: one client at each gateway, one request after another.
	if !onEach(site, func(g *stand.Gateway) outcome { return ask(site, g, 20, 1) }).kept(site.Record, "quiet time") {
		return stand.NotRun
	}
	name, atOnce, rounds := "many commands at once", commands, 1
	if !trouble {
		name, atOnce, rounds = "one command after another", 1, commands
	}
	if !onEach(site, func(g *stand.Gateway) outcome { return ask(site, g, rounds, atOnce) }).kept(site.Record, name) {
		return stand.RuleBroken
	}
	return stand.RuleHeld
}

func (o *outcome) add(other outcome) {
	o.served += other.served
	o.refused += other.refused
	o.failed += other.failed
	o.foreign += other.foreign
	o.late += other.late
	o.lost += other.lost
}

// kept reports whether no request was lost.
func (o outcome) kept(record *stand.Record, name string) bool {
	record.Say("%s: %d served, %d refused, %d failed; lost: %d without an answer, %d later than half a second, %d foreign",
		name, o.served, o.refused, o.failed, o.lost, o.late, o.foreign)
	return o.lost+o.late+o.foreign == 0
}

// onEach runs a client at each gateway and adds up their outcomes.
func onEach(site *stand.Site, client func(*stand.Gateway) outcome) (sum outcome) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for _, g := range site.Gateways {
		clients.Go(func() {
			o := client(g)
			mu.Lock()
			defer mu.Unlock()
			sum.add(o)
		})
	}
	clients.Wait()
	return sum
}

// ask sends commands in rounds, each on a new connection and all commands of a round at once.
func ask(site *stand.Site, g *stand.Gateway, rounds, atOnce int) (sum outcome) {
	for range rounds {
		sum.add(exchange(site, g, atOnce))
	}
	return sum
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
	sent := time.Now()
	before := sent // time of the answer before: an answer's wait for those before it does not count
	in := bufio.NewReaderSize(conn, 1<<20)
	conn.SetReadDeadline(sent.Add(20 * time.Second))
	for i, id := range ids {
		answer, err := stand.ReadAnswer(in)
		now := time.Now()
		if err != nil {
			site.Record.Line("client at %s: the gateway ended the connection: %v", g.Name, err)
			for _, id := range ids[i:] {
				if lost(site, g, id) {
					o.lost++
				}
			}
			return o
		}
		site.Record.Line("client at %s gets %s for %s %s", g.Name, answer.Kind, id, answer.Line)
		switch answer.Kind {
		case "served":
			o.served++
			if answer.Value != stand.Value(id, valueBytes) {
				o.foreign++
			}
		case "refused":
			o.refused++
		default:
			o.failed++
		}
		if due := sent.Add(d); now.Sub(due) > slack && now.Sub(before) > slack {
			o.late++
		}
		before = now
	}
	return o
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
