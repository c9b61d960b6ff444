package gateway

import (
	"bellwood/internal/audit"
	"bellwood/internal/gateway/discovery"
	"bellwood/internal/policy"
)

// newDiscovery returns the client of the discovery agent that the configuration names.
func newDiscovery(server *Server) *discovery.Client {
	cfg := server.cfg
	return discovery.New(discoveryLoop{server}, discovery.Options{Address: cfg.Discovery, Index: cfg.Known.Index,
		Zones: cfg.Transport.Zones, Kinds: cfg.Transport.Kinds, Log: server.log,
		Silence: cfg.watchSilence, Dial: cfg.discoveryDial})
}

// discoveryLoop is what discovery sees of the event loop: a discovery.EventLoop.
type discoveryLoop struct{ server *Server }

func (l discoveryLoop) Post(task func()) { l.server.post(task) }

func (l discoveryLoop) Done() <-chan struct{} { return l.server.done }

func (l discoveryLoop) EndpointChanged(backend policy.Backend, address string) {
	l.server.upstream.updateEndpoint(backend, address)
}

func (l discoveryLoop) Update(update policy.EndpointUpdate) { l.server.emit(update) }

func (l discoveryLoop) Adopted(index int64, snapshot bool) {
	source := audit.FromDelta
	if snapshot {
		source = audit.FromSnapshot
	}
	l.server.audit.versionAdopted(index, source)
}

func (l discoveryLoop) Reachable() { l.server.ready.Store(true) }
