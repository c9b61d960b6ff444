package discovery

import (
	"log/slog"
	"maps"
	"testing"

	"bellwood/internal/gateway/discovery/discoverytest"
	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
)

// A fetched list that was requested before a change arrived by the watch, but is applied after it, does not undo the
// change.
func TestListRequestedBeforeChangeDoesNotUndoIt(t *testing.T) {
	client, loop := newTestClient(t)
	table := client.table
	receive(t, client, loop, discoverytest.Line(t, discoverytest.Fleet(2, 4)), nil)
	fetched := table.open()
	change := discoverytest.Fleet(3, 5) // the fifth backend is new
	change.Snapshot, change.Endpoints[0].Status, change.Endpoints[1].Status = false, "DELETED", "DRAINING"
	receive(t, client, loop, discoverytest.Line(t, change), nil)
	if changes := table.apply(fetched, discoverytest.Fleet(2, 3).Endpoints); len(changes) != 0 {
		t.Errorf("the older list changed %+v", changes)
	}
	terminated, _ := table.terminateMissing(fetched)
	table.close(fetched)
	if len(terminated) != 0 || len(table.backends) != 4 || len(table.byName) != 4 || table.openLists != 0 ||
		len(table.terminated) != 0 {
		t.Errorf("the older list terminated %v; %d backends in the table, want 4; %d lists open, want 0", terminated,
			len(table.byName), table.openLists)
	}
}

// Guards against work that goes to a process which has come up at the address of one that has gone: the old backend is
// terminated as soon as the new one is listed, in whatever order and whether or not discovery has reported its end.
func TestBackendWhoseAddressWasTakenOverIsTerminated(t *testing.T) {
	const address = "10.1.0.18:6379"
	entry := func(name, status string, since int64) endpoint.Entry {
		return endpoint.Entry{Name: name, Address: address, Zone: "a", Kind: "std", Status: status, Weight: 1, SinceMS: since}
	}
	old, next := entry("old", "SERVING", 1000), entry("next", "SERVING", 2000)
	for name, test := range map[string]struct {
		lists [][]endpoint.Entry
		want  map[string]policy.BackendState // at the end
	}{
		"the new one is added":      {[][]endpoint.Entry{{old}, {next}}, map[string]policy.BackendState{"old": policy.Terminated, "next": policy.InService}},
		"both are listed, old last": {[][]endpoint.Entry{{old}, {next, old}}, map[string]policy.BackendState{"old": policy.Terminated, "next": policy.InService}},
		"the old one is listed late": {[][]endpoint.Entry{{next}, {old}},
			map[string]policy.BackendState{"old": policy.Terminated, "next": policy.InService}},
		"the old one started long ago": {[][]endpoint.Entry{{entry("old", "SERVING", 0)}, {next}},
			map[string]policy.BackendState{"old": policy.Terminated, "next": policy.InService}},
		"the old one drained": {[][]endpoint.Entry{{entry("old", "DRAINING", 1000)}, {next}},
			map[string]policy.BackendState{"old": policy.Terminated, "next": policy.InService}},
		"the new one has gone, the old one is listed": {[][]endpoint.Entry{{old}, {next}, {entry("next", "DELETED", 2000)}, {old}},
			map[string]policy.BackendState{"old": policy.InService, "next": policy.Terminated}},
		"one address, both since long ago": {[][]endpoint.Entry{{entry("old", "SERVING", 0)}, {entry("next", "SERVING", 0)}},
			map[string]policy.BackendState{"old": policy.InService, "next": policy.InService}},
		"the old one is moved": {[][]endpoint.Entry{{old}, {{Name: "old", Address: "10.1.0.19:6379", Status: "SERVING", Weight: 1,
			SinceMS: 1000}, next}}, map[string]policy.BackendState{"old": policy.InService, "next": policy.InService}},
	} {
		t.Run(name, func(t *testing.T) {
			reported := map[string]policy.BackendState{}
			table := newTable(endpoint.Names{Zones: []string{"a"}, Kinds: []string{"std"}}, slog.New(slog.DiscardHandler),
				func(backend policy.Backend, _ string) { reported[backend.Name] = backend.State })
			changed := map[string]policy.BackendState{}
			for _, entries := range test.lists {
				list := table.open()
				for _, change := range table.apply(list, entries) {
					changed[change.Name] = change.State
				}
				table.close(list)
			}
			if !maps.Equal(reported, test.want) || !maps.Equal(changed, test.want) {
				t.Errorf("reported %v, changes %v, want %v", reported, changed, test.want)
			}
			for addr, known := range table.byAddress {
				if known.address != addr || table.byName[known.backend.Name] != known {
					t.Errorf("%s leads to %+v", addr, known)
				}
			}
		})
	}
}
