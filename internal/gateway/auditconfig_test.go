package gateway

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// configureAudit reads a configuration with the given audit section and checks it.
func configureAudit(section string, gateways, gatewayIndex int, sharedCounter bool) (*Config, error) {
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","counter":"127.0.0.1:1",
"audit":%s,"settings":`+settingsJSON+`}`, section, 5_000_000, sharedCounter)
	text = strings.Replace(text, `"peers-total":1,"rank":0`,
		fmt.Sprintf(`"peers-total":%d,"rank":%d`, gateways, gatewayIndex), 1)
	config, err := ReadConfig(strings.NewReader(text))
	if err == nil {
		err = config.Check()
	}
	return config, err
}

// The audit section enables the audit and has defaults. An invalid section gives an error of one line that names the
// invalid value.
func TestAuditSectionIsReadAndChecked(t *testing.T) {
	if config, err := configureAudit("null", 5, 0, true); err != nil || config.Audit != nil {
		t.Errorf("without a section: audit %+v, error %v", config.Audit, err)
	}
	config, err := configureAudit("{}", 5, 0, true)
	if err != nil || config.Audit.CallsPerSecond != defaultCallsPerSecond || config.Audit.Share != defaultAuditShare {
		t.Errorf("defaults: audit %+v, error %v", config.Audit, err)
	}
	for section, mention := range map[string]string{
		`{"calls_per_second":0}`:      "calls_per_second",
		`{"share":0.9}`:               "share",
		`{"calls_per_second":"many"}`: "calls_per_second",
		`{"pace":1}`:                  "pace",
		`[]`:                          "audit",
		`{"calls_per_second":1}`:      "round",
	} {
		if _, err := configureAudit(section, 5, 0, true); !isAuditSectionError(err, mention) {
			t.Errorf("%s: error %v, want one of the audit section that mentions %q", section, err, mention)
		}
	}
	_, err = configureAudit("{}", 5, 0, false)
	if !errors.Is(err, ErrNoSharedCounter) || !strings.Contains(err.Error(), "counter") {
		t.Errorf("without a shared counter: error %v, want %v", err, ErrNoSharedCounter)
	}
}

// isAuditSectionError reports whether an error is one line, about the audit section, and contains mention.
func isAuditSectionError(err error, mention string) bool {
	var settingErr *SettingError
	return errors.As(err, &settingErr) && settingErr.Setting == "audit" && strings.HasPrefix(err.Error(), "audit") &&
		strings.Contains(err.Error(), mention) && !strings.Contains(err.Error(), "\n")
}

// The digest of the settings is the same at all gateways of a fleet and differs between fleets.
func TestSettingsDigestIsEqualWithinAFleetOnly(t *testing.T) {
	digest := func(gateways, gatewayIndex int) uint64 {
		t.Helper()
		config, err := configureAudit("{}", gateways, gatewayIndex, true)
		if err != nil {
			t.Fatal(err)
		}
		return config.Audit.settingsDigest
	}
	if digest(5, 0) != digest(5, 3) {
		t.Error("the digest depends on the gateway's index")
	}
	if digest(5, 0) == digest(6, 0) {
		t.Error("the digest does not depend on the shared settings")
	}
}
