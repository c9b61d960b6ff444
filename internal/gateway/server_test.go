package gateway

import (
	"testing"
	"time"

	"bellwood/internal/gateway/rawsocket"
	"bellwood/internal/policy"
)

// All gateways derive the names of the shared counters from the time, so their clocks must agree.
func TestLoopClockIsUnixTime(t *testing.T) {
	server := newServerWithoutLoop(t)
	before := time.Now().UnixNano()
	now := server.now().Nanoseconds()
	if after := time.Now().UnixNano(); now < before-int64(time.Second) || now > after+int64(time.Second) {
		t.Errorf("the loop's clock differs from Unix time by %v", time.Duration(now-before))
	}
}

// If the engine never answers a request, the loop's own deadline timer does, and its attempts are cancelled.
func TestLoopAnswersRequestLostByTheEngine(t *testing.T) {
	ln := listen(t)
	server := newServerWithoutLoop(t, ln.Addr().String())
	attempt := newAttempt(t, server)
	server.timers.Run(attempt.request.deadline)
	if attempt.request.ended {
		t.Error("the request is answered before the engine's Step")
	}
	for _, request := range server.requests.overdue { // as abandonOverdue does, but no Step follows
		server.requests.abandon(request)
	}
	wantResult(t, server, policy.ConnectFailed) // the loop has not yet processed the new connection
	if !attempt.request.ended || len(server.requests.byID) != 0 {
		t.Error("the request is still open after its deadline")
	}
	if _, ok := server.events[len(server.events)-1].(policy.ClientGone); !ok {
		t.Errorf("events %+v, want ClientGone as the last one", server.events)
	}
}

// After SIGTERM the gateway still accepts connections and requests for a while and answers every accepted request. Then
// it closes each connection between two requests, and ends.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	gateway, ln := startWithBackend(t)
	early, idle := gateway.dial(), gateway.dial()
	idle.sendCommand("PING")
	idle.wantReply("+PONG")
	early.sendRequest("1")
	backend := acceptCommand(t, ln)
	gateway.stop()
	late := gateway.dial()
	late.sendCommand("PING")
	late.wantReply("+PONG")
	idle.wantClosed()
	late.wantClosed()
	early.sendRequest("2") // sent while draining: it is rejected and does not keep the connection open
	gateway.waitForPending(2)
	backend.write(valueReply("value"))
	early.wantReply("value")
	early.wantReply("-BUSY")
	early.wantClosed()
	gateway.waitForShutdown()
	if !rawsocket.ReadWouldBlock(backend.socket) {
		t.Error("the rejected request was forwarded to the backend")
	}
}

// A gateway whose counter and discovery accept connections but never respond serves requests with the endpoint list of
// its configuration.
func TestServesFromConfiguredListWhenDiscoveryDoesNotRespond(t *testing.T) {
	ln := listen(t)
	unresponsive := listen(t) // accepts connections but never responds
	gateway := startGateway(t, []string{ln.Addr().String()}, func(cfg *Config, t *testing.T) {
		cfg.Discovery, cfg.Counter = unresponsive.Addr().String(), unresponsive.Addr().String()
		cfg.Settings.SharedCounter = true
	})
	client := gateway.dial()
	client.sendCommand(requestWith("t=open", "t=starter")...)
	backend := acceptCommand(t, ln)
	backend.write(valueReply("value"))
	client.wantReply("value")
}
