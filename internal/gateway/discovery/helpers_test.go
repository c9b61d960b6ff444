package discovery

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"bellwood/internal/gateway/discovery/discoverytest"
	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
)

// testLoop is an event loop whose tasks run when the test says so, and that keeps what it is told.
type testLoop struct {
	t       testing.TB
	tasks   chan func()
	done    chan struct{}
	updates []policy.EndpointUpdate // for the next Step
	pools   map[string]string       // addresses of the backends in service, by their names
}

func (l *testLoop) Post(task func()) {
	select {
	case l.tasks <- task:
	case <-l.done:
	}
}

func (l *testLoop) Done() <-chan struct{} { return l.done }

func (l *testLoop) EndpointChanged(backend policy.Backend, address string) {
	if backend.State == policy.InService {
		l.pools[backend.Name] = address
	} else {
		delete(l.pools, backend.Name)
	}
}

func (l *testLoop) Update(update policy.EndpointUpdate) { l.updates = append(l.updates, update) }

func (l *testLoop) Adopted(int64, bool) {}

func (l *testLoop) Reachable() {}

// pump runs tasks until a condition holds.
func (l *testLoop) pump(until func() bool) {
	l.t.Helper()
	end := time.After(discoverytest.Timeout)
	for !until() {
		select {
		case task := <-l.tasks:
			task()
		case <-end:
			l.t.Fatal("it never came to that")
		}
	}
}

// pumpUntilWatch runs tasks until an agent has a watch, and returns it with the index that it asks from.
func (l *testLoop) pumpUntilWatch(agent *discoverytest.Agent) (watch *discoverytest.Watch, index string) {
	l.t.Helper()
	opened := false
	go func() {
		watch, index = agent.Watch()
		l.Post(func() { opened = true })
	}()
	l.pump(func() bool { return opened })
	return watch, index
}

// newTestClient returns a client that knows some endpoints, and its loop.
func newTestClient(t testing.TB, known ...endpoint.Entry) (*Client, *testLoop) {
	t.Helper()
	loop := &testLoop{t: t, tasks: make(chan func(), 1024), done: make(chan struct{}), pools: map[string]string{}}
	client := New(loop, Options{Address: "127.0.0.1:1", Zones: []string{"dc1"}, Kinds: []string{"std"},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Silence: discoverytest.Timeout})
	client.Apply(known, policy.CachedSnapshot)
	loop.updates = nil
	t.Cleanup(func() {
		client.Stop()
		close(loop.done)
	})
	return client, loop
}
