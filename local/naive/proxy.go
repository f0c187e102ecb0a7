package naive

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sapphiregate.example/sapphiregate/coordination/routing"
	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/transport/shape"
)

// maxIdleConnections bounds the idle connections of a proxy to one upstream. With it, the 16 proxies of the larger
// profile keep at most 96 of the 120 connections that an upstream accepts.
const maxIdleConnections = 6

// maxConnections bounds the connections of a proxy to one upstream, because all processes and callers of an experiment
// share one limit on file descriptors. All proxies together may still open more than an upstream accepts.
const maxConnections = 24

// inForce is the bundle in force on a proxy, by which it routes calls.
type inForce struct {
	applied experiment.Applied
	routes  *routing.Table
}

// proxyOptions describes a proxy.
type proxyOptions struct {
	spec experiment.NodeSpec
	// control is the address of the control process, and admin the proxy's own administration address.
	control, admin string
	network        *shape.Network
	zoneDelay      time.Duration
	onApplied      func(experiment.Applied)
}

// proxy receives bundles and the list of upstreams from the control process, and forwards calls.
type proxy struct {
	*process
	options proxyOptions
	calls   *http.Transport
	current atomic.Pointer[inForce]

	mu             sync.Mutex
	ignoringPushes bool
	announced      *node.Announcement
	announcedAt    time.Time
	upstreams      map[string][]upstream
	roundRobin     map[string]int
}

func startProxy(callers, admin net.Listener, o proxyOptions) *proxy {
	local := shape.Endpoint{Zone: o.spec.Zone, Process: o.spec.ID}
	p := &proxy{
		process: newProcess(o.network.Dialer(local, shape.KindControl)), options: o,
		calls: &http.Transport{
			DialContext: o.network.Dialer(local, shape.KindCall), MaxIdleConnsPerHost: maxIdleConnections,
			MaxConnsPerHost: maxConnections, DisableCompression: true,
		},
		roundRobin: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+node.PathUpstream, p.serveAnnounce)
	mux.HandleFunc("DELETE "+node.PathUpstream, p.serveLeave)
	mux.HandleFunc("PUT "+pathBundle, p.serveBundle)
	mux.HandleFunc("PUT "+pathUpstreams, p.serveUpstreams)
	p.serve(callers, http.HandlerFunc(p.serveCall))
	p.serve(admin, mux)
	p.loops.Go(func() { p.repeat(nil, p.heartbeat) })
	return p
}

// ignorePushes makes the proxy ignore later bundles, so that it reports none as applied after it was stopped.
func (p *proxy) ignorePushes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ignoringPushes = true
}

func (p *proxy) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var announcement node.Announcement
	if !decodeJSON(w, r, &announcement) {
		return
	}
	if err := announcement.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The upstream is on the proxy's instance, so that a partition of the instance cuts off both.
	p.options.network.Register(announcement.Address, shape.Endpoint{Zone: p.options.spec.Zone, Process: p.options.spec.ID})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced, p.announcedAt = &announcement, time.Now()
	w.WriteHeader(http.StatusNoContent)
}

func (p *proxy) serveLeave(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced = nil
	w.WriteHeader(http.StatusAccepted)
}

// heartbeat sends a report to the control process. The next heartbeat makes up for one that is lost.
func (p *proxy) heartbeat() {
	report := heartbeat{Admin: p.options.admin, Upstream: p.ownUpstream()}
	if current := p.current.Load(); current != nil {
		report.Version = current.applied.Version
	}
	_ = sendJSON(p.ctx, p.client, http.MethodPost, "http://"+p.options.control+pathHeartbeat, report, nil)
}

// ownUpstream returns the upstream that announced itself on this instance within maxReportAge, or nil.
func (p *proxy) ownUpstream() *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.announced == nil || time.Since(p.announcedAt) >= maxReportAge {
		return nil
	}
	spec := p.options.spec
	return &upstream{Node: spec.ID, Zone: spec.Zone, Service: p.announced.Service, Address: p.announced.Address}
}

// serveBundle receives a pushed bundle.
func (p *proxy) serveBundle(w http.ResponseWriter, r *http.Request) {
	var pushed approvedBundle
	if !decodeJSON(w, r, &pushed) {
		return
	}
	routes, err := routing.New(pushed.Bundle)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.apply(pushed, routes)
	w.WriteHeader(http.StatusNoContent)
}

// apply puts a bundle in force if its version is greater than that of the current one.
func (p *proxy) apply(pushed approvedBundle, routes *routing.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.current.Load()
	if p.ignoringPushes || current != nil && pushed.Approval.Version <= current.applied.Version {
		return
	}
	applied := experiment.Applied{
		Node: p.options.spec.ID, Version: pushed.Approval.Version, Digest: pushed.Approval.Digest,
		Bundle: pushed.Bundle, At: time.Now(),
	}
	p.current.Store(&inForce{applied: applied, routes: routes})
	if p.options.onApplied != nil {
		p.options.onApplied(applied)
	}
}

// serveUpstreams receives the pushed list of upstreams.
func (p *proxy) serveUpstreams(w http.ResponseWriter, r *http.Request) {
	var list []upstream
	if !decodeJSON(w, r, &list) {
		return
	}
	byService := make(map[string][]upstream)
	for _, entry := range list {
		byService[entry.Service] = append(byService[entry.Service], entry)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = byService
	w.WriteHeader(http.StatusNoContent)
}

// nextUpstream returns the upstreams of a service round robin, or false if it has none.
func (p *proxy) nextUpstream(service string) (upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.upstreams[service]
	if len(list) == 0 {
		return upstream{}, false
	}
	p.roundRobin[service]++
	return list[p.roundRobin[service]%len(list)], true
}
