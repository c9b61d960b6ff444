// Package discovery follows the endpoint list of the discovery agent (section "Discovery" of the operators' page
// PROTOCOL-bellwood, which is not in this repository) and tells the gateway's event loop of its changes. It does three
// things, each in files of its own:
//
//   - client.go: the HTTP calls. A watch stays open for as long as the agent is followed and is opened anew when it
//     ends; the whole list is fetched once where it is asked for.
//   - decoder.go, stream.go: the endpoint lists and changes in a response's body, read entry by entry.
//   - table.go: the backends that are known. receiver.go brings what a decoder read to it, in parts.
//
// # Goroutines
//
// The event loop's goroutine owns the Client and its table: all exported methods but the constructor's are called
// there, and so are the methods of EventLoop but for Post and Done. Each watch and each fetch reads in a goroutine of
// its own, which knows only what it was given at its start and reaches the table by tasks that it posts, one at a time.
// A watch's goroutine ends with the next Follow or at Stop; a fetch's with its response or with the silence that bounds
// it.
package discovery

import "bellwood/internal/policy"

// EventLoop is what the package needs of the gateway's event loop. Post and Done may be called by any goroutine; the
// other methods are called on the loop's, within a task that was posted or a method of Client.
type EventLoop interface {
	// Post hands the loop a task. It blocks while the loop is behind; when the loop has ended the task is dropped.
	Post(task func())
	// Done is closed when the loop has ended and runs no further task.
	Done() <-chan struct{}
	// EndpointChanged tells the connection pools what is now known of one backend, and its address. It comes before
	// the Update that tells the engine.
	EndpointChanged(backend policy.Backend, address string)
	// Update is an event for the engine's next Step.
	Update(update policy.EndpointUpdate)
	// Adopted notes that the list or change with this index came from discovery and has been applied to its end.
	Adopted(index int64, snapshot bool)
	// Reachable notes that a list has been applied to its end and that a backend has been in service, in this list or
	// an earlier one.
	Reachable()
}
