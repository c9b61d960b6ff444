package discovery

import (
	"errors"
	"io"
	"log/slog"
	"slices"
	"time"

	"bellwood/internal/gateway/endpoint"
	"bellwood/internal/policy"
)

// ErrSuperseded is returned if Follow or Stop has been called since a call began, or the event loop has ended. What the
// call still reads is then not applied.
var ErrSuperseded = errors.New("superseded by a later watch")

// receiver reads the lists of one response and has the event loop apply them in batches. It is used by the goroutine that
// reads the response. That goroutine waits for each task that it posts to the loop.
type receiver struct {
	client      *Client
	decoder     *decoder
	idle        *idleTimer
	stillWanted func() bool         // whether to go on applying the list; called on the loop before each batch
	onApplied   func(endpoint.List) // called on the loop when a list has been applied; the list has no entries
	isWatch     bool                // the response is a watch: its lists are all that the agent has
	lostAt      time.Time           // when the watch before ended, if no list has been applied since; zero: not at all
	behindSince time.Time           // since when the agent may have had the list being read
	list        *openList           // the list being read; nil: opened with its first batch
	entries     int                 // entries of that list so far
	changes     int                 // backends that it has changed so far
}

// newReceiver returns a receiver that applies everything it reads.
func (c *Client) newReceiver(body io.Reader, idle *idleTimer) *receiver {
	r := &receiver{client: c, idle: idle, stillWanted: func() bool { return true }, onApplied: func(endpoint.List) {}}
	r.decoder = newDecoder(newStream(body, idle), r)
	return r
}

// next reads one complete list or change and has it applied. The error is ErrSuperseded or the decoder's.
//
// If the list is truncated, malformed or superseded, the entries read before the failure may have been applied, but the
// index does not advance, so the next watch delivers all of it again. No backend is terminated for being absent from a list
// that was not read to its end. A list that is superseded after that may have terminated some of the absent backends.
func (r *receiver) next() (endpoint.List, error) {
	r.entries, r.changes = 0, 0
	list, err := r.decoder.next()
	if open := r.list; err != nil && open != nil {
		r.client.loop.Post(func() { r.client.table.close(open) })
	}
	r.list = nil
	return list, err
}

// listBegan implements consumer: it reports to the loop that the agent has a list that is not applied yet. Reading and
// applying it may take longer than requests may still be sent to a backend that drains according to it.
func (r *receiver) listBegan() {
	if !r.isWatch {
		return
	}
	r.behindSince = r.decoder.stream.listBegan
	if !r.lostAt.IsZero() {
		r.behindSince = r.lostAt
	}
	r.client.loop.Post(func() {
		if r.stillWanted() {
			r.reportBehind(policy.ListBegan)
		}
	})
}

// reportBehind reports that the list being read is not applied yet. It runs on the loop.
func (r *receiver) reportBehind(cause policy.BehindCause) {
	if r.isWatch {
		r.client.watchBehind = true
		r.client.loop.EndpointsBehind(cause, r.behindSince)
	}
}

// batch implements consumer: it has the loop apply entries other than the last ones of a list.
func (r *receiver) batch(entries []endpoint.Entry) error {
	for chunk := range slices.Chunk(entries, batchSize) {
		err := r.runOnLoop(func() {
			r.reportBehind(policy.ListContinues)
			r.client.update(r.apply(chunk))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// lastBatch implements consumer: it has the loop apply the last entries of a list and then, if it is a snapshot, terminate
// the backends absent from it, in batches too.
func (r *receiver) lastBatch(list endpoint.List, entries []endpoint.Entry) error {
	for finished := false; !finished; {
		err := r.runOnLoop(func() {
			finished = r.applyLastBatch(list, entries)
			entries = nil // already applied if terminating absent backends takes further tasks
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// applyLastBatch applies the last entries of a list and terminates a batch of the backends absent from it. It reports
// whether the list has been applied completely. It runs on the loop.
func (r *receiver) applyLastBatch(list endpoint.List, entries []endpoint.Entry) (finished bool) {
	changes := r.apply(entries)
	if list.Snapshot {
		terminated, last := r.client.table.terminateMissing(r.list)
		r.changes += len(terminated)
		changes = append(changes, terminated...)
		if !last {
			r.client.update(changes)
			return false
		}
	}
	// Sent even if nothing has changed: the engine waits for it to know that the list has arrived.
	r.client.loop.EmitUpdate(policy.EndpointUpdate{Kind: policy.Delta, Backends: changes})
	r.client.log.Info("endpoint list applied", slog.Int64("index", list.Index), slog.Bool("snapshot", list.Snapshot),
		slog.Int("entries", r.entries), slog.Int("changes", r.changes),
		slog.Duration("duration", time.Since(r.decoder.stream.listBegan)))
	r.onApplied(list)
	r.client.table.close(r.list)
	r.client.reportReady()
	r.reportCurrent(list)
	return true
}

// reportCurrent reports that a list has been applied: the next one of a watch, or a whole list while none of a watch is in
// progress.
func (r *receiver) reportCurrent(list endpoint.List) {
	if r.isWatch {
		r.lostAt, r.client.watchBehind = time.Time{}, false
	}
	if r.isWatch || list.Snapshot && !r.client.watchBehind {
		r.client.loop.EndpointsCurrent()
	}
}

// apply applies entries of the list being read and returns the changes. It runs on the loop.
func (r *receiver) apply(entries []endpoint.Entry) []policy.Backend {
	changes := r.client.table.apply(r.list, entries)
	r.entries += len(entries)
	r.changes += len(changes)
	return changes
}

// runOnLoop has the loop run a task for the list being read and waits for it. Each Step of the engine therefore takes
// at most one batch of a list, and requests are served between batches.
func (r *receiver) runOnLoop(task func()) error {
	r.idle.stop() // time spent waiting for the loop is not idle time of the agent
	defer r.idle.reset()
	done := make(chan error, 1)
	r.client.loop.Post(func() {
		if !r.stillWanted() {
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
