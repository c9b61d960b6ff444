package gateway

import (
	"time"

	"bellwood/internal/gateway/counter"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// newCounter returns a client for the counter in the configuration.
func newCounter(server *Server) *counter.Client {
	cfg := server.cfg
	return counter.New(counterLoop{server}, counter.Options{Enabled: cfg.Settings.SharedCounter, Address: cfg.Counter,
		Timeout: cfg.Settings.CounterTimeout, DialTimeout: cfg.Transport.DialTimeout})
}

// addToCounter makes a counter call for the engine and reports its result to the engine and the audit.
func (server *Server) addToCounter(call policy.AddToCounter) {
	server.counter.Add(call.Name, call.Amount, call.TTL, func(result counter.Result) {
		server.emit(policy.CounterResult{Name: call.Name, Status: result.Status, Total: result.Total})
		server.audit.quotaCallEnded(result.Status)
	})
}

// counterLoop implements counter.EventLoop on the server's event loop.
type counterLoop struct{ server *Server }

func (l counterLoop) Post(task func()) { l.server.post(task) }

func (l counterLoop) Now() time.Duration { return l.server.now() }

func (l counterLoop) AddTimer(at time.Duration, task func()) *timerqueue.Timer {
	return l.server.addTimer(at, task)
}

func (l counterLoop) StopTimer(timer *timerqueue.Timer) { l.server.stopTimer(timer) }
