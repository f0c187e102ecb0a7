package node

import (
	"context"
	"time"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/logging"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

func (n *Node) newExecutor() *executor {
	e := &executor{
		id:          n.id,
		incarnation: n.incarnation,
		logger:      logging.Part(n.options.Logger, "executor"),
		quarantine:  n.quarantine,
		metrics:     n.metrics,

		healthInterval: n.options.Limits.HealthInterval,
		queue:          admission.New(admission.Config{Slots: 1}),
		waiting:        make(map[uint64]chan admission.Verdict),
		running:        make(map[uint64]*runningCall),
		ledger:         &ledgerClient{pool: n.ledgerPool, members: func() []string { return n.options.Members }},
		service: func(name string) (bundle.Service, bool) {
			current := n.snapshot.Load()
			if current == nil {
				return bundle.Service{}, false
			}
			service, ok := current.services[name]
			return service, ok
		},
		announce: func(record endpoints.Record) {
			record.Address = n.options.Advertise
			go n.control.Post(func(now time.Time) { n.peer.Announce(now, record) })
		},
		publish: n.publishReport,
	}
	e.ctx, e.stop = context.WithCancel(n.ctx)
	return e
}

// close ends background work without waiting for answers to be recorded.
func (e *executor) close() {
	e.stop()
	e.mu.Lock()
	if e.expiry != nil {
		e.expiry.Stop()
	}
	current := e.upstream
	e.mu.Unlock()
	e.background.Wait()
	if current != nil {
		current.client.Close()
	}
}

// handleOutput carries out the relay's outputs that concern this node. It runs on the control goroutine.
func (n *Node) handleOutput(now time.Time, output relay.Output) {
	switch output := output.(type) {
	case relay.Activate:
		n.activate(now, output)
	case relay.EndpointsChanged:
		n.endpointsChanged = true
	case relay.CrashesReceived:
		n.observeReports(now, output.Reports)
	}
}

// activate puts a bundle into force by one pointer swap, or leaves everything as it is.
func (n *Node) activate(now time.Time, output relay.Activate) {
	previous := n.snapshot.Load()
	next, err := newSnapshot(now, output.Approval, output.Bundle, previous)
	if err != nil {
		n.logger.Error().Err(err).Uint64("version", output.Approval.Version).Msg("refused a bundle")
		return
	}
	if previous != nil && !invariant.Check(next.version > previous.version, invariant.VersionRollback,
		"a proxy would move back", map[string]any{"from": previous.version, "to": next.version}) {
		return
	}
	n.snapshot.Store(next)
	n.endpointsChanged = true
	n.executor.reconfigure()
	n.peer.Activated(now, next.version)
	n.metrics.activations.Add(1)
	if n.options.OnApplied != nil {
		n.options.OnApplied(output.Approval, output.Bundle, time.Now())
	}
	n.logger.Info().Uint64("version", next.version).Str("digest", next.digest.Short()).Msg("bundle in force")
}

// seenEndpoint is the time since when an upstream serves, as far as this node knows.
type seenEndpoint struct {
	incarnation uint64
	state       endpoints.State
	since       time.Time
}

// refreshEndpoints hands the endpoint table to the balancer, once per batch of changes.
func (n *Node) refreshEndpoints(now time.Time) {
	current := n.snapshot.Load()
	if !n.endpointsChanged || current == nil {
		return
	}
	n.endpointsChanged = false
	records := n.peer.Table().All()
	table := make([]balance.Endpoint, 0, len(records))
	seen := make(map[string]seenEndpoint, len(records))
	for _, record := range records {
		if record.Service == "" {
			continue
		}
		seen[record.ID] = n.sight(now, record)
		table = append(table, balance.Endpoint{
			ID: record.ID, Incarnation: record.Incarnation, Zone: record.Zone, Service: record.Service,
			Address: record.Address, State: balanceStates[record.State], Slots: record.Slots,
			Since: seen[record.ID].since,
		})
	}
	n.firstSeen = seen
	n.balancer.Update(now, table, current.services)
}

func (n *Node) sight(now time.Time, record endpoints.Record) seenEndpoint {
	known, ok := n.firstSeen[record.ID]
	switch {
	case !ok && len(n.firstSeen) == 0:
		// What is there when this node starts has probably served for long.
		return seenEndpoint{incarnation: record.Incarnation, state: record.State}
	case ok && known.incarnation == record.Incarnation && (known.state != endpoints.Gone || record.State == known.state):
		known.state = record.State
		return known
	default:
		return seenEndpoint{incarnation: record.Incarnation, state: record.State, since: now}
	}
}

var balanceStates = map[endpoints.State]balance.State{
	endpoints.Serving:  balance.Serving,
	endpoints.Draining: balance.Draining,
	endpoints.Gone:     balance.Gone,
	endpoints.Suspect:  balance.Suspect,
}

// publishReport spreads a crash report or clearance through the tree.
func (n *Node) publishReport(report quarantine.Report) {
	encoded, err := protocol.EncodeCrashReport(report)
	if err != nil {
		n.logger.Error().Err(err).Msg("cannot encode a crash report")
		return
	}
	n.control.Post(func(now time.Time) { n.peer.PublishCrash(now, []relay.CrashReport{encoded}) })
}

func (n *Node) observeReports(now time.Time, reports []relay.CrashReport) {
	for _, encoded := range reports {
		report, err := protocol.DecodeCrashReport(encoded)
		if err != nil {
			n.logger.Warn().Err(err).Msg("dropped a malformed crash report")
			continue
		}
		n.quarantine.Observe(now, report)
	}
}

// KnownUpstreams returns the number of serving upstreams in the endpoint table.
func (n *Node) KnownUpstreams() int {
	count := 0
	_ = n.control.Query(n.ctx, func(time.Time) {
		for _, record := range n.peer.Table().All() {
			if record.Service != "" && record.State == endpoints.Serving {
				count++
			}
		}
	})
	return count
}
