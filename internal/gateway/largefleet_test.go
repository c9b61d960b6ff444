package gateway

import (
	"fmt"
	"strings"
	"testing"
)

// A gateway in a fleet of 1,024 gateways and 1,200 backends serves requests of a tenant that is distributed among all
// gateways.
func TestServesInALargeFleet(t *testing.T) {
	const gateways, backends = 1024, 1200
	ln := listen(t)
	var addrs []string
	for range backends {
		addrs = append(addrs, ln.Addr().String()) // one listener stands in for all backends
	}
	gateway := startGateway(t, addrs, func(cfg *Config, t *testing.T) {
		cfg.Settings.Gateways, cfg.Settings.GatewayIndex = gateways, gateways-1
	})
	received := emulateBackend(t, ln)
	client := gateway.dial()
	fields := strings.Replace(idempotentFields, "spread=1,first=0", fmt.Sprintf("spread=%d,first=%d", gateways, gateways-1), 1)
	for i := range 20 {
		id := fmt.Sprint("request", i)
		client.sendCommand("Q.ASK", tenantID, id, fields)
		nextForwarded(t, received).replyWithValue()
		client.wantReply("value")
	}
	gateway.waitUntil(func() bool { return len(gateway.server.upstream.pools) == backends })
}
