package node

import (
	"context"
	"maps"
	"slices"
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
		requestLog:  newRequestLog(logging.Part(n.options.Logger, "executor"), n.metrics.linesDropped),

		configuredService: n.options.Service,
		dialect:           &n.options.Dialect,

		healthInterval: n.options.Limits.HealthInterval,
		drainWithin:    n.options.Limits.DrainWithin,
		downloads:      newDownloads(n.options.Limits.LinkMegabits),
		queue:          admission.New(admission.Config{Slots: 1}),
		waiters:        make(map[uint64]chan admission.Verdict),
		active:         make(map[uint64]*activeCall),
		deregistered:   make(map[string]int64),
		verify:         make(chan struct{}, 1),
		ledger:         &ledgerClient{pool: n.ledgerPool, members: n.members.addresses},
		service: func(name string) (bundle.Service, bool) {
			current := n.snapshot.Load()
			if current == nil {
				return bundle.Service{}, false
			}
			service, ok := current.services[name]
			return service, ok
		},
		routeServiceTime: n.balancer.RouteServiceTime,
		announce: func(record endpoints.Record) {
			record.Address = n.options.Advertise
			go n.control.Post(func(now time.Time) { n.peer.Announce(now, record) })
		},
		publish: n.publishCrashReport,
	}
	e.ctx, e.stop = context.WithCancel(n.ctx)
	e.requestsContext = n.requestsContext
	return e
}

// close cancels background work, including responses that are not recorded yet, and waits for it to end.
func (e *executor) close() {
	e.stop()
	e.mu.Lock()
	if e.expiryTimer != nil {
		e.expiryTimer.Stop()
	}
	current := e.upstream
	e.mu.Unlock()
	e.background.close()
	if current != nil {
		current.client.Close()
	}
}

// handleOutput handles the relay's outputs that concern the node itself. It runs on the control goroutine.
func (n *Node) handleOutput(now time.Time, output relay.Output) {
	switch output := output.(type) {
	case relay.Activate:
		n.activate(now, output)
	case relay.Refused:
		n.logger.Error().Uint64("version", output.Version).Str("reason", output.Reason).Msg("refused a bundle")
	case relay.EndpointsChanged:
		for _, id := range output.IDs {
			n.changedIDs[id] = true
		}
	case relay.MembersChanged:
		n.members.learn(output.Members)
	case relay.ParentChanged:
		n.logParent(output)
	case relay.UpstreamLeaving:
		n.executor.recallLeaving(output.Upstream)
	case relay.RolloutsChanged:
		n.observeRollouts(output.Rollouts)
	case relay.CrashesReceived:
		n.observeCrashReports(now, output.Reports)
	}
}

// logParent logs which process this node gets its configuration from, and how recent that is.
func (n *Node) logParent(changed relay.ParentChanged) {
	event := n.logger.Info().Str("former", changed.Former)
	if changed.Confirmed {
		event = event.Uint64("confirmed_version", changed.Version).Int64("confirmed_ms_ago", changed.Age.Milliseconds())
	}
	if current := n.snapshot.Load(); current != nil {
		event = event.Uint64("version", current.version)
	}
	if changed.Parent == "" {
		event.Msg("lost its parent")
		return
	}
	event.Str("parent", changed.Parent).Str("zone", changed.Zone).Msg("follows a parent")
}

// activate puts a bundle into force by one pointer swap. On an error the previous snapshot stays in force.
func (n *Node) activate(now time.Time, output relay.Activate) {
	previous := n.snapshot.Load()
	next, err := newSnapshot(now, output.Approval, output.Bundle, previous, n.fleet)
	if err != nil {
		n.logger.Error().Err(err).Uint64("version", output.Approval.Version).Msg("refused a bundle")
		return
	}
	if previous != nil && !invariant.Check(next.version > previous.version, invariant.VersionRollback,
		"the activated version is not newer", map[string]any{"from": previous.version, "to": next.version}) {
		return
	}
	n.snapshot.Store(next)
	n.refreshAll = true
	n.quotas.setTeams(output.Bundle.Teams)
	n.executor.reconfigure()
	n.peer.Activated(now, next.version)
	n.metrics.activations.Inc()
	if n.options.OnApplied != nil {
		n.options.OnApplied(output.Approval, output.Bundle, time.Now())
	}
	event := n.logger.Info()
	if previous != nil && previous.access.NeedsKey() && !next.access.NeedsKey() {
		event = n.logger.Warn().Str("former_access", string(previous.access))
	}
	event.Uint64("version", next.version).Str("digest", next.digest.Short()).Str("access", string(next.access)).Msg("bundle in force")
}

// knownEndpoint is what the balancer was last told of an endpoint.
type knownEndpoint struct {
	incarnation uint64
	service     string
	address     string
	state       endpoints.State
	// since is the time at which this node first saw the upstream in service; zero if it was before this node's start.
	since time.Time
}

// maxPartialServices is the highest number of changed services for which only their endpoints are passed to the
// balancer; beyond it the whole table is. Each service costs a search of the table.
const maxPartialServices = 16

// refreshEndpoints passes changed endpoints to the balancer, once per batch of changes. A change costs the endpoints of
// its service and one search of the table; passing the whole table at each change would exceed the CPU limit of a node
// at 16,000 endpoints.
func (n *Node) refreshEndpoints(now time.Time) {
	current := n.snapshot.Load()
	if current == nil || !n.refreshAll && len(n.changedIDs) == 0 {
		return
	}
	services := n.changedServices()
	clear(n.changedIDs)
	if n.refreshAll || len(services) > maxPartialServices {
		n.refreshAll = false
		n.balancer.Update(now, n.balancerEndpoints(now, n.peer.Table().All()), current.services)
		n.setNodes(len(n.knownEndpoints))
		return
	}
	var records []endpoints.Record
	for _, service := range services {
		records = append(records, n.peer.Table().OfService(service)...)
	}
	n.balancer.UpdateServices(now, services, n.balancerEndpoints(now, records), current.services)
	n.setNodes(len(n.knownEndpoints))
}

// setNodes tells the parts that divide something among the nodes how many there are.
func (n *Node) setNodes(count int) {
	n.fleet.SetNodes(count)
	n.quotas.setNodes(count)
}

// changedServices lists the services to which changed records belong or belonged before. It deletes records that are no
// longer in the table from knownEndpoints and closes the connections to their instances.
func (n *Node) changedServices() []string {
	changed := make(map[string]bool)
	for id := range n.changedIDs {
		if known, ok := n.knownEndpoints[id]; ok {
			changed[known.service] = true
		}
		record, ok := n.peer.Table().Get(id)
		if !ok {
			n.calls.Forget(n.knownEndpoints[id].address)
			delete(n.knownEndpoints, id)
			continue
		}
		changed[record.Service] = true
	}
	delete(changed, "")
	return slices.Sorted(maps.Keys(changed))
}

// balancerEndpoints converts records for the balancer and keeps them in knownEndpoints.
func (n *Node) balancerEndpoints(now time.Time, records []endpoints.Record) []balance.Endpoint {
	firstTable := len(n.knownEndpoints) == 0
	table := make([]balance.Endpoint, 0, len(records))
	for _, record := range records {
		if record.Service == "" {
			continue
		}
		known := n.observeEndpoint(now, record, firstTable)
		n.knownEndpoints[record.ID] = known
		table = append(table, balance.Endpoint{
			ID: record.ID, Incarnation: record.Incarnation, Zone: record.Zone, Service: record.Service,
			Address: record.Address, State: balanceStates[record.State], Slots: record.Slots, Release: record.Release,
			ServingSince: slowStartSince(record, known),
		})
	}
	return table
}

// slowStartSince returns the time at which the slow start of an endpoint begins; zero if it needs none.
func slowStartSince(record endpoints.Record, known knownEndpoint) time.Time {
	if record.Paced {
		return time.Time{}
	}
	return known.since
}

// observeEndpoint determines the time since which an upstream serves. Upstreams in the first table that this node gets
// have a zero time: they have probably served for long. The connection to the former process of a restarted instance is
// closed.
func (n *Node) observeEndpoint(now time.Time, record endpoints.Record, firstTable bool) knownEndpoint {
	known, ok := n.knownEndpoints[record.ID]
	observed := knownEndpoint{
		incarnation: record.Incarnation, service: record.Service, address: record.Address, state: record.State, since: now,
	}
	if ok && known.incarnation != record.Incarnation {
		// The connection to the former process may stay open without traffic, as after a loss of power.
		n.calls.Forget(known.address)
	}
	servesAgain := known.state == endpoints.Gone && record.State != endpoints.Gone
	switch {
	case firstTable:
		observed.since = time.Time{}
	case ok && known.incarnation == record.Incarnation && !servesAgain:
		observed.since = known.since
	}
	return observed
}

var balanceStates = map[endpoints.State]balance.State{
	endpoints.Serving:  balance.Serving,
	endpoints.Draining: balance.Draining,
	endpoints.Gone:     balance.Gone,
	endpoints.Suspect:  balance.Suspect,
}

// publishCrashReport distributes a crash report or clearance through the distribution tree.
func (n *Node) publishCrashReport(report quarantine.Report) {
	encoded, err := protocol.EncodeCrashReport(report)
	if err != nil {
		n.logger.Error().Err(err).Msg("cannot encode a crash report")
		return
	}
	n.control.Post(func(now time.Time) { n.peer.PublishCrashes(now, []relay.CrashReport{encoded}) })
}

func (n *Node) observeCrashReports(now time.Time, reports []relay.CrashReport) {
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
