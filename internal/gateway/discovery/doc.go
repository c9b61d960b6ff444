// Package discovery follows the endpoint list of the discovery agent and reports its changes to the gateway's event
// loop. The agent's protocol is described in the section "Discovery" of the operators' page PROTOCOL-bellwood, which is
// not in this repository. The package has three parts:
//
//   - client.go: the HTTP calls. A watch is a long-lived response with a stream of changes; it is reopened when it ends.
//     A fetch gets the full list once, on request.
//   - decoder.go, stream.go: decoding of endpoint lists and changes from a response body, entry by entry.
//   - table.go: the table of known backends. receiver.go applies decoded entries to it, in batches.
//
// # Goroutines
//
// The event loop's goroutine owns the Client and its table. All exported methods of Client except ReadList are called on
// it, and so are the methods of EventLoop except Post and Done. Each watch and each fetch reads in a goroutine of its
// own. It uses only the values passed to it at its start, and accesses the table through tasks that it posts to the
// loop, one at a time. A watch's goroutine ends at the next Follow or at Stop, a fetch's at the end of its response or
// at its idle timeout.
package discovery

import (
	"time"

	"bellwood/internal/policy"
)

// EventLoop is the part of the gateway's event loop that the package uses. Post and Done may be called from any
// goroutine; the other methods are called on the loop's goroutine, within a posted task or a method of Client.
type EventLoop interface {
	// Post queues a task for the loop. It blocks while the queue is full; once the loop has ended, the task is dropped.
	Post(task func())
	// Done returns a channel that is closed when the loop has ended and runs no more tasks.
	Done() <-chan struct{}
	// EndpointChanged reports the new state and address of a backend to its connection pool. It is called before the
	// EmitUpdate that reports the change to the engine.
	EndpointChanged(backend policy.Backend, address string)
	// EmitUpdate queues an event for the engine's next Step.
	EmitUpdate(update policy.EndpointUpdate)
	// ListApplied reports that the list or change with this index, received from discovery, has been applied completely.
	ListApplied(index int64, snapshot bool)
	// EndpointsBehind reports why the agent may have entries that have not been applied, since the given time or longer.
	EndpointsBehind(cause policy.BehindCause, since time.Time)
	// EndpointsCurrent reports that everything that the agent has sent has been applied.
	EndpointsCurrent()
	// Ready reports that a list has been applied completely and that some backend has been in service, in this list or
	// an earlier one.
	Ready()
}
