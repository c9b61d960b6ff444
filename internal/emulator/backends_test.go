package emulator

import (
	"context"
	"testing"
	"time"
)

// Clients send requests directly to a backend, whose replies are those that a gateway would pass on. Each request must be
// served, reported to OnCommand and recorded in the ledger. The same seed must give the same requests.
func TestBackendsServeRequestsSentDirectlyByClients(t *testing.T) {
	ledger, reached := NewLedger(), make(chan int, 64)
	backends := startFiveBackends(t, ledger, func(backend int, _ string, _ time.Time) { reached <- backend })
	checkSharedListeners(t, backends)

	config := TrafficConfig{Gateways: 3, GatewaysPerTenant: 2, Tenants: 30, Plans: []string{"p", "q"},
		RequestsPerSecond: 100, Seed: 1, Classes: []Class{{Name: "safe", Share: 1, ClientTimeout: testTimeout},
			{Name: "once", Idempotency: NonIdempotent, Share: 1, ClientTimeout: testTimeout}}}
	traffic, sameTraffic := NewTraffic(config, 2), NewTraffic(config, 2)
	clients := NewClients(backends.Addr(1), 4, 0)
	defer clients.Close()
	for range 20 {
		interval, request := traffic.Next()
		if interval2, request2 := sameTraffic.Next(); interval != interval2 || *request != *request2 {
			t.Fatalf("the same seed gives %+v after %v and %+v after %v", request, interval, request2, interval2)
		}
		// The tenant's two gateways of three are FirstGateway and the next one, with index 0 after 2.
		if (2-request.FirstGateway+3)%3 >= 2 || GatewayOf(request.ID) != 2 {
			t.Errorf("traffic of gateway 2 contains %+v, which is not for that gateway", request)
		}
		outcome, latency := clients.Do(context.Background(), request)
		ledger.RequestEnded(request, outcome)
		if service := ledger.ServiceTime(request.ID); outcome != Served || service <= 0 || service > latency {
			t.Fatalf("request ended with %v, latency %v, service time %v; want Served (%v) and a service time within the latency",
				outcome, latency, service, Served)
		}
		if backend := <-reached; backend != 1 {
			t.Errorf("request sent to backend 1 reached backend %d", backend)
		}
	}
	if dedicated, all := backends.OpenConnections(); dedicated[1] != 1 || all != 1 {
		t.Errorf("%v dedicated connections, %d in total; want one, at backend 1", dedicated, all)
	}
	s := ledger.Sums(nil)
	if s.Served != 20 || s.Started != 20 || s.AttemptsStarted != 20 || s.Phantom+s.Doubled+s.StartedNotServed+s.Wrong != 0 {
		t.Errorf("sums are %+v, want 20 requests served with one attempt each", s)
	}
	checkCommandReplies(t, backends)
}

// startFiveBackends starts five backends: two have a listener of their own, the other three share two listeners.
func startFiveBackends(t *testing.T, ledger *Ledger, onCommand func(int, string, time.Time)) *Backends {
	t.Helper()
	model := NewModel(ModelConfig{Backends: 5, Concurrency: 1, MeanService: time.Millisecond, MaxQueueTime: time.Second,
		Seed: 1})
	backends, err := StartBackends(BackendsConfig{Host: "127.0.0.1", Dedicated: 2, Shared: 2, IdleTimeout: time.Minute,
		OnCommand: onCommand}, model, ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backends.Close)
	return backends
}

// checkSharedListeners checks which backends share a listener, and that a shared listener only selects among its own
// backends.
func checkSharedListeners(t *testing.T, b *Backends) {
	t.Helper()
	if b.Addr(2) == b.Addr(3) || b.Addr(2) != b.Addr(4) || b.Addr(0) == b.Addr(1) ||
		b.HasOwnListener(2) || !b.HasOwnListener(1) {
		t.Error("want listeners of their own for backends 0 and 1, one shared by backends 2 and 4, another for backend 3")
	}
	for range 6 {
		if backend := b.nextBackendAt(2); backend != 2 && backend != 4 {
			t.Errorf("the listener of backends 2 and 4 selects backend %d", backend)
		}
	}
}

// checkCommandReplies checks the replies to known and unknown commands, and that malformed commands are counted and close
// the connection.
func checkCommandReplies(t *testing.T, b *Backends) {
	t.Helper()
	expectReply(t, b.Addr(0), "*1\r\n$4\r\nPING\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n*1\r\n$5\r\nHELLO\r\n",
		"+PONG\r\n+OK\r\n-ERR")
	for _, malformed := range []string{"PING\r\n", "*1\r\n$99999999\r\n",
		"*2\r\n$5\r\nQ.ASK\r\n$1\r\nx\r\n", "*1\r\n$4\r\nPINGxx"} {
		expectReplyAndClose(t, b.Addr(0), malformed, "-SYNTAX\r\n")
	}
	if b.Malformed() != 4 {
		t.Errorf("%d malformed commands counted, want 4", b.Malformed())
	}
}
