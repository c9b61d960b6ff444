package simprotocol

import (
	"errors"
	"maps"
	"strings"
	"testing"

	"bellwood/internal/policy"
)

// minimalSettings returns the smallest valid settings.
func minimalSettings() map[string]string {
	return map[string]string{"peers-total": "3", "rank": "2", "limits.max-attempts": "1", "classes.count": "1",
		"classes.0.name": "scan", "classes.0.effect": "unsafe", "tiers-of-service.count": "1",
		"tiers-of-service.0.name": "only", "limits.dial-timeout-us": "1000"}
}

// The error for an invalid or missing setting gives its path. A keyed class without a group is not tested here, as the group
// then defaults to all backends.
func TestInvalidSettingIsReportedByPath(t *testing.T) {
	for path, values := range map[string][]string{
		"peers-total": {"0", "1.5", "many", "-1", "1e300", "-"}, "rank": {"3", "-1"}, "limits.max-attempts": {"0", "-"},
		"classes": {"0", "-", "5000"}, "classes.0.effect": {"", "harmless"}, "classes.0.group": {"town"},
		"classes.0.worth": {"-1", "Inf", "NaN", "1x"}, "classes.0.target-us": {"-5", "1e30"},
		"classes.0.stream": {"perhaps"}, "discovery": {"carrier"}, "limits.cancel": {"yes"},
		"obligations.cold-from": {"1.5"}, "obligations.fall-multiple": {"-3"}, "tiers-of-service": {"0"},
		"tiers-of-service.0.at-once": {"2.5", "-1"}, "specifics.max-units": {"NaN"},
	} {
		for _, value := range values {
			settings := minimalSettings()
			if path == "classes" || path == "tiers-of-service" {
				settings[path+".count"] = value
			} else {
				settings[path] = value
			}
			if _, err := ParseSettings(settings); !isErrorForSetting(err, path) {
				t.Errorf("%s=%s: got error %v, want one for this setting", path, value, err)
			}
		}
	}
	for path, given := range map[string]map[string]string{
		"specifics.counter-timeout-us":    {"specifics.shared-counter": "true"},
		"tiers-of-service.0.most-at-once": {"tiers-of-service.0.units-per-s": "2"},
		"tiers-of-service.0.cap-depth":    {"tiers-of-service.0.never-over-rate": "2"},
	} {
		settings := minimalSettings()
		maps.Copy(settings, given)
		if _, err := ParseSettings(settings); !isErrorForSetting(err, path) {
			t.Errorf("without %s: got error %v, want one for this setting", path, err)
		}
	}
}

// isErrorForSetting reports whether err is a *SettingError for path whose text contains the path.
func isErrorForSetting(err error, path string) bool {
	var settingErr *SettingError
	return errors.As(err, &settingErr) && settingErr.Path == path && strings.Contains(err.Error(), "setting "+path+":")
}

// Requests refer to their class and plan by name, so each class and plan needs a unique name.
func TestMissingOrDuplicateNameIsRejected(t *testing.T) {
	duplicate := minimalSettings()
	duplicate["classes.count"], duplicate["classes.1.name"], duplicate["classes.1.effect"] = "2", "scan", "safe"
	missing := minimalSettings()
	delete(missing, "tiers-of-service.0.name")
	for path, settings := range map[string]map[string]string{"classes.1.name": duplicate, "tiers-of-service.0.name": missing} {
		if _, err := ParseTransport(settings); !isErrorForSetting(err, path) {
			t.Errorf("%s: got error %v, want one for this setting", path, err)
		}
	}
}

// Load reports, the counter, hard limits, quotas and zones are optional. Unknown paths are ignored.
func TestMinimalSettingsAreAccepted(t *testing.T) {
	given := minimalSettings()
	given["load-info.how"], given["something.new"] = "none", "7"
	settings, err := ParseSettings(given)
	if err != nil || settings.Gateways != 3 || settings.GatewayIndex != 2 ||
		settings.Classes[0].Idempotency != policy.NonIdempotent || len(settings.Plans) != 1 {
		t.Errorf("ParseSettings: got %+v, error %v; want the given settings", settings, err)
	}
	if transport, err := ParseTransport(given); err != nil || transport.Classes[0] != "scan" || transport.Plans[0] != "only" {
		t.Errorf("ParseTransport: got %+v, error %v; want the given names", transport, err)
	}
	if _, err := policy.New(settings, 1); err != nil {
		t.Error(err)
	}
}
