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

// testLoop is an EventLoop that records the calls to it. The test runs its tasks explicitly.
type testLoop struct {
	t           testing.TB
	tasks       chan func()
	done        chan struct{}
	updates     []policy.EndpointUpdate // since the test last cleared it
	pools       map[string]string       // addresses of the backends in service, by name
	behindSince time.Time               // of the last EndpointsBehind; zero: EndpointsCurrent came after it
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

func (l *testLoop) EmitUpdate(update policy.EndpointUpdate) { l.updates = append(l.updates, update) }

func (l *testLoop) ListApplied(int64, bool) {}

func (l *testLoop) EndpointsBehind(_ policy.BehindCause, since time.Time) { l.behindSince = since }

func (l *testLoop) EndpointsCurrent() { l.behindSince = time.Time{} }

func (l *testLoop) Ready() {}

// runUntil runs tasks until a condition holds.
func (l *testLoop) runUntil(condition func() bool) {
	l.t.Helper()
	end := time.After(discoverytest.Timeout)
	for !condition() {
		select {
		case task := <-l.tasks:
			task()
		case <-end:
			l.t.Fatalf("condition not met within %v", discoverytest.Timeout)
		}
	}
}

// runUntilWatch runs tasks until an agent receives a watch, and returns the watch and the index in its request.
func (l *testLoop) runUntilWatch(agent *discoverytest.Agent) (watch *discoverytest.Watch, index string) {
	l.t.Helper()
	opened := false
	go func() {
		watch, index = agent.Watch()
		l.Post(func() { opened = true })
	}()
	l.runUntil(func() bool { return opened })
	return watch, index
}

// newTestClient returns a client whose table has the known endpoints, and its loop.
func newTestClient(t testing.TB, known ...endpoint.Entry) (*Client, *testLoop) {
	t.Helper()
	loop := &testLoop{t: t, tasks: make(chan func(), 1024), done: make(chan struct{}), pools: map[string]string{}}
	client := New(loop, Options{Address: "127.0.0.1:1", Zones: []string{"dc1"}, Kinds: []string{"std"},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), IdleTimeout: discoverytest.Timeout})
	client.Apply(known, policy.CachedSnapshot)
	loop.updates = nil
	t.Cleanup(func() {
		client.Stop()
		close(loop.done)
	})
	return client, loop
}
