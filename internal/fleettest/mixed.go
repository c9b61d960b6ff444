// Package fleettest runs a few real doors, as deploy/balancer.toml starts them, beside many hollow ones: decision modules
// in this process, in real time. All doors are told the same list, count by the same numbers and send to the same model
// of the backends, so what many doors do in sum is met by the real ones too. What is measured at the real doors is
// counted by the stand-ins round them and read from the kernel.
package fleettest

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"bellwood/internal/emulator"
)

// Options say what to run. Each figure that is 0 stands for its default.
type Options struct {
	Root        string        // the repository's root, from which real doors are started; default: the working folder
	RealDoors   int           // default 3; below 0: none
	HollowDoors int           // default 30; below 0: none
	Doors       int           // how many doors all are told there are; default, and at least: those that run
	Backends    int           // default 200
	Customers   int           // of all Doors; default 60 for each
	Zones       int           // default 7; doors and backends are dealt out among them
	Rate        float64       // requests a second at each door; default 20
	Duration    time.Duration // how long is measured, a second after the load has begun; default 20 s
	Requests    int           // if above 0: each door gets so many requests, and Duration is passed over
	Drains      int           // after Duration: drains of one backend, and as many of a fifth at once; default 5, below 0: none
	Restarts    int           // restarts of a real door, with the known list and as many without; default 3, below 0: none
	Seed        uint64        // of the requests, the service times and the hollow doors
	Service     time.Duration // mean service time of the backends; default 20 ms
	Slots       int           // requests that a backend serves at once; default 8
	CounterRate float64       // calls a second that the counter takes; 0: all
	MemoryMB    int           // what the real doors are told of their limit; default 192
	ReadyWithin time.Duration // bound of each wait for a door to become ready; default 10 s
	Progress    io.Writer     // a line for each phase; nil: none

	drainTime time.Duration // from a drain to the next thing; 0: the usual
}

func (o Options) withDefaults() Options {
	count := func(n *int, usual int) {
		*n = max(0, cmp.Or(*n, usual))
	}
	o.Root = cmp.Or(o.Root, ".")
	count(&o.RealDoors, 3)
	count(&o.HollowDoors, 30)
	count(&o.Backends, 200)
	o.Doors = max(o.Doors, o.RealDoors+o.HollowDoors)
	count(&o.Customers, 60*o.Doors)
	count(&o.Zones, 7)
	count(&o.Drains, 5)
	count(&o.Restarts, 3)
	count(&o.Slots, 8)
	count(&o.MemoryMB, 192)
	o.Rate = cmp.Or(o.Rate, 20)
	o.Duration = cmp.Or(o.Duration, 20*time.Second)
	o.Service = cmp.Or(o.Service, 20*time.Millisecond)
	o.ReadyWithin = cmp.Or(o.ReadyWithin, 10*time.Second)
	o.drainTime = cmp.Or(o.drainTime, drainTime)
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

func (o *Options) check() error {
	switch {
	case o.RealDoors+o.HollowDoors == 0:
		return errors.New("no doors")
	case o.RealDoors > mostReal:
		return fmt.Errorf("%d real doors: at most %d", o.RealDoors, mostReal)
	case o.Backends == 0 || o.Customers == 0 || o.Zones == 0 || o.Slots == 0:
		return errors.New("no backends, customers, zones or slots")
	case !(o.Rate > 0) || math.IsInf(o.Rate, 0) || o.Duration < 0 || o.Requests < 0 || o.Service < 0:
		return errors.New("a rate, a time or a number of requests that makes no sense")
	}
	return nil
}

// Row is one figure of a report. The fields have the order and types of other reports' rows.
type Row struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Doors    int     `json:"doors"` // over which it was taken
	Backends int     `json:"backends"`
	Value    float64 `json:"value"`
	Spread   float64 `json:"spread"` // largest less smallest, of the doors or of the repeats
	How      string  `json:"how"`    // begins with "failed:" where there is no value, ends with "noisy" where it is not to be trusted
}

// Report is what a run measured.
type Report struct {
	RealDoors   int           `json:"real_doors"`
	HollowDoors int           `json:"hollow_doors"`
	Doors       int           `json:"doors"` // that all are told there are
	Backends    int           `json:"backends"`
	Customers   int           `json:"customers"`
	Rate        float64       `json:"rate"` // requests a second at each door
	Seed        uint64        `json:"seed"`
	Seconds     float64       `json:"seconds"` // how long was measured
	Noisy       bool          `json:"noisy"`   // the machine was too busy for some of the figures
	Real        emulator.Sums `json:"real"`    // over the whole run
	Hollow      emulator.Sums `json:"hollow"`
	Direct      emulator.Sums `json:"direct"`      // requests that went from clients to a backend with no door between
	Begun       int           `json:"begun"`       // attempts that all backends began, by the backends themselves
	TurnedAway  int           `json:"turned_away"` // ... and turned away
	Skipped     int64         `json:"skipped"`     // requests that hollow doors were too late for
	Table       []Row         `json:"rows"`

	pids []int // of the processes started
}

// Rows returns the figures.
func (r *Report) Rows() []Row { return r.Table }

// Failed returns the rows that have no value, since something failed.
func (r *Report) Failed() (rows []Row) {
	for _, row := range r.Table {
		if strings.HasPrefix(row.How, "failed:") {
			rows = append(rows, row)
		}
	}
	return rows
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(to io.Writer) error {
	e := json.NewEncoder(to)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// Run carries out a run and cleans up after it, however it ends. Failures of doors become rows; an error tells that
// the run itself failed, or was cancelled, with what was measured until then.
func Run(ctx context.Context, o Options) (*Report, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	w, err := newWorld(o)
	if err != nil {
		return nil, err
	}
	err = w.run(ctx)
	w.close()
	w.sum()
	return w.report, err
}
