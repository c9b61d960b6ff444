package gateway

import (
	"bellwood/internal/audit"
	"bellwood/internal/gateway/discovery"
	"bellwood/internal/policy"
)

// newDiscovery returns the client of the discovery agent that the configuration names.
func newDiscovery(f *Server) *discovery.Client {
	transport := &f.cfg.Transport
	return discovery.New(discoveryLoop{f}, discovery.Options{Address: f.cfg.Discovery, Index: f.cfg.Known.Index,
		Zones: transport.Zones, Types: transport.Kinds, Log: f.log,
		Silence: f.cfg.watchSilence, Dial: f.cfg.discoveryDial})
}

// discoveryLoop is what discovery sees of the event loop: a discovery.EventLoop.
type discoveryLoop struct{ server *Server }

func (l discoveryLoop) Post(task func()) { l.server.post(task) }

func (l discoveryLoop) Done() <-chan struct{} { return l.server.done }

func (l discoveryLoop) EndpointChanged(backend policy.Backend, address string) {
	l.server.backends.listed(backend, address)
}

func (l discoveryLoop) Update(update policy.EndpointUpdate) { l.server.tell(update) }

func (l discoveryLoop) Adopted(index int64, snapshot bool) {
	source := audit.FromChange
	if snapshot {
		source = audit.FromWhole
	}
	l.server.audit.adopted(index, source)
}

func (l discoveryLoop) Reachable() { l.server.ready.Store(true) }
