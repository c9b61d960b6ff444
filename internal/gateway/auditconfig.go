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

// Defaults of the section audit.
const (
	defaultCallsPerSecond = 830.0 // that the smallest counter takes
	defaultAuditShare     = 0.05
)

// Audit is the section audit of the configuration, which turns the audit of the fleet on. docs/OPERATIONS.md, "Audit of
// the fleet".
type Audit struct {
	// CallsPerSecond is how many calls the counter takes, from all gateways for all purposes. Default 830.
	CallsPerSecond float64 `json:"calls_per_second"`
	// Share is the part of CallsPerSecond for the audits of all gateways; above 0, at most audit.MaxShare. Default 0.05.
	Share float64 `json:"share"`
	// Revision is the operators' name of the configuration, alike at all gateways. Default: empty. Server.Reload
	// replaces it.
	Revision string `json:"revision"`

	// settingsDigest is a digest of the settings that all gateways have alike.
	settingsDigest uint64
}

// ownSettings are the paths of settings that differ from gateway to gateway.
var ownSettings = []string{"rank", "locality"}

// ErrNoSharedCounter is the reason of a SettingError: the audit needs a shared counter.
var ErrNoSharedCounter = errors.New("the settings have no shared counter")

// readAudit reads the section; nil: there is none, so the audit is off. settings are those of the whole configuration, by
// their paths. The error is a *SettingError.
func readAudit(section json.RawMessage, settings map[string]string) (*Audit, error) {
	if len(section) == 0 || bytes.Equal(section, []byte("null")) {
		return nil, nil
	}
	a := &Audit{CallsPerSecond: defaultCallsPerSecond, Share: defaultAuditShare, settingsDigest: fleetDigest(settings)}
	decoder := json.NewDecoder(bytes.NewReader(section))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(a); err != nil {
		return nil, &SettingError{"audit", err}
	}
	return a, nil
}

// fleetDigest is a digest of all settings but ownSettings, so it is the same at all gateways.
func fleetDigest(settings map[string]string) uint64 {
	digest := xxhash.New()
	for _, path := range slices.Sorted(maps.Keys(settings)) {
		if !slices.Contains(ownSettings, path) {
			fmt.Fprintf(digest, "%s=%s\n", path, settings[path])
		}
	}
	return digest.Sum64()
}

// RevisionText returns the name of the configuration; empty where the audit is off (nil).
func (a *Audit) RevisionText() string {
	if a == nil {
		return ""
	}
	return a.Revision
}

// checkAudit returns a *SettingError if the audit can't run; nil if it can, or is off.
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

// auditSettings is what the audit's machine is told. The section audit has to be there.
func (c *Config) auditSettings() audit.Settings {
	return audit.Settings{
		Gateways:       c.Settings.Gateways,
		GatewayIndex:   c.Settings.GatewayIndex,
		CallsPerSecond: c.Audit.CallsPerSecond,
		Share:          c.Audit.Share,
		CounterTimeout: c.Settings.CounterTimeout,
	}
}
