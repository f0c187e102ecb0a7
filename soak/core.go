package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Bounds of the check of versions; see docs/soak.md.
const (
	// applyWithin is the time after its acknowledgement within which a version is in force on every node.
	applyWithin = 2 * time.Second
	// contactTime is the time without a fault after which the core counts as stable and a node must be current.
	contactTime = 3 * time.Second
	// coreExtension is added to applyWithin while the core is not stable but more than half of it runs.
	coreExtension = 5 * time.Second
	// probeInterval is the pause between two probes of a node, and probeTimeout bounds one of them.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
	// addedRoutes is the number of versions for which a route that a version adds stays in the configuration. It exceeds
	// the number of versions in applyWithin and coreExtension.
	addedRoutes = 60
)

// Bounds of the schedule of faults of the core. The pause between two faults leaves time in which the core is stable.
const (
	coreMemberCount         = 5
	minCoreFaultInterval    = 3 * time.Second
	coreFaultIntervalSpread = 4 * time.Second
	minRestart              = 200 * time.Millisecond
	restartSpread           = 800 * time.Millisecond
	minCut                  = time.Second
	cutSpread               = 4 * time.Second
	herdShare               = 4 // one node in herdShare is killed or cut off at once
)

// acknowledgement is the time at which the group acknowledged a version.
type acknowledgement struct {
	version uint64
	at      time.Time
}

// lateVersion is a response of a node that does not agree with a version although that had been acknowledged.
type lateVersion struct {
	node  string
	added acknowledgement
	sent  time.Time
	// promise is the time after the acknowledgement in which the node has to agree with the version. unlessDisturbed is
	// set if it may take longer while any member is disturbed.
	promise         time.Duration
	unlessDisturbed bool
	// effect is what the node did.
	effect string
}

// addedRoute is the name of the route that a version adds.
func addedRoute(version uint64) string { return fmt.Sprintf("version-%d", version) }

// latestAcknowledged returns the latest version that was acknowledged before the given time.
func (r *seedRun) latestAcknowledged(before time.Time) (latest acknowledgement, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.acknowledgements {
		if a.at.Before(before) {
			latest, ok = a, true
		}
	}
	return latest, ok
}

// probeNode requests added routes of a node until the context ends. A node that does not know the route of a version that
// was acknowledged applyWithin before is reported to the recorder, and also if the same holds for coreExtension more.
func (r *seedRun) probeNode(ctx context.Context, node *process) {
	client := &http.Client{Timeout: probeTimeout}
	for ; ctx.Err() == nil; sleep(ctx, probeInterval) {
		for _, allowed := range []time.Duration{applyWithin, applyWithin + coreExtension} {
			sent := time.Now()
			latest, ok := r.latestAcknowledged(sent.Add(-allowed))
			if !ok || requestStatus(client, node, addedRoute(latest.version)) != http.StatusNotFound {
				break
			}
			r.recorder.versionMissing(lateVersion{
				node: node.name, added: latest, sent: sent, promise: applyWithin, effect: "did not know the route",
			})
		}
	}
	client.CloseIdleConnections()
}

// requestStatus returns the status of a request for a route, or 0 if there is no response.
func requestStatus(client *http.Client, node *process, route string) int {
	response, err := client.Get("http://" + node.callerAddress + "/" + route)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (r *recorder) versionMissing(m lateVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateVersions = append(r.lateVersions, m)
}

// checkVersions reports nodes that did not have a version in force in time. It is called at the end, when all faults are
// known.
func (r *recorder) checkVersions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	reported := make(map[string]bool)
	for _, m := range r.lateVersions {
		key := fmt.Sprint(m.node, " ", m.effect, " ", m.added.version)
		if reported[key] || !r.isLate(m) {
			continue
		}
		reported[key] = true
		r.violations = append(r.violations, fmt.Sprintf(
			"%s %s of version %d at %.3f s, %.3f s after its acknowledgement", m.node, m.effect, m.added.version,
			m.sent.Sub(r.started).Seconds(), m.sent.Sub(m.added.at).Seconds()))
	}
}

// isLate reports whether the node must have had the version: it was free of faults for contactTime, and so was the core.
// With coreExtension in addition, the core may have been disturbed as long as more than half of it was not.
func (r *recorder) isLate(m lateVersion) bool {
	coreDisturbed := false
	disturbedMembers := make(map[string]bool)
	for _, w := range r.works {
		recent := w.overlaps(m.sent.Add(-contactTime), m.sent)
		if recent && w.process == m.node {
			return false
		}
		if !r.members[w.process] {
			continue
		}
		coreDisturbed = coreDisturbed || recent
		if recent || w.overlaps(m.added.at, m.sent) {
			disturbedMembers[w.process] = true
		}
	}
	extended := !m.unlessDisturbed && m.sent.Sub(m.added.at) >= m.promise+coreExtension && len(disturbedMembers) <= coreMemberCount/2
	return !coreDisturbed || extended
}

// runCore injects faults of the core until the context ends, and returns when the last of them is over.
func (i *injector) runCore(ctx context.Context) {
	for ctx.Err() == nil {
		i.startCoreFault()
		i.activeFaults.Wait()
		sleep(ctx, between(i.rng, minCoreFaultInterval, coreFaultIntervalSpread))
	}
}

// startCoreFault draws one fault of one or more members and starts it.
func (i *injector) startCoreFault() {
	members := i.drawProcesses(i.deployment.members, 1+i.rng.IntN(2))
	nodes := i.drawProcesses(i.deployment.nodes, len(i.deployment.nodes)/herdShare)
	cut := between(i.rng, minCut, cutSpread)
	switch i.rng.IntN(9) {
	case 0:
		i.killAll(i.deployment.members)
	case 1:
		i.killAll(members)
	case 2:
		i.startLinkFaults(members, cut, "drops all data", linkFault{dropRequests: true, dropResponses: true})
	case 3:
		i.startLinkFaults(members, cut, "is cut", linkFault{cut: true})
	case 4:
		i.startLinkFaults(members, cut, "is cut from the members", linkFault{cutMembers: true})
	case 5:
		i.startLinkFaults(i.deployment.members, cut, "is cut from the members", linkFault{cutMembers: true})
	case 6:
		i.startLinkFaults(nodes, cut, "is cut", linkFault{cut: true})
	case 7:
		for _, p := range i.deployment.processes() {
			i.recorder.endWork(i.recorder.startWork(workFault, p.name))
			p.proxy.silence()
		}
		i.recorder.logEvent("all connections go silent; new ones work")
	case 8:
		i.killAll(nodes)
	}
}

// drawProcesses returns a number of different processes.
func (i *injector) drawProcesses(from []*process, count int) []*process {
	var drawn []*process
	for _, index := range i.rng.Perm(len(from))[:count] {
		drawn = append(drawn, from[index])
	}
	return drawn
}

// killAll kills processes at the same moment. Each is back within a second.
func (i *injector) killAll(processes []*process) {
	for _, p := range processes {
		down := between(i.rng, minRestart, restartSpread)
		i.activeFaults.Go(func() {
			i.recorder.logEvent("%s is killed for %v", p.name, down)
			defer i.recorder.endWork(i.recorder.startWork(workKill, p.name))
			p.kill()
			time.Sleep(down)
			i.restart(p)
		})
	}
}

func (i *injector) startLinkFaults(processes []*process, duration time.Duration, effect string, fault linkFault) {
	for _, p := range processes {
		i.activeFaults.Go(func() { i.injectLinkFault(p, duration, effect, fault) })
	}
}

// between draws a duration from low to low plus spread.
func between(rng *rand.Rand, low, spread time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(spread)))
}
