package gateway

import (
	"testing"
	"time"

	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
)

// All gateways name the counter's numbers by the time, so they must read the same clock.
func TestClockIsUnixTime(t *testing.T) {
	server := newIdleServer(t)
	before := time.Now().UnixNano()
	now := server.now().Nanoseconds()
	if after := time.Now().UnixNano(); now < before-int64(time.Second) || now > after+int64(time.Second) {
		t.Errorf("the loop's clock is %v off", time.Duration(now-before))
	}
}

// The engine never lets a request go unanswered; should it, the loop's own timer answers it and cancels its attempts.
func TestOverdueRequest(t *testing.T) {
	ln := listen(t)
	server := newIdleServer(t, ln.Addr().String())
	attempt := newAttempt(t, server)
	server.timers.Run(attempt.request.deadline)
	if attempt.request.ended {
		t.Error("it is answered before the engine's own timer has had its step")
	}
	for _, request := range server.requests.overdue { // as abandonOverdue does, without the step behind it
		server.requests.abandon(request)
	}
	wantResult(t, server, policy.ConnectFailed) // the loop has not heard of the connection
	if !attempt.request.ended || len(server.requests.byID) != 0 {
		t.Error("the request goes on")
	}
	if _, ok := server.events[len(server.events)-1].(policy.ClientGone); !ok {
		t.Errorf("events %+v", server.events)
	}
}

// After SIGTERM connections and requests are still taken for a while; all that was taken is answered; then
// connections end between requests, and the gateway too.
func TestShutdownAnswersWhatWasTaken(t *testing.T) {
	gateway, ln := startWithBackend(t)
	early, calm := gateway.dial(), gateway.dial()
	calm.command("PING")
	calm.wants("+PONG")
	early.sendRequest("1")
	backend := acceptCommand(t, ln)
	gateway.stop()
	late := gateway.dial()
	late.command("PING")
	late.wants("+PONG")
	calm.wantsEnd()
	late.wantsEnd()
	early.sendRequest("2") // too late: it is rejected and does not keep the connection open
	gateway.waitForPending(2)
	backend.write(valueReply("value"))
	early.wants("value")
	early.wants("-BUSY")
	early.wantsEnd()
	gateway.waitForShutdown()
	if !rawsocket.Quiet(backend.socket) {
		t.Error("it was forwarded")
	}
}

// The counter and discovery may be silent at the start: the known list is enough to serve by.
func TestServesFromKnownList(t *testing.T) {
	ln := listen(t)
	silent := listen(t) // takes connections and says nothing
	gateway := startGateway(t, []string{ln.Addr().String()}, func(cfg *Config, t *testing.T) {
		cfg.Discovery, cfg.Counter = silent.Addr().String(), silent.Addr().String()
		cfg.Settings.SharedCounter = true
	})
	client := gateway.dial()
	client.command(requestWith("t=open", "t=starter")...)
	backend := acceptCommand(t, ln)
	backend.write(valueReply("value"))
	client.wants("value")
}
