package fleettest

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"bellwood/internal/emulator"
	"bellwood/internal/policy"
	"bellwood/internal/simprotocol"
)

const (
	clientTimeout     = 4 * time.Second // of all classes
	connIdleTimeout   = 30 * time.Second
	maxGatewaySockets = 1024 // what a real gateway is told of its limit
)

// pathSettings are settings by their paths in the simulator's protocol. Real gateways read them nested, as JSON, and
// simulated gateways read the very same as text.
type pathSettings map[string]any

// classes are the classes of requests, as clients know them.
var classes = []emulator.Class{
	{Name: "lookup", Idempotency: emulator.Idempotent, Share: 0.6, ClientTimeout: clientTimeout},
	{Name: "order", Idempotency: emulator.IdempotentWithKey, Share: 0.25, ClientTimeout: clientTimeout},
	{Name: "settle", Idempotency: emulator.NonIdempotent, Share: 0.15, ClientTimeout: clientTimeout},
}

// plans are the names of the tenants' plans, in the order of addPlans. Tenants are dealt out among them by number.
var plans = []string{"open", "starter", "team", "capped"}

// newSettings returns the settings of the gateway with an index, among so many. They are as complete as a deployment's:
// six of them no code reads (family, weights, limits.max-streams, specifics.count-fee, specifics.meter-us and, in addPlans,
// ceiling-slack).
func newSettings(index, gateways, zones int) pathSettings {
	p := pathSettings{
		"peers-total": gateways, "rank": index, "locality": index % zones, "resolution-us": 4000, "discovery": "pushed",
		"areas": zoneNames(zones), "kinds": []string{backendType}, "family": "gate", "weights": "none",
		"limits.max-attempts": 3, "limits.second-copies": false, "limits.cancel": true, "limits.may-probe": false,
		"limits.retry-after": true, "limits.max-retry-after-us": 1_000_000, "limits.dial-timeout-us": 250_000,
		"limits.conn-idle-us": connIdleTimeout.Microseconds(), "limits.open-cap": 2000, "limits.max-streams": 1,
		"obligations.answer-slack-us": 50_000, "obligations.stop-sending-within-us": 250_000,
		"obligations.fall-multiple": 3.0, "obligations.fall-us": 3_000_000, "obligations.cold-from": 0.25,
		"obligations.warm-within-us": 15_000_000, "obligations.ask-every-us": 10_000_000,
		"specifics.shared-counter": true, "specifics.count-fee": 0.005, "specifics.counter-timeout-us": 50_000,
		"specifics.max-units": 1, "specifics.meter-us": 0, "specifics.trued-up": false,
	}
	p.addClasses()
	p.addPlans()
	return p
}

// addClasses adds what gateways are told of the classes.
func (p pathSettings) addClasses() {
	timeout := clientTimeout.Microseconds()
	p.addList("classes",
		map[string]any{"name": "lookup", "effect": "safe", "worth": 1.0, "late-worth": 0.3, "target-us": 2_000_000,
			"give-up-us": timeout},
		map[string]any{"name": "order", "effect": "keyed", "group": "all", "window-us": timeout, "worth": 5.0,
			"late-worth": 0.2, "target-us": 2_000_000, "give-up-us": timeout},
		map[string]any{"name": "settle", "effect": "unsafe", "worth": 2.0, "target-us": 2_000_000, "give-up-us": timeout})
}

// addPlans adds what gateways are told of the plans.
func (p pathSettings) addPlans() {
	p.addList("tiers-of-service",
		map[string]any{"name": "open", "value-factor": 1.0},
		map[string]any{"name": "starter", "value-factor": 0.7, "units-per-s": 0.5, "most-at-once": 5.0, "over-cost": 1.2},
		map[string]any{"name": "team", "value-factor": 1.1, "units-per-s": 2.0, "most-at-once": 10.0, "over-cost": 0.5},
		map[string]any{"name": "capped", "value-factor": 1.8, "units-per-s": 1.0, "most-at-once": 8.0, "over-cost": 0.5,
			"never-over-rate": 3.0, "cap-depth": 12.0, "ceiling-slack": 2.0})
}

func zoneNames(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprint("zone-", i+1))
	}
	return names
}

// addList adds a list of objects.
func (p pathSettings) addList(path string, objects ...map[string]any) {
	for i, object := range objects {
		for key, value := range object {
			p[fmt.Sprintf("%s.%d.%s", path, i, key)] = value
		}
	}
	p[path+".count"] = len(objects)
}

// asText returns the settings as the simulator's protocol has them.
func (p pathSettings) asText() map[string]string {
	texts := make(map[string]string, len(p))
	for path, value := range p {
		if list, ok := value.([]string); ok {
			value = strings.Join(list, ",")
		}
		texts[path] = fmt.Sprint(value)
	}
	return texts
}

// policySettings returns the settings as simulated gateways use them.
func (p pathSettings) policySettings() (policy.Settings, error) {
	texts := p.asText()
	if _, err := simprotocol.ParseTransport(texts); err != nil {
		return policy.Settings{}, err
	}
	return simprotocol.ParseSettings(texts)
}

// asJSON returns the settings as a real gateway's configuration has them: nested, and counted lists as arrays.
func (p pathSettings) asJSON() map[string]any {
	root := map[string]any{}
	for _, path := range slices.Sorted(maps.Keys(p)) {
		object, keys := root, strings.Split(path, ".")
		for _, key := range keys[:len(keys)-1] {
			if object[key] == nil {
				object[key] = map[string]any{}
			}
			object = object[key].(map[string]any)
		}
		object[keys[len(keys)-1]] = p[path]
	}
	for key, value := range root {
		if list, ok := countedList(value); ok {
			root[key] = list
		}
	}
	return root
}

// countedList returns the objects "0", "1", ... of an object with a "count". ok is false where it has none.
func countedList(value any) (list []any, ok bool) {
	object, _ := value.(map[string]any)
	count, ok := object["count"].(int)
	if !ok {
		return nil, false
	}
	list = make([]any, count)
	for i := range list {
		list[i] = object[strconv.Itoa(i)]
	}
	return list, true
}

// gatewayConfig is the file that NODE_CONFIG names.
type gatewayConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    gatewayLimits   `json:"limits"`
	Counter   string          `json:"counter"`
	Known     json.RawMessage `json:"known"`
	Audit     json.RawMessage `json:"audit,omitempty"`
	Settings  map[string]any  `json:"settings"`
}

type gatewayLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// write writes the configuration to a file, which a reader sees whole or not at all.
func (c *gatewayConfig) write(file string) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}
