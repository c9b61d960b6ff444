package fleettest

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// gatewayLog is a gateway's log, from its start on.
type gatewayLog struct{ processLog }

// logFields are the fields of a line.
type logFields map[string]string

// interval is a time between two others.
type interval struct{ from, to time.Time }

// versionInForce is a version of the endpoint list and when the gateway acted on it.
type versionInForce struct {
	index int64
	interval
}

// logField matches a field of a line, in the form of slog's text handler.
var logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// lines returns the whole lines with a message.
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

// wait waits for a line with a message that matches, and returns it; nil matches all.
func (l *gatewayLog) wait(t *testing.T, message string, matches func(logFields) bool) logFields {
	t.Helper()
	for end := time.Now().Add(eventualTimeout); ; time.Sleep(eventualInterval) {
		for _, fields := range l.lines(message) {
			if matches == nil || matches(fields) {
				return fields
			}
		}
		if time.Now().After(end) {
			t.Fatalf("no line %q in the log:\n%s", message, l)
		}
	}
}

// waitVersion waits until the gateway acts on a version.
func (l *gatewayLog) waitVersion(t *testing.T, version string) {
	t.Helper()
	l.wait(t, "version in force", func(fields logFields) bool { return fields["version"] == version })
}

// waitStep waits for a step of the audit and returns when it was taken.
func (l *gatewayLog) waitStep(t *testing.T, step string) time.Time {
	t.Helper()
	return l.wait(t, "audit", func(fields logFields) bool { return fields["step"] == step }).time(t, "at")
}

// steps returns all steps of the audit in order.
func (l *gatewayLog) steps() (all []string) {
	for _, fields := range l.lines("audit") {
		all = append(all, fields["step"])
	}
	return all
}

// versions returns what the gateway acted on, by its records.
func (l *gatewayLog) versions(t *testing.T) (all []versionInForce) {
	t.Helper()
	byStart := map[string]versionInForce{}
	for _, fields := range l.lines("version in force") {
		byStart[fields["in_force_at"]] = fields.version(t, time.Now().Add(time.Hour)) // no end yet
	}
	for _, fields := range l.lines("version replaced") {
		byStart[fields["in_force_at"]] = fields.version(t, fields.time(t, "replaced_at"))
	}
	for _, version := range byStart {
		all = append(all, version)
	}
	return all
}

// version is the version that a line tells of, until a time.
func (f logFields) version(t *testing.T, to time.Time) versionInForce {
	t.Helper()
	index, err := strconv.ParseInt(f["version"], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return versionInForce{index: index, interval: interval{from: f.time(t, "in_force_at"), to: to}}
}

// timesOutOfService returns when the gateway was out of service.
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

// time is the time in a field.
func (f logFields) time(t *testing.T, key string) time.Time {
	t.Helper()
	at, err := time.Parse(time.RFC3339Nano, f[key])
	if err != nil {
		t.Fatal(err)
	}
	return at
}
