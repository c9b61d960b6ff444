package gateway

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// Each setting of the file reaches the struct of the component that uses it: the engine, the transport or the process.
func TestReadConfigMapsSettings(t *testing.T) {
	c := config(t, true, 250_000)
	settings, transport := c.Settings, c.Transport
	if c.Name != "n1" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || c.MemoryMB != 192 {
		t.Errorf("config %+v differs from the file", c)
	}
	if len(settings.Classes) != 3 || settings.Classes[1].Idempotency != policy.IdempotentWithKey ||
		settings.Classes[1].DedupWindow != 12*time.Second || len(settings.Plans) != 2 || settings.Plans[1].Rate != 2.5 ||
		!settings.SharedCounter || settings.DrainGrace != 250*time.Millisecond {
		t.Errorf("settings %+v differ from the file", settings)
	}
	if fmt.Sprint(transport.Classes, transport.Plans, transport.Zones, transport.Kinds) !=
		"[evaluate change once] [open starter] [dc1] [std]" ||
		transport.DialTimeout != 250*time.Millisecond || transport.ConnIdleTimeout != 30*time.Second {
		t.Errorf("transport %+v differs from the file", transport)
	}
	if err := c.Check(); err != nil {
		t.Error(err)
	}
}

// Check reports an invalid setting by its path, with a reason that errors.Is or errors.As finds.
func TestCheckNamesInvalidSetting(t *testing.T) {
	isAddressError := func(err error) bool {
		var reason *net.AddrError
		return errors.As(err, &reason)
	}
	is := func(reason error) func(error) bool {
		return func(err error) bool { return errors.Is(err, reason) }
	}
	for setting, c := range map[string]struct {
		invalidate func(*Config)
		hasReason  func(error) bool
	}{
		"listen":                          {func(c *Config) { c.Listen = "nowhere" }, isAddressError},
		"discovery":                       {func(c *Config) { c.Discovery = "nowhere" }, isAddressError},
		"counter":                         {func(c *Config) { c.Counter = "nowhere" }, isAddressError},
		"limits.memory_mb":                {func(c *Config) { c.MemoryMB = -1 }, is(ErrNegative)},
		"limits.sockets":                  {func(c *Config) { c.Sockets = -1 }, is(ErrNegative)},
		"settings.limits.dial-timeout-us": {func(c *Config) { c.Transport.DialTimeout = 0 }, is(ErrNotPositive)},
	} {
		t.Run(setting, func(t *testing.T) {
			cfg := config(t, true, 250_000)
			c.invalidate(cfg)
			err := cfg.Check()
			var named *SettingError
			if !errors.As(err, &named) || named.Setting != setting || !c.hasReason(err) {
				t.Errorf("error %v, want the expected reason for setting %s", err, setting)
			}
		})
	}
}

// A configuration that cannot be read gives an error of one line, which names the setting if there is one.
func TestReadConfigErrorIsOneLine(t *testing.T) {
	for name, c := range map[string]struct{ text, setting string }{
		"empty":                   {text: ""},
		"no object":               {text: "[]"},
		"a limit that is a word":  {text: `{"seed":"1","limits":{"sockets":"x"}}`},
		"a seed that is not hex":  {text: `{"seed":"x"}`, setting: "seed"},
		"an unknown word":         {text: `{"seed":"1","settings":{"discovery":"carrier"}}`, setting: "settings.discovery"},
		"a number that is a word": {text: `{"seed":"1","settings":{"peers-total":"many"}}`, setting: "settings.peers-total"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadConfig(strings.NewReader(c.text))
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: error %v, want one line", c.text, err)
			}
			var named *SettingError
			if errors.As(err, &named) != (c.setting != "") || named != nil && named.Setting != c.setting {
				t.Errorf("%q: error %v does not name %q", c.text, err, c.setting)
			}
		})
	}
}
