package stand

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Site is a small deployment: three gateways, each with an agent of its own, a counter, and backends in three zones.
type Site struct {
	Record   *Record
	Runs     *Runs
	Backends []*Backend
	Gateways []*Gateway
	dir      string
	ids      atomic.Uint64
	seed     uint64
}

// SiteConfig configures a Site.
type SiteConfig struct {
	Root       string // of the repository
	RecordPath string
	Backends   int
	Work       time.Duration
	ValueBytes int
	Limits     Limits
}

// StartSite starts a site. The caller must call End, also after an error.
func StartSite(config SiteConfig) (*Site, error) {
	s := &Site{Runs: NewRuns(), seed: uint64(time.Now().UnixNano()) << 20}
	var err error
	if s.Record, err = NewRecord(config.RecordPath); err != nil {
		return s, err
	}
	if s.dir, err = os.MkdirTemp("", "bellwood-case"); err != nil {
		return s, err
	}
	for i := range config.Backends {
		zone := []string{"hala-a", "hala-b", "hala-c"}[i%3]
		b, err := StartBackend(fmt.Sprintf("s-%02d", i+1), zone, config.Work, config.ValueBytes, s.Record, s.Runs)
		if err != nil {
			return s, err
		}
		s.Backends = append(s.Backends, b)
	}
	counter, err := StartCounter()
	if err != nil {
		return s, err
	}
	list := List(s.Backends)
	for rank := range 3 {
		agent, err := StartAgent(list)
		if err != nil {
			return s, err
		}
		g, err := StartGateway(config.Root, s.dir, rank, config.Limits, agent, counter, list)
		if err != nil {
			return s, err
		}
		s.Gateways = append(s.Gateways, g)
	}
	s.Record.Line("all gateways are ready")
	return s, nil
}

// End ends all processes and removes the temporary folder, unless CASE_KEEP is set.
func (s *Site) End() {
	var ending sync.WaitGroup
	for _, g := range s.Gateways {
		ending.Go(g.End)
	}
	ending.Wait()
	if s.Record != nil {
		s.Record.Close()
	}
	if s.dir != "" && os.Getenv("CASE_KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// NewRequest returns the command of a new request of a customer of its own, and its id. class is status, submit or
// release.
func (s *Site) NewRequest(class string, d time.Duration) (id string, command []byte) {
	n := s.ids.Add(1)
	id = fmt.Sprintf("%016x", s.seed+n)
	name, key := "Q.DO", ""
	switch class {
	case "status":
		name = "Q.ASK"
	case "submit":
		key = ",k=" + id
	}
	fields := fmt.Sprintf("c=%s,t=mediu,d=%d%s,units=1,spread=3,first=0", class, d.Milliseconds(), key)
	return id, Command(name, fmt.Sprintf("%016x", 0x40000000+n), id, fields, "BODY")
}
