package gateway

import (
	"fmt"
	"strings"
	"testing"
)

// A door among 1,024 with a list of 1,200 backends serves, also requests of a customer whose set is all doors.
func TestServesAmongManyGatewaysAndBackends(t *testing.T) {
	const doors, backends = 1024, 1200
	ln := listen(t)
	var addrs []string
	for range backends {
		addrs = append(addrs, ln.Addr().String()) // one listener stands in for all
	}
	gateway := startGateway(t, addrs, func(cfg *Config, t *testing.T) { cfg.Settings.Gateways, cfg.Settings.GatewayIndex = doors, doors-1 })
	got := emulateBackend(t, ln)
	client := gateway.dial()
	for i := range 20 {
		id := fmt.Sprint("request", i)
		client.command("Q.ASK", tenantID, id, strings.Replace(idempotentFields, "spread=1,first=0", fmt.Sprintf("spread=%d,first=%d", doors, doors-1), 1))
		nextCommand(t, got).replyWithValue()
		client.wants("value")
	}
	gateway.until(func() bool { return len(gateway.server.upstream.pools) == backends })
}
