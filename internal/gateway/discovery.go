package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"bellwood/internal/audit"
	"bellwood/internal/policy"
)

const (
	// A change counts as told 6 s after discovery had it and could be reached, whatever became of a call: two that
	// come to nothing and their pauses take 5.5 s at most.
	watchSilence = 2500 * time.Millisecond // a call that gives no sign for so long is dead; a watch gives one every 2 s
	askSilence   = 2 * time.Second         // ... and one for the whole list, which is there at once, after so long
	rewatchAfter = 50 * time.Millisecond   // what the agent has counts as told: sends must end 250 ms later
	rewatchMost  = 250 * time.Millisecond  // where it only says what makes no sense
)

// Members is a list of backends, or changes of it, in discovery's form.
type Members struct {
	Index     int64
	Snapshot  bool
	Endpoints []Endpoint
}

// Endpoint is one backend in discovery's form.
type Endpoint struct {
	Name    string
	Address string
	Zone    string
	Type    string
	Group   int
	Status  string
	Weight  float64
	SinceMS int64 `json:"since_ms"`
}

var statuses = map[string]policy.BackendState{"SERVING": policy.InService, "DRAINING": policy.Draining,
	"DELETED": policy.Terminated}

// discovery follows the list of backends. The loop owns it; the goroutines that read are given an address.
type discovery struct {
	f     *Server
	http  *http.Client
	addr  string
	index int64 // of the list as the loop has it
	epoch int   // of the watch: what an older one still reads is passed over
	stop  context.CancelFunc

	known  map[string]*known // by name
	all    []*known
	lists  uint64   // lists and changes taken or asked for
	open   int      // ... of which so many are under way
	gone   []*known // of those known
	served bool     // a backend has been in service

	silence time.Duration
}

func newDiscovery(f *Server) *discovery {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxConnsPerHost: 4}
	return &discovery{f: f, http: &http.Client{Transport: t}, addr: f.cfg.Discovery, index: f.cfg.Known.Index,
		known: map[string]*known{}, stop: func() {}, silence: cmp.Or(f.cfg.watchSilence, watchSilence)}
}

// follow begins to watch at an address, from the index known last, and leaves the watch before.
func (d *discovery) follow(addr string) {
	d.stop()
	d.addr = addr
	d.epoch++
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go d.run(ctx, addr, d.index, d.epoch)
}

func membersURL(addr string) string { return "http://" + addr + "/catalog/members" }

// run watches the list until the context ends.
func (d *discovery) run(ctx context.Context, addr string, index int64, epoch int) {
	pause := rewatchAfter
	for ctx.Err() == nil {
		err := d.watch(ctx, addr, &index, epoch)
		pause = d.pause(pause, err)
		d.f.log.Debug("watch ended", "error", err)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// pause is how long to wait before the next watch.
func (d *discovery) pause(last time.Duration, err error) time.Duration {
	if errors.Is(err, errNonsense) {
		return min(2*last, rewatchMost)
	}
	return rewatchAfter
}

// watch follows one watch to its end and keeps the index it has come to.
func (d *discovery) watch(ctx context.Context, addr string, index *int64, epoch int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dead := time.AfterFunc(d.silence, cancel) // protects against a machine that fell silent, from the call's start
	defer dead.Stop()
	resp, err := d.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", membersURL(addr), *index))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r := d.reader(resp.Body, dead)
	r.counts = func() bool { return epoch == d.epoch } // else the next watch brings it, from the index that the loop had
	r.ended = d.adopt
	for {
		m, err := r.next()
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		*index = m.Index
	}
}

func (d *discovery) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery: %s", resp.Status)
	}
	return resp, nil
}

// adopt notes that a list or change from discovery has been taken to its end.
func (d *discovery) adopt(m Members) {
	d.index = m.Index
	source := audit.FromDelta
	if m.Snapshot {
		source = audit.FromSnapshot
	}
	d.f.audit.adopted(m.Index, source)
}

// askForDoor gets the whole list once, for a Door that asks. It moves no index: what the watch is to bring, the watch
// brings.
func (d *discovery) askForDoor() {
	d.ask(func(_ Members, err error) {
		if err != nil {
			d.f.tell(policy.EndpointUpdate{Kind: policy.UpdateFailed})
		}
	})
}

// askAndFollow gets the whole list and watches on from there. The loop calls ended.
func (d *discovery) askAndFollow(ended func(ok bool)) {
	d.ask(func(m Members, err error) {
		if err == nil && m.Index != d.index {
			d.adopt(m)
			d.follow(d.addr)
		}
		ended(err == nil)
	})
}

// ask gets the whole list once. The loop calls ended when it has been taken, or has failed.
func (d *discovery) ask(ended func(Members, error)) {
	t, addr, epoch := d.begin(), d.addr, d.epoch
	go func() {
		if err := d.fetch(addr, t, epoch, ended); err != nil {
			d.f.log.Debug("no list", "error", err)
			d.f.post(func() {
				d.leave(t)
				ended(Members{}, err)
			})
		}
	}()
}

// fetch reads the whole list.
func (d *discovery) fetch(addr string, t *taking, epoch int, ended func(Members, error)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	silence := min(d.silence, askSilence)
	dead := time.AfterFunc(silence, cancel)
	defer dead.Stop()
	resp, err := d.get(ctx, membersURL(addr))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r := d.reader(resp.Body, dead)
	r.in.silence = silence
	r.counts, r.list = func() bool { return epoch == d.epoch }, t
	whole := false
	r.ended = func(m Members) {
		if whole = m.Snapshot; whole {
			ended(m, nil)
		}
	}
	if _, err = r.next(); err == nil && !whole {
		err = errors.New("not a whole list")
	}
	return err
}
