package gateway

import (
	"time"

	"bellwood/internal/audit"
	"bellwood/internal/gateway/discovery"
	"bellwood/internal/policy"
)

// newDiscovery returns a client for the discovery agent in the configuration.
func newDiscovery(server *Server) *discovery.Client {
	cfg := server.cfg
	return discovery.New(discoveryLoop{server}, discovery.Options{Address: cfg.Discovery, Index: cfg.Known.Index,
		Zones: cfg.Transport.Zones, Kinds: cfg.Transport.Kinds, Log: server.log,
		IdleTimeout: cfg.watchIdleTimeout, Dial: cfg.discoveryDial})
}

// discoveryLoop implements discovery.EventLoop on the server's event loop.
type discoveryLoop struct{ server *Server }

func (l discoveryLoop) Post(task func()) { l.server.post(task) }

func (l discoveryLoop) Done() <-chan struct{} { return l.server.done }

func (l discoveryLoop) EndpointChanged(backend policy.Backend, address string) {
	l.server.upstream.updateEndpoint(backend, address)
}

func (l discoveryLoop) EmitUpdate(update policy.EndpointUpdate) { l.server.emit(update) }

func (l discoveryLoop) ListApplied(index int64, snapshot bool) {
	source := audit.FromDelta
	if snapshot {
		source = audit.FromSnapshot
	}
	l.server.audit.versionAdopted(index, source)
}

func (l discoveryLoop) EndpointsBehind(cause policy.BehindCause, since time.Time) {
	l.server.emit(policy.EndpointsBehind{Cause: cause, Since: l.server.now() - time.Since(since)})
}

func (l discoveryLoop) EndpointsCurrent() { l.server.emit(policy.EndpointsCurrent{}) }

func (l discoveryLoop) Ready() { l.server.backendDiscovered.Store(true) }
