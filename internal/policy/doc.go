// Package policy makes the decisions of one gateway that meters many tenants' use of one shared service:
// which requests are forwarded, to which backend, when, how often, and which are rejected.
//
// An [Engine] does no input or output, starts no goroutine and reads no clock. The caller hands it what
// happened as [Event] values and carries out the [Action] values that come back, in their order. All times
// are time.Duration values on the caller's clock, which may start anywhere and must not go back. The same
// settings, seed and events give the same actions. An Engine is not safe for concurrent use; different
// Engines share nothing.
package policy
