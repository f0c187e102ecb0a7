package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/release"
)

const (
	// rolloutDuration is the time in which a rollout ends. Faults interrupt most of them.
	rolloutDuration = 8 * time.Second
	// rollbackWithin is the objective after which a release that was found bad gets no calls on any node.
	rollbackWithin = 5 * time.Second
	// watchTime is how long the upstreams of both releases stay after the end of a rollout.
	watchTime = rollbackWithin + 3*time.Second
	// leaderKillSpread is the time from the start of a rollout within which the leader is killed.
	leaderKillSpread = 5 * time.Second
	// settledTime lets a release serve alone before the next rollout.
	settledTime = time.Second
)

// instance is an upstream process as it announces itself.
type instance struct {
	id      string
	release string
	started int64
	// faulty is set if every other call fails.
	faulty bool
}

// endedRollout is a rollout whose end was read.
type endedRollout struct {
	release string
	state   release.State
	at      time.Time
	// nodes are those beside the release's upstreams.
	nodes []string
}

// announceRelease makes upstreams announce themselves as new instances of a release.
func (r *seedRun) announceRelease(nodes []int, name string, faulty bool) {
	for _, index := range nodes {
		r.deployment.upstreams[index].instance.Store(&instance{
			id: fmt.Sprintf("node-%d-%s-%d", index, name, time.Now().UnixMilli()), release: name, started: time.Now().UnixMilli(), faulty: faulty,
		})
	}
}

// rollOutReleases rolls out one release after the other on half of the upstreams until the context ends. Every other
// release is faulty. It returns when the last rollout has ended and was watched.
func (r *seedRun) rollOutReleases(ctx context.Context, client *operator.Client) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 0))
	current := firstRelease
	for n := 1; ctx.Err() == nil; n++ {
		sleep(ctx, settledTime)
		name := fmt.Sprintf("r%d", n)
		var nodes, others []int
		var names []string
		for index, node := range r.deployment.nodes {
			if index%2 == n/2%2 {
				nodes, names = append(nodes, index), append(names, node.name)
			} else {
				others = append(others, index)
			}
		}
		if !r.startRollout(ctx, client, name) {
			return
		}
		r.recorder.logEvent("release %s is rolled out; faulty: %t", name, n%2 == 0)
		killTimer := time.AfterFunc(time.Duration(rng.Int64N(int64(leaderKillSpread))), func() { r.recorder.killsLeader.Store(true) })
		r.announceRelease(nodes, name, n%2 == 0)
		replaced := nodes
		if r.watchRollout(client, name, names) == release.Completed {
			current, replaced = name, others
		}
		killTimer.Stop()
		r.announceRelease(replaced, current, false)
	}
}

// startRollout orders a rollout until the order is acknowledged; it returns false if the context ends before.
func (r *seedRun) startRollout(ctx context.Context, client *operator.Client, name string) bool {
	order := operator.StartRolloutRequest{
		RequestID: "rollout-" + name, Operator: operatorName, Service: service, Release: name,
		DurationMs: rolloutDuration.Milliseconds(),
	}
	for ; ctx.Err() == nil; sleep(ctx, pollInterval) {
		if _, err := client.StartRollout(context.Background(), order); err == nil {
			return true
		}
	}
	return false
}

// watchRollout reads the state of a rollout until watchTime after its end, and returns the state in which it ended.
func (r *seedRun) watchRollout(client *operator.Client, name string, nodes []string) release.State {
	state, limit := release.Running, time.Now().Add(rolloutDuration+recoveryTimeout)
	for ; time.Now().Before(limit); time.Sleep(pollInterval) {
		response, err := client.Rollouts(context.Background())
		if err != nil {
			continue
		}
		for _, read := range response.Rollouts {
			r.recorder.rolloutRead(read.Rollout)
			if read.Release != name || read.State == release.Running || state != release.Running {
				continue
			}
			state, limit = read.State, time.Now().Add(watchTime)
			r.recorder.rolloutEnded(endedRollout{release: name, state: state, at: time.Now(), nodes: nodes}, read.Reason)
		}
	}
	if state == release.Running {
		r.recorder.reportViolation("the rollout of %s has not ended %v after its time", name, recoveryTimeout)
	}
	return state
}

// rolloutRead checks that the state of the rollouts that was read does not go back. Reads follow each other.
func (r *recorder) rolloutRead(read release.Rollout) {
	r.mu.Lock()
	last := r.lastRollout
	r.lastRollout = read
	r.mu.Unlock()
	changedAfterEnd := read.Started == last.Started && last.State != release.Running && read.State != last.State
	if read.Revision < last.Revision || changedAfterEnd {
		r.reportViolation("the rollout went back from %s %s at revision %d to %s %s at revision %d", last.Release, last.State,
			last.Revision, read.Release, read.State, read.Revision)
	}
}

func (r *recorder) rolloutEnded(e endedRollout, reason string) {
	r.killsLeader.Store(false)
	r.logEvent("the rollout of %s has ended %s: %s", e.release, e.state, reason)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rollouts = append(r.rollouts, e)
}

// checkRollouts checks which releases got calls after the end of a rollout was read. It is called at the end.
func (r *recorder) checkRollouts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	reported := make(map[string]bool)
	for _, e := range r.rollouts {
		for attempt, runs := range r.runs {
			for _, u := range runs {
				text := r.releaseViolation(e, attempt, u)
				if key := e.release + " " + u.node; text != "" && !reported[key] {
					reported[key] = true
					r.violations = append(r.violations, text)
				}
			}
		}
	}
}

// releaseViolation describes the violation if a run should not have been on its release after the end of a rollout, or
// returns an empty string.
func (r *recorder) releaseViolation(e endedRollout, attempt string, u run) string {
	after := u.started.Sub(e.at)
	if u.release == "" || after <= 0 || after > watchTime {
		return ""
	}
	late := lateVersion{added: acknowledgement{at: e.at}, sent: u.started}
	switch {
	case e.state == release.RolledBack && u.release == e.release:
		// The node beside the upstream refuses such calls once it knows; a node that is cut off sends none soon after.
		late.node, late.promise = u.node, applyWithin
		if after <= applyWithin || after <= rollbackWithin && !r.isLate(late) {
			return ""
		}
	case e.state == release.Completed && u.release != e.release:
		// A node that is cut off does not know, and without an upstream of the release its calls go to others.
		late.node = ingressOf(attempt)
		if !r.isLate(late) || !slices.ContainsFunc(e.nodes, func(node string) bool { return r.undisturbed(node, u.started) }) {
			return ""
		}
	default:
		return ""
	}
	return fmt.Sprintf("request %s ran on release %s beside %s at %s, %.3f s after the rollout of %s was %s", attempt, u.release,
		u.node, r.at(u.started), after.Seconds(), e.release, e.state)
}

// undisturbed reports whether a process was free of faults for contactTime.
func (r *recorder) undisturbed(process string, now time.Time) bool {
	return !slices.ContainsFunc(r.works, func(w *work) bool { return w.process == process && w.overlaps(now.Add(-contactTime), now) })
}

// ingressOf returns the node to which an attempt of teamAttempt was sent.
func ingressOf(attempt string) string {
	const parts = 5 // t, team, node, its number and the rest
	fields := strings.SplitN(attempt, "-", parts)
	if len(fields) < parts {
		return ""
	}
	return fields[2] + "-" + fields[3]
}

// killLeader kills the leader of the control members, and reports whether it did. It is back within a second.
func (i *injector) killLeader() bool {
	response, err := i.operator.Members(context.Background())
	if err != nil {
		return false
	}
	for _, member := range response.Members {
		for _, m := range i.deployment.members {
			if member.Leader && member.Address == m.proxy.address() {
				i.recorder.leaderKilled(m)
				i.killAll([]*process{m})
				return true
			}
		}
	}
	return false
}

func (r *recorder) leaderKilled(leader *process) {
	r.killsLeader.Store(false)
	r.logEvent("%s leads during a rollout", leader.name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leadersKilled++
}
