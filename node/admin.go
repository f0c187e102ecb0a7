package node

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/protocol"
)

// Paths on the admin address.
const (
	// PathUpstream announces the upstream with PUT, and begins its drain with DELETE.
	PathUpstream   = "/v1/upstream"
	PathDump       = "/debug/dump"
	PathMetrics    = "/metrics"
	PathReady      = "/ready"
	PathQuarantine = "/v1/quarantine"
	// PathExplain tells where a request would go; its query parameters are host, path, method and team.
	PathExplain = "/v1/explain"
)

const maxAnnouncementBytes = 16 << 10

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathUpstream, n.serveAnnounce)
	mux.HandleFunc("DELETE "+PathUpstream, n.serveLeave)
	mux.HandleFunc("GET "+PathDump, n.serveDump)
	mux.HandleFunc("GET "+PathExplain, n.serveExplain)
	mux.HandleFunc("GET "+PathReady, n.serveReady)
	mux.HandleFunc("DELETE "+PathQuarantine, n.serveClear)
	mux.Handle("GET "+PathMetrics, n.metrics.registry.Handler())
	return mux
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var announcement Announcement
	if err := decodeStrict(w, r, &announcement); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := n.executor.acceptAnnouncement(announcement); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// decodeStrict decodes exactly one JSON value without unknown fields, or returns ErrAnnouncement.
func decodeStrict(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.Wrapf(ErrAnnouncement, "%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrAnnouncement, "more than one JSON value")
	}
	return nil
}

func (n *Node) serveLeave(w http.ResponseWriter, _ *http.Request) {
	n.executor.drain()
	w.WriteHeader(http.StatusAccepted)
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		http.Error(w, "no configuration is in force, or the node is leaving", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveClear lifts the quarantine of the fingerprints given as query parameters; without any, of all fingerprints.
func (n *Node) serveClear(w http.ResponseWriter, r *http.Request) {
	var fingerprints []quarantine.Fingerprint
	for _, text := range r.URL.Query()["fingerprint"] {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != len(quarantine.Fingerprint{}) {
			http.Error(w, "fingerprint must have 32 hexadecimal digits", http.StatusBadRequest)
			return
		}
		fingerprints = append(fingerprints, quarantine.Fingerprint(raw))
	}
	report, changed := n.quarantine.Clear(time.Now(), fingerprints...)
	if changed {
		n.publishCrashReport(report)
	}
	w.WriteHeader(http.StatusNoContent)
}

// Dump is the state of a node for diagnosis, as PathDump returns it.
type Dump struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"version"`
	Digest      string `json:"digest,omitempty"`
	// InForceMs is the time in milliseconds for which the version has been in force.
	InForceMs int64              `json:"in_force_ms,omitempty"`
	Routes    int                `json:"routes"`
	Relay     relay.Status       `json:"relay"`
	Endpoints []endpoints.Record `json:"endpoints"`
	// Balancer shows the endpoints as this node's balancer sees them.
	Balancer   []balance.EndpointStatus `json:"balancer"`
	Upstream   UpstreamDump             `json:"upstream"`
	Quarantine []quarantine.Entry       `json:"quarantine,omitempty"`
	Quotas     []quota.HoldingStatus    `json:"quotas,omitempty"`
	Added      addedQuantiles           `json:"added_latency"`
	Violations map[invariant.Name]int64 `json:"violations"`
}

// UpstreamDump is the state of the upstream beside a node.
type UpstreamDump struct {
	State        string              `json:"state"`
	Announcement *Announcement       `json:"announcement,omitempty"`
	Load         protocol.LoadReport `json:"load"`
	// Paced is set while the start of the upstream is paced; Load has the slots that it may use.
	Paced bool `json:"paced,omitempty"`
	// SelfReport is what the upstream itself reports at its load path; it is shown for comparison only.
	SelfReport json.RawMessage `json:"self_report,omitempty"`
}

func (n *Node) serveDump(w http.ResponseWriter, r *http.Request) {
	dump := Dump{
		ID: n.id, Zone: n.options.Zone, Incarnation: n.incarnation, Version: n.Version(),
		Quarantine: n.quarantine.Entries(time.Now()), Added: n.metrics.quantiles(), Violations: invariant.Counts(),
		Upstream: n.executor.dump(r), Quotas: n.quotas.status(), Balancer: n.balancer.Status(time.Now()),
	}
	if current := n.snapshot.Load(); current != nil {
		dump.Digest = current.digest.String()
		dump.InForceMs = time.Since(current.since).Milliseconds()
		dump.Routes = current.routes.Len()
	}
	err := n.control.Query(r.Context(), func(time.Time) {
		dump.Relay = n.peer.Status()
		dump.Endpoints = n.peer.Table().All()
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(dump)
}

func (e *executor) dump(r *http.Request) UpstreamDump {
	e.mu.Lock()
	current := e.upstream
	dump := UpstreamDump{State: e.state.String(), Load: loadReport(e.queue.Load())}
	if current != nil {
		dump.Load.Speed, dump.Load.Slowdown = current.statedSpeed(time.Now())
		dump.Paced = current.pace.Active()
	}
	e.mu.Unlock()
	if current == nil {
		return dump
	}
	dump.Announcement = &current.announcement
	dump.SelfReport = current.selfReport(r.Context())
	return dump
}
