package simprotocol

import "bellwood/internal/policy"

// absent is the text that the protocol writes for a value that is not given.
const absent = "-"

// updateKinds maps the words of the field scope of a VIEW line.
var updateKinds = map[string]policy.UpdateKind{
	"delta":  policy.Delta,
	"full":   policy.Snapshot,
	"cached": policy.CachedSnapshot,
	"failed": policy.UpdateFailed,
}

// backendStates maps the words of the field state of a BACKEND line.
var backendStates = map[string]policy.BackendState{
	"in_service":  policy.InService,
	"terminating": policy.Draining,
	"terminated":  policy.Terminated,
}

// idempotencies maps the words of the setting classes[].effect.
var idempotencies = map[string]policy.Idempotency{
	"safe":   policy.Idempotent,
	"keyed":  policy.IdempotentWithKey,
	"unsafe": policy.NonIdempotent,
}

// dedupScopes maps the words of the setting classes[].group, which applies only to keyed classes; other classes may omit it.
//
// WIRE-bellwood doesn't define a keyed class without a group. Unlike a missing effect it is not an error here, but counts as
// "all". If the backends in fact share their keys only within a zone or a cell, a retry may go to a backend that doesn't
// know the key, and the request may run twice. The settings of a deployment must therefore give the group of every keyed
// class.
var dedupScopes = map[string]policy.DedupScope{
	"all":  policy.DedupAllBackends,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
	"":     policy.DedupAllBackends,
	"none": policy.DedupAllBackends,
	absent: policy.DedupAllBackends,
}

// pollsEndpoints maps the words of the setting discovery to whether the gateway must poll the endpoint list.
var pollsEndpoints = map[string]bool{
	"pushed":     false,
	"on_request": true,
}

// flags maps the words of every boolean setting.
var flags = map[string]bool{
	"true":  true,
	"1":     true,
	"false": false,
	"0":     false,
	absent:  false,
}
