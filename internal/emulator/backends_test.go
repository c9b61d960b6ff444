package emulator

import (
	"context"
	"testing"
	"time"
)

// Clients send to a backend here, which answers what a gateway would pass on: each request is served, seen and counted,
// and the same seed gives the same requests.
func TestBackendsServeWhatClientsSend(t *testing.T) {
	ledger, seen := NewLedger(), make(chan int, 64)
	backends := startFiveBackends(t, ledger, func(backend int, _ string, _ time.Time) { seen <- backend })
	checkSharedListeners(t, backends)

	config := TrafficConfig{Gateways: 3, GatewaysPerTenant: 2, Tenants: 30, Plans: []string{"p", "q"},
		RequestsPerSecond: 100, Seed: 1, Classes: []Class{{Name: "safe", Share: 1, ClientTimeout: testTimeout},
			{Name: "once", Idempotency: NonIdempotent, Share: 1, ClientTimeout: testTimeout}}}
	traffic, again := NewTraffic(config, 2), NewTraffic(config, 2)
	clients := NewClients(backends.Addr(1), 4, 0)
	defer clients.Close()
	for range 20 {
		gap, request := traffic.Next()
		if gap2, request2 := again.Next(); gap != gap2 || *request != *request2 {
			t.Fatalf("the same seed gives %+v and %+v", request, request2)
		}
		if (2-request.FirstGateway+3)%3 >= 2 || GatewayOf(request.ID) != 2 {
			t.Errorf("%+v reaches gateway 2", request)
		}
		ending, took := clients.Do(context.Background(), request)
		ledger.RequestEnded(request, ending)
		if service := ledger.ServiceTime(request.ID); ending != Served || service <= 0 || service > took {
			t.Fatalf("ended as %v after %v, of which the backend took %v", ending, took, service)
		}
		if backend := <-seen; backend != 1 {
			t.Errorf("seen at %d", backend)
		}
	}
	if dedicated, all := backends.OpenConnections(); dedicated[1] != 1 || all != 1 {
		t.Errorf("%v connections, %d in all; want one", dedicated, all)
	}
	s := ledger.Sums(nil)
	if s.Served != 20 || s.Ran != 20 || s.Runs != 20 || s.Phantom+s.Doubled+s.RanNotServed+s.Wrong != 0 {
		t.Errorf("sums %+v", s)
	}
	checkMalformedCommands(t, backends)
}

// startFiveBackends starts backends of which two have a listener of their own and the others share two.
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

// checkSharedListeners checks who shares a listener, and that the backends of one take turns.
func checkSharedListeners(t *testing.T, b *Backends) {
	t.Helper()
	if b.Addr(2) == b.Addr(3) || b.Addr(2) != b.Addr(4) || b.Addr(0) == b.Addr(1) || b.HasOwnListener(2) || !b.HasOwnListener(1) {
		t.Error("the listeners are not shared as they should be")
	}
	for range 6 {
		if backend := b.nextBackendAt(2); backend != 2 && backend != 4 {
			t.Errorf("backend %d at the address of 2 and 4", backend)
		}
	}
}

// checkMalformedCommands checks that known commands are answered, and that malformed ones are counted and end the
// connection.
func checkMalformedCommands(t *testing.T, b *Backends) {
	t.Helper()
	expectReply(t, b.Addr(0), "*1\r\n$4\r\nPING\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n*1\r\n$5\r\nHELLO\r\n", "+PONG\r\n+OK\r\n-ERR")
	for _, bad := range []string{"PING\r\n", "*1\r\n$99999999\r\n", "*2\r\n$5\r\nQ.ASK\r\n$1\r\nx\r\n", "*1\r\n$4\r\nPINGxx"} {
		expectReplyAndClose(t, b.Addr(0), bad, "-SYNTAX\r\n")
	}
	if b.Malformed() != 4 {
		t.Errorf("%d malformed commands, want 4", b.Malformed())
	}
}
