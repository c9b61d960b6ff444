package emulator

import "testing"

// A catalog that starts anew has a lower index, and a watch from the higher one gets the whole list.
func TestCatalogThatStartsAnewGivesTheWholeList(t *testing.T) {
	catalog := NewCatalog([]Endpoint{{Name: "a", Status: Serving}, {Name: "b", Status: Serving}})
	index := catalog.Apply(Endpoint{Name: "a", Status: Draining})
	_, changed := catalog.ChangesSince(index)
	catalog.Restart()
	<-changed
	if m, _ := catalog.ChangesSince(index); !m.Snapshot || m.Index >= index || len(m.Endpoints) != 2 {
		t.Errorf("after %d the watch gets %+v", index, m)
	}
}
