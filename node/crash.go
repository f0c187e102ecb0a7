package node

import (
	"context"
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/quarantine"
)

// crashCheck finds out after a broken connection whether the upstream crashed or only that exchange failed.
type crashCheck struct {
	done    chan struct{}
	crashed bool
}

// awaitCrashCheck reports whether the upstream crashed. All calls in flight share one check and wait for it, so that
// none is sent again before the suspects are known. It returns true if the context ends first.
func (e *executor) awaitCrashCheck(ctx context.Context, slot *grantedSlot) bool {
	check := e.startCrashCheck(slot)
	if check == nil {
		return false
	}
	select {
	case <-check.done:
		return check.crashed
	case <-ctx.Done():
		return true
	}
}

// startCrashCheck starts a check, or returns the one that runs. If the upstream has crashed, the requests that are in
// flight now become suspects. It returns nil if another announcement has replaced the upstream, or during a stop.
func (e *executor) startCrashCheck(slot *grantedSlot) *crashCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream != slot.upstream || e.state == upstreamAbsent {
		return nil
	}
	if e.crashCheck != nil {
		return e.crashCheck
	}
	check := &crashCheck{done: make(chan struct{})}
	e.crashCheck = check
	suspects, exclusive := e.suspects()
	if !e.background.start(func() { e.runCrashCheck(check, slot.upstream, suspects, exclusive) }) {
		e.crashCheck = nil
		return nil
	}
	return check
}

// suspects returns the fingerprints of the requests that hold a slot, and whether there is only one and it runs
// exclusively. The caller holds e.mu.
func (e *executor) suspects() ([]quarantine.Fingerprint, bool) {
	var fingerprints []quarantine.Fingerprint
	exclusive := false
	for _, call := range e.active {
		if call.started.IsZero() {
			continue
		}
		fingerprints = append(fingerprints, call.fingerprint)
		exclusive = call.exclusive
	}
	return fingerprints, exclusive && len(fingerprints) == 1
}

// runCrashCheck probes the upstream and completes the check.
func (e *executor) runCrashCheck(
	check *crashCheck, probed *upstream, suspects []quarantine.Fingerprint, exclusive bool,
) {
	accepting := probed.acceptsConnections(e.ctx)
	if !accepting && e.ctx.Err() == nil {
		check.crashed = true
		e.markUpstreamDown(probed, suspects, exclusive)
	}
	e.mu.Lock()
	e.crashCheck = nil
	e.mu.Unlock()
	close(check.done)
}

// markUpstreamDown publishes the suspects of a crash and takes the upstream out of service; monitorUpstream puts it
// back once it accepts connections.
func (e *executor) markUpstreamDown(failed *upstream, suspects []quarantine.Fingerprint, exclusive bool) {
	if len(suspects) > 0 {
		e.publish(e.quarantine.Crashed(time.Now(), suspects, exclusive))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream != failed || e.state != upstreamServing {
		return
	}
	e.metrics.upstreamCrashes.Inc()
	e.logger.Warn().Str("address", failed.announcement.Address).Int("in_flight", len(suspects)).
		Msg("upstream refuses connections; it gets no calls until it accepts them again")
	e.state = upstreamDown
	e.announceState(endpoints.Gone)
}

// monitorUpstream probes the upstream until the executor stops. It detects a crash while there are no calls, and
// detects when a crashed upstream accepts connections again.
func (e *executor) monitorUpstream() {
	failures := 0
	var acceptingSince time.Time
	for e.ctx.Err() == nil {
		e.mu.Lock()
		current, state := e.upstream, e.state
		e.mu.Unlock()
		switch state {
		case upstreamServing:
			if e.healthInterval < 0 {
				sleep(e.ctx, defaultHealthInterval)
				continue
			}
			failures = e.checkServing(current, failures)
			sleep(e.ctx, e.healthInterval)
		case upstreamDown, upstreamUnverified:
			failures = 0
			acceptingSince = e.checkDown(current, acceptingSince)
			e.awaitProbe()
		default:
			failures = 0
			e.awaitProbe()
		}
	}
}

// awaitProbe waits for probeInterval, or until there is an upstream to verify.
func (e *executor) awaitProbe() {
	select {
	case <-e.verify:
	case <-time.After(probeInterval):
	case <-e.ctx.Done():
	}
}

// checkServing probes a serving upstream and returns the number of consecutive failed probes.
func (e *executor) checkServing(current *upstream, failures int) int {
	if current.acceptsConnections(e.ctx) {
		return 0
	}
	if failures++; failures >= probeFailureThreshold {
		e.mu.Lock()
		suspects, exclusive := e.suspects()
		e.mu.Unlock()
		e.markUpstreamDown(current, suspects, exclusive)
		return 0
	}
	return failures
}

// checkDown puts an upstream that is down or unverified into service once it accepts connections and reports itself
// healthy, or may be used although its health check fails. One that says that it leaves is drained. It returns the time
// since which the upstream accepts connections; zero if it does not, or is in service.
func (e *executor) checkDown(current *upstream, acceptingSince time.Time) time.Time {
	path, known := e.checkedHealthPath(current)
	if !known && !acceptingSince.IsZero() && !e.mayServeUnhealthy(current, acceptingSince) {
		// Until a configuration names the health path, another connection would show nothing new.
		return acceptingSince
	}
	if !current.acceptsConnections(e.ctx) {
		return time.Time{}
	}
	if acceptingSince.IsZero() {
		acceptingSince = time.Now()
	}
	healthy, leaving := current.checkHealth(e.ctx, path, e.dialect)
	if (!known || !healthy) && !leaving && !e.mayServeUnhealthy(current, acceptingSince) {
		return acceptingSince
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream != current || e.state != upstreamDown && e.state != upstreamUnverified {
		return time.Time{}
	}
	if leaving {
		e.noteLeaving("health check")
		return time.Time{}
	}
	message := "upstream accepts connections again"
	if e.state == upstreamUnverified {
		message = "upstream announced itself"
	}
	e.logger.Info().Str("service", current.announcement.Service).Str("address", current.announcement.Address).
		Int("slots", current.announcement.Slots).Msg(message)
	if e.state == upstreamDown {
		e.paceRecovery()
	}
	e.state = upstreamServing
	e.announceState(endpoints.Serving)
	return time.Time{}
}

// mayServeUnhealthy reports whether an upstream whose health check fails gets calls all the same: it has accepted
// connections for maxUnhealthyTime, and if it is unverified, it has sent heartbeats for as long.
func (e *executor) mayServeUnhealthy(current *upstream, acceptingSince time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(acceptingSince) >= maxUnhealthyTime &&
		(e.state != upstreamUnverified || current.heartbeats.sustained())
}

// checkedHealthPath returns the path of the health check that an upstream must pass before it is put into service; empty
// if there is none. It is not known while an unverified upstream announces no path and there is no configuration.
func (e *executor) checkedHealthPath(current *upstream) (path string, known bool) {
	e.mu.Lock()
	unverified := e.state == upstreamUnverified
	e.mu.Unlock()
	if current.announcement.HealthPath != "" || !unverified {
		return current.announcement.HealthPath, true
	}
	service, known := e.service(current.announcement.Service)
	return service.HealthPath, known
}

// announceState publishes the upstream's endpoint record with the given state. The caller holds e.mu.
func (e *executor) announceState(state endpoints.State) {
	announcement := e.upstream.announcement
	record := endpoints.Record{Service: announcement.Service, State: state, Slots: announcement.Slots,
		Release: announcement.Release, Paced: e.isPaced()}
	if e.hasDeregistered(announcement) {
		record.Leaving = &endpoints.UpstreamProcess{ID: announcement.ID, Incarnation: announcement.Incarnation}
	}
	e.announce(record)
}
