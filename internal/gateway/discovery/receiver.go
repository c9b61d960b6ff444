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

// receiver reads the lists of one response and has the event loop apply them, part by part. The goroutine that reads the
// response uses it; the tasks that it posts run on the loop while it waits for them.
type receiver struct {
	client  *Client
	decoder *decoder
	silence *silenceTimer
	wanted  func() bool         // whether the list is still to be applied; called on the loop before each part
	applied func(endpoint.List) // called on the loop when a list was applied to its end, without the entries
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

// part has the loop apply entries that are not the last of their list, for the decoder (consumer).
func (r *receiver) part(entries []endpoint.Entry) error {
	for some := range slices.Chunk(entries, partSize) {
		err := r.onLoop(func() { r.client.update(r.client.table.apply(r.list, some)) })
		if err != nil {
			return err
		}
	}
	return nil
}

// last has the loop apply the last entries of a list and then, in parts too, terminate what a snapshot does not name. The
// decoder calls it (consumer).
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
	// Even where nothing has changed: the engine waits for the update to know that the list has come.
	r.client.loop.Update(policy.EndpointUpdate{Kind: policy.Delta, Backends: changes})
	r.applied(list)
	r.client.table.close(r.list)
	r.client.reportReachable()
	return true
}

// onLoop has the loop run a task for the list being read, and waits for it. So one part goes into a Step, and requests
// are served between the parts.
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
