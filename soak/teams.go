package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// The teams of a seed with teams. Each version adds a key to teamRotating and removes the one that was added keyLifetime
// versions before; teamLimited has a quota and sends several times as much.
const (
	teamRotating = "rotating"
	teamLimited  = "limited"
	limitedKey   = keyPrefix + "limited"
	// keyPrefix begins all keys, so that an upstream notices one wherever it is.
	keyPrefix = "soak-secret-"
	// keyLifetime exceeds the number of versions in applyWithin and coreExtension.
	keyLifetime = 12
)

// Objectives of the nodes; see docs/soak.md.
const (
	revokeWithin   = 5 * time.Second
	quotaWindow    = 5 * time.Second
	quotaRate      = 40
	quotaBurst     = 20
	quotaOvershoot = 0.1
	quotaAllowance = 20
	// quotaBound is the number of requests that may run in any quotaWindow.
	quotaBound = (quotaRate*5+quotaBurst)*(1+quotaOvershoot) + quotaAllowance
	// limitedInterval is the pause between two requests of teamLimited on a deployment of one node: it sends up to four
	// times its quota.
	limitedInterval = 6 * time.Millisecond
)

// firstRelease is the release of all upstreams at first.
const firstRelease = "r0"

const (
	headerKey = "Authorization"
	// headerTeam is the header in which nodes with the settings of a platform name the team to the upstream.
	headerTeam = "Tenant"
	// headerSignature is set by upstreams on a platform in each response.
	headerSignature = "Response-Signature"
	// heartbeatInterval is the pause between two heartbeats of an upstream.
	heartbeatInterval = 300 * time.Millisecond
)

// objectives are those of the processes of a seed of the core.
func objectives() map[string]any {
	return map[string]any{
		"apply_within": applyWithin.String(), "revoke_within": revokeWithin.String(), "quota_window": quotaWindow.String(),
		"quota_overshoot": quotaOvershoot, "quota_allowance": quotaAllowance, "rollback_within": rollbackWithin.String(),
	}
}

// announce sends heartbeats of the upstream to its node until it is closed.
func (u *upstream) announce(node *process) {
	client := &http.Client{Timeout: time.Second, Transport: new(http.Transport)}
	defer client.CloseIdleConnections()
	post := func(id, action string, body []byte) {
		response, err := client.Post("http://"+node.announcements+"/v1/instances/"+id+"/"+action, "application/json", bytes.NewReader(body))
		if err == nil { // Otherwise the node is down.
			response.Body.Close()
		}
	}
	announced := u.instance.Load()
	for sequence := 1; ; sequence++ {
		select {
		case <-u.closed:
			return
		case <-time.After(heartbeatInterval):
		}
		current := u.instance.Load()
		if current != announced {
			post(announced.id, "deregister", nil)
			announced = current
		}
		heartbeat, _ := json.Marshal(map[string]any{ // It holds nothing that cannot be encoded.
			"Service": service, "Address": u.address(), "Zone": node.settings["zone"], "Version": current.release,
			"Slots": plannedSlots, "State": "ready", "ColdLeft": "0ms", "Seq": sequence, "born": current.started,
		})
		post(current.id, "heartbeat", heartbeat)
	}
}

// rotatingKey is the key that a version adds to teamRotating.
func rotatingKey(version uint64) string { return fmt.Sprintf("%s%d", keyPrefix, version) }

// soakTeams returns the teams of a version.
func soakTeams(version uint64) []bundle.Team {
	rotating := bundle.Team{Name: teamRotating}
	for added := max(1, version-min(version, keyLifetime)+1); added <= version; added++ {
		rotating.Keys = append(rotating.Keys, rotatingKey(added))
	}
	return []bundle.Team{
		{Name: teamLimited, Keys: []string{limitedKey}, RequestsPerSecond: quotaRate, Burst: quotaBurst}, rotating,
	}
}

// teamAttempt is the attempt of a request of a team; it tells the upstream which team to expect.
func teamAttempt(team, node string, n int) string { return fmt.Sprintf("t-%s-%s-%d", team, node, n) }

// checkTeam checks the header of a request that has reached an upstream: it names the team of the caller's key, and holds
// no key.
func (r *recorder) checkTeam(attempt string, header http.Header) {
	for name, values := range header {
		if strings.Contains(strings.Join(values, " "), keyPrefix) {
			r.reportViolation("request %s reached its upstream with a key in %s", attempt, name)
		}
	}
	rest, sent := strings.CutPrefix(attempt, "t-")
	if team, _, _ := strings.Cut(rest, "-"); sent && !slices.Equal(header[headerTeam], []string{team}) {
		r.reportViolation("request %s reached its upstream as one of team %q", attempt, header[headerTeam])
	}
}

// sendAsTeam sends a request with a key, and with the name of another team, to a node. It returns the status of the
// response, or 0 if there is none.
func (r *seedRun) sendAsTeam(ctx context.Context, client *http.Client, node *process, key, attempt string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.callerAddress+"/lookup", strings.NewReader(attempt))
	if err != nil {
		r.recorder.reportViolation("request %s cannot be made: %v", attempt, err)
		return 0
	}
	request.Header.Set(headerKey, "Bearer "+key)
	request.Header.Set(headerTeam, "forged")
	request.Header.Set(headerAttempt, attempt)
	request.Header.Set(headerServiceTime, serviceTime.String())
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	switch response.StatusCode { // On a platform, responses name no outcome.
	case http.StatusOK:
		response.Header.Set(headerOutcome, outcomeDone)
	case http.StatusUnauthorized, http.StatusTooManyRequests:
		response.Header.Set(headerOutcome, outcomeNotRun)
	}
	r.recorder.responseReceived(attempt, response, body)
	return response.StatusCode
}

// acknowledgesSteadily reports whether the group acknowledged a version in each half of applyWithin, three times in a row: it
// shows that nodes in touch have heard of a quorum within the last applyWithin.
func (r *seedRun) acknowledgesSteadily(now time.Time) bool {
	const step = applyWithin / 2
	for age := time.Duration(0); age <= applyWithin; age += step {
		if latest, _ := r.latestAcknowledged(now.Add(-age)); now.Sub(latest.at) > age+step {
			return false
		}
	}
	return true
}

// probeKeys sends requests with added and removed keys to a node, on a connection that stays open, until the context ends.
func (r *seedRun) probeKeys(ctx context.Context, node *process) {
	client := &http.Client{Timeout: probeTimeout, Transport: new(http.Transport)}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		for _, allowed := range []time.Duration{applyWithin, applyWithin + coreExtension} {
			sent := time.Now()
			added, ok := r.latestAcknowledged(sent.Add(-allowed))
			if !ok {
				break
			}
			status := r.sendAsTeam(ctx, client, node, rotatingKey(added.version), teamAttempt(teamRotating, node.name, n))
			removed := r.newest.Load() >= added.version+keyLifetime
			if status == http.StatusUnauthorized && !removed {
				r.recorder.versionMissing(lateVersion{
					node: node.name, added: added, sent: sent, promise: applyWithin, effect: "did not know the key",
				})
			}
			n++
		}
		for _, allowed := range []time.Duration{revokeWithin, revokeWithin + coreExtension} {
			sent := time.Now()
			remover, ok := r.latestAcknowledged(sent.Add(-allowed))
			if !ok || remover.version <= keyLifetime {
				break
			}
			key := rotatingKey(remover.version - keyLifetime)
			status := r.sendAsTeam(ctx, client, node, key, teamAttempt(teamRotating, node.name, n))
			// A node that has not heard of a quorum for applyWithin cannot judge a key, and refuses it as not run.
			cannotJudge := status == http.StatusServiceUnavailable && !r.acknowledgesSteadily(sent)
			if status != 0 && status != http.StatusUnauthorized && !cannotJudge {
				r.recorder.versionMissing(lateVersion{
					node: node.name, added: remover, sent: sent, promise: revokeWithin,
					unlessDisturbed: status == http.StatusServiceUnavailable,
					effect:          fmt.Sprintf("answered %d to the removed key", status),
				})
			}
			n++
		}
		sleep(ctx, probeInterval)
	}
}

// wrongKeys describes the first node that does not serve the newest key or does not refuse the latest one that was
// removed; it returns an empty string if there is none.
func (r *seedRun) wrongKeys(ctx context.Context) string {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, node := range r.deployment.nodes {
		r.finalProbes += 2
		attempt := teamAttempt(teamRotating, node.name, -r.finalProbes)
		if status := r.sendAsTeam(ctx, client, node, rotatingKey(r.approved), attempt); status != http.StatusOK {
			return fmt.Sprintf("%s answers %d to the newest key", node.name, status)
		}
		removed := r.approved - min(r.approved, keyLifetime)
		if removed == 0 {
			continue
		}
		attempt = teamAttempt(teamRotating, node.name, -r.finalProbes-1)
		if status := r.sendAsTeam(ctx, client, node, rotatingKey(removed), attempt); status != http.StatusUnauthorized {
			return fmt.Sprintf("%s answers %d to a removed key", node.name, status)
		}
	}
	return ""
}

// removeAllTeams puts a version into force that needs keys and has no team, and checks that no node admits anybody then.
func (r *seedRun) removeAllTeams(ctx context.Context) {
	r.withoutTeams = true
	if !r.await(ctx, recoveryTimeout, func() bool { return r.approveNext(ctx) && r.allInForce(r.approved) }) {
		r.recorder.reportViolation("a version without teams was not in force on all nodes within %v (%s)", recoveryTimeout, r.describeVersions())
		return
	}
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, node := range r.deployment.nodes {
		for n, key := range []string{limitedKey, rotatingKey(r.approved - 1), keyPrefix + "unheard-of"} {
			attempt := teamAttempt("removed", node.name, n)
			if status := r.sendAsTeam(ctx, client, node, key, attempt); status != http.StatusUnauthorized {
				r.recorder.reportViolation("%s answers %d to a key although the version in force has no team", node.name, status)
			}
		}
	}
}

// exceedQuota sends the requests of teamLimited to a node until the context ends.
func (r *seedRun) exceedQuota(ctx context.Context, node *process) {
	client := &http.Client{Timeout: probeTimeout, Transport: new(http.Transport)}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r.sendAsTeam(ctx, client, node, limitedKey, teamAttempt(teamLimited, node.name, n))
		sleep(ctx, limitedInterval*time.Duration(len(r.deployment.nodes)))
	}
}

// checkQuota checks the arrivals of the requests of teamLimited at the upstreams, and returns how many there were in the
// busiest window. It is called at the end.
func (r *recorder) checkQuota() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var arrivals []time.Time
	for attempt, runs := range r.runs {
		if strings.HasPrefix(attempt, "t-"+teamLimited+"-") {
			for _, u := range runs {
				arrivals = append(arrivals, u.started)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	busiest, begin, first := 0, time.Time{}, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) > quotaWindow {
			first++
		}
		if count := last - first + 1; count > busiest {
			busiest, begin = count, arrivals[first]
		}
	}
	if busiest > quotaBound {
		r.violations = append(r.violations, fmt.Sprintf("%d requests of team %s ran in %v from %s; %.0f are allowed",
			busiest, teamLimited, quotaWindow, r.at(begin), float64(quotaBound)))
	}
	return busiest
}

// runTeams injects herds of killed nodes among the faults of the core until the context ends, and kills the leader once in
// each rollout.
func (i *injector) runTeams(ctx context.Context) {
	for ctx.Err() == nil {
		if nodes := i.deployment.nodes; i.rng.IntN(3) == 0 {
			i.killAll(i.drawProcesses(nodes, (len(nodes)+1)/2))
		} else {
			i.startCoreFault()
		}
		i.activeFaults.Wait()
		pause := between(i.rng, minCoreFaultInterval, coreFaultIntervalSpread)
		for end := time.Now().Add(pause); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, pollInterval) {
			if i.recorder.killsLeader.Load() && i.killLeader() {
				i.activeFaults.Wait()
				end = time.Now().Add(pause)
			}
		}
	}
}
