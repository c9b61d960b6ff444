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
	Root                  string        // the repository's root, from which real doors are started; default: the working folder
	RealGateways          int           // default 3; below 0: none
	SimulatedGateways     int           // default 30; below 0: none
	ToldGateways          int           // how many doors all are told there are; default, and at least: those that run
	Backends              int           // default 200
	Tenants               int           // of all Doors; default 60 for each
	Zones                 int           // default 7; doors and backends are dealt out among them
	RequestsPerSecond     float64       // requests a second at each door; default 20
	Duration              time.Duration // how long is measured, a second after the load has begun; default 20 s
	Requests              int           // if above 0: each door gets so many requests, and Duration is passed over
	Drains                int           // after Duration: drains of one backend, and as many of a fifth at once; default 5, below 0: none
	Restarts              int           // restarts of a real door, with the known list and as many without; default 3, below 0: none
	Seed                  uint64        // of the requests, the service times and the hollow doors
	MeanServiceTime       time.Duration // mean service time of the backends; default 20 ms
	BackendConcurrency    int           // requests that a backend serves at once; default 8
	CounterCallsPerSecond float64       // calls a second that the counter takes; 0: all
	MemoryMB              int           // what the real doors are told of their limit; default 192
	ReadyTimeout          time.Duration // bound of each wait for a door to become ready; default 10 s
	Progress              io.Writer     // a line for each phase; nil: none

	drainDuration time.Duration // from a drain to the next thing; 0: the usual
}

func (o Options) withDefaults() Options {
	count := func(n *int, usual int) {
		*n = max(0, cmp.Or(*n, usual))
	}
	o.Root = cmp.Or(o.Root, ".")
	count(&o.RealGateways, 3)
	count(&o.SimulatedGateways, 30)
	count(&o.Backends, 200)
	o.ToldGateways = max(o.ToldGateways, o.RealGateways+o.SimulatedGateways)
	count(&o.Tenants, 60*o.ToldGateways)
	count(&o.Zones, 7)
	count(&o.Drains, 5)
	count(&o.Restarts, 3)
	count(&o.BackendConcurrency, 8)
	count(&o.MemoryMB, 192)
	o.RequestsPerSecond = cmp.Or(o.RequestsPerSecond, 20)
	o.Duration = cmp.Or(o.Duration, 20*time.Second)
	o.MeanServiceTime = cmp.Or(o.MeanServiceTime, 20*time.Millisecond)
	o.ReadyTimeout = cmp.Or(o.ReadyTimeout, 10*time.Second)
	o.drainDuration = cmp.Or(o.drainDuration, drainDuration)
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

func (o *Options) check() error {
	switch {
	case o.RealGateways+o.SimulatedGateways == 0:
		return errors.New("no doors")
	case o.RealGateways > maxRealGateways:
		return fmt.Errorf("%d real doors: at most %d", o.RealGateways, maxRealGateways)
	case o.Backends == 0 || o.Tenants == 0 || o.Zones == 0 || o.BackendConcurrency == 0:
		return errors.New("no backends, customers, zones or slots")
	case !(o.RequestsPerSecond > 0) || math.IsInf(o.RequestsPerSecond, 0) || o.Duration < 0 || o.Requests < 0 || o.MeanServiceTime < 0:
		return errors.New("a rate, a time or a number of requests that makes no sense")
	}
	return nil
}

// Row is one figure of a report. The fields have the order and types of other reports' rows.
type Row struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Gateways int     `json:"doors"` // over which it was taken
	Backends int     `json:"backends"`
	Value    float64 `json:"value"`
	Spread   float64 `json:"spread"` // largest less smallest, of the doors or of the repeats
	How      string  `json:"how"`    // begins with "failed:" where there is no value, ends with "noisy" where it is not to be trusted
}

// Report is what a run measured.
type Report struct {
	RealGateways      int           `json:"real_doors"`
	SimulatedGateways int           `json:"hollow_doors"`
	ToldGateways      int           `json:"doors"` // that all are told there are
	Backends          int           `json:"backends"`
	Tenants           int           `json:"customers"`
	RequestsPerSecond float64       `json:"rate"` // requests a second at each door
	Seed              uint64        `json:"seed"`
	Seconds           float64       `json:"seconds"` // how long was measured
	Noisy             bool          `json:"noisy"`   // the machine was too busy for some of the figures
	Real              emulator.Sums `json:"real"`    // over the whole run
	Simulated         emulator.Sums `json:"hollow"`
	Direct            emulator.Sums `json:"direct"`      // requests that went from clients to a backend with no door between
	AttemptsStarted   int           `json:"begun"`       // attempts that all backends began, by the backends themselves
	AttemptsRejected  int           `json:"turned_away"` // ... and turned away
	RequestsSkipped   int64         `json:"skipped"`     // requests that hollow doors were too late for
	Table             []Row         `json:"rows"`

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
	w, err := newFleetRun(o)
	if err != nil {
		return nil, err
	}
	err = w.run(ctx)
	w.close()
	w.sum()
	return w.report, err
}
