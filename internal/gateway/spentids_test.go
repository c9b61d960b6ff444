package gateway

import (
	"strings"
	"testing"
	"time"
)

// Guards against an effect that is had twice: a request that may have run does not run again under its id, whether its client
// has left or it has failed. Requests that are idempotent, or whose client has the value, do.
func TestRequestThatMayHaveRunDoesNotRunAgainUnderItsID(t *testing.T) {
	disconnect := func(client, _ *peer) { client.close() }
	for name, test := range map[string]struct {
		command, fields string
		end             func(client, backend *peer)
		runsAgain       bool
	}{
		"non-idempotent, the client leaves":     {"Q.DO", nonIdempotentFields, disconnect, false},
		"non-idempotent, the client resets":     {"Q.DO", nonIdempotentFields, func(client, _ *peer) { client.reset() }, false},
		"with a key, the client leaves":         {"Q.DO", keyedFields, disconnect, false},
		"idempotent, the client leaves":         {"Q.ASK", idempotentFields, disconnect, true},
		"non-idempotent, served":                {"Q.DO", nonIdempotentFields, func(_, b *peer) { b.write(valueReply("value")) }, true},
		"non-idempotent, the backend resets it": {"Q.DO", nonIdempotentFields, func(_, b *peer) { b.reset() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			gateway, ln := startWithBackend(t, withoutReuseDelay, func(cfg *Config, _ *testing.T) { cfg.Settings.MaxAttempts = 1 })
			client := gateway.dial()
			client.sendCommand(test.command, tenantID, "1", test.fields)
			backend := acceptCommand(t, ln)
			test.end(client, backend)
			gateway.waitUntil(func() bool { return gateway.server.requests.len() == 0 })
			other := gateway.dial()
			other.sendCommand(test.command, tenantID, "1", test.fields)
			if !test.runsAgain {
				other.wantReplyPrefix("-ERR the id is that of a request that may have run")
				return
			}
			gateway.waitUntil(func() bool { return gateway.server.requests.len() == 1 })
		})
	}
}

// The id of a request that never ran can be used again.
func TestRequestThatNeverRanMayRunUnderItsID(t *testing.T) {
	gateway, ln := startWithBackend(t)
	client := gateway.dial()
	hopeless := strings.Replace(nonIdempotentFields, "d=20000", "d=1", 1)
	client.sendCommand("Q.DO", tenantID, "1", hopeless)
	client.wantReplyPrefix("-BUSY")
	client.sendCommand("Q.DO", tenantID, "1", nonIdempotentFields)
	acceptCommand(t, ln).write(valueReply("value"))
	client.wantReply("value")
}

// An id is forgotten once no client can wait for its request any more.
func TestSpentIDsAreForgotten(t *testing.T) {
	ids := newSpentIDs(time.Second)
	ids.add([]byte("first"), 0)
	ids.add([]byte("second"), time.Second/2)
	ids.add([]byte("first"), time.Second/2)
	if now := time.Second - 1; !ids.contains([]byte("first"), now) || !ids.contains([]byte("second"), now) {
		t.Error("an id was forgotten before its time")
	}
	if ids.contains([]byte("first"), time.Second) || !ids.contains([]byte("second"), time.Second) {
		t.Error("want the first id forgotten, the second not")
	}
	if ids.contains([]byte("second"), 2*time.Second) || len(ids.spent) != 0 || len(ids.oldest) != 0 {
		t.Errorf("%d ids are left, want none", len(ids.spent))
	}
}
