package bellwood_test

import (
	"fmt"
	"time"

	"bellwood"
)

func Example() {
	door, err := bellwood.New(bellwood.Settings{
		Doors: 1, MaxAttempts: 2,
		Classes: []bellwood.Class{{Worth: 1, Aim: 300 * time.Millisecond, GiveUp: time.Second}},
		Plans:   []bellwood.Plan{{Rate: 10, Burst: 20, Factor: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	acts := door.Step(0, []bellwood.Event{
		bellwood.List{Scope: bellwood.Whole, Entries: []bellwood.Backend{{Name: "10.0.0.1:80", Weight: 1}}},
		bellwood.Request{ID: 7, Customer: "ann", Left: time.Second, Units: 1},
	})
	for _, a := range acts {
		if s, ok := a.(bellwood.Send); ok {
			fmt.Println("send", s.ID, "to", s.Backend, "for", s.Timeout)
		}
	}
	// Output: send 7 to 10.0.0.1:80 for 300ms
}
