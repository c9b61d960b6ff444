package discovery

import (
	"errors"
	"io"
	"slices"

	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
)

// ErrSuperseded says that the client follows another agent by now, or that the event loop has ended, so that what an
// earlier call still reads is not applied.
var ErrSuperseded = errors.New("superseded by a later watch")

// receiver reads the lists of one answer and has the event loop apply them, part by part. The goroutine that reads the
// answer uses it; the tasks that it posts run on the loop while it waits for them.
type receiver struct {
	client  *Client
	decoder *decoder
	silence *silenceTimer
	wanted  func() bool         // asked on the loop before each part: is the list still to be applied?
	applied func(endpoint.List) // told on the loop that a list was applied to its end; without its entries
	list    *openList           // being read; nil: it is opened with its first part
}

// newReceiver returns a receiver that applies all that it reads.
func (c *Client) newReceiver(body io.Reader, silence *silenceTimer) *receiver {
	r := &receiver{client: c, silence: silence, wanted: func() bool { return true }, applied: func(endpoint.List) {}}
	r.decoder = newDecoder(newStream(body, silence), r)
	return r
}

// next reads one list or change to its end and has it applied. One that is cut off, malformed or superseded terminates
// no backend by what it doesn't name and moves no index, so the next watch brings all of it again; what it named by
// then may have been applied. The error is ErrSuperseded or that of the decoder.
func (r *receiver) next() (endpoint.List, error) {
	list, err := r.decoder.next()
	if open := r.list; err != nil && open != nil {
		r.client.loop.Post(func() { r.client.table.close(open) })
	}
	r.list = nil
	return list, err
}

// part is called by the decoder.
func (r *receiver) part(entries []endpoint.Entry) error {
	for some := range slices.Chunk(entries, partSize) {
		err := r.onLoop(func() { r.client.update(r.client.table.apply(r.list, some)) })
		if err != nil {
			return err
		}
	}
	return nil
}

// last is called by the decoder. Behind the last part comes, in parts too, what a snapshot has not named.
func (r *receiver) last(list endpoint.List, entries []endpoint.Entry) error {
	for finished := false; !finished; {
		err := r.onLoop(func() {
			finished = r.applyLast(list, entries)
			entries = nil // applied once, though terminating what is not named may take further tasks
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// applyLast applies the last entries of a list and a part of what it does not name, and says whether the list has been
// applied to its end. It runs on the loop.
func (r *receiver) applyLast(list endpoint.List, entries []endpoint.Entry) (finished bool) {
	changes := r.client.table.apply(r.list, entries)
	if list.Snapshot {
		terminated, last := r.client.table.terminateUnnamed(r.list)
		changes = append(changes, terminated...)
		if !last {
			r.client.update(changes)
			return false
		}
	}
	// Told even where nothing has changed: the decision module waits to hear that the list has come.
	r.client.loop.Update(policy.EndpointUpdate{Kind: policy.Delta, Backends: changes})
	r.applied(list)
	r.client.table.close(r.list)
	r.client.reportReachable()
	return true
}

// onLoop has the loop run a task for the list being read and waits for it: one part goes into a Step, and requests go
// in between.
func (r *receiver) onLoop(task func()) error {
	r.silence.suspend() // the loop's time is not discovery's silence
	defer r.silence.signOfLife()
	done := make(chan error, 1)
	r.client.loop.Post(func() {
		if !r.wanted() {
			done <- ErrSuperseded
			return
		}
		if r.list == nil {
			r.list = r.client.table.open()
		}
		task()
		done <- nil
	})
	select {
	case err := <-done:
		return err
	case <-r.client.loop.Done():
		return ErrSuperseded
	}
}
