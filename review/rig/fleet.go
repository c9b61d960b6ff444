package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// maxRun is the time after which a case is given up.
const maxRun = 115 * time.Second

// The gateways are started on the main thread: the system ends them when that thread ends, however the case ends.
func init() { runtime.LockOSThread() }

// Fleet is a small deployment: gateways with an agent each, a counter and backends.
type Fleet struct {
	Record   *Record
	Site     *Site
	Trouble  bool // false: the same without the disruption
	Counter  *Counter
	Backends []*Backend
	Agents   []*Agent
	Gateways []*Gateway
	dir      string
}

// Case runs a case in the folder review/NAME and exits with its code. The working folder has to be the root.
func Case(name string, site *Site, run func(*Fleet) (code int, err error)) {
	record, err := NewRecord(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	fleet := &Fleet{Record: record, Site: site, Trouble: os.Getenv("TROUBLE") != "0"}
	if fleet.dir, err = os.MkdirTemp("", "review-"+name+"-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	end := func(code int, text string) {
		for _, gateway := range fleet.Gateways {
			gateway.Kill()
		}
		os.RemoveAll(fleet.dir)
		record.Logf("result %d: %s", code, text)
		record.Close()
		fmt.Printf("case %s, trouble %v: %s\n", name, fleet.Trouble, text)
		os.Exit(code)
	}
	time.AfterFunc(maxRun, func() { end(NotRun, "not finished in time") })
	code, err := run(fleet)
	switch {
	case err != nil:
		end(NotRun, "could not run: "+err.Error())
	case code == Broken:
		end(code, "the rule was broken")
	}
	end(code, "the rule held")
}

// StartBackends starts backends, which are spread over the zones. serve decides what they do with an attempt.
func (f *Fleet) StartBackends(count int, serve func(*Attempt) Answer) error {
	for i := range count {
		backend, err := StartBackend(fmt.Sprintf("s-%08x", 0x5be2a000+i), f.Record, serve)
		if err != nil {
			return err
		}
		backend.Zone, backend.Group = f.Site.Zones[i%len(f.Site.Zones)], i/4
		backend.Idle = f.Site.Idle
		f.Backends = append(f.Backends, backend)
	}
	return nil
}

// Entries returns the list of the backends, all in service.
func (f *Fleet) Entries() (entries []Entry) {
	for i, b := range f.Backends {
		entries = append(entries, Entry{Name: b.Name, Address: b.Addr, Zone: b.Zone, Type: f.Site.Kinds[i%len(f.Site.Kinds)],
			Group: b.Group, Status: "SERVING", Weight: 1})
	}
	return entries
}

// StartGateways starts the counter, the agents and the gateways, and waits until all are ready.
func (f *Fleet) StartGateways(limits Limits) error {
	var err error
	if f.Counter, err = StartCounter(); err != nil {
		return err
	}
	for i := range f.Site.Gateways {
		agent, err := StartAgent(f.Record, f.Entries())
		if err != nil {
			return err
		}
		f.Agents = append(f.Agents, agent)
		listen, err := FreeAddress()
		if err != nil {
			return err
		}
		gateway := NewGateway(Config{Name: fmt.Sprintf("n%d", i), Listen: listen, Discovery: agent.Addr, Counter: f.Counter.Addr,
			Limits: limits, Known: agent.Whole(), Settings: f.Site.Settings(i)}, f.dir, f.Record)
		f.Gateways = append(f.Gateways, gateway)
		if err := gateway.Start(); err != nil {
			return err
		}
	}
	for _, gateway := range f.Gateways {
		if err := gateway.WaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// Crashed returns an error if a gateway has ended.
func (f *Fleet) Crashed() error {
	for _, gateway := range f.Gateways {
		if status := gateway.Status(); status != "" {
			return fmt.Errorf("front door %s ended: %s", gateway.Config.Name, status)
		}
	}
	return nil
}
