package simprotocol

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Transport holds the settings that concern sockets, and the names of classes, plans, zones and backend kinds. The engine
// doesn't need them, as it uses numbers instead of these names; a gateway that serves real connections does.
type Transport struct {
	Classes, Plans, Zones, Kinds []string      // names, indexed by the numbers that the engine uses
	DialTimeout                  time.Duration // dialing fails after this
	ConnIdleTimeout              time.Duration // backends close a connection that has been idle for this long
	MaxOpenRequests              int           // requests that may be open at once; 0: no limit
}

// ParseTransport parses settings, which are keyed by path, into a Transport. If no zones or no backend kinds are given,
// there is one with an empty name. The error is a *SettingError for the first invalid setting.
func ParseTransport(settings map[string]string) (Transport, error) {
	v := &settingValues{values: settings}
	transport := Transport{
		Classes:         v.names("classes"),
		Plans:           v.names("tiers-of-service"),
		Zones:           strings.Split(settings["areas"], ","),
		Kinds:           strings.Split(settings["kinds"], ","),
		DialTimeout:     v.duration("limits.dial-timeout-us"),
		ConnIdleTimeout: v.duration("limits.conn-idle-us"),
		MaxOpenRequests: v.wholeNumber("limits.open-cap"),
	}
	return transport, v.err
}

// names reads the names of a list's entries. They must be given and unique, as requests refer to the entries by name.
func (v *settingValues) names(list string) (names []string) {
	for i := range v.listLength(list) {
		path := fmt.Sprintf("%s.%d.name", list, i)
		switch name := v.values[path]; {
		case name == "":
			v.fail(path, "missing")
		case slices.Contains(names, name):
			v.fail(path, "duplicate name")
		default:
			names = append(names, name)
		}
	}
	return names
}
