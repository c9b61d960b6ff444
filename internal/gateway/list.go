package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"bellwood/internal/policy"
)

const (
	mostEntry   = 8 << 10 // bytes of one entry with the space before it; they have some 140, indented 270
	mostEntries = 1 << 15 // entries of a list: three times the largest fleet (11,000), for which a door holds 1 KB each
	together    = 256     // entries of a list that reaches the Door all at once
	partSize    = 64      // entries of a longer one that the loop takes in one task: they take it under 1 ms
	sweepSize   = 1024    // backends that it looks at in one task for what a whole list has left out
	yieldEach   = 32      // entries after which the reader lets others run: some 0.2 ms, and there is one thread
)

var (
	errNonsense = errors.New("what discovery says makes no sense")
	errMoved    = errors.New("what discovery says no longer counts")
)

// watchReader reads what discovery says. Empty lines between lists are signs of life; they are kept from the decoder,
// which would gather them. A list may stand on several lines.
type watchReader struct {
	from    io.Reader
	dead    *time.Timer
	silence time.Duration
	left    int   // bytes that the entry may still have
	blank   bool  // no list has begun
	err     error // by which the answer ended
}

func (r *watchReader) Read(b []byte) (int, error) {
	for {
		n, err := r.from.Read(b)
		if r.blank {
			if n > 0 {
				r.lives()
			}
			n = copy(b, bytes.TrimLeft(b[:n], " \t\r\n"))
			r.blank = n == 0
		}
		if r.left -= n; r.left < 0 {
			return 0, errors.New("an entry is too long")
		}
		if err != nil {
			r.err = err
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// lives notes a sign of life. Within a list only a whole entry is one, or a list that drips would hold up all news.
func (r *watchReader) lives() { r.dead.Reset(r.silence) }

// listReader reads lists and changes entry by entry and hands them to the loop in parts.
type listReader struct {
	d      *discovery
	in     *watchReader
	dec    *json.Decoder
	counts func() bool   // asked by the loop: is what is read still wanted?
	ended  func(Members) // told by the loop: a list or change was wholly taken; only its index and kind are given
	list   *taking       // nil: begun with the first part
}

func (d *discovery) reader(from io.Reader, dead *time.Timer) *listReader {
	in := &watchReader{from: from, silence: d.silence, left: mostEntry, blank: true, dead: dead}
	return &listReader{d: d, in: in, dec: json.NewDecoder(in), counts: func() bool { return true }, ended: func(Members) {}}
}

// next reads one list or change to its end and hands it on. One that is cut off retires nobody and moves no index,
// but what it named by then may have been handed on.
func (r *listReader) next() (m Members, err error) {
	m, err = r.object()
	if list := r.list; err != nil && list != nil {
		r.d.f.post(func() { r.d.leave(list) })
	}
	r.list = nil
	switch {
	case err == nil || errors.Is(err, errMoved):
		return m, err
	case r.in.err != nil: // the answer has ended, perhaps within a list
		return m, fmt.Errorf("list: %w", r.in.err)
	}
	return m, fmt.Errorf("list: %w: %w", errNonsense, err)
}

// object reads the fields in whatever order they come.
func (r *listReader) object() (m Members, err error) {
	if err := r.delim('{'); err != nil {
		return m, err
	}
	var index *int64
	var rest []Endpoint
	listed := false
	for r.dec.More() {
		r.in.left = mostEntry
		key, err := r.dec.Token()
		if err != nil {
			return m, err
		}
		switch name, _ := key.(string); {
		case strings.EqualFold(name, "index"):
			err = r.dec.Decode(&index)
		case strings.EqualFold(name, "snapshot"):
			err = r.dec.Decode(&m.Snapshot)
		case strings.EqualFold(name, "endpoints") && !listed:
			listed = true
			rest, err = r.endpoints()
		default:
			err = r.dec.Decode(new(json.RawMessage))
		}
		if err != nil {
			return m, err
		}
	}
	if err := r.delim('}'); err != nil {
		return m, err
	}
	if index == nil || m.Snapshot && !listed {
		return m, errors.New("no index, or a whole list without its entries")
	}
	m.Index = *index
	r.in.left = mostEntry
	after, _ := io.ReadAll(r.dec.Buffered())
	r.in.blank = len(bytes.TrimSpace(after)) == 0
	return m, r.end(m, rest)
}

func (r *listReader) delim(want json.Delim) error {
	got, err := r.dec.Token()
	if err == nil && got != want {
		err = fmt.Errorf("%v where %v is due", got, want)
	}
	return err
}

// endpoints hands on the entries in parts, but for the last, which it returns.
func (r *listReader) endpoints() (part []Endpoint, err error) {
	if begin, err := r.dec.Token(); err != nil || begin == nil { // null
		return nil, err
	} else if begin != json.Delim('[') {
		return nil, fmt.Errorf("%v where a list is due", begin)
	}
	most := together
	for n := 1; r.dec.More(); n++ {
		if n > mostEntries {
			return nil, errors.New("the list is too long")
		}
		if len(part) == most {
			for some := range slices.Chunk(part, partSize) {
				if err := r.hand(func() { r.d.tell(r.d.note(r.list, some)) }); err != nil {
					return nil, err
				}
			}
			part, most = part[:0], partSize
		}
		r.in.left = mostEntry
		part = append(part, Endpoint{})
		if err := r.dec.Decode(&part[len(part)-1]); err != nil {
			return nil, err
		}
		r.in.lives()
		if n%yieldEach == 0 {
			runtime.Gosched()
		}
	}
	return part, r.delim(']')
}

// end hands on the last part, then retires in parts what a whole list does not name.
func (r *listReader) end(m Members, part []Endpoint) error {
	for over := false; !over; {
		err := r.hand(func() {
			news := r.d.note(r.list, part)
			part, over = nil, true
			if m.Snapshot {
				var left []policy.Backend
				left, over = r.d.sweep(r.list)
				news = append(news, left...)
			}
			if !over {
				r.d.tell(news)
				return
			}
			r.d.f.tell(policy.EndpointUpdate{Kind: policy.Delta, Backends: news}) // though it be empty: the list has come
			r.ended(m)
			r.d.leave(r.list)
			r.d.f.reachable()
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// hand lets the loop run a task and waits for it: there is one part of a list in a Step, and others go between.
func (r *listReader) hand(task func()) error {
	r.in.dead.Stop() // the loop's time is not discovery's silence
	defer r.in.lives()
	taken := make(chan error, 1)
	r.d.f.post(func() {
		if !r.counts() {
			taken <- errMoved
			return
		}
		if r.list == nil {
			r.list = r.d.begin()
		}
		task()
		taken <- nil
	})
	select {
	case err := <-taken:
		return err
	case <-r.d.f.done:
		return errMoved
	}
}

// known is what the Door has been told of one backend.
type known struct {
	b    policy.Backend
	addr string
	by   uint64 // number of the list or change that named it last
	spot int    // in discovery.all
}

// taking is a list or change that is being taken.
type taking struct {
	number uint64 // in the order in which they were asked for, or came by the watch
	swept  int    // of discovery.all, so many have been looked at for what it left out
	over   bool
}

// begin numbers a list.
func (d *discovery) begin() *taking {
	d.lists++
	d.open++
	return &taking{number: d.lists}
}

// leave ends the taking of a list.
func (d *discovery) leave(t *taking) {
	if t.over {
		return
	}
	t.over = true
	d.open--
	d.forget()
}

// forget drops some of what has gone, unless a list is being taken: it counts on the spots, and may name it again.
func (d *discovery) forget() {
	if d.open > 0 {
		return
	}
	for _, k := range d.gone[:min(len(d.gone), together)] {
		if k.b.State == policy.Terminated && d.known[k.b.Name] == k {
			last := d.all[len(d.all)-1]
			d.all[k.spot], last.spot = last, k.spot
			d.all[len(d.all)-1] = nil
			d.all = d.all[:len(d.all)-1]
			delete(d.known, k.b.Name)
		}
	}
	if d.gone = d.gone[min(len(d.gone), together):]; len(d.gone) == 0 {
		d.gone = nil
	}
}

// note takes entries of a list to the pools, and returns what the Door has to hear: changes.
func (d *discovery) note(t *taking, entries []Endpoint) (news []policy.Backend) {
	server, odd := d.f, 0
	for _, e := range entries {
		state, ok := statuses[e.Status]
		if !ok || e.Name == "" {
			if odd++; odd == 1 {
				server.log.Warn("an entry of the list that makes no sense", "name", e.Name, "status", e.Status)
			}
			continue
		}
		b := policy.Backend{Name: e.Name, Zone: max(0, index(server.cfg.Transport.Zones, e.Zone)),
			Kind: max(0, index(server.cfg.Transport.Kinds, e.Type)), Cell: e.Group, State: state, Weight: e.Weight,
			Started: time.Duration(e.SinceMS) * time.Millisecond}
		if d.set(t, b, e.Address) {
			news = append(news, b)
		}
	}
	if odd > 1 {
		server.log.Warn("more entries that make no sense", "count", odd-1)
	}
	return news
}

// set keeps what a list says of one backend, if no later one has named it, and says whether that is new.
func (d *discovery) set(t *taking, b policy.Backend, addr string) bool {
	k := d.known[b.Name]
	if k == nil {
		k = &known{spot: len(d.all)}
		d.known[b.Name] = k
		d.all = append(d.all, k)
	} else if k.by > t.number {
		return false
	}
	k.by = t.number
	if k.b == b && k.addr == addr {
		return false
	}
	k.b, k.addr = b, addr
	switch b.State {
	case policy.InService:
		d.served = true
	case policy.Terminated:
		d.gone = append(d.gone, k)
	}
	d.f.upstream.updateEndpoint(b, addr)
	return true
}

// sweep takes as gone what a whole list has left out, a part at a time, and returns what the Door has to hear and
// whether that was the last. None is forgotten before the list is over, so all stay in their spots.
func (d *discovery) sweep(t *taking) (news []policy.Backend, over bool) {
	most := together
	if len(d.all) > sweepSize {
		most = partSize
	}
	for end := min(len(d.all), t.swept+sweepSize); t.swept < end && len(news) < most; t.swept++ {
		k := d.all[t.swept]
		if k.by >= t.number || k.b.State == policy.Terminated {
			continue
		}
		b := k.b
		b.State = policy.Terminated
		d.set(t, b, k.addr)
		news = append(news, b)
	}
	return news, t.swept == len(d.all)
}

// tell hands changes to the Door.
func (d *discovery) tell(news []policy.Backend) {
	if len(news) > 0 {
		d.f.tell(policy.EndpointUpdate{Kind: policy.Delta, Backends: news})
	}
}

// take takes a list or its changes all at once.
func (server *Server) take(m Members, scope policy.UpdateKind) {
	d := server.discovery
	t := d.begin()
	news := d.note(t, m.Endpoints)
	for over := scope != policy.Snapshot; !over; {
		var left []policy.Backend
		left, over = d.sweep(t)
		news = append(news, left...)
	}
	d.leave(t)
	if scope == policy.Snapshot {
		scope = policy.Delta // the Door keeps what it is not told of
	}
	server.tell(policy.EndpointUpdate{Kind: scope, Backends: news})
	server.reachable()
}

// reachable notes that requests can be served, once a list that says so has been taken whole.
func (server *Server) reachable() {
	if server.discovery.served {
		server.ready.Store(true)
	}
}
