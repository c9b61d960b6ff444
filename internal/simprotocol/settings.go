package simprotocol

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"bellwood/internal/policy"
)

// pairs holds the path=value settings and the first error met in reading them.
type pairs struct {
	m   map[string]string
	err error
}

const (
	mostInt    = 1e9                // a whole number of the settings
	mostMicros = 10 * 365 * 86400e6 // a time of the settings
	mostItems  = 1 << 12            // classes or plans
)

func (p *pairs) fail(k, why string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %s", k, why)
	}
}

// float reads a number; an absent one is 0. None of the settings can be below that.
func (p *pairs) float(k string) float64 {
	s, ok := p.m[k]
	if !ok || s == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail(k, "not a number")
		return 0
	}
	if v < 0 {
		p.fail(k, "below 0")
	}
	return v
}

func (p *pairs) int(k string) int {
	v := p.float(k)
	if v != math.Trunc(v) || v > mostInt {
		p.fail(k, "not a whole number within reason")
		return 0
	}
	return int(v)
}

func (p *pairs) micros(k string) time.Duration {
	v := p.float(k)
	if v > mostMicros {
		p.fail(k, "longer than ten years")
		return 0
	}
	return time.Duration(v * float64(time.Microsecond))
}

// count reads the length of a list of objects.
func (p *pairs) count(list string) int {
	n := p.int(list + ".count")
	if n < 1 || n > mostItems {
		p.fail(list, fmt.Sprintf("%d entries, not 1 to %d", n, mostItems))
		return 0
	}
	return n
}

func (p *pairs) bool(k string) bool {
	return word(p, k, map[string]bool{"true": true, "1": true, "false": false, "0": false, "-": false})
}

// needs says that a setting has to be above 0 where another is.
func (p *pairs) needs(ok bool, k, where string) {
	if !ok {
		p.fail(k, "not above 0, with "+where)
	}
}

// word looks a setting's word up in a table; an absent one gives the zero value.
func word[T any](p *pairs, k string, table map[string]T) T {
	s, given := p.m[k]
	v, ok := table[s]
	if given && !ok {
		p.fail(k, "unknown word")
	}
	return v
}

var effects = map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentWithKey, "unsafe": policy.NonIdempotent}

var groups = map[string]policy.DedupScope{"all": policy.DedupAllBackends, "zone": policy.DedupZone,
	"cell": policy.DedupCell, "": policy.DedupAllBackends, "none": policy.DedupAllBackends, "-": policy.DedupAllBackends}

var discoveries = map[string]bool{"pushed": false, "on_request": true}

// settings reads the path=value pairs of a PROVISION line.
func settings(parts []string) (policy.Settings, error) {
	m := make(map[string]string, len(parts))
	for _, s := range parts {
		k, v, ok := strings.Cut(s, "=")
		if !ok {
			return policy.Settings{}, fmt.Errorf("setting %.40q is no pair", s)
		}
		m[k] = v
	}
	return Settings(m)
}

// Settings maps settings, by their paths, to those of the module. Unknown paths are passed over.
func Settings(m map[string]string) (policy.Settings, error) {
	p := &pairs{m: m}
	set := policy.Settings{
		Gateways: p.int("peers-total"), GatewayIndex: p.int("rank"), Zone: p.int("locality"),
		TimerResolution: p.micros("resolution-us"), MaxAttempts: p.int("limits.max-attempts"),
		AllowHedging: p.bool("limits.second-copies"), AllowCancel: p.bool("limits.cancel"),
		AllowHealthChecks: p.bool("limits.may-probe"), SendRetryAfter: p.bool("limits.retry-after"),
		MaxRetryAfter: p.micros("limits.max-retry-after-us"), PollEndpoints: word(p, "discovery", discoveries),
		PollInterval: p.micros("obligations.ask-every-us"), ResponseGrace: p.micros("obligations.answer-slack-us"),
		DrainGrace:       p.micros("obligations.stop-sending-within-us"),
		OverloadMultiple: p.float("obligations.fall-multiple"), OverloadWindow: p.micros("obligations.fall-us"),
		SlowStartMinShare: p.float("obligations.cold-from"), SlowStartDuration: p.micros("obligations.warm-within-us"),
		SharedCounter:  p.bool("specifics.shared-counter"),
		CounterTimeout: p.micros("specifics.counter-timeout-us"),
		MaxRequestCost: p.float("specifics.max-units"), CostSettledOnResponse: p.bool("specifics.trued-up"),
	}
	if set.Gateways < 1 {
		p.fail("peers-total", "under 1")
	}
	if set.GatewayIndex >= max(1, set.Gateways) {
		p.fail("rank", "not under peers-total")
	}
	if set.MaxAttempts < 1 {
		p.fail("limits.max-attempts", "under 1")
	}
	if set.SlowStartMinShare > 1 {
		p.fail("obligations.cold-from", "over 1")
	}
	p.needs(!set.SharedCounter || set.CounterTimeout > 0, "specifics.counter-timeout-us", "specifics.shared-counter")
	for i := range p.count("classes") {
		k := fmt.Sprintf("classes.%d.", i)
		set.Classes = append(set.Classes, policy.Class{
			PriorityWeight: p.float(k + "worth"), LateWeightShare: p.float(k + "late-worth"), LatencyObjective: p.micros(k + "target-us"),
			ClientTimeout: p.micros(k + "give-up-us"), Idempotency: word(p, k+"effect", effects),
			DedupScope: word(p, k+"group", groups), DedupWindow: p.micros(k + "window-us"), Streaming: p.bool(k + "stream"),
		})
		if m[k+"effect"] == "" { // to take it for safe would be to run it twice
			p.fail(k+"effect", "missing")
		}
	}
	for i := range p.count("tiers-of-service") {
		k := fmt.Sprintf("tiers-of-service.%d.", i)
		set.Plans = append(set.Plans, policy.Plan{
			Rate: p.float(k + "units-per-s"), Burst: p.float(k + "most-at-once"), MaxConcurrent: p.int(k + "at-once"),
			WeightFactor: p.float(k + "value-factor"), OverQuotaValue: p.float(k + "extra-worth"),
			OverQuotaPenalty: p.float(k + "over-cost"), HardLimitRate: p.float(k + "never-over-rate"),
			HardLimitBurst: p.float(k + "cap-depth"),
		})
		plan := &set.Plans[i]
		p.needs(plan.Rate == 0 || plan.Burst > 0, k+"most-at-once", "units-per-s")
		p.needs(plan.HardLimitRate == 0 || plan.HardLimitBurst > 0, k+"cap-depth", "never-over-rate")
	}
	return set, p.err
}

// Transport is the part of the settings that concerns sockets and names: the module has no use for it, a real
// front door does.
type Transport struct {
	Classes, Plans, Zones, Kinds []string // names, in the order of the indices that the module uses
	DialTimeout                  time.Duration
	ConnIdle                     time.Duration // backends close a connection that has been idle for this long
	MostOpen                     int           // requests that may be open at once; 0: not told
}

// ReadTransport maps settings, by their paths, to a Transport.
func ReadTransport(m map[string]string) (Transport, error) {
	p := &pairs{m: m}
	names := func(list string) (all []string) {
		for i := range p.count(list) {
			k := fmt.Sprintf("%s.%d.name", list, i)
			switch name := m[k]; {
			case name == "":
				p.fail(k, "missing")
			case slices.Contains(all, name):
				p.fail(k, "given twice")
			default:
				all = append(all, name)
			}
		}
		return all
	}
	t := Transport{
		Classes: names("classes"), Plans: names("tiers-of-service"),
		Zones: strings.Split(m["areas"], ","), Kinds: strings.Split(m["kinds"], ","),
		DialTimeout: p.micros("limits.dial-timeout-us"), ConnIdle: p.micros("limits.conn-idle-us"),
		MostOpen: p.int("limits.open-cap"),
	}
	return t, p.err
}
