package gateway

import (
	"testing"
	"time"

	"bellwood/internal/gateway/discovery/discoverytest"
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

// A gateway whose counter accepts connections but never responds serves requests.
func TestServesWhenCounterDoesNotRespond(t *testing.T) {
	gateway, ln := startWithBackend(t, func(cfg *Config, t *testing.T) {
		cfg.Counter = listen(t).Addr().String()
		cfg.Settings.SharedCounter = true
	})
	client := gateway.dial()
	client.sendCommand(requestWith("t=open", "t=starter")...)
	backend := acceptCommand(t, ln)
	backend.write(valueReply("value"))
	client.wantReply("value")
}

// Guards against requests by a list of unknown age: while discovery accepts connections but does not respond, requests are
// rejected, and they are served with the endpoint list of the configuration once discovery confirms it.
func TestServesWithConfiguredListOnceDiscoveryConfirmsIt(t *testing.T) {
	ln, agent := listen(t), discoverytest.NewAgent(t)
	known := endpointList(1, ln.Addr().String())
	gateway := startGateway(t, nil, func(cfg *Config, t *testing.T) { cfg.Discovery, cfg.Known = agent.Address(), known })
	client := gateway.dial()
	client.sendRequest("1")
	client.wantReply("-BUSY")
	go agent.ServeEach(discoverytest.Line(t, known))
	gateway.waitUntil(gateway.server.ready.Load)
	client.sendRequest("2")
	backend := acceptCommand(t, ln)
	backend.write(valueReply("value"))
	client.wantReply("value")
}
