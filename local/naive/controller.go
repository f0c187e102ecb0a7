package naive

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/shape"
)

// approvedBundle is a bundle with its approval, as operators send it and the control process pushes it.
type approvedBundle struct {
	Approval bundle.Approval `json:"approval"`
	Bundle   *bundle.Bundle  `json:"bundle"`
}

// upstream is one entry of the list of upstreams that the control process pushes.
type upstream struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	Address string `json:"address"`
}

// heartbeat is a proxy's regular report. Admin is its administration address, Version the version in force on it, and
// Upstream the upstream on its instance, if any.
type heartbeat struct {
	Admin    string    `json:"admin"`
	Version  uint64    `json:"version"`
	Upstream *upstream `json:"upstream,omitempty"`

	at time.Time
}

// controller is the control process. It keeps all its state in memory.
type controller struct {
	*process
	keys *bundle.Keyring

	mu                sync.Mutex
	latest            approvedBundle
	confirmedVersions map[string]uint64
	heartbeats        map[string]heartbeat
	wake              map[string]chan struct{}
}

// startController starts the control process, which pushes to the proxies at the given administration addresses.
func startController(listener net.Listener, dial shape.DialFunc, keys *bundle.Keyring, proxies []string) *controller {
	c := &controller{
		process: newProcess(dial), keys: keys, confirmedVersions: make(map[string]uint64),
		heartbeats: make(map[string]heartbeat), wake: make(map[string]chan struct{}),
	}
	for _, proxy := range proxies {
		wake := make(chan struct{}, 1)
		c.wake[proxy] = wake
		c.loops.Go(func() { c.repeat(wake, func() { c.push(proxy) }) })
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathApprove, c.serveApprove)
	mux.HandleFunc("POST "+pathHeartbeat, c.serveHeartbeat)
	c.serve(listener, mux)
	return c
}

func (c *controller) serveApprove(w http.ResponseWriter, r *http.Request) {
	var offered approvedBundle
	if !decodeJSON(w, r, &offered) {
		return
	}
	// Fails if the operator has closed the connection. It may send the approval again and gets the same verdict.
	_ = json.NewEncoder(w).Encode(c.approve(offered))
}

// approve makes a valid bundle the latest one if its version is greater, and starts the push to all proxies.
func (c *controller) approve(offered approvedBundle) experiment.Verdict {
	if err := c.keys.Verify(offered.Approval); err != nil {
		return experiment.Verdict{Reason: err.Error()}
	}
	if offered.Bundle == nil {
		return experiment.Verdict{Reason: "naive: the approval has no bundle"}
	}
	if err := bundle.Validate(offered.Bundle).Err(); err != nil {
		return experiment.Verdict{Reason: err.Error()}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := c.latest.Approval
	switch {
	case offered.Approval.Version < latest.Version:
		return experiment.Verdict{Reason: "naive: version is older than the latest one"}
	case offered.Approval.Version == latest.Version && offered.Approval.Digest != latest.Digest:
		return experiment.Verdict{Winner: latest.Digest, Reason: "naive: version is taken by a bundle with another digest"}
	case offered.Approval.Version > latest.Version:
		c.latest = offered
		c.wakeAll()
	}
	return experiment.Verdict{Accepted: true}
}

// wakeAll starts a push to every proxy. The lock is held.
func (c *controller) wakeAll() {
	for _, wake := range c.wake {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

func (c *controller) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var received heartbeat
	if !decodeJSON(w, r, &received) {
		return
	}
	received.at = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeats[received.Admin] = received
	c.confirmedVersions[received.Admin] = received.Version
	w.WriteHeader(http.StatusNoContent)
}

// push sends a proxy the latest bundle, unless the proxy has confirmed it, and the list of upstreams. What fails is
// repeated after controlInterval.
func (c *controller) push(proxy string) {
	c.mu.Lock()
	latest, confirmed, upstreams := c.latest, c.confirmedVersions[proxy], c.upstreams()
	c.mu.Unlock()
	version := latest.Approval.Version
	if confirmed < version && sendJSON(c.ctx, c.client, http.MethodPut, "http://"+proxy+pathBundle, latest, nil) == nil {
		c.mu.Lock()
		c.confirmedVersions[proxy] = version
		c.mu.Unlock()
	}
	_ = sendJSON(c.ctx, c.client, http.MethodPut, "http://"+proxy+pathUpstreams, upstreams, nil)
}

// upstreams returns the upstreams of all heartbeats younger than maxReportAge, ordered by node. The lock is held.
func (c *controller) upstreams() []upstream {
	list := []upstream{}
	for _, received := range c.heartbeats {
		if received.Upstream != nil && time.Since(received.at) < maxReportAge {
			list = append(list, *received.Upstream)
		}
	}
	slices.SortFunc(list, func(a, b upstream) int { return strings.Compare(a.Node, b.Node) })
	return list
}
