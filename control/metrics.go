package control

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/internal/telemetry"
	"sapphiregate.example/sapphiregate/protocol"
)

// scrapeTimeout bounds the wait for the control goroutine when metrics are read. Scrapers usually time out after 10 s.
const scrapeTimeout = 5 * time.Second

// metrics are the counters and histograms of one member; docs/observability.md describes each.
type metrics struct {
	registry         *telemetry.Registry
	proposalTime     *prometheus.HistogramVec
	readTime         prometheus.Histogram
	rolloutDecisions *prometheus.CounterVec
}

// proposalResults are the values of the label "result".
var proposalResults = map[protocol.ProposeStatus]string{
	protocol.ProposeApplied: "applied", protocol.ProposeNotLeader: "not-leader",
	protocol.ProposeUncertain: "uncertain", protocol.ProposeRefused: "refused",
	protocol.ProposeForming: "forming",
}

func newMetrics(m *Member) *metrics {
	r := telemetry.NewRegistry()
	r.MustRegister(stateCollector{member: m})
	return &metrics{
		registry: r,
		proposalTime: r.Latencies("proposal_seconds",
			"Time from a proposal at the leader to its result, by result.", "result"),
		readTime: r.Latency("read_seconds", "Time of a confirmed read of the latest bundle or of a rollout."),
		rolloutDecisions: r.Counters("rollout_decisions_total",
			"Decisions about rollouts of releases that this member proposed, by the state that follows.", "state"),
	}
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(telemetry.Namespace+"_"+name, help, labels, nil)
}

var (
	termDesc       = desc("log_term", "Term of a replicated log.", "group")
	commitDesc     = desc("log_commit_index", "Last index that is known to be committed.", "group")
	appliedDesc    = desc("log_applied_index", "Last index that is applied.", "group")
	leaderDesc     = desc("log_leader", "1 on the leader of a log, otherwise 0.", "group")
	quorumLostDesc = desc("log_quorum_lost", "1 on a member that was a leader and lost its quorum.", "group")
	proposalsDesc  = desc("log_open_proposals", "Proposals that wait for their result.", "group")
	confirmedDesc  = desc("confirmed_age_seconds",
		"Time since a quorum confirmed the member's state; -1 if that never happened.")
	ledgerKeysDesc = desc("ledger_keys", "Keys of irreversible calls that are held.")
	placementDesc  = desc("placement_shortfall",
		"Voters that a tolerated loss may take beyond a minority, as the leader knows the group; 0 elsewhere.")
	followersDesc = desc("direct_followers", "Nodes and members that follow this member directly.")
	joinsDesc     = desc("relay_joins_total", "Requests to follow this member, by its answer.", "answer")
	partsDesc     = desc("relay_parts_total", "Bundle transfers.", "direction")
)

// stateCollector reads the metrics of the member's state at each scrape.
type stateCollector struct {
	member *Member
}

// Describe implements prometheus.Collector.
func (stateCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		termDesc, commitDesc, appliedDesc, leaderDesc, quorumLostDesc, proposalsDesc, confirmedDesc, ledgerKeysDesc,
		placementDesc, followersDesc, joinsDesc, partsDesc,
	} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c stateCollector) Collect(metrics chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	dump, err := c.member.dump(ctx)
	if err != nil {
		metrics <- prometheus.NewInvalidMetric(confirmedDesc, err)
		return
	}
	send := func(d *prometheus.Desc, kind prometheus.ValueType, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, kind, value, labels...)
	}
	for _, g := range dump.Groups {
		group := strconv.FormatUint(uint64(g.Group), 10)
		send(termDesc, prometheus.GaugeValue, float64(g.Raft.Term), group)
		send(commitDesc, prometheus.GaugeValue, float64(g.Raft.Commit), group)
		send(appliedDesc, prometheus.GaugeValue, float64(g.Raft.Applied), group)
		send(leaderDesc, prometheus.GaugeValue, boolValue(g.Raft.Role == raft.RoleLeader), group)
		send(quorumLostDesc, prometheus.GaugeValue, boolValue(g.Raft.QuorumLost), group)
		send(proposalsDesc, prometheus.GaugeValue, float64(g.Proposals), group)
		if g.Group == registryGroup {
			send(placementDesc, prometheus.GaugeValue, float64(c.member.membershipPolicy().Shortfall(g.Raft)))
		}
	}
	age := -1.0
	if dump.ConfirmedAgeMs >= 0 {
		age = (time.Duration(dump.ConfirmedAgeMs) * time.Millisecond).Seconds()
	}
	send(confirmedDesc, prometheus.GaugeValue, age)
	send(ledgerKeysDesc, prometheus.GaugeValue, float64(dump.LedgerKeys))
	send(followersDesc, prometheus.GaugeValue, float64(len(dump.Relay.Children)))
	stats := dump.Relay.Stats
	send(joinsDesc, prometheus.CounterValue, float64(stats.JoinsAccepted), "accepted")
	send(joinsDesc, prometheus.CounterValue, float64(stats.JoinsRedirected), "redirected")
	send(joinsDesc, prometheus.CounterValue, float64(stats.JoinsDelayed), "delayed")
	send(partsDesc, prometheus.CounterValue, float64(stats.PartsSent), "sent")
	send(partsDesc, prometheus.CounterValue, float64(stats.PartsReceived), "received")
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
