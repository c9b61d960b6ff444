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
	clientTimeout     = 4 * time.Second // of requests of every class
	connIdleTimeout   = 30 * time.Second
	maxGatewaySockets = 1024 // the socket limit in a real gateway's configuration
)

// pathSettings maps the paths of settings in the simulator's protocol to their values. Real gateways read them as nested
// JSON; simulated gateways read the same settings as text.
type pathSettings map[string]any

// classes are the classes of requests that the clients send. addClasses adds the gateways' settings of the same classes.
var classes = []emulator.Class{
	{Name: "lookup", Idempotency: emulator.Idempotent, Share: 0.6, ClientTimeout: clientTimeout},
	{Name: "order", Idempotency: emulator.IdempotentWithKey, Share: 0.25, ClientTimeout: clientTimeout},
	{Name: "settle", Idempotency: emulator.NonIdempotent, Share: 0.15, ClientTimeout: clientTimeout},
}

// plans are the names of the tenants' plans, in the order of addPlans. Tenants are assigned to them by tenant number.
var plans = []string{"open", "starter", "team", "capped"}

// newSettings returns the settings of the gateway with an index in a fleet of the given size. They are as complete as those
// of a deployment, so they include six settings that no code reads: family, weights, limits.max-streams,
// specifics.count-fee, specifics.meter-us and, in addPlans, ceiling-slack.
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

// addClasses adds the settings of the request classes.
func (p pathSettings) addClasses() {
	timeout := clientTimeout.Microseconds()
	p.addList("classes",
		map[string]any{"name": "lookup", "effect": "safe", "worth": 1.0, "late-worth": 0.3, "target-us": 2_000_000,
			"give-up-us": timeout},
		map[string]any{"name": "order", "effect": "keyed", "group": "all", "window-us": timeout, "worth": 5.0,
			"late-worth": 0.2, "target-us": 2_000_000, "give-up-us": timeout},
		map[string]any{"name": "settle", "effect": "unsafe", "worth": 2.0, "target-us": 2_000_000, "give-up-us": timeout})
}

// addPlans adds the settings of the tenants' plans.
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

// addList adds a list of objects, under the indexed paths and the count that the simulator's protocol uses for lists.
func (p pathSettings) addList(path string, objects ...map[string]any) {
	for i, object := range objects {
		for key, value := range object {
			p[fmt.Sprintf("%s.%d.%s", path, i, key)] = value
		}
	}
	p[path+".count"] = len(objects)
}

// asText returns the settings as the simulator's protocol encodes them.
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

// policySettings parses the settings for simulated gateways, with the parser of the simulator's protocol.
func (p pathSettings) policySettings() (policy.Settings, error) {
	texts := p.asText()
	if _, err := simprotocol.ParseTransport(texts); err != nil {
		return policy.Settings{}, err
	}
	return simprotocol.ParseSettings(texts)
}

// asJSON returns the settings in the form of a real gateway's configuration: nested objects, and counted lists as arrays.
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

// countedList converts an object with the keys "count", "0", "1", ... to a list. ok is false if it has no "count".
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

// gatewayConfig is the content of the configuration file that NODE_CONFIG names.
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

// write writes the configuration to a file atomically: a reader sees the whole file or none.
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
