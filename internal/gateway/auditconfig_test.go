package gateway

import (
	"fmt"
	"strings"
	"testing"
)

// configureAudit reads a configuration with a section audit and checks it.
func configureAudit(section string, doors, rank int, counter bool) (*Config, error) {
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","counter":"127.0.0.1:1",
"audit":%s,"settings":`+settingsJSON+`}`, section, 5_000_000, counter)
	text = strings.Replace(text, `"peers-total":1,"rank":0`, fmt.Sprintf(`"peers-total":%d,"rank":%d`, doors, rank), 1)
	cfg, err := ReadConfig(strings.NewReader(text))
	if err == nil {
		err = cfg.Check()
	}
	return cfg, err
}

// The section turns the audit on, with defaults; what can't be used ends the start with a line that names it.
func TestAuditSection(t *testing.T) {
	if cfg, err := configureAudit("null", 5, 0, true); err != nil || cfg.Audit != nil {
		t.Errorf("without a section: %+v, %v", cfg.Audit, err)
	}
	cfg, err := configureAudit("{}", 5, 0, true)
	if err != nil || cfg.Audit.CallsPerSecond != usualCallsPerSecond || cfg.Audit.Share != usualAuditShare {
		t.Errorf("defaults: %+v, %v", cfg.Audit, err)
	}
	for section, names := range map[string]string{
		`{"calls_per_second":0}`: "calls_per_second", `{"share":0.9}`: "share", `{"calls_per_second":"many"}`: "calls_per_second",
		`{"pace":1}`: "pace", `[]`: "audit", `{"calls_per_second":1}`: "round",
	} {
		if _, err := configureAudit(section, 5, 0, true); err == nil || !strings.Contains(err.Error(), names) ||
			!strings.HasPrefix(err.Error(), "audit") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", section, err)
		}
	}
	if _, err := configureAudit("{}", 5, 0, false); err == nil || !strings.Contains(err.Error(), "counter") {
		t.Errorf("without a counter: error %v", err)
	}
}

// The revision's digest is alike at all doors; the settings, or the revision's name, make another one.
func TestRevisionIsAlikeAtAllDoors(t *testing.T) {
	digest := func(section string, doors, rank int) uint64 {
		cfg, err := configureAudit(section, doors, rank, true)
		if err != nil {
			t.Fatal(err)
		}
		return cfg.Audit.settings
	}
	if digest("{}", 5, 0) != digest("{}", 5, 3) {
		t.Error("the digest depends on the rank")
	}
	if digest("{}", 5, 0) == digest("{}", 6, 0) {
		t.Error("the digest does not depend on the settings")
	}
}
