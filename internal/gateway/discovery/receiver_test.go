package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"bellwood/internal/gateway/discovery/discoverytest"
	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
)

// receive has a client read what an agent says, and plays its loop. It returns the backends of each update, of which
// one task may make only one, and how the reading ended. The lists count where wanted is nil or says so.
func receive(t testing.TB, client *Client, loop *testLoop, text string, wanted func() bool) (changes [][]policy.Backend, err error) {
	t.Helper()
	silence := startSilenceTimer(discoverytest.Timeout, func() {})
	defer silence.suspend()
	receiver := client.newReceiver(strings.NewReader(text), silence)
	receiver.applied = client.adopt
	if wanted != nil {
		receiver.wanted = wanted
	}
	ended := make(chan error)
	go func() {
		for {
			if _, err := receiver.next(); err != nil {
				ended <- err
				return
			}
		}
	}()
	for {
		select {
		case task := <-loop.tasks:
			task()
			if len(loop.updates) > 1 {
				t.Errorf("%d updates of one task", len(loop.updates))
			}
			for _, update := range loop.updates {
				changes = append(changes, update.Backends)
			}
			loop.updates = nil
		case err := <-ended:
			for len(loop.tasks) > 0 {
				(<-loop.tasks)()
			}
			return changes, err
		case <-time.After(discoverytest.Timeout):
			t.Fatal("the list is not read to its end")
		}
	}
}

// sizes are the numbers of entries in each part.
func sizes(changes [][]policy.Backend) (n []int) {
	for _, part := range changes {
		n = append(n, len(part))
	}
	return n
}

// A long list comes in bounded parts, what it leaves out too; a short one in one piece; and of one that says what is
// known already nothing is told but that it has come.
func TestListComesInParts(t *testing.T) {
	client, loop := newTestClient(t)
	fleet := discoverytest.Fleet
	for _, c := range []struct {
		list endpoint.List
		want []int // sizes of the parts; nil: only bounded
	}{
		{fleet(2, 400), []int{64, 64, 64, 64, 64, 64, 16}},
		{fleet(3, 400), []int{0}},
		{fleet(4, 100), []int{partThreshold, 44}},
		{fleet(5, partThreshold), []int{partThreshold - 100}},
		{fleet(6, 5), []int{partThreshold - 5}},
		{fleet(7, 10), []int{5}},
		{fleet(8, 2000), nil},
		{fleet(9, 1990), []int{10}},
		{fleet(10, 900), nil},
	} {
		changes, err := receive(t, client, loop, discoverytest.Line(t, c.list), nil)
		got := sizes(changes)
		if len(c.want) > 0 && !slices.Equal(got, c.want) || slices.Max(got) > partThreshold || !errors.Is(err, io.EOF) {
			t.Errorf("list %d: %d told, want %d; %v", c.list.Index, got, c.want, err)
		}
		for len(client.table.terminated) > 0 {
			client.Sweep()
		}
		if n := len(c.list.Endpoints); client.Index() != c.list.Index || len(client.table.byName) != n || len(loop.pools) != n {
			t.Errorf("list %d: index %d, %d known, %d in the pools", c.list.Index, client.Index(),
				len(client.table.byName), len(loop.pools))
		}
	}
}

// The engine hears the same of a snapshot as from the list itself: of what is new, has changed, drains or is
// left out.
func TestChangesOfASnapshot(t *testing.T) {
	client, loop := newTestClient(t)
	fleet := discoverytest.Fleet(2, 6)
	receive(t, client, loop, discoverytest.Line(t, fleet), nil)
	next := discoverytest.Fleet(3, 6)
	next.Endpoints[0].Status = "DRAINING"
	next.Endpoints[1].SinceMS++
	next.Endpoints[2].Address = "127.0.0.1:2"
	next.Endpoints[3].Weight = 2
	next.Endpoints = next.Endpoints[:5]
	changes, _ := receive(t, client, loop, discoverytest.Line(t, next), nil)
	want := []policy.BackendState{policy.Draining, policy.InService, policy.InService, policy.InService, policy.Terminated}
	var got []policy.BackendState
	for _, backend := range changes[0] {
		got = append(got, backend.State)
	}
	if len(changes) != 1 || !slices.Equal(got, want) || changes[0][4].Name != fleet.Endpoints[5].Name {
		t.Errorf("told %+v", changes)
	}
	changes, _ = receive(t, client, loop, discoverytest.Line(t, next), nil)
	if len(changes) != 1 || len(changes[0]) != 0 {
		t.Errorf("the same list again: told %+v", changes)
	}
}

// The fields may come in any order, with others between, and a drain at the list's end is told with its part though
// the index is not known yet.
func TestFieldsInAnyOrder(t *testing.T) {
	drain := endpoint.List{Index: 4, Endpoints: discoverytest.Fleet(4, 1).Endpoints}
	drain.Endpoints[0].Status = "DELETED"
	lists := []endpoint.List{discoverytest.Fleet(2, 200), discoverytest.Fleet(3, 150), drain}
	for name, form := range map[string]string{
		"entries first":                 `{"endpoints":%[3]s,"snapshot":%[2]v,"index":%[1]d}`,
		"kind first, in another case":   `{"Snapshot":%[2]v,"endpoints":%[3]s,"index":%[1]d}`,
		"unknown fields and much space": "{\n\n \"more\" : {\"endpoints\":[1]},\r\n\"index\":%[1]d,\t\"endpoints\" :\n %[3]s , \"snapshot\":%[2]v,\"last\":[]}\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			client, loop := newTestClient(t)
			text := ""
			for i, list := range lists {
				entries, err := json.MarshalIndent(discoverytest.WireForm(list)["endpoints"], "", strings.Repeat(" ", i))
				if err != nil {
					t.Fatal(err)
				}
				text += fmt.Sprintf(form, list.Index, list.Snapshot, entries)
			}
			changes, err := receive(t, client, loop, text, nil)
			if got := sizes(changes); !slices.Equal(got, []int{200, 50, 1}) || client.Index() != 4 || !errors.Is(err, io.EOF) {
				t.Errorf("told %d, index %d: %v", got, client.Index(), err)
			}
			if len(client.table.byName) != 149 || len(loop.pools) != 149 {
				t.Errorf("%d are known", len(client.table.byName))
			}
		})
	}
}

// A list that is cut off, malformed, too long or superseded terminates nobody and moves no index: a backend whose entry
// was in the part that is missing would else lose its traffic.
func TestUnfinishedListTerminatesNobody(t *testing.T) {
	long := discoverytest.Line(t, discoverytest.Fleet(9, 400))
	entry := long[strings.Index(long, "[")+1 : strings.Index(long, "}")+1]
	parts := 0
	wantedForTwoParts := func() bool { parts++; return parts < 3 }
	for name, c := range map[string]struct {
		text   string
		wanted func() bool
		err    error // nil: any but ErrMalformed
	}{
		"cut in an entry":         {text: long[:len(long)/2], err: io.EOF},
		"cut behind an entry":     {text: long[:strings.Index(long, `"SERVING"`)+12]},
		"cut at its end":          {text: long[:len(long)-2]},
		"cut in its head":         {text: `{"index":9,"snapsh`},
		"no JSON":                 {text: "<html>not here</html>", err: ErrMalformed},
		"no JSON from the middle": {text: long[:strings.LastIndex(long, ",{")] + "<br>", err: ErrMalformed},
		"no index":                {text: strings.Replace(long, `"index":9,`, "", 1), err: ErrMalformed},
		"no entries":              {text: `{"index":9,"snapshot":true}`, err: ErrMalformed},
		"no list of entries":      {text: `{"index":9,"snapshot":true,"endpoints":{}}`, err: ErrMalformed},
		"an endless entry": {err: ErrMalformed, text: `{"index":9,"snapshot":true,"endpoints":[{"name":"` +
			strings.Repeat("x", maxEntryBytes+4096)},
		"an endless list": {err: ErrMalformed, text: `{"index":9,"snapshot":true,"endpoints":[` +
			strings.Repeat(entry+",", maxEntries) + entry + "]}"},
		"superseded": {text: long, wanted: wantedForTwoParts, err: ErrSuperseded},
	} {
		t.Run(name, func(t *testing.T) {
			client, loop := newTestClient(t)
			receive(t, client, loop, discoverytest.Line(t, discoverytest.Fleet(2, 500)), nil)
			changes, err := receive(t, client, loop, c.text, c.wanted)
			for _, part := range changes {
				if len(part) > 0 {
					t.Errorf("told %d changes", len(part))
				}
			}
			if err == nil || c.err != nil && !errors.Is(err, c.err) ||
				errors.Is(err, ErrMalformed) != (c.err == ErrMalformed) {
				t.Errorf("ended by %v", err)
			}
			if client.Index() != 2 || len(client.table.byName) != 500 || client.table.openLists != 0 {
				t.Errorf("index %d, %d known, %d open", client.Index(), len(client.table.byName), client.table.openLists)
			}
		})
	}
}

// A drain among many is told before the list has ended: no new work may go to that backend 250 ms after the agent has
// it, and the rest of a list may take longer.
func TestDrainInALongListIsTold(t *testing.T) {
	client, loop := newTestClient(t)
	receive(t, client, loop, discoverytest.Line(t, discoverytest.Fleet(2, discoverytest.FleetSize)), nil)
	next := discoverytest.Fleet(3, discoverytest.FleetSize)
	drains := next.Endpoints[300]
	next.Endpoints[300].Status = "DRAINING"
	agent := discoverytest.NewAgent(t)
	client.Follow(agent.Address())
	watch, _ := agent.Watch()
	list := discoverytest.Line(t, next)
	watch.Chunk(list[:strings.Index(list, next.Endpoints[300+2*partSize].Name)]) // and then nothing
	loop.pump(func() bool { return len(loop.updates) > 0 })
	_, inService := loop.pools[drains.Name]
	if changes := loop.updates[0].Backends; len(changes) != 1 || changes[0].Name != drains.Name ||
		changes[0].State != policy.Draining || inService || client.Index() != 2 {
		t.Errorf("told %+v, index %d", changes, client.Index())
	}
}
