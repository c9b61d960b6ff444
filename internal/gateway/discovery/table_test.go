package discovery

import (
	"testing"

	"bellwood/internal/gateway/discovery/discoverytest"
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
