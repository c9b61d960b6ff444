package simprotocol

import (
	"fmt"
	"strings"

	"bellwood/internal/policy"
)

// settingsOfPairs reads the path=value pairs of a PROVISION line.
func settingsOfPairs(pairs []string) (policy.Settings, error) {
	settings := make(map[string]string, len(pairs))
	for _, pair := range pairs {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return policy.Settings{}, fmt.Errorf("%w: %.40q", ErrNoPair, pair)
		}
		settings[path] = value
	}
	return ParseSettings(settings)
}

// ParseSettings maps settings, by their paths, to those of the engine. Unknown paths are passed over. The error is a
// *SettingError for the first setting that can't be used.
func ParseSettings(settings map[string]string) (policy.Settings, error) {
	v := &settingValues{values: settings}
	mapped := v.fleet()
	v.checkFleet(&mapped)
	for i := range v.listLength("classes") {
		mapped.Classes = append(mapped.Classes, v.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := range v.listLength("tiers-of-service") {
		mapped.Plans = append(mapped.Plans, v.plan(fmt.Sprintf("tiers-of-service.%d.", i)))
	}
	return mapped, v.err
}

// fleet reads all but the classes and plans.
func (v *settingValues) fleet() policy.Settings {
	return policy.Settings{
		Gateways:        v.wholeNumber("peers-total"),
		GatewayIndex:    v.wholeNumber("rank"),
		Zone:            v.wholeNumber("locality"),
		TimerResolution: v.duration("resolution-us"),

		MaxAttempts:       v.wholeNumber("limits.max-attempts"),
		AllowHedging:      v.flag("limits.second-copies"),
		AllowCancel:       v.flag("limits.cancel"),
		AllowHealthChecks: v.flag("limits.may-probe"),
		SendRetryAfter:    v.flag("limits.retry-after"),
		MaxRetryAfter:     v.duration("limits.max-retry-after-us"),

		PollEndpoints:     settingWord(v, "discovery", pollsEndpoints),
		PollInterval:      v.duration("obligations.ask-every-us"),
		ResponseGrace:     v.duration("obligations.answer-slack-us"),
		DrainGrace:        v.duration("obligations.stop-sending-within-us"),
		OverloadMultiple:  v.number("obligations.fall-multiple"),
		OverloadWindow:    v.duration("obligations.fall-us"),
		SlowStartMinShare: v.number("obligations.cold-from"),
		SlowStartDuration: v.duration("obligations.warm-within-us"),

		SharedCounter:         v.flag("specifics.shared-counter"),
		CounterTimeout:        v.duration("specifics.counter-timeout-us"),
		MaxRequestCost:        v.number("specifics.max-units"),
		CostSettledOnResponse: v.flag("specifics.trued-up"),
	}
}

func (v *settingValues) checkFleet(mapped *policy.Settings) {
	if mapped.Gateways < 1 {
		v.fail("peers-total", "under 1")
	}
	if mapped.GatewayIndex >= max(1, mapped.Gateways) {
		v.fail("rank", "not under peers-total")
	}
	if mapped.MaxAttempts < 1 {
		v.fail("limits.max-attempts", "under 1")
	}
	if mapped.SlowStartMinShare > 1 {
		v.fail("obligations.cold-from", "over 1")
	}
	v.failUnless(!mapped.SharedCounter || mapped.CounterTimeout > 0, "specifics.counter-timeout-us",
		"specifics.shared-counter")
}

// class reads a class of requests.
func (v *settingValues) class(path string) policy.Class {
	class := policy.Class{
		PriorityWeight:   v.number(path + "worth"),
		LateWeightShare:  v.number(path + "late-worth"),
		LatencyObjective: v.duration(path + "target-us"),
		ClientTimeout:    v.duration(path + "give-up-us"),
		Idempotency:      settingWord(v, path+"effect", idempotencies),
		DedupScope:       settingWord(v, path+"group", dedupScopes),
		DedupWindow:      v.duration(path + "window-us"),
		Streaming:        v.flag(path + "stream"),
	}
	if v.values[path+"effect"] == "" { // to take it for idempotent would be to run it twice
		v.fail(path+"effect", "missing")
	}
	return class
}

// plan reads the quotas of the tenants on a plan.
func (v *settingValues) plan(path string) policy.Plan {
	plan := policy.Plan{
		Rate:             v.number(path + "units-per-s"),
		Burst:            v.number(path + "most-at-once"),
		MaxConcurrent:    v.wholeNumber(path + "at-once"),
		WeightFactor:     v.number(path + "value-factor"),
		OverQuotaValue:   v.number(path + "extra-worth"),
		OverQuotaPenalty: v.number(path + "over-cost"),
		HardLimitRate:    v.number(path + "never-over-rate"),
		HardLimitBurst:   v.number(path + "cap-depth"),
	}
	v.failUnless(plan.Rate == 0 || plan.Burst > 0, path+"most-at-once", "units-per-s")
	v.failUnless(plan.HardLimitRate == 0 || plan.HardLimitBurst > 0, path+"cap-depth", "never-over-rate")
	return plan
}
