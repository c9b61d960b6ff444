package simprotocol

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Transport is the part of the settings that concerns sockets and names: the engine has no use for it, a gateway with
// sockets does.
type Transport struct {
	Classes, Plans, Zones, Kinds []string      // names, in the order of the indices that the engine uses
	DialTimeout                  time.Duration // a connection that is not up by then has failed
	ConnIdleTimeout              time.Duration // backends close a connection that has been idle for this long
	MaxOpenRequests              int           // requests that may be open at once; 0: no limit is told
}

// ParseTransport maps settings, by their paths, to a Transport. Zones and backend types that are not given are one entry with
// no name. The error is a *SettingError.
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

// names reads the names of a list's entries. Each has to have one of its own, as requests refer to them by name.
func (v *settingValues) names(list string) (names []string) {
	for i := range v.listLength(list) {
		path := fmt.Sprintf("%s.%d.name", list, i)
		switch name := v.values[path]; {
		case name == "":
			v.fail(path, "missing")
		case slices.Contains(names, name):
			v.fail(path, "given twice")
		default:
			names = append(names, name)
		}
	}
	return names
}
