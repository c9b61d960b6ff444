package rig

import (
	"fmt"
	"time"
)

// Class is a class of requests in the settings.
type Class struct {
	Name, Effect, Group    string
	Worth, Late            float64
	Target, GiveUp, Window time.Duration
}

// Plan is a plan in the settings.
type Plan struct {
	Name                 string
	Rate, Burst          float64
	CeilingRate, Ceiling float64
	Slack                float64
	OverCost, OverWorth  float64
	AtOnce               int
}

// Site is what the settings of a small deployment are made of.
type Site struct {
	Gateways    int
	Zones       []string
	Kinds       []string
	Classes     []Class
	Plans       []Plan
	MaxAttempts int
	MaxUnits    float64
	Streams     int
	SettledLate bool
	Drain       time.Duration
	Dial        time.Duration
	Idle        time.Duration
	ColdFrom    float64
	Warm        time.Duration
}

// Settings returns the settings of the front door with a number, in the form of its configuration.
func (s *Site) Settings(rank int) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var classes, plans []any
	for _, c := range s.Classes {
		class := map[string]any{"name": c.Name, "effect": c.Effect, "worth": c.Worth, "late-worth": c.Late,
			"target-us": us(c.Target), "give-up-us": us(c.GiveUp), "stream": false, "group": "all", "window-us": us(c.GiveUp)}
		if c.Effect == "keyed" {
			class["group"], class["window-us"] = c.Group, us(c.Window)
		}
		classes = append(classes, class)
	}
	for _, p := range s.Plans {
		plans = append(plans, map[string]any{"name": p.Name, "units-per-s": p.Rate, "most-at-once": p.Burst,
			"never-over-rate": p.CeilingRate, "cap-depth": p.Ceiling, "ceiling-slack": p.Slack, "over-cost": p.OverCost,
			"extra-worth": p.OverWorth, "at-once": p.AtOnce, "value-factor": 1.0})
	}
	return map[string]any{
		"peers-total": s.Gateways, "rank": rank, "locality": rank % len(s.Zones), "resolution-us": 4000, "layer": 0,
		"discovery": "pushed", "areas": s.Zones, "kinds": s.Kinds, "family": "gate", "weights": "none",
		"stages": []string{"fleet"}, "classes": classes, "tiers-of-service": plans,
		"clients": map[string]any{"marks-retry": false},
		"limits": map[string]any{"max-attempts": s.MaxAttempts, "second-copies": false, "cancel": true, "may-probe": false,
			"peers": false, "retry-after": true, "max-retry-after-us": 500_000, "dial-timeout-us": us(s.Dial),
			"conn-idle-us": us(s.Idle), "open-cap": 20_000, "max-streams": s.Streams, "cpu-us-per-s": 400_000,
			"cpu-us-per-request": 0.0},
		"obligations": map[string]any{"answer-slack-us": 16_000, "stop-sending-within-us": us(s.Drain), "fall-multiple": 3.0,
			"fall-us": 3_000_000, "cold-from": s.ColdFrom, "warm-within-us": us(s.Warm), "ask-every-us": 10_000_000},
		"specifics": map[string]any{"shared-counter": true, "count-fee": 0.005, "counter-timeout-us": 50_000,
			"max-units": s.MaxUnits, "meter-us": 0, "trued-up": s.SettledLate, "inbox-per-s": 0.0},
		"load-info": map[string]any{"how": "answers", "names": []string{"latency_ms"}},
	}
}

// ClujSemnare returns the figures of cluj-semnare.
func ClujSemnare() *Site {
	return &Site{
		Gateways: 3, Zones: []string{"hala-a", "hala-b", "hala-c"}, Kinds: []string{"n4", "n3"},
		Classes: []Class{
			{Name: "status", Effect: "safe", Worth: 1, Target: 1200 * time.Millisecond, GiveUp: 5 * time.Second},
			{Name: "submit", Effect: "keyed", Group: "all", Worth: 5, Late: 0.2, Target: time.Second,
				GiveUp: 2500 * time.Millisecond, Window: 2500 * time.Millisecond},
			{Name: "release", Effect: "unsafe", Worth: 2, Target: time.Second, GiveUp: 3 * time.Second},
		},
		Plans: []Plan{
			{Name: "mic", Rate: 0.83, Burst: 5, OverCost: 1.2},
			{Name: "mediu", Rate: 2.5, Burst: 12, OverCost: 0.5},
			{Name: "mare", Rate: 12, Burst: 25, CeilingRate: 30, Ceiling: 58, Slack: 6, OverCost: 0.5, AtOnce: 5},
		},
		MaxAttempts: 4, MaxUnits: 1, Streams: 100, Drain: 250 * time.Millisecond, Dial: 250 * time.Millisecond,
		Idle: 30 * time.Second, ColdFrom: 0.18, Warm: 18 * time.Second,
	}
}

// IzmirKasa returns figures within those of izmir-kasa.
func IzmirKasa() *Site {
	return &Site{
		Gateways: 3, Zones: []string{"a1", "a2", "a3", "a4"}, Kinds: []string{"kasa-2", "kasa-3"},
		Classes: []Class{
			{Name: "bakiye", Effect: "keyed", Group: "cell", Worth: 2, Target: 1500 * time.Millisecond, GiveUp: 4 * time.Second,
				Window: 4 * time.Second},
			{Name: "odeme", Effect: "unsafe", Worth: 4, Late: 0.5, Target: 2 * time.Second, GiveUp: 6 * time.Second},
			{Name: "ekstre", Effect: "safe", Worth: 1, Late: 0.1, Target: 2500 * time.Millisecond, GiveUp: 3 * time.Second},
		},
		Plans: []Plan{
			{Name: "esnaf", Rate: 6.5, Burst: 27, CeilingRate: 16, Ceiling: 67, Slack: 8, OverCost: 0.9},
			{Name: "zincir", Rate: 13, Burst: 48, CeilingRate: 25, Ceiling: 92, Slack: 11, OverCost: 0.1, OverWorth: 0.2, AtOnce: 10},
		},
		MaxAttempts: 3, MaxUnits: 6, Streams: 32, SettledLate: true, Drain: 400 * time.Millisecond, Dial: 400 * time.Millisecond,
		Idle: 45 * time.Second, ColdFrom: 0.3, Warm: 15 * time.Second,
	}
}

// Fields returns the list of names and values of a request.
func Fields(class, plan string, wait time.Duration, key string, spread, first int) string {
	text := fmt.Sprintf("c=%s,t=%s,d=%d", class, plan, wait.Milliseconds())
	if key != "" {
		text += ",k=" + key
	}
	return text + fmt.Sprintf(",units=1,spread=%d,first=%d", spread, first)
}
