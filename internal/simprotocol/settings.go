package simprotocol

import (
	"fmt"
	"strings"

	"bellwood/internal/policy"
)

// parseSettingPairs parses the path=value pairs of a PROVISION line.
func parseSettingPairs(pairs []string) (policy.Settings, error) {
	settings := make(map[string]string, len(pairs))
	for _, pair := range pairs {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return policy.Settings{}, fmt.Errorf("%w: %.40q", ErrMalformedPair, pair)
		}
		settings[path] = value
	}
	return ParseSettings(settings)
}

// ParseSettings parses settings, which are keyed by path, into the engine's settings. It ignores unknown paths. The error is
// a *SettingError for the first invalid setting.
func ParseSettings(settings map[string]string) (policy.Settings, error) {
	v := &settingValues{values: settings}
	parsed := v.gatewaySettings()
	v.checkGatewaySettings(&parsed)
	for i := range v.listLength("classes") {
		parsed.Classes = append(parsed.Classes, v.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := range v.listLength("tiers-of-service") {
		parsed.Plans = append(parsed.Plans, v.plan(fmt.Sprintf("tiers-of-service.%d.", i)))
	}
	return parsed, v.err
}

// gatewaySettings reads all settings except the classes and plans.
func (v *settingValues) gatewaySettings() policy.Settings {
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

// checkGatewaySettings checks the ranges of the settings that gatewaySettings reads.
func (v *settingValues) checkGatewaySettings(parsed *policy.Settings) {
	if parsed.Gateways < 1 {
		v.fail("peers-total", "must be at least 1")
	}
	if parsed.GatewayIndex >= max(1, parsed.Gateways) {
		v.fail("rank", "must be below peers-total")
	}
	if parsed.MaxAttempts < 1 {
		v.fail("limits.max-attempts", "must be at least 1")
	}
	if parsed.SlowStartMinShare > 1 {
		v.fail("obligations.cold-from", "must be at most 1")
	}
	v.requirePositive(!parsed.SharedCounter || parsed.CounterTimeout > 0, "specifics.counter-timeout-us",
		"specifics.shared-counter")
}

// class reads the settings of a class of requests, whose paths begin with prefix.
func (v *settingValues) class(prefix string) policy.Class {
	class := policy.Class{
		PriorityWeight:   v.number(prefix + "worth"),
		LateWeightShare:  v.number(prefix + "late-worth"),
		LatencyObjective: v.duration(prefix + "target-us"),
		ClientTimeout:    v.duration(prefix + "give-up-us"),
		Idempotency:      settingWord(v, prefix+"effect", idempotencies),
		DedupScope:       settingWord(v, prefix+"group", dedupScopes),
		DedupWindow:      v.duration(prefix + "window-us"),
		Streaming:        v.flag(prefix + "stream"),
	}
	if v.values[prefix+"effect"] == "" { // defaulting to idempotent could run a request twice
		v.fail(prefix+"effect", "missing")
	}
	return class
}

// plan reads the settings of a plan, whose paths begin with prefix.
func (v *settingValues) plan(prefix string) policy.Plan {
	plan := policy.Plan{
		Rate:             v.number(prefix + "units-per-s"),
		Burst:            v.number(prefix + "most-at-once"),
		MaxConcurrent:    v.wholeNumber(prefix + "at-once"),
		WeightFactor:     v.number(prefix + "value-factor"),
		OverQuotaValue:   v.number(prefix + "extra-worth"),
		OverQuotaPenalty: v.number(prefix + "over-cost"),
		HardLimitRate:    v.number(prefix + "never-over-rate"),
		HardLimitBurst:   v.number(prefix + "cap-depth"),
	}
	v.requirePositive(plan.Rate == 0 || plan.Burst > 0, prefix+"most-at-once", "units-per-s")
	v.requirePositive(plan.HardLimitRate == 0 || plan.HardLimitBurst > 0, prefix+"cap-depth", "never-over-rate")
	return plan
}
