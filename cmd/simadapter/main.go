// Command simadapter connects the simulator to the engines of simulated gateways. It reads the simulator's line protocol
// from standard input, runs one policy.Engine for each instance, and writes the engines' actions to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"bellwood/internal/policy"
	"bellwood/internal/simprotocol"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

const writeBufferBytes = 1 << 20 // a reply may be several megabytes long

// run replies to each batch until the input ends between two batches.
func run(in io.Reader, out io.Writer) error {
	reader := simprotocol.NewReader(in)
	a := &adapter{out: bufio.NewWriterSize(out, writeBufferBytes), engines: map[string]*policy.Engine{}}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(batch); err != nil {
			return err
		}
	}
}

// adapter holds the engines of the running instances.
type adapter struct {
	out     *bufio.Writer
	engines map[string]*policy.Engine // by instance
	line    []byte                    // buffer for one action
}

// handleBatch processes a batch and writes the reply. Consecutive events of one instance are passed to one Step.
func (a *adapter) handleBatch(batch *simprotocol.Batch) error {
	items := batch.Items
	for len(items) > 0 {
		item := items[0]
		if item.Kind == simprotocol.InstanceStarted {
			if err := a.start(item); err != nil {
				return err
			}
			items = items[1:]
			continue
		}
		engine := a.engines[item.Instance]
		if engine == nil {
			return fmt.Errorf("batch %s: unknown instance %s", batch.Number, item.Instance)
		}
		if item.Kind == simprotocol.InstanceStopped {
			delete(a.engines, item.Instance)
			items = items[1:]
			continue
		}
		events := leadingEvents(items, item.Instance)
		items = items[len(events):]
		for _, action := range engine.Step(batch.Now, events) {
			a.line = simprotocol.AppendAction(a.line[:0], item.Instance, action)
			a.out.Write(a.line) // Flush returns the error, if any
		}
	}
	fmt.Fprintf(a.out, "YIELD %s\n", batch.Number)
	return a.out.Flush()
}

// start creates the engine of an instance that starts, and replaces any engine of an instance with the same name.
func (a *adapter) start(item simprotocol.Item) error {
	engine, err := policy.New(item.Settings, item.Seed)
	if err != nil {
		return fmt.Errorf("creating the engine of %s: %w", item.Instance, err)
	}
	a.engines[item.Instance] = engine
	return nil
}

// leadingEvents returns the events of the instance at the start of items, up to the first item of another instance or kind.
func leadingEvents(items []simprotocol.Item, instance string) (events []policy.Event) {
	for i := range items {
		if items[i].Instance != instance || items[i].Kind != simprotocol.InstanceEvent {
			break
		}
		events = append(events, items[i].Event)
	}
	return events
}
