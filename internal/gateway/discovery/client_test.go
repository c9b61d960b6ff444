package discovery

import (
	"io"
	"testing"
	"time"

	"bellwood/internal/gateway/discovery/discoverytest"
	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
)

// inService is a backend in service.
var inService = endpoint.Entry{Name: "s-0", Address: "127.0.0.1:1", Zone: "dc1", Kind: "std", Status: "SERVING", Weight: 1}

// A watch delivers the full list of the largest fleet, on one line or indented.
func TestSnapshotOfLargestFleetIsApplied(t *testing.T) {
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
			loop.runUntil(func() bool { return client.Index() == 7 })
			if len(loop.pools) != discoverytest.FleetSize {
				t.Errorf("%d backends in the pools, want %d", len(loop.pools), discoverytest.FleetSize)
			}
		})
	}
}

// Guards against an index that advances before its list has been applied completely. A client that follows another agent
// in the middle of a list would then request only the changes after that list, and the backends in its unread rest would
// stay unknown until the next snapshot.
//
// A watch on another agent must start from the index of the last complete list, and the rest of the interrupted list must
// not be applied. A watch reopened at the same agent must deliver only the changes.
func TestIndexAdvancesOnlyWithCompleteList(t *testing.T) {
	client, loop := newTestClient(t, inService)
	first, second := discoverytest.NewAgent(t), discoverytest.NewAgent(t)
	list := discoverytest.Chunked(discoverytest.Line(t, discoverytest.Fleet(7, discoverytest.FleetSize)))

	client.Follow(first.Address())
	watch, from := first.Watch()
	go io.WriteString(watch.Conn, list)
	loop.runUntil(func() bool { return client.BackendCount() > discoverytest.FleetSize/2 })
	if client.Index() != 0 || from != "0" {
		t.Fatalf("the watch requested index %s, and the index within the list is %d; want 0 and 0", from, client.Index())
	}

	client.Follow(second.Address())
	watch, from = loop.runUntilWatch(second)
	loop.runUntil(func() bool { return client.table.openLists == 0 }) // the old watch has ended
	if from != "0" {
		t.Errorf("the watch at the second agent requested index %s, want 0", from)
	}
	if state := client.table.byName["s-0"].backend.State; client.Index() != 0 ||
		client.BackendCount() == discoverytest.FleetSize+1 || state != policy.InService {
		t.Errorf("the interrupted list was applied: index %d, %d backends, s-0 is %v", client.Index(),
			client.BackendCount(), state)
	}

	go io.WriteString(watch.Conn, list)
	loop.runUntil(func() bool { return client.Index() == 7 })
	if n := client.BackendCount(); n != discoverytest.FleetSize {
		t.Errorf("%d backends in the table, want %d", n, discoverytest.FleetSize)
	}

	watch.Conn.Close()
	loop.updates = nil
	watch, from = loop.runUntilWatch(second)
	watch.Chunk(drainOf(t, discoverytest.Fleet(8, 1)))
	loop.runUntil(func() bool { return client.Index() == 8 })
	if updates := loop.updates; from != "7" || len(updates) != 1 || len(updates[0].Backends) != 1 {
		t.Errorf("the reopened watch requested index %s, and its change made %d updates: %+v; want 7 and one backend",
			from, len(updates), updates)
	}
}

// drainOf returns a change in which the first backend of a list is draining.
func drainOf(t *testing.T, list endpoint.List) string {
	t.Helper()
	list.Snapshot, list.Endpoints[0].Status = false, "DRAINING"
	return discoverytest.Line(t, list)
}

// A batch of a list is queued for the loop when the client is moved to another agent. If it were applied after that, it
// could overwrite newer state, and the index would be the old agent's. Neither a watch nor a fetch started before the
// move may change anything after it.
func TestBatchQueuedBeforeFollowIsNotApplied(t *testing.T) {
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
					t.Error("the old agent's list is reported as applied")
				}
			})
			response, _ := agent.Watch()
			response.Chunk(snapshot)
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, loop := newTestClient(t, inService)
			first, second := discoverytest.NewAgent(t), discoverytest.NewAgent(t)
			begin(client, first)
			batch := <-loop.tasks
			client.Follow(second.Address())
			batch()
			loop.runUntil(func() bool { return client.table.openLists == 0 })
			if client.Index() != 0 || client.BackendCount() != 1 || loop.pools[inService.Name] == "" || len(loop.updates) != 0 {
				t.Errorf("index %d, %d backends, updates %+v; want the initial backend only", client.Index(), client.BackendCount(),
					loop.updates)
			}
		})
	}
}

// maxNotificationDelay is the operators' limit for the time from when discovery has a change, and is reachable, until the
// gateway acts on it.
const maxNotificationDelay = 6 * time.Second

// Two failed calls with the longest timeouts and delays leave enough time for a third call to deliver a change.
func TestTimeoutsAllowTwoFailedCalls(t *testing.T) {
	const failedCalls = 2
	const successfulCall = 500 * time.Millisecond
	if worst := failedCalls*(watchIdleTimeout+maxReconnectDelay) + successfulCall; worst > maxNotificationDelay {
		t.Errorf("a watch may deliver a change after %v, want %v at most", worst, maxNotificationDelay)
	}
	const maxPollDelay = 750 * time.Millisecond // the longest delay before an engine polls again
	if worst := failedCalls*(fetchIdleTimeout+maxPollDelay) + successfulCall; worst > maxNotificationDelay {
		t.Errorf("a fetch may deliver a change after %v, want %v at most", worst, maxNotificationDelay)
	}
	const keepaliveInterval = 2 * time.Second // of the agent, on a watch
	if watchIdleTimeout < keepaliveInterval+keepaliveInterval/5 {
		t.Errorf("the watch idle timeout of %v is too close to the agent's keepalive interval of %v", watchIdleTimeout,
			keepaliveInterval)
	}
	for _, err := range []error{io.EOF, ErrMalformed, ErrSuperseded} {
		delay := reconnectDelay
		for range 20 {
			if delay = nextReconnectDelay(delay, err); delay > maxReconnectDelay {
				t.Errorf("delay of %v after %v, want %v at most", delay, err, maxReconnectDelay)
			}
		}
	}
}

// While a list of a watch is being read, the client is behind since the watch before it ended, or since the list began.
func TestClientIsBehindWhileAListIsBeingRead(t *testing.T) {
	client, loop := newTestClient(t)
	agent := discoverytest.NewAgent(t)
	client.Follow(agent.Address())
	watch, _ := loop.runUntilWatch(agent)
	list := discoverytest.Line(t, discoverytest.Fleet(2, 4))
	began := time.Now()
	watch.Chunk(list[:len(list)/2])
	loop.runUntil(func() bool { return !loop.behindSince.IsZero() })
	if loop.behindSince.Before(began) {
		t.Errorf("behind since %v before the list began", began.Sub(loop.behindSince))
	}
	watch.Chunk(list[len(list)/2:])
	loop.runUntil(func() bool { return loop.behindSince.IsZero() })
	watch.Reset()
	lost := time.Now()
	loop.runUntil(func() bool { return !loop.behindSince.IsZero() })
	watch, _ = loop.runUntilWatch(agent)
	time.Sleep(3 * reconnectDelay)
	loop.behindSince = time.Time{}
	watch.Chunk(list[:len(list)/2])
	loop.runUntil(func() bool { return !loop.behindSince.IsZero() })
	if since := loop.behindSince.Sub(lost); since > reconnectDelay {
		t.Errorf("behind since %v after the watch ended, want since its end", since)
	}
	watch.Chunk(list[len(list)/2:])
	loop.runUntil(func() bool { return loop.behindSince.IsZero() })
}
