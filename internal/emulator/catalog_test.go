package emulator

import "testing"

// After a restart the catalog has a lower index than before. A watch from the higher index must then get the whole list.
func TestCatalogAfterRestartReturnsWholeListForHigherIndex(t *testing.T) {
	catalog := NewCatalog([]Endpoint{{Name: "a", Status: Serving}, {Name: "b", Status: Serving}})
	index := catalog.Apply(Endpoint{Name: "a", Status: Draining})
	_, changed := catalog.ChangesSince(index)
	catalog.Restart(1)
	<-changed
	if m, _ := catalog.ChangesSince(index); !m.Snapshot || m.Index >= index || len(m.Endpoints) != 2 {
		t.Errorf("changes since index %d are %+v, want a snapshot of 2 endpoints with a lower index", index, m)
	}
}
