package fleettest

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"bellwood/internal/emulator"
	"bellwood/internal/policy"
	"bellwood/internal/simprotocol"
)

// pathSettings are settings by their paths on the simulator's wire. Real doors read them nested, as JSON, and hollow
// doors read the very same as text.
type pathSettings map[string]any

const (
	clientTimeout   = 4 * time.Second // of all classes
	connIdleTimeout = 30 * time.Second
)

var classes = []emulator.Class{
	{Name: "lookup", Idempotency: emulator.Idempotent, Share: 0.6, ClientTimeout: clientTimeout},
	{Name: "order", Idempotency: emulator.IdempotentWithKey, Share: 0.25, ClientTimeout: clientTimeout},
	{Name: "settle", Idempotency: emulator.NonIdempotent, Share: 0.15, ClientTimeout: clientTimeout},
}

var plans = []string{"open", "starter", "team", "capped"}

// newSettings returns the settings of a door among so many.
func newSettings(rank, doors, zones int) pathSettings {
	p := pathSettings{
		"peers-total": doors, "rank": rank, "locality": rank % zones, "resolution-us": 4000, "discovery": "pushed",
		"areas": zoneNames(zones), "kinds": []string{"std"}, "family": "gate", "weights": "none",
		"limits.max-attempts": 3, "limits.second-copies": false, "limits.cancel": true, "limits.may-probe": false,
		"limits.retry-after": true, "limits.max-retry-after-us": 1_000_000, "limits.dial-timeout-us": 250_000,
		"limits.conn-idle-us": connIdleTimeout.Microseconds(), "limits.open-cap": 2000, "limits.max-streams": 1,
		"obligations.answer-slack-us": 50_000, "obligations.stop-sending-within-us": 250_000,
		"obligations.fall-multiple": 3.0, "obligations.fall-us": 3_000_000, "obligations.cold-from": 0.25,
		"obligations.warm-within-us": 15_000_000, "obligations.ask-every-us": 10_000_000,
		"specifics.shared-counter": true, "specifics.count-fee": 0.005, "specifics.counter-timeout-us": 50_000,
		"specifics.max-units": 1, "specifics.meter-us": 0, "specifics.trued-up": false,
	}
	p.list("classes", map[string]any{"name": "lookup", "effect": "safe", "worth": 1.0, "late-worth": 0.3,
		"target-us": 2_000_000, "give-up-us": clientTimeout.Microseconds()},
		map[string]any{"name": "order", "effect": "keyed", "group": "all", "window-us": clientTimeout.Microseconds(),
			"worth": 5.0, "late-worth": 0.2, "target-us": 2_000_000, "give-up-us": clientTimeout.Microseconds()},
		map[string]any{"name": "settle", "effect": "unsafe", "worth": 2.0, "target-us": 2_000_000,
			"give-up-us": clientTimeout.Microseconds()})
	p.list("tiers-of-service", map[string]any{"name": "open", "value-factor": 1.0},
		map[string]any{"name": "starter", "value-factor": 0.7, "units-per-s": 0.5, "most-at-once": 5.0, "over-cost": 1.2},
		map[string]any{"name": "team", "value-factor": 1.1, "units-per-s": 2.0, "most-at-once": 10.0, "over-cost": 0.5},
		map[string]any{"name": "capped", "value-factor": 1.8, "units-per-s": 1.0, "most-at-once": 8.0, "over-cost": 0.5,
			"never-over-rate": 3.0, "cap-depth": 12.0, "ceiling-slack": 2.0})
	return p
}

func zoneNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("zone-", i+1))
	}
	return names
}

// list adds a list of objects.
func (p pathSettings) list(path string, objects ...map[string]any) {
	for i, o := range objects {
		for k, v := range o {
			p[fmt.Sprintf("%s.%d.%s", path, i, k)] = v
		}
	}
	p[path+".count"] = len(objects)
}

// texts returns the settings as the simulator's wire has them.
func (p pathSettings) texts() map[string]string {
	m := make(map[string]string, len(p))
	for k, v := range p {
		if list, ok := v.([]string); ok {
			v = strings.Join(list, ",")
		}
		m[k] = fmt.Sprint(v)
	}
	return m
}

// module returns the settings as hollow doors use them.
func (p pathSettings) module() (policy.Settings, error) {
	m := p.texts()
	if _, err := simprotocol.ParseTransport(m); err != nil {
		return policy.Settings{}, err
	}
	return simprotocol.ParseSettings(m)
}

// nested returns the settings as a real door's configuration has them.
func (p pathSettings) nested() map[string]any {
	root := map[string]any{}
	for _, path := range slices.Sorted(maps.Keys(p)) {
		at, keys := root, strings.Split(path, ".")
		for _, k := range keys[:len(keys)-1] {
			if at[k] == nil {
				at[k] = map[string]any{}
			}
			at = at[k].(map[string]any)
		}
		at[keys[len(keys)-1]] = p[path]
	}
	for k, v := range root {
		m, ok := v.(map[string]any)
		if n, counted := m["count"].(int); ok && counted {
			objects := make([]any, n)
			for i := range objects {
				objects[i] = m[strconv.Itoa(i)]
			}
			root[k] = objects
		}
	}
	return root
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
