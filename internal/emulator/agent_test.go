package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// The agent serves the whole list. A watch gets the changes after its index at once, even if there are none, and empty lines
// while nothing changes.
func TestAgentServesWholeListAndStreamsChanges(t *testing.T) {
	catalog := NewCatalog([]Endpoint{{Name: "a", Status: Serving}, {Name: "b", Status: Serving}})
	sent := make(chan WatchUpdate, 8)
	agent, err := StartAgent("127.0.0.1:0", catalog, func(s WatchUpdate) { sent <- s })
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	url := "http://" + agent.Addr() + "/catalog/members"

	snapshot, _ := get(t, url)
	if m := nextMembers(t, snapshot); !m.Snapshot || m.Index != 1 || len(m.Endpoints) != 2 {
		t.Errorf("the whole list is %+v, want a snapshot of 2 endpoints at index 1", m)
	}
	watch, _ := get(t, url+"?stream=1&index=1")
	if m := nextMembers(t, watch); m.Snapshot || m.Index != 1 || len(m.Endpoints) != 0 {
		t.Errorf("the watch begins with %+v, want no changes since index 1", m)
	}
	catalog.Apply(Endpoint{Name: "b", Status: Draining})
	if m := nextMembers(t, watch); m.Snapshot || m.Index != 2 || len(m.Endpoints) != 1 || m.Endpoints[0].Status != Draining {
		t.Errorf("the watch gets %+v, want only the change of b at index 2", m)
	}
	if s := <-sent; s.Entries != 1 || s.Snapshot || s.Index != 2 || s.GatewayAddr.Port() == 0 || s.AgentAddr.Port() == 0 {
		t.Errorf("onSent reports %+v, want 1 entry at index 2, no snapshot, and the ports of both endpoints", s)
	}
	catalog.Apply(Endpoint{Name: "a", Status: Deleted}, Endpoint{Name: "c", Status: Serving})
	nextMembers(t, watch)
	if m := nextMembers(t, watch); m.Index != 0 { // an empty line, after 2 s without a change
		t.Errorf("the watch gets %+v, want an empty line", m)
	}
	for index, wantSnapshot := range map[int]bool{0: true, 1: false, 9: true} {
		watch, _ = get(t, fmt.Sprintf("%s?stream=1&index=%d", url, index))
		if m := nextMembers(t, watch); m.Snapshot != wantSnapshot || m.Index != 4 {
			t.Errorf("a watch from index %d begins with %+v, want index 4 and snapshot %v", index, m, wantSnapshot)
		}
	}
	if _, status := get(t, url+"?stream=1&index=x"); status != http.StatusBadRequest {
		t.Errorf("a watch from index x gets status %d, want %d", status, http.StatusBadRequest)
	}
}

// get returns the response's body, which is closed when the test ends, and its status.
func get(t *testing.T, url string) (*bufio.Reader, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	request, _ := http.NewRequestWithContext(ctx, "GET", url, nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return bufio.NewReader(response.Body), response.StatusCode
}

// nextMembers reads and decodes a line. An empty line gives the zero Members.
func nextMembers(t *testing.T, in *bufio.Reader) (members Members) {
	t.Helper()
	text, err := in.ReadBytes('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if len(text) > 1 {
		if err := json.Unmarshal(text, &members); err != nil {
			t.Fatal(err)
		}
	}
	return members
}
