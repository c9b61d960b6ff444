package policy_test

import (
	"fmt"
	"time"

	"bellwood/internal/policy"
)

// An engine receives events and returns actions. Here it receives the endpoint list and a request for
// one of its backends.
func Example() {
	engine, err := policy.New(policy.Settings{
		Gateways: 1, MaxAttempts: 2,
		Classes: []policy.Class{{PriorityWeight: 1, LatencyObjective: 300 * time.Millisecond, ClientTimeout: time.Second}},
		Plans:   []policy.Plan{{Rate: 10, Burst: 20, WeightFactor: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := engine.Step(0, []policy.Event{
		policy.EndpointUpdate{Kind: policy.Snapshot, Backends: []policy.Backend{{Name: "10.0.0.1:80", Weight: 1}}},
		policy.Request{ID: 7, Tenant: "ann", TimeLeft: time.Second, Cost: 1},
	})
	for _, action := range actions {
		if send, ok := action.(policy.SendAttempt); ok {
			fmt.Println("send", send.ID, "to", send.Backend, "for", send.Timeout)
		}
	}
	// Output: send 7 to 10.0.0.1:80 for 300ms
}
