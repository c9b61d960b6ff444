package discovery

import (
	"testing"

	"bellwood/internal/gateway/discovery/discoverytest"
)

// A list that was asked for before a change came by the watch and is read after it does not undo the change.
func TestOlderListDoesNotUndoAChange(t *testing.T) {
	client, loop := newTestClient(t)
	table := client.table
	receive(t, client, loop, discoverytest.Line(t, discoverytest.Fleet(2, 4)), nil)
	fetched := table.open()
	change := discoverytest.Fleet(3, 5) // the last one is new
	change.Snapshot, change.Endpoints[0].Status, change.Endpoints[1].Status = false, "DELETED", "DRAINING"
	receive(t, client, loop, discoverytest.Line(t, change), nil)
	if changes := table.apply(fetched, discoverytest.Fleet(2, 3).Endpoints); len(changes) != 0 {
		t.Errorf("undone: %+v", changes)
	}
	left, _ := table.terminateUnnamed(fetched)
	table.close(fetched)
	if len(left) != 0 || len(table.backends) != 4 || len(table.byName) != 4 || table.openLists != 0 ||
		len(table.terminated) != 0 {
		t.Errorf("left out %v; %d known, %d open", left, len(table.byName), table.openLists)
	}
}
