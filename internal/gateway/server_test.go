package gateway

import (
	"strings"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// All front doors name the counter's numbers by the time, so theirs must be the same clock.
func TestClockIsUnixTime(t *testing.T) {
	server := newIdleServer(t)
	before := time.Now().UnixNano()
	now := server.now().Nanoseconds()
	if after := time.Now().UnixNano(); now < before-int64(time.Second) || now > after+int64(time.Second) {
		t.Errorf("the loop's clock is %v off", time.Duration(now-before))
	}
}

// The module never lets a request go unanswered; should it, the loop's own timer answers and calls off.
func TestOverdueRequest(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	attempt := newAttempt(t, server)
	server.timers.Run(attempt.request.deadline)
	if attempt.request.ended {
		t.Error("it is answered before the module's own timer has had its Step")
	}
	for _, request := range server.overdueRequests { // as answerOverdue does, without its Step
		server.abandon(request)
	}
	wantOutcome(t, server, policy.ConnectFailed) // the loop has not heard of the connection
	if !attempt.request.ended || len(server.requests) != 0 {
		t.Error("the request goes on")
	}
	if _, ok := server.events[len(server.events)-1].(policy.ClientGone); !ok {
		t.Errorf("events %+v", server.events)
	}
}

// ends waits until the front door has ended.
func (gateway *testGateway) ends() {
	gateway.t.Helper()
	select {
	case <-gateway.server.done:
	case <-time.After(testTimeout):
		gateway.t.Fatal("it does not end")
	}
}

// After SIGTERM connections and requests are still taken for a while; all that was taken is answered; then
// connections end between requests, and the front door too.
func TestShutdownAnswersWhatWasTaken(t *testing.T) {
	ln := listen(t)
	gateway := startGateway(t, []string{ln.Addr().String()})
	early, calm := gateway.dial(), gateway.dial()
	calm.command("PING")
	calm.wants("+PONG")
	early.command("Q.ASK", customer, "1", list)
	backend := accept(t, ln)
	backend.message()
	gateway.stop()
	late := gateway.dial()
	late.command("PING")
	late.wants("+PONG")
	calm.wantsEnd()
	late.wantsEnd()
	early.command("Q.ASK", customer, "2", list) // too late: it is refused and does not keep the connection open
	gateway.taken(2)
	backend.write("*1\r\n" + bulk("value"))
	early.wants("value")
	early.wants("-BUSY")
	early.wantsEnd()
	gateway.ends()
	if !quiet(backend.socket) {
		t.Error("it was sent on")
	}
}

// The counter and discovery may be silent at the start: the known list is enough to serve by.
func TestServesFromKnownList(t *testing.T) {
	ln := listen(t)
	silent := listen(t) // takes connections and says nothing
	gateway := startGateway(t, []string{ln.Addr().String()}, func(c *Config, t *testing.T) {
		c.Discovery, c.Counter = silent.Addr().String(), silent.Addr().String()
		c.Settings.SharedCounter = true
	})
	client := gateway.dial()
	client.command("Q.ASK", customer, "1", strings.Replace(list, "t=open", "t=starter", 1))
	backend := accept(t, ln)
	backend.message()
	backend.write("*1\r\n" + bulk("value"))
	client.wants("value")
}
