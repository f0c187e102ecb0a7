// Package rollout judges a release of a service while it is rolled out. It decides which share of the calls the release
// gets, and when the rollout is completed or rolled back.
//
// It answers releases that fail or are slow from the start, after some time, on one route only or only under load, and
// keeps apart from them a single faulty upstream, and a burst or a slow time that also the other releases show. It does
// no I/O and reads no clock. Each control member runs a Judge on the same reports, so that a new leader continues where
// the former one stopped; only the leader's decisions count.
package rollout

import (
	"cmp"
	"fmt"
	"time"

	"sapphiregate.example/sapphiregate/state/release"
)

// Config holds the objectives of a deployment.
type Config struct {
	// CanaryShare bounds the calls that a release gets before it is judged, as a share of all since the order;
	// CanaryAllowance is a number of calls beyond it.
	CanaryShare     float64
	CanaryAllowance float64
}

// Defaults of Config.
const (
	DefaultCanaryShare     = 0.1
	DefaultCanaryAllowance = 50
)

// Shares of the duration of a rollout.
const (
	// judgedShare is the time for which the release keeps its first share: a fault may show only after some time.
	judgedShare = 0.5
	// fullShare is the time at which the release should have all calls, so that those that run on the other releases can
	// end before the duration is over.
	fullShare = 0.7
	// stepShare is the longest time that one step takes from then on.
	stepShare = 0.08
	// lastShare is the time at which the rollout ends whatever is known. The rest is for an election and for the operator,
	// who asks for the state now and then.
	lastShare = 0.88
)

const (
	// firstSteps are the shares that the release gets before it is judged, as parts of CanaryShare. Their sum over time
	// stays below CanaryShare, which leaves room for the calls of the time in which a verdict reaches all nodes.
	firstStep, secondStep = 0.5, 0.8
	// firstStepTime is how long the first step takes, so that a release that fails at once meets few callers.
	firstStepTime = 1500 * time.Millisecond
	// minStepTime is the time that a step takes at least: results arrive about twice a second.
	minStepTime = time.Second
	// focusTime is how long one choice of upstreams lasts while the release has few calls, so that several of its upstreams
	// are judged.
	focusTime = 2 * time.Second
	// settleTime is how long the other releases must have been without calls before a rollout is completed.
	settleTime = 800 * time.Millisecond
	// adoptTime is how long after an order a service whose upstreams all run the release already counts as rolled out.
	adoptTime = 2 * time.Second
	// exposureMargin is the part of CanaryShare and CanaryAllowance at which a release that is not judged yet gets no further
	// calls.
	exposureMargin = 0.9
)

// laterSteps are the shares, in thousandths, that a release gets once it has been judged at its first share. The steps in
// between show faults under load, and let connections and caches fill.
var laterSteps = []int{250, 600, release.FullShare}

// Evidence that a release needs before it gets more than its first share.
const (
	minEvidenceShare = 0.02 // of all calls of the service
	minEvidence      = 5
	maxEvidence      = 50
)

// Situation describes a running rollout at one moment.
type Situation struct {
	Rollout release.Rollout
	// Elapsed is the time since the order.
	Elapsed time.Duration
	// Newer and Older count the serving upstreams of the release and those of all others.
	Newer, Older int
}

// Decision is a change of a rollout.
type Decision struct {
	State  release.State
	Share  int
	Focus  int
	Reason string
}

// Judge judges rollouts. It is not safe for concurrent use.
type Judge struct {
	config Config
	trials map[string]*trial
}

// New returns a Judge that knows no results yet.
func New(c Config) *Judge {
	c.CanaryShare = cmp.Or(c.CanaryShare, DefaultCanaryShare)
	c.CanaryAllowance = cmp.Or(c.CanaryAllowance, DefaultCanaryAllowance)
	return &Judge{config: c, trials: make(map[string]*trial)}
}

// Observe takes the results that an upstream's node reports. Reports of services without a rollout are ignored.
func (j *Judge) Observe(now time.Time, results release.Results) {
	if t, ok := j.trials[results.Service]; ok {
		t.observe(now, results)
	}
}

// Retain forgets the results of all services but those whose rollouts are running. It must be called before Observe for
// the results of a new rollout to count.
func (j *Judge) Retain(now time.Time, running []release.Rollout) {
	kept := make(map[string]*trial, len(running))
	for _, r := range running {
		t, ok := j.trials[r.Service]
		if !ok || t.started != r.Started {
			t = newTrial(r)
		}
		t.setRevision(now, r)
		kept[r.Service] = t
	}
	j.trials = kept
}

// Evidence summarizes the results of a rollout for logs.
func (j *Judge) Evidence(now time.Time, service string) string {
	t, ok := j.trials[service]
	if !ok {
		return "none"
	}
	return t.evidence(now)
}

// Decide returns the change that a rollout needs now; false if it needs none.
func (j *Judge) Decide(now time.Time, s Situation) (Decision, bool) {
	t, ok := j.trials[s.Rollout.Service]
	if !ok || s.Rollout.State != release.Running || t.started != s.Rollout.Started {
		return Decision{}, false
	}
	d := j.decide(now, t, s)
	same := d.State == release.Running && d.Share == s.Rollout.Share && d.Focus == s.Rollout.Focus
	return d, !same
}

func (j *Judge) decide(now time.Time, t *trial, s Situation) Decision {
	r := s.Rollout
	verdict := t.judge(now, s.Newer)
	if verdict.bad {
		return Decision{State: release.RolledBack, Focus: r.Focus, Reason: verdict.reason}
	}
	atLast := s.Elapsed >= fraction(lastShare, r)
	switch {
	case r.Share == 0 && s.Older == 0 && s.Newer > 0 && s.Elapsed < adoptTime:
		return Decision{State: release.Completed, Share: release.FullShare, Reason: "all upstreams run the release already"}
	case r.Share >= release.FullShare:
		return j.decideAtFullShare(now, t, s, atLast)
	case atLast:
		return Decision{State: release.RolledBack, Focus: r.Focus, Reason: "not enough evidence in time: " + t.evidence(now)}
	case s.Newer == 0:
		return Decision{State: release.Running, Focus: r.Focus, Reason: "waits for upstreams of the release"}
	case verdict.suspected && now.Sub(t.revisionAt) >= minStepTime/2:
		return Decision{State: release.Running, Share: r.Share, Focus: r.Focus + 1, Reason: "compares: " + verdict.reason}
	case verdict.suspected:
		return keep(r)
	case s.Elapsed < fraction(judgedShare, r) || !t.hasEvidence(s.Newer) || r.Share < laterSteps[0] && t.inDistress(now):
		return j.decideFirstShare(now, t, s)
	}
	return j.decideLaterShare(now, t, s)
}

func keep(r release.Rollout) Decision {
	return Decision{State: release.Running, Share: r.Share, Focus: r.Focus, Reason: r.Reason}
}

func fraction(share float64, r release.Rollout) time.Duration {
	return time.Duration(share * float64(r.Duration()))
}

// decideFirstShare decides while the release is being judged.
func (j *Judge) decideFirstShare(now time.Time, t *trial, s Situation) Decision {
	r := s.Rollout
	if newer, all := t.totals(); newer > exposureMargin*(j.config.CanaryShare*all+j.config.CanaryAllowance) {
		return Decision{State: release.Running, Focus: r.Focus, Reason: "has used up its first share of calls"}
	}
	first, second := j.permille(firstStep), j.permille(secondStep)
	switch {
	case r.Share < first:
		return Decision{State: release.Running, Share: first, Focus: r.Focus, Reason: "is being judged"}
	case r.Share < second && now.Sub(t.revisionAt) >= firstStepTime:
		return Decision{State: release.Running, Share: second, Focus: r.Focus + 1, Reason: "is being judged"}
	case now.Sub(t.revisionAt) >= focusTime:
		return Decision{State: release.Running, Share: r.Share, Focus: r.Focus + 1, Reason: "is being judged"}
	}
	return keep(r)
}

func (j *Judge) permille(step float64) int {
	return max(1, int(step*j.config.CanaryShare*release.FullShare))
}

// decideLaterShare gives a release without faults more calls, step by step.
func (j *Judge) decideLaterShare(now time.Time, t *trial, s Situation) Decision {
	r := s.Rollout
	left := 0
	next := 0
	for _, share := range laterSteps {
		if share > r.Share {
			if next == 0 {
				next = share
			}
			left++
		}
	}
	dwell := min((fraction(fullShare, r)-s.Elapsed)/time.Duration(left), fraction(stepShare, r))
	inLaterStep := left < len(laterSteps)
	if inLaterStep && now.Sub(t.revisionAt) < max(dwell, minStepTime) {
		return keep(r)
	}
	return Decision{State: release.Running, Share: next, Focus: r.Focus, Reason: "has shown no fault: " + t.evidence(now)}
}

// decideAtFullShare completes a rollout once no call runs on the other releases: their upstreams may stop at once then.
func (j *Judge) decideAtFullShare(now time.Time, t *trial, s Situation, atLast bool) Decision {
	r := s.Rollout
	if !t.hasEvidence(s.Newer) && !atLast {
		return keep(r)
	}
	if now.Sub(t.revisionAt) >= minStepTime && (t.olderAreIdle(now) || atLast) {
		return Decision{
			State: release.Completed, Share: release.FullShare, Focus: r.Focus,
			Reason: "has shown no fault: " + t.evidence(now),
		}
	}
	return keep(r)
}

func formatRate(failures, calls float64) string {
	return fmt.Sprintf("%.0f of %.0f failed", failures, calls)
}
