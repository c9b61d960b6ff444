package discovery

import (
	"io"
	"testing"
	"time"

	"bellwood/internal/gateway/discovery/discoverytest"
	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
)

// serving is one backend in service.
var serving = endpoint.Entry{Name: "s-0", Address: "127.0.0.1:1", Zone: "dc1", Kind: "std", Status: "SERVING", Weight: 1}

// The whole list of the largest fleet is taken from a watch, on one line or indented.
func TestSnapshotOfTheLargestFleetIsTaken(t *testing.T) {
	fleet := discoverytest.Fleet(7, discoverytest.FleetSize)
	for name, text := range map[string]string{
		"line":     discoverytest.Line(t, fleet),
		"indented": discoverytest.Indented(t, fleet, "    "),
	} {
		t.Run(name, func(t *testing.T) {
			client, loop := newTestClient(t)
			agent := discoverytest.NewAgent(t)
			client.Follow(agent.Address())
			watch, _ := agent.Watch()
			t.Logf("%d bytes", len(text))
			go io.WriteString(watch.Conn, discoverytest.Chunked(text))
			loop.pump(func() bool { return client.Index() == 7 })
			if len(loop.pools) != discoverytest.FleetSize {
				t.Errorf("%d are known", len(loop.pools))
			}
		})
	}
}

// The index moves once the whole list has been taken, not before. Else a watch that is moved within a list would ask for
// the changes behind it, and whoever stands in its unread rest would stay unknown until the next snapshot. A watch that
// is moved asks from where the last whole list ended, and neither the rest of the list nor its end counts any more. One
// that is only opened anew costs the changes alone.
func TestIndexMovesWithTheWholeList(t *testing.T) {
	client, loop := newTestClient(t, serving)
	first, second := discoverytest.NewAgent(t), discoverytest.NewAgent(t)
	list := discoverytest.Chunked(discoverytest.Line(t, discoverytest.Fleet(7, discoverytest.FleetSize)))

	client.Follow(first.Address())
	watch, from := first.Watch()
	go io.WriteString(watch.Conn, list)
	loop.pump(func() bool { return client.Len() > discoverytest.FleetSize/2 })
	if client.Index() != 0 || from != "0" {
		t.Fatalf("asked from %s; index %d within the list", from, client.Index())
	}

	client.Follow(second.Address())
	watch, from = loop.pumpUntilWatch(second)
	loop.pump(func() bool { return client.table.openLists == 0 }) // the reader of the old list has given up
	if from != "0" {
		t.Errorf("the moved watch asks from %s", from)
	}
	if state := client.table.byName["s-0"].backend.State; client.Index() != 0 ||
		client.Len() == discoverytest.FleetSize+1 || state != policy.InService {
		t.Errorf("the old watch's list was taken: index %d, %d known, %v", client.Index(), client.Len(), state)
	}

	go io.WriteString(watch.Conn, list)
	loop.pump(func() bool { return client.Index() == 7 })
	if n := client.Len(); n != discoverytest.FleetSize {
		t.Errorf("%d are known", n)
	}

	watch.Conn.Close()
	loop.updates = nil
	watch, from = loop.pumpUntilWatch(second)
	watch.Chunk(drainOf(t, discoverytest.Fleet(8, 1)))
	loop.pump(func() bool { return client.Index() == 8 })
	if updates := loop.updates; from != "7" || len(updates) != 1 || len(updates[0].Backends) != 1 {
		t.Errorf("asked from %s, told %d updates", from, len(updates))
	}
}

// drainOf is the change by which the first backend of a list drains.
func drainOf(t *testing.T, list endpoint.List) string {
	t.Helper()
	list.Snapshot, list.Endpoints[0].Status = false, "DRAINING"
	return discoverytest.Line(t, list)
}

// A part of a list waits for the loop while the loop moves the client to another agent. Were it applied then, it would
// come behind what the new agent says, and the index would be that of the old one. Neither a watch nor a fetch that
// began before the move changes anything after it.
func TestPartThatCrossesAMoveIsNotApplied(t *testing.T) {
	snapshot := discoverytest.Line(t, discoverytest.Fleet(7, 3))
	for name, begin := range map[string]func(client *Client, agent *discoverytest.Agent){
		"watch": func(client *Client, agent *discoverytest.Agent) {
			client.Follow(agent.Address())
			watch, _ := agent.Watch()
			watch.Chunk(snapshot)
		},
		"fetch": func(client *Client, agent *discoverytest.Agent) {
			client.address = agent.Address()
			client.FetchAndFollow(func(applied bool) {
				if applied {
					t.Error("the list of the old agent is said to be applied")
				}
			})
			answer, _ := agent.Watch()
			answer.Chunk(snapshot)
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, loop := newTestClient(t, serving)
			first, second := discoverytest.NewAgent(t), discoverytest.NewAgent(t)
			begin(client, first)
			part := <-loop.tasks
			client.Follow(second.Address())
			part()
			loop.pump(func() bool { return client.table.openLists == 0 })
			if client.Index() != 0 || client.Len() != 1 || loop.pools[serving.Name] == "" || len(loop.updates) != 0 {
				t.Errorf("index %d, %d known, told %+v", client.Index(), client.Len(), loop.updates)
			}
		})
	}
}

// notifiedWithin is when a change counts as told that discovery has, if it can be reached: the operators' term.
const notifiedWithin = 6 * time.Second

// By the time-outs and pauses alone, two calls of the slowest kind leave time for the third to bring the change.
func TestCallsAndPausesAreShort(t *testing.T) {
	const callsThatFail = 2
	const bring = 500 * time.Millisecond // for the call that is well
	if worst := callsThatFail*(watchSilence+maxRewatchPause) + bring; worst > notifiedWithin {
		t.Errorf("by the watch a change may come after %v", worst)
	}
	const pollPause = 750 * time.Millisecond // the longest that an engine may take to ask again
	if worst := callsThatFail*(fetchSilence+pollPause) + bring; worst > notifiedWithin {
		t.Errorf("by calls for the list a change may come after %v", worst)
	}
	const sign = 2 * time.Second // between a watch's signs of life
	if watchSilence < sign+sign/5 {
		t.Errorf("a watch that gives its signs counts as dead after %v", watchSilence)
	}
	for _, err := range []error{io.EOF, ErrMalformed, ErrSuperseded} {
		pause := rewatchPause
		for range 20 {
			if pause = nextPause(pause, err); pause > maxRewatchPause {
				t.Errorf("behind %v a pause of %v", err, pause)
			}
		}
	}
}
