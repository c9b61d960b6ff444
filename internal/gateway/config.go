package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
	"bellwood/internal/simprotocol"
)

// Config is the configuration of a gateway. The operators' page DEPLOY-bellwood, which is not in this repository,
// describes the file. ReadConfig reads the file; environment variables may override Name, Listen and Discovery; Check
// validates the result. After New the configuration must not be changed.
type Config struct {
	// Name is the gateway's name in its log. It stays the same across restarts. Default: empty.
	Name string
	// Listen is the IP address and port on which clients connect. Required.
	Listen string
	// Discovery is the IP address and port of the discovery agent. Required; Server.Reload replaces it.
	Discovery string
	// Counter is the IP address and port of the shared counter. Required if Settings.SharedCounter is set, otherwise
	// not used. Server.Reload replaces it.
	Counter string
	// Seed seeds the engine's random number generator; it is hexadecimal in the file. Required; different at each start.
	Seed uint64
	// Cores is the share of a core that the process gets. Default 0: not known. It is only logged.
	Cores float64
	// MemoryMB is the memory limit of the process in MiB; a process that exceeds it is killed. Default 0: no known limit.
	MemoryMB int
	// Sockets is the limit on open file descriptors of the process. Default 0: no known limit.
	Sockets int
	// Settings are the settings of the engine. Required; they change only by a restart.
	Settings policy.Settings
	// Transport holds the settings for sockets and names. Required, like Settings.
	Transport simprotocol.Transport
	// Known is the last known endpoint list, which may be outdated. Default: no endpoints and index 0, which makes
	// discovery send the whole list.
	Known endpoint.List
	// Audit enables the fleet audit. Default nil: disabled.
	Audit *Audit

	// The following fields are set only by tests. watchIdleTimeout and reuseDelay override discovery.Options.IdleTimeout and
	// the constant reuseDelay; 0 keeps the default. discoveryDial replaces the dialer for discovery; nil means TCP.
	watchIdleTimeout, reuseDelay time.Duration
	discoveryDial                func(ctx context.Context, network, address string) (net.Conn, error)
}

// SettingError reports an invalid setting of the configuration. It unwraps to the reason, such as ErrNegative or a
// *net.AddrError.
type SettingError struct {
	Setting string // dotted path in the file, such as settings.limits.dial-timeout-us
	Err     error
}

func (e *SettingError) Error() string { return e.Setting + ": " + e.Err.Error() }

func (e *SettingError) Unwrap() error { return e.Err }

// Reasons of a SettingError, besides ErrNoSharedCounter.
var (
	ErrNegative    = errors.New("must not be negative")
	ErrNotPositive = errors.New("must be above 0")
)

// ReadConfig reads a Config from its JSON form. It rejects only input that it cannot parse; Check validates the result. The
// error is a *SettingError, or wraps an error of encoding/json if the text is not valid JSON or a value has the wrong type.
// Its text is one line.
func ReadConfig(r io.Reader) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Counter, Seed string
		Limits                                 struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    endpoint.List
		Audit    json.RawMessage
		Settings map[string]any
	}
	decoder := json.NewDecoder(r)
	decoder.UseNumber()
	if err := decoder.Decode(&file); err != nil {
		return nil, fmt.Errorf("decoding JSON: %w", err)
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Counter: file.Counter,
		Cores: file.Limits.Cores, MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, Known: file.Known}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, &SettingError{"seed", err}
	}
	settings := map[string]string{}
	flatten(settings, "", file.Settings)
	if c.Settings, err = simprotocol.ParseSettings(settings); err != nil {
		return nil, toSettingError(err)
	}
	if c.Transport, err = simprotocol.ParseTransport(settings); err != nil {
		return nil, toSettingError(err)
	}
	if c.Audit, err = readAudit(file.Audit, settings); err != nil {
		return nil, err
	}
	return c, nil
}

// toSettingError converts an error of simprotocol to a *SettingError, whose path is that in the configuration file.
func toSettingError(err error) error {
	var setting *simprotocol.SettingError
	if errors.As(err, &setting) {
		return &SettingError{"settings." + setting.Path, errors.New(setting.Reason)}
	}
	return &SettingError{"settings", err}
}

// Check validates the configuration and returns a *SettingError for the first invalid setting. It is separate from
// ReadConfig because environment variables may set addresses as well.
func (c *Config) Check() error {
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.Counter != "" || c.Settings.SharedCounter {
		if err := checkAddress("counter", c.Counter); err != nil {
			return err
		}
	}
	if c.MemoryMB < 0 {
		return &SettingError{"limits.memory_mb", ErrNegative}
	}
	if c.Sockets < 0 {
		return &SettingError{"limits.sockets", ErrNegative}
	}
	if err := c.checkAudit(); err != nil {
		return err
	}
	if c.Transport.DialTimeout <= 0 {
		return &SettingError{"settings.limits.dial-timeout-us", ErrNotPositive}
	}
	return nil
}

// checkAddress returns a *SettingError if the address is not of the form host:port.
func checkAddress(setting, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return &SettingError{setting, err}
	}
	return nil
}

// flatten converts nested settings to the dotted paths of the simulator's protocol (the operators' page WIRE-bellwood):
//
//   - A field of an object becomes object.field.
//   - A list of objects becomes list.0.field, list.1.field and so on, and its length becomes list.count.
//   - A list of scalars becomes one comma-separated value.
func flatten(settings map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			flatten(settings, strings.TrimPrefix(path+"."+name, "."), field)
		}
	case []any:
		flattenList(settings, path, value)
	default:
		settings[path] = formatScalar(value)
	}
}

// flattenList flattens a list as described at flatten.
func flattenList(settings map[string]string, path string, list []any) {
	var scalars []string
	objects := 0
	for _, item := range list {
		if _, ok := item.(map[string]any); ok {
			flatten(settings, fmt.Sprintf("%s.%d", path, objects), item)
			objects++
		} else {
			scalars = append(scalars, formatScalar(item))
		}
	}
	switch {
	case objects > 0 && len(scalars) > 0:
		settings[path+".count"] = "mixed" // not a number, so parsing the list fails
	case objects > 0:
		settings[path+".count"] = strconv.Itoa(objects)
	default:
		settings[path] = strings.Join(scalars, ",")
	}
}

// formatScalar formats a scalar value for the simulator's protocol, where "-" stands for null.
func formatScalar(value any) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprint(value)
}

// maxClientTimeout returns the longest client timeout of all request classes.
func (c *Config) maxClientTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return longest
}
