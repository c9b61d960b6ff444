package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bellwood/internal/audit"
)

// What the section audit of the configuration has where it does not say.
const (
	usualCallsPerSecond = 830.0 // of the smallest counter
	usualAuditShare     = 0.05
)

// Audit is the section audit of the configuration, which turns the audit of the fleet on.
type Audit struct {
	CallsPerSecond float64 `json:"calls_per_second"` // that the counter takes from all doors
	Share          float64 `json:"share"`            // of them, for the audit; over 0 and at most 0.2
	Revision       string  `json:"revision"`         // a name for the configuration, alike at all doors

	settings uint64 // digest of the settings that all doors have alike
}

// ownSettings are those that differ from door to door.
var ownSettings = []string{"rank", "locality"}

// readAudit reads the section; without one the audit is off.
func readAudit(text json.RawMessage, settings map[string]string) (*Audit, error) {
	if len(text) == 0 || bytes.Equal(text, []byte("null")) {
		return nil, nil
	}
	a := &Audit{CallsPerSecond: usualCallsPerSecond, Share: usualAuditShare}
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(a); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	digest := xxhash.New()
	for _, path := range slices.Sorted(maps.Keys(settings)) {
		if !slices.Contains(ownSettings, path) {
			fmt.Fprintf(digest, "%s=%s\n", path, settings[path])
		}
	}
	a.settings = digest.Sum64()
	return a, nil
}

// RevisionText returns the name of the configuration; empty where the audit is off.
func (a *Audit) RevisionText() string {
	if a == nil {
		return ""
	}
	return a.Revision
}

// checkAudit says why the audit could not run.
func (c *Config) checkAudit() error {
	if c.Audit == nil {
		return nil
	}
	if !c.Settings.SharedCounter {
		return errors.New("audit: the settings have no shared counter")
	}
	settings := c.auditSettings()
	return settings.Check()
}

func (c *Config) auditSettings() audit.Settings {
	return audit.Settings{Gateways: c.Settings.Gateways, GatewayIndex: c.Settings.GatewayIndex, CallsPerSecond: c.Audit.CallsPerSecond,
		Share: c.Audit.Share, CounterTimeout: c.Settings.CounterTimeout}
}
