package endpoint

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"bellwood/internal/policy"
)

// The entries of a JSON list are converted to policy.Backend; unknown zones and kinds are mapped to the first ones.
func TestListIsConvertedToBackends(t *testing.T) {
	const text = `{"index":41,"snapshot":true,"endpoints":[
		{"name":"s-1","address":"10.1.0.18:6379","zone":"b","type":"m3","group":3,"status":"SERVING","weight":0.5,"since_ms":1500},
		{"name":"s-2","address":"10.1.0.19:6379","zone":"unknown","type":"unknown","status":"DRAINING"},
		{"name":"s-3","status":"DELETED"}]}`
	var list List
	if err := json.Unmarshal([]byte(text), &list); err != nil {
		t.Fatal(err)
	}
	if list.Index != 41 || !list.Snapshot || list.Endpoints[0].Address != "10.1.0.18:6379" {
		t.Errorf("list %+v, want the index 41, a snapshot and the address 10.1.0.18:6379", list)
	}
	names := Names{Zones: []string{"a", "b"}, Kinds: []string{"m2", "m3"}}
	for i, want := range []policy.Backend{
		{Name: "s-1", Zone: 1, Kind: 1, Cell: 3, State: policy.InService, Weight: 0.5, Started: 1500 * time.Millisecond},
		{Name: "s-2", State: policy.Draining},
		{Name: "s-3", State: policy.Terminated},
	} {
		if got, err := names.Backend(&list.Endpoints[i]); err != nil || got != want {
			t.Errorf("entry %d: got %+v, error %v; want %+v", i, got, err, want)
		}
	}
}

// An entry without a name or with an unknown status is rejected with an InvalidError.
func TestInvalidEntriesAreRejected(t *testing.T) {
	for name, entry := range map[string]Entry{
		"no name":        {Status: "SERVING"},
		"no status":      {Name: "s-1"},
		"unknown status": {Name: "s-1", Status: "ASLEEP"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := new(Names).Backend(&entry)
			var invalid *InvalidError
			if !errors.As(err, &invalid) || invalid.Name != entry.Name || invalid.Status != entry.Status {
				t.Errorf("error %v, want an InvalidError with the entry's name and status", err)
			}
		})
	}
}
