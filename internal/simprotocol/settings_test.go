package simprotocol

import (
	"maps"
	"strings"
	"testing"

	"bellwood/internal/policy"
)

// usable is the least that a deployment can tell.
func usable() map[string]string {
	return map[string]string{"peers-total": "3", "rank": "2", "limits.max-attempts": "1", "classes.count": "1",
		"classes.0.name": "scan", "classes.0.effect": "unsafe", "tiers-of-service.count": "1",
		"tiers-of-service.0.name": "only", "limits.dial-timeout-us": "1000"}
}

// What can't be used is said with the name of its field, never guessed.
func TestUnusableSettings(t *testing.T) {
	for name, values := range map[string][]string{
		"peers-total": {"0", "1.5", "many", "-1", "1e300", "-"}, "rank": {"3", "-1"}, "limits.max-attempts": {"0", "-"},
		"classes": {"0", "-", "5000"}, "classes.0.effect": {"", "harmless"}, "classes.0.group": {"town"},
		"classes.0.worth": {"-1", "Inf", "NaN", "1x"}, "classes.0.target-us": {"-5", "1e30"},
		"classes.0.stream": {"perhaps"}, "discovery": {"carrier"}, "limits.cancel": {"yes"},
		"obligations.cold-from": {"1.5"}, "obligations.fall-multiple": {"-3"}, "tiers-of-service": {"0"},
		"tiers-of-service.0.at-once": {"2.5", "-1"}, "specifics.max-units": {"NaN"},
	} {
		for _, v := range values {
			m := usable()
			key := name
			if name == "classes" || name == "tiers-of-service" {
				key += ".count"
			}
			m[key] = v
			_, err := Settings(m)
			if err == nil || !strings.Contains(err.Error(), "setting "+name+":") {
				t.Errorf("%s=%s: error %v", name, v, err)
			}
		}
	}
	for name, given := range map[string]map[string]string{
		"specifics.counter-timeout-us":    {"specifics.shared-counter": "true"},
		"tiers-of-service.0.most-at-once": {"tiers-of-service.0.units-per-s": "2"},
		"tiers-of-service.0.cap-depth":    {"tiers-of-service.0.never-over-rate": "2"},
	} {
		m := usable()
		maps.Copy(m, given)
		if _, err := Settings(m); err == nil || !strings.Contains(err.Error(), "setting "+name+":") {
			t.Errorf("%s is left out: error %v", name, err)
		}
	}
}

// A front door finds requests' classes and plans by their names, so each has one of its own.
func TestUnusableNames(t *testing.T) {
	twice := usable()
	twice["classes.count"], twice["classes.1.name"], twice["classes.1.effect"] = "2", "scan", "safe"
	none := usable()
	delete(none, "tiers-of-service.0.name")
	for name, m := range map[string]map[string]string{"classes.1.name": twice, "tiers-of-service.0.name": none} {
		if _, err := ReadTransport(m); err == nil || !strings.Contains(err.Error(), "setting "+name+":") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// What may be absent is: load reports, a counter, ceilings, caps, quotas, zones, names that are new.
func TestLeastSettings(t *testing.T) {
	m := usable()
	m["load-info.how"], m["something.new"] = "none", "7"
	set, err := Settings(m)
	if err != nil || set.Gateways != 3 || set.GatewayIndex != 2 || set.Classes[0].Idempotency != policy.NonIdempotent || len(set.Plans) != 1 {
		t.Errorf("%+v, %v", set, err)
	}
	if tr, err := ReadTransport(m); err != nil || tr.Classes[0] != "scan" || tr.Plans[0] != "only" {
		t.Errorf("%+v, %v", tr, err)
	}
	if _, err := policy.New(set, 1); err != nil {
		t.Error(err)
	}
}
