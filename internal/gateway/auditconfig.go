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

// Defaults of the audit section.
const (
	defaultCallsPerSecond = 830.0 // capacity of the smallest counter
	defaultAuditShare     = 0.05
)

// Audit is the audit section of the configuration. Its presence enables the fleet audit. See docs/OPERATIONS.md, "Audit of
// the fleet".
type Audit struct {
	// CallsPerSecond is the capacity of the counter in calls per second, for all gateways and purposes. Default 830.
	CallsPerSecond float64 `json:"calls_per_second"`
	// Share is the fraction of CallsPerSecond that the audits of all gateways may use; greater than 0, at most
	// audit.MaxShare. Default 0.05.
	Share float64 `json:"share"`
	// Revision is the operators' name for the configuration, the same at all gateways. Default: empty. Server.Reload
	// replaces it.
	Revision string `json:"revision"`

	// settingsDigest is a digest of the settings that must be the same at all gateways.
	settingsDigest uint64
}

// perGatewaySettings are the paths of the settings that differ between gateways.
var perGatewaySettings = []string{"rank", "locality"}

// ErrNoSharedCounter is the reason of a SettingError for an audit section in a configuration without a shared counter.
var ErrNoSharedCounter = errors.New("requires a shared counter, which the settings do not enable")

// readAudit reads the audit section; it returns nil if there is none. settings are the flattened settings of the whole
// configuration. The error is a *SettingError.
func readAudit(section json.RawMessage, settings map[string]string) (*Audit, error) {
	if len(section) == 0 || bytes.Equal(section, []byte("null")) {
		return nil, nil
	}
	a := &Audit{CallsPerSecond: defaultCallsPerSecond, Share: defaultAuditShare,
		settingsDigest: sharedSettingsDigest(settings)}
	decoder := json.NewDecoder(bytes.NewReader(section))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(a); err != nil {
		return nil, &SettingError{"audit", err}
	}
	return a, nil
}

// sharedSettingsDigest returns a digest of all settings except perGatewaySettings, so it is the same at all gateways.
func sharedSettingsDigest(settings map[string]string) uint64 {
	digest := xxhash.New()
	for _, path := range slices.Sorted(maps.Keys(settings)) {
		if !slices.Contains(perGatewaySettings, path) {
			fmt.Fprintf(digest, "%s=%s\n", path, settings[path])
		}
	}
	return digest.Sum64()
}

// RevisionText returns the revision of the configuration. It is empty if the audit is disabled (a is nil).
func (a *Audit) RevisionText() string {
	if a == nil {
		return ""
	}
	return a.Revision
}

// checkAudit returns a *SettingError if the audit is enabled but cannot run with this configuration.
func (c *Config) checkAudit() error {
	if c.Audit == nil {
		return nil
	}
	if !c.Settings.SharedCounter {
		return &SettingError{"audit", ErrNoSharedCounter}
	}
	settings := c.auditSettings()
	if err := settings.Check(); err != nil {
		return &SettingError{"audit", err}
	}
	return nil
}

// auditSettings returns the settings of the audit's state machine. It requires an audit section.
func (c *Config) auditSettings() audit.Settings {
	return audit.Settings{
		Gateways:       c.Settings.Gateways,
		GatewayIndex:   c.Settings.GatewayIndex,
		CallsPerSecond: c.Audit.CallsPerSecond,
		Share:          c.Audit.Share,
		CounterTimeout: c.Settings.CounterTimeout,
	}
}
