package fleettest

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// gatewayLog is the log of a gateway, over all its starts, with functions that read the audit's lines.
type gatewayLog struct{ processLog }

// logFields maps the keys of a log line's fields to their values.
type logFields map[string]string

// interval is the time between two points in time.
type interval struct{ from, to time.Time }

// versionInForce is a version of the endpoint list, with the interval in which the gateway used it.
type versionInForce struct {
	index int64
	interval
}

// logField matches a field in the output of slog's text handler.
var logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// lines returns the fields of all complete lines with a message.
func (l *gatewayLog) lines(message string) (all []logFields) {
	for line := range strings.Lines(l.String()) {
		fields := logFields{}
		for _, match := range logField.FindAllStringSubmatch(line, -1) {
			value := match[2]
			if unquoted, err := strconv.Unquote(value); err == nil {
				value = unquoted
			}
			fields[match[1]] = value
		}
		if fields["msg"] == message && strings.HasSuffix(line, "\n") {
			all = append(all, fields)
		}
	}
	return all
}

// wait waits for a line with a message and with fields for which matches returns true, and returns its fields. A nil matches
// accepts every line.
func (l *gatewayLog) wait(t *testing.T, message string, matches func(logFields) bool) logFields {
	t.Helper()
	for end := time.Now().Add(eventualTimeout); ; time.Sleep(eventualInterval) {
		for _, fields := range l.lines(message) {
			if matches == nil || matches(fields) {
				return fields
			}
		}
		if time.Now().After(end) {
			t.Fatalf("no matching line with the message %q in the log within %v:\n%s", message, eventualTimeout, l)
		}
	}
}

// waitVersion waits until the gateway logs that a version is in force.
func (l *gatewayLog) waitVersion(t *testing.T, version string) {
	t.Helper()
	l.wait(t, "version in force", func(fields logFields) bool { return fields["version"] == version })
}

// waitStep waits until the gateway logs a step of the audit, and returns the time of the step.
func (l *gatewayLog) waitStep(t *testing.T, step string) time.Time {
	t.Helper()
	return l.wait(t, "audit", func(fields logFields) bool { return fields["step"] == step }).time(t, "at")
}

// steps returns all steps of the audit, in the order of the log.
func (l *gatewayLog) steps() (all []string) {
	for _, fields := range l.lines("audit") {
		all = append(all, fields["step"])
	}
	return all
}

// versions returns the versions that were in force at the gateway, according to its log.
func (l *gatewayLog) versions(t *testing.T) (all []versionInForce) {
	t.Helper()
	byStart := map[string]versionInForce{}
	for _, fields := range l.lines("version in force") {
		byStart[fields["in_force_at"]] = fields.version(t, time.Now().Add(time.Hour)) // still in force
	}
	for _, fields := range l.lines("version replaced") {
		byStart[fields["in_force_at"]] = fields.version(t, fields.time(t, "replaced_at"))
	}
	for _, version := range byStart {
		all = append(all, version)
	}
	return all
}

// version returns the version of a log line, with a given end of its interval.
func (f logFields) version(t *testing.T, to time.Time) versionInForce {
	t.Helper()
	index, err := strconv.ParseInt(f["version"], 10, 64)
	if err != nil {
		t.Fatalf("version in the log line %v: %v", f, err)
	}
	return versionInForce{index: index, interval: interval{from: f.time(t, "in_force_at"), to: to}}
}

// timesOutOfService returns the intervals in which the gateway was out of service, according to its log.
func (l *gatewayLog) timesOutOfService(t *testing.T) (all []interval) {
	t.Helper()
	for _, fields := range l.lines("audit") {
		at := fields.time(t, "at")
		switch fields["step"] {
		case "shut out":
			all = append(all, interval{from: at, to: time.Now()})
		case "back in service", "slot lost":
			if n := len(all); n > 0 && all[n-1].to.After(at) {
				all[n-1].to = at
			}
		}
	}
	return all
}

// time parses the time in a field.
func (f logFields) time(t *testing.T, key string) time.Time {
	t.Helper()
	at, err := time.Parse(time.RFC3339Nano, f[key])
	if err != nil {
		t.Fatalf("%s in the log line %v: %v", key, f, err)
	}
	return at
}
