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

// Config is what a gateway is told at its start; the operators' page DEPLOY-bellwood, which is not in this repository,
// describes the file. ReadConfig fills it from the configuration file; the environment may replace Name, Listen and
// Discovery; Check then says whether a gateway can run with it. New takes it over: nobody may change it afterwards.
type Config struct {
	// Name is the gateway's name in its log. It is the same after a restart. Default: empty.
	Name string
	// Listen is the IP address and port on which clients connect. Required.
	Listen string
	// Discovery is the IP address and port of the discovery agent. Required; Server.Reload replaces it.
	Discovery string
	// Counter is the IP address and port of the shared counter. Required where Settings.SharedCounter is set, else
	// not used. Server.Reload replaces it.
	Counter string
	// Seed begins the random draws of the engine; the file has it in hex. Required; new with each start.
	Seed uint64
	// MemoryMB is the memory limit of the process in MiB; over it the process is killed. Default 0: no limit is known.
	MemoryMB int
	// Sockets is the limit on the descriptors that the process may hold. Default 0: no limit is known.
	Sockets int
	// Settings are those of the engine. Required; a restart alone changes them.
	Settings policy.Settings
	// Transport is the part of the settings that concerns sockets and names. Required as Settings are.
	Transport simprotocol.Transport
	// Known is the endpoint list that was known last, perhaps an old one. Default: no endpoint, and index 0, from which
	// discovery sends everything.
	Known endpoint.List
	// Audit turns the audit of the fleet on. Default nil: it is off.
	Audit *Audit

	// Tests alone set these. watchSilence and settleFor replace the times of discovery.Options.IdleTimeout and of settleTime;
	// 0: the usual ones. discoveryDial replaces the network to discovery; nil: TCP.
	watchSilence, settleFor time.Duration
	discoveryDial           func(ctx context.Context, network, address string) (net.Conn, error)
}

// SettingError says which setting of the configuration can't be used. It unwraps to the reason, such as ErrNegative or
// a *net.AddrError.
type SettingError struct {
	Setting string // its path in the file, with dots: settings.limits.dial-timeout-us
	Err     error
}

func (e *SettingError) Error() string { return e.Setting + ": " + e.Err.Error() }

func (e *SettingError) Unwrap() error { return e.Err }

// Reasons of a SettingError; ErrNoSharedCounter is a further one.
var (
	ErrNegative    = errors.New("below 0")
	ErrNotPositive = errors.New("not above 0")
)

// ReadConfig reads the JSON form of a Config. What it returns may still lack what Check asks for. An error is a
// *SettingError, or one of encoding/json where the text is not the expected JSON; either fits on one line.
func ReadConfig(r io.Reader) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Counter, Seed string
		Limits                                 struct {
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
		return nil, fmt.Errorf("not the expected JSON: %w", err)
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Counter: file.Counter,
		MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, Known: file.Known}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, &SettingError{"seed", err}
	}
	settings := map[string]string{}
	flatten(settings, "", file.Settings)
	if c.Settings, err = simprotocol.ParseSettings(settings); err != nil {
		return nil, inFile(err)
	}
	if c.Transport, err = simprotocol.ParseTransport(settings); err != nil {
		return nil, inFile(err)
	}
	if c.Audit, err = readAudit(file.Audit, settings); err != nil {
		return nil, err
	}
	return c, nil
}

// inFile turns an error of the simulator's protocol into a *SettingError, which has the setting's path in the
// configuration file.
func inFile(err error) error {
	var setting *simprotocol.SettingError
	if errors.As(err, &setting) {
		return &SettingError{"settings." + setting.Path, errors.New(setting.Reason)}
	}
	return &SettingError{"settings", err}
}

// Check returns a *SettingError for the first setting that a gateway can't run with; nil if there is none. It is apart
// from ReadConfig because the environment may name addresses too.
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

// checkAddress returns a *SettingError for an address that is not a host and a port.
func checkAddress(setting, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return &SettingError{setting, err}
	}
	return nil
}

// flatten turns nested settings into the paths of the simulator's protocol (the operators' page WIRE-bellwood): objects
// and lists of objects by dots, a list of objects also with its length under .count, a list of plain values joined with
// commas.
func flatten(settings map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			flatten(settings, strings.TrimPrefix(path+"."+name, "."), field)
		}
	case []any:
		flattenList(settings, path, value)
	default:
		settings[path] = plainText(value)
	}
}

func flattenList(settings map[string]string, path string, list []any) {
	var plain []string
	objects := 0
	for _, item := range list {
		if _, ok := item.(map[string]any); ok {
			flatten(settings, fmt.Sprintf("%s.%d", path, objects), item)
			objects++
		} else {
			plain = append(plain, plainText(item))
		}
	}
	switch {
	case objects > 0 && len(plain) > 0:
		settings[path+".count"] = "mixed" // is no number, so the parser of the list fails
	case objects > 0:
		settings[path+".count"] = strconv.Itoa(objects)
	default:
		settings[path] = strings.Join(plain, ",")
	}
}

// plainText is a value as the simulator's protocol writes it; one that is not given is "-".
func plainText(value any) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprint(value)
}
