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

// receive has a client read the lists in text and runs its loop until the end. It returns the backends in each update and
// the error with which reading ended. It fails the test if a task makes more than one update. stillWanted is the
// receiver's; nil: always true.
func receive(t testing.TB, client *Client, loop *testLoop, text string, stillWanted func() bool) (
	changes [][]policy.Backend, err error) {
	t.Helper()
	idle := startIdleTimer(discoverytest.Timeout, func() {})
	defer idle.stop()
	receiver := client.newReceiver(strings.NewReader(text), idle)
	receiver.onApplied = client.recordApplied
	if stillWanted != nil {
		receiver.stillWanted = stillWanted
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
				t.Errorf("one task made %d updates", len(loop.updates))
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
			t.Fatalf("reading has not ended within %v", discoverytest.Timeout)
		}
	}
}

// sizes returns the number of backends in each update.
func sizes(changes [][]policy.Backend) (n []int) {
	for _, update := range changes {
		n = append(n, len(update))
	}
	return n
}

// A long list, including the termination of absent backends, is reported to the engine in batches of limited size, and a
// short list in one update. A list without changes makes a single, empty update.
func TestListIsReportedInBatches(t *testing.T) {
	client, loop := newTestClient(t)
	fleet := discoverytest.Fleet
	for _, c := range []struct {
		list endpoint.List
		want []int // sizes of the updates; nil: at most batchThreshold each
	}{
		{fleet(2, 400), []int{64, 64, 64, 64, 64, 64, 16}},
		{fleet(3, 400), []int{0}},
		{fleet(4, 100), []int{batchThreshold, 44}},
		{fleet(5, batchThreshold), []int{batchThreshold - 100}},
		{fleet(6, 5), []int{batchThreshold - 5}},
		{fleet(7, 10), []int{5}},
		{fleet(8, 2000), nil},
		{fleet(9, 1990), []int{10}},
		{fleet(10, 900), nil},
	} {
		changes, err := receive(t, client, loop, discoverytest.Line(t, c.list), nil)
		got := sizes(changes)
		if len(c.want) > 0 && !slices.Equal(got, c.want) || slices.Max(got) > batchThreshold || !errors.Is(err, io.EOF) {
			t.Errorf("list %d: updates of sizes %d, want %d; error %v", c.list.Index, got, c.want, err)
		}
		for len(client.table.terminated) > 0 {
			client.RemoveTerminated()
		}
		if n := len(c.list.Endpoints); client.Index() != c.list.Index || len(client.table.byName) != n || len(loop.pools) != n {
			t.Errorf("list %d: index %d, %d backends in the table and %d in the pools, want %d", c.list.Index,
				client.Index(), len(client.table.byName), len(loop.pools), n)
		}
	}
}

// A snapshot is reported to the engine as changes: backends that are draining, have another start time, address or
// weight, or are absent. The same snapshot again reports no change.
func TestSnapshotIsReportedAsChanges(t *testing.T) {
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
		t.Errorf("changes %+v, want the states %v", changes, want)
	}
	changes, _ = receive(t, client, loop, discoverytest.Line(t, next), nil)
	if len(changes) != 1 || len(changes[0]) != 0 {
		t.Errorf("changes %+v for the same list, want one empty update", changes)
	}
}

// The fields of a list may appear in any order, with unknown fields between them, and the index after the entries.
func TestListFieldsInAnyOrder(t *testing.T) {
	termination := endpoint.List{Index: 4, Endpoints: discoverytest.Fleet(4, 1).Endpoints}
	termination.Endpoints[0].Status = "DELETED"
	lists := []endpoint.List{discoverytest.Fleet(2, 200), discoverytest.Fleet(3, 150), termination}
	for name, form := range map[string]string{
		"entries first":                 `{"endpoints":%[3]s,"snapshot":%[2]v,"index":%[1]d}`,
		"kind first, in another case":   `{"Snapshot":%[2]v,"endpoints":%[3]s,"index":%[1]d}`,
		"unknown fields and whitespace": "{\n\n \"more\" : {\"endpoints\":[1]},\r\n\"index\":%[1]d,\t\"endpoints\" :\n %[3]s , \"snapshot\":%[2]v,\"last\":[]}\n\n",
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
				t.Errorf("updates of sizes %d, want [200 50 1]; index %d, want 4; error %v", got, client.Index(), err)
			}
			if len(client.table.byName) != 149 || len(loop.pools) != 149 {
				t.Errorf("%d backends in the table and %d in the pools, want 149", len(client.table.byName), len(loop.pools))
			}
		})
	}
}

// A list that is truncated, malformed, too long or superseded before its end terminates no backend and does not advance the
// index. Otherwise backends in the missing part of the list would lose their traffic.
func TestIncompleteListTerminatesNoBackend(t *testing.T) {
	long := discoverytest.Line(t, discoverytest.Fleet(9, 400))
	entry := long[strings.Index(long, "[")+1 : strings.Index(long, "}")+1]
	batches := 0
	wantedForTwoBatches := func() bool { batches++; return batches < 3 }
	for name, c := range map[string]struct {
		text        string
		stillWanted func() bool
		err         error // nil: any but ErrMalformed
	}{
		"truncated within an entry":  {text: long[:len(long)/2], err: io.EOF},
		"truncated after an entry":   {text: long[:strings.Index(long, `"SERVING"`)+12]},
		"truncated at the end":       {text: long[:len(long)-2]},
		"truncated before endpoints": {text: `{"index":9,"snapsh`},
		"not JSON":                   {text: "<html>not here</html>", err: ErrMalformed},
		"not JSON from the middle":   {text: long[:strings.LastIndex(long, ",{")] + "<br>", err: ErrMalformed},
		"no index":                   {text: strings.Replace(long, `"index":9,`, "", 1), err: ErrMalformed},
		"no endpoints":               {text: `{"index":9,"snapshot":true}`, err: ErrMalformed},
		"endpoints not an array":     {text: `{"index":9,"snapshot":true,"endpoints":{}}`, err: ErrMalformed},
		"entry too long": {err: ErrMalformed, text: `{"index":9,"snapshot":true,"endpoints":[{"name":"` +
			strings.Repeat("x", maxEntryBytes+4096)},
		"too many entries": {err: ErrMalformed, text: `{"index":9,"snapshot":true,"endpoints":[` +
			strings.Repeat(entry+",", maxEntries) + entry + "]}"},
		"superseded": {text: long, stillWanted: wantedForTwoBatches, err: ErrSuperseded},
	} {
		t.Run(name, func(t *testing.T) {
			client, loop := newTestClient(t)
			receive(t, client, loop, discoverytest.Line(t, discoverytest.Fleet(2, 500)), nil)
			changes, err := receive(t, client, loop, c.text, c.stillWanted)
			for _, update := range changes {
				if len(update) > 0 {
					t.Errorf("an update has %d changes, want none", len(update))
				}
			}
			if err == nil || c.err != nil && !errors.Is(err, c.err) ||
				errors.Is(err, ErrMalformed) != (c.err == ErrMalformed) {
				t.Errorf("error %v, want %v (nil: any but ErrMalformed)", err, c.err)
			}
			if client.Index() != 2 || len(client.table.byName) != 500 || client.table.openLists != 0 {
				t.Errorf("index %d, want 2; %d backends in the table, want 500; %d lists open, want 0", client.Index(),
					len(client.table.byName), client.table.openLists)
			}
		})
	}
}

// A draining backend in a long list is reported before the list has ended. No new request may be sent to the backend
// 250 ms after the agent has the drain, and the rest of the list may take longer than that.
func TestDrainWithinLongListIsReportedImmediately(t *testing.T) {
	client, loop := newTestClient(t)
	receive(t, client, loop, discoverytest.Line(t, discoverytest.Fleet(2, discoverytest.FleetSize)), nil)
	next := discoverytest.Fleet(3, discoverytest.FleetSize)
	draining := next.Endpoints[300]
	next.Endpoints[300].Status = "DRAINING"
	agent := discoverytest.NewAgent(t)
	client.Follow(agent.Address())
	watch, _ := agent.Watch()
	list := discoverytest.Line(t, next)
	watch.Chunk(list[:strings.Index(list, next.Endpoints[300+2*batchSize].Name)]) // and then nothing
	loop.runUntil(func() bool { return len(loop.updates) > 0 })
	_, inPool := loop.pools[draining.Name]
	if changes := loop.updates[0].Backends; len(changes) != 1 || changes[0].Name != draining.Name ||
		changes[0].State != policy.Draining || inPool || client.Index() != 2 {
		t.Errorf("changes %+v, want %s draining; in service for the pools: %v; index %d, want 2", changes, draining.Name,
			inPool, client.Index())
	}
}
