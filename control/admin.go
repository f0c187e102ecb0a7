package control

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// Paths on the administration address, beside those of the operator API.
const (
	PathDump    = "/debug/dump"
	PathMetrics = "/metrics"
)

func (m *Member) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathDump, m.serveDump)
	mux.Handle("GET "+PathMetrics, m.metrics.registry.Handler())
	mux.Handle("/v1/", operator.NewHandler(operatorBackend{member: m}))
	return mux
}

// Dump is the state of a control member, as PathDump serves it.
type Dump struct {
	ID             string                   `json:"id"`
	Instance       string                   `json:"instance"`
	Zone           string                   `json:"zone"`
	Groups         []GroupDump              `json:"groups"`
	ConfirmedAgeMs int64                    `json:"confirmed_age_ms"`
	Latest         *bundle.Approval         `json:"latest,omitempty"`
	Stopped        bool                     `json:"stopped,omitempty"`
	Staged         []registry.Staged        `json:"staged,omitempty"`
	LedgerKeys     int                      `json:"ledger_keys"`
	Relay          relay.Status             `json:"relay"`
	Endpoints      []endpoints.Record       `json:"endpoints,omitempty"`
	Quarantine     []quarantine.Entry       `json:"quarantine,omitempty"`
	Quotas         quota.OwnerStatus        `json:"quotas,omitzero"`
	Violations     map[invariant.Name]int64 `json:"violations"`
}

// GroupDump is the state of one Raft group; group 0 is that of the registry.
type GroupDump struct {
	Group     uint32      `json:"group"`
	Formed    bool        `json:"formed"`
	Raft      raft.Status `json:"raft"`
	Proposals int         `json:"open_proposals"`
}

func (m *Member) dump(ctx context.Context) (Dump, error) {
	dump := Dump{
		ID: m.ID(), Instance: m.options.Instance, Zone: m.options.Zone,
		ConfirmedAgeMs: operator.AgeUnknown, Violations: invariant.Counts(),
	}
	select {
	case <-m.ready:
	default:
		// The group is still being formed; there is no state yet.
		return dump, nil
	}
	err := m.host.Query(ctx, func(now time.Time) {
		for _, r := range m.replicas {
			dump.Groups = append(dump.Groups, GroupDump{
				Group: r.group, Formed: m.isFormed(r.group), Raft: r.raft.Status(), Proposals: len(r.proposals),
			})
		}
		if age, ok := m.replicas[registryGroup].raft.ConfirmedAge(now); ok {
			dump.ConfirmedAgeMs = age.Milliseconds()
		}
		state := m.registryState.registry.State()
		dump.Latest, dump.Stopped = state.Latest, state.Stopped
		dump.Staged = m.registryState.registry.Staged()
		for _, l := range m.ledgerStates {
			dump.LedgerKeys += l.ledger.Len()
		}
		dump.Relay = m.peer.Status()
		dump.Endpoints = m.peer.Table().All()
		dump.Quarantine = m.quarantine.Entries(now)
		dump.Quotas = m.quotas.status(now)
	})
	return dump, err
}

func (m *Member) serveDump(w http.ResponseWriter, r *http.Request) {
	dump, err := m.dump(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(dump)
}

// observeReports adds crash reports of nodes to the quarantine list.
func (m *Member) observeReports(now time.Time, reports []relay.CrashReport) {
	for _, encoded := range reports {
		report, err := protocol.DecodeCrashReport(encoded)
		if err != nil {
			m.logger.Warn().Err(err).Msg("dropped a malformed crash report")
			continue
		}
		m.quarantine.Observe(now, report)
	}
}

// publishReport sends a change of the quarantine list through the distribution tree.
func (m *Member) publishReport(report quarantine.Report) {
	encoded, err := protocol.EncodeCrashReport(report)
	if err != nil {
		m.logger.Error().Err(err).Msg("cannot encode the change of the quarantine list")
		return
	}
	m.host.Post(func(now time.Time) { m.peer.PublishCrashes(now, []relay.CrashReport{encoded}) })
}
