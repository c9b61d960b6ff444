package simprotocol

import "bellwood/internal/policy"

// absent is what the protocol writes for a value that is not given.
const absent = "-"

// Words of the field scope of VIEW.
var updateKinds = map[string]policy.UpdateKind{
	"delta":  policy.Delta,
	"full":   policy.Snapshot,
	"cached": policy.CachedSnapshot,
	"failed": policy.UpdateFailed,
}

// Words of the field state of a list's entry.
var backendStates = map[string]policy.BackendState{
	"in_service":  policy.InService,
	"terminating": policy.Draining,
	"terminated":  policy.Terminated,
}

// Words of the setting classes[].effect.
var idempotencies = map[string]policy.Idempotency{
	"safe":   policy.Idempotent,
	"keyed":  policy.IdempotentWithKey,
	"unsafe": policy.NonIdempotent,
}

// Words of the setting classes[].group, which concerns keyed classes alone; the others may leave it out. WIRE-bellwood
// doesn't say what a keyed class without a group means: here it counts as all, and is no error as a missing effect is.
// Where that is not so a retry may go to a backend that doesn't know the key, and the request may run twice; so a
// deployment's settings must name the group of each keyed class.
var dedupScopes = map[string]policy.DedupScope{
	"all":  policy.DedupAllBackends,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
	"":     policy.DedupAllBackends,
	"none": policy.DedupAllBackends,
	absent: policy.DedupAllBackends,
}

// Words of the setting discovery: whether the endpoint list has to be polled.
var pollsEndpoints = map[string]bool{
	"pushed":     false,
	"on_request": true,
}

// Words of all settings that are true or false.
var flags = map[string]bool{
	"true":  true,
	"1":     true,
	"false": false,
	"0":     false,
	absent:  false,
}
