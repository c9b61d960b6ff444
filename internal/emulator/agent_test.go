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

// The agent gives the whole list, and a watch the changes after its index, with empty lines while nothing changes.
func TestAgentTellsTheListAndItsChanges(t *testing.T) {
	catalog := NewCatalog([]Endpoint{{Name: "a", Status: Serving}, {Name: "b", Status: Serving}})
	sent := make(chan WatchSent, 8)
	agent, err := StartAgent("127.0.0.1:0", catalog, func(s WatchSent) { sent <- s })
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	url := "http://" + agent.Addr() + "/catalog/members"

	whole, _ := get(t, url)
	if m := nextMembers(t, whole); !m.Snapshot || m.Index != 1 || len(m.Endpoints) != 2 {
		t.Errorf("the whole list is %+v", m)
	}
	watch, _ := get(t, url+"?stream=1&index=1")
	catalog.Apply(Endpoint{Name: "b", Status: Draining})
	if m := nextMembers(t, watch); m.Snapshot || m.Index != 2 || len(m.Endpoints) != 1 || m.Endpoints[0].Status != Draining {
		t.Errorf("the change is %+v", m)
	}
	if s := <-sent; s.Entries != 1 || s.Snapshot || s.Index != 2 || s.GatewayAddr.Port() == 0 || s.AgentAddr.Port() == 0 {
		t.Errorf("sent %+v", s)
	}
	catalog.Apply(Endpoint{Name: "a", Status: Deleted}, Endpoint{Name: "c", Status: Serving})
	nextMembers(t, watch)
	if m := nextMembers(t, watch); m.Index != 0 { // nothing changes for 2 s: an empty line
		t.Errorf("instead of an empty line came %+v", m)
	}
	for index, snapshot := range map[int]bool{0: true, 1: false, 9: true} {
		watch, _ = get(t, fmt.Sprintf("%s?stream=1&index=%d", url, index))
		if m := nextMembers(t, watch); m.Snapshot != snapshot || m.Index != 4 {
			t.Errorf("a watch from %d begins with %+v", index, m)
		}
	}
	if _, status := get(t, url+"?stream=1&index=x"); status != http.StatusBadRequest {
		t.Errorf("a watch from x gets %d", status)
	}
}

// get returns the body, until the test's end, and the status.
func get(t *testing.T, url string) (*bufio.Reader, int) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(stop)
	request, _ := http.NewRequestWithContext(ctx, "GET", url, nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return bufio.NewReader(response.Body), response.StatusCode
}

// nextMembers reads a line; an empty one gives no members.
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
