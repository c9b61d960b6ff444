package gateway

import (
	"time"

	"bellwood/internal/gateway/counter"
	"bellwood/internal/policy"
	"bellwood/internal/timerqueue"
)

// newCounter returns the client of the counter that the configuration names.
func newCounter(server *Server) *counter.Client {
	cfg := server.cfg
	return counter.New(counterLoop{server}, counter.Options{Enabled: cfg.Settings.SharedCounter, Address: cfg.Counter,
		Timeout: cfg.Settings.CounterTimeout, DialTimeout: cfg.Transport.DialTimeout})
}

// addToCounter makes a counter call for the engine.
func (server *Server) addToCounter(call policy.AddToCounter) {
	server.counter.Add(call.Name, call.Amount, call.TTL, func(result counter.Result) {
		server.emit(policy.CounterResult{Name: call.Name, Status: result.Status, Total: result.Total})
		server.audit.quotaCallEnded(result.Status)
	})
}

// counterLoop is what the counter client sees of the event loop: a counter.EventLoop.
type counterLoop struct{ server *Server }

func (l counterLoop) Post(task func()) { l.server.post(task) }

func (l counterLoop) Now() time.Duration { return l.server.now() }

func (l counterLoop) AddTimer(at time.Duration, task func()) *timerqueue.Timer {
	return l.server.addTimer(at, task)
}

func (l counterLoop) StopTimer(timer *timerqueue.Timer) { l.server.stopTimer(timer) }
