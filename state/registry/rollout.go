package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

// maxRollouts bounds the rollouts that are kept, one for each service; the oldest ones that have ended are forgotten.
const maxRollouts = 2048

// RolloutChange changes the rollout of a service's release. Exactly one field is set.
type RolloutChange struct {
	Start   *StartRollout   `cbor:"1,keyasint,omitempty"`
	Advance *AdvanceRollout `cbor:"2,keyasint,omitempty"`
	Cancel  *CancelRollout  `cbor:"3,keyasint,omitempty"`
}

// StartRollout orders the rollout of a release. An order that equals the latest one of its service is the same order
// sent again, unless the command has another RequestID and the rollout has ended.
type StartRollout struct {
	Service    string `cbor:"1,keyasint"`
	Release    string `cbor:"2,keyasint"`
	DurationMs int64  `cbor:"3,keyasint"`
	Operator   string `cbor:"4,keyasint,omitempty"`
	// UnixMs is the time at the leader, which sets it.
	UnixMs int64 `cbor:"5,keyasint,omitempty"`
}

// AdvanceRollout is a decision of the leader. It takes effect only on the revision on which it is based.
type AdvanceRollout struct {
	Service  string        `cbor:"1,keyasint"`
	Revision uint64        `cbor:"2,keyasint"`
	State    release.State `cbor:"3,keyasint"`
	Share    int           `cbor:"4,keyasint,omitempty"`
	Focus    int           `cbor:"5,keyasint,omitempty"`
	Reason   string        `cbor:"6,keyasint,omitempty"`
}

// CancelRollout ends a running rollout: its release gets no further calls.
type CancelRollout struct {
	Service  string `cbor:"1,keyasint"`
	Release  string `cbor:"2,keyasint"`
	Operator string `cbor:"3,keyasint,omitempty"`
}

func (r *Registry) changeRollout(index uint64, requestID string, c RolloutChange) Result {
	switch {
	case c.Start != nil && c.Advance == nil && c.Cancel == nil:
		return r.startRollout(index, requestID, *c.Start)
	case c.Start == nil && c.Advance != nil && c.Cancel == nil:
		return r.advanceRollout(index, *c.Advance)
	case c.Start == nil && c.Advance == nil && c.Cancel != nil:
		return r.cancelRollout(index, *c.Cancel)
	default:
		return refuse(CodeMalformed, "one of start, advance and cancel must be set")
	}
}

func (r *Registry) startRollout(index uint64, requestID string, s StartRollout) Result {
	switch {
	case s.Release == "" || len(s.Release) > release.MaxNameBytes:
		return refuse(CodeMalformed, "release: allowed: 1 to %d bytes", release.MaxNameBytes)
	case s.DurationMs <= 0 || s.DurationMs > release.MaxDuration.Milliseconds():
		return refuse(CodeMalformed, "duration: allowed: from 1 ms to %s", release.MaxDuration)
	}
	current, ok := r.rollouts[s.Service]
	if ok {
		isCopy := current.Release == s.Release && current.DurationMs == s.DurationMs
		ended := current.State != release.Running
		switch {
		case isCopy && (requestID == "" || !ended):
			return Result{Effect: EffectRolloutStarted, Index: current.Started}
		case !ended:
			return refuse(CodeRolloutRunning, "the rollout of release %q of service %q is in progress", current.Release,
				s.Service)
		}
	}
	if !r.hasService(s.Service) {
		return refuse(CodeUnknownService, "service %q is not in the latest approved bundle", s.Service)
	}
	r.rollouts[s.Service] = release.Rollout{
		Service: s.Service, Release: s.Release, State: release.Running, DurationMs: s.DurationMs, Operator: s.Operator,
		Started: index, Revision: index, StartedUnixMs: s.UnixMs, Reason: "waits for upstreams of the release",
	}
	r.limitRollouts()
	return Result{Effect: EffectRolloutStarted, Index: index}
}

func (r *Registry) advanceRollout(index uint64, a AdvanceRollout) Result {
	current, ok := r.rollouts[a.Service]
	if !ok || current.Revision != a.Revision || current.State != release.Running {
		return refuse(CodeRolloutChanged, "the rollout of service %q is not at revision %d any more", a.Service, a.Revision)
	}
	if a.Share < 0 || a.Share > release.FullShare {
		return refuse(CodeMalformed, "share: allowed: 0 to %d thousandths", release.FullShare)
	}
	current.State, current.Share, current.Focus, current.Reason = a.State, a.Share, a.Focus, a.Reason
	current.Revision = index
	r.rollouts[a.Service] = current
	return Result{Effect: EffectRolloutAdvanced, Index: index}
}

func (r *Registry) cancelRollout(index uint64, c CancelRollout) Result {
	current, ok := r.rollouts[c.Service]
	switch {
	case !ok || current.Release != c.Release:
		return refuse(CodeUnknownRollout, "service %q has no rollout of release %q", c.Service, c.Release)
	case current.State == release.RolledBack:
		return Result{Effect: EffectRolloutCanceled, Index: current.Revision}
	case current.State == release.Completed:
		return refuse(CodeRolloutChanged, "the rollout of release %q of service %q is completed", c.Release, c.Service)
	}
	current.State, current.Share, current.Revision = release.RolledBack, 0, index
	current.Reason = "canceled by " + cmp.Or(c.Operator, "an operator")
	r.rollouts[c.Service] = current
	return Result{Effect: EffectRolloutCanceled, Index: index}
}

// hasService reports whether the latest approved bundle declares a service.
func (r *Registry) hasService(name string) bool {
	if r.latest == nil {
		return false
	}
	b, err := r.store.Bundle(r.latest.Digest)
	return err == nil && slices.ContainsFunc(b.Services, func(s bundle.Service) bool { return s.Name == name })
}

// limitRollouts forgets the rollout that ended first if there are too many. If all of them run, none is forgotten.
func (r *Registry) limitRollouts() {
	if len(r.rollouts) <= maxRollouts {
		return
	}
	for _, candidate := range r.Rollouts() {
		if candidate.State != release.Running {
			delete(r.rollouts, candidate.Service)
			return
		}
	}
}

// Rollouts lists the latest rollout of each service, the one that changed first at the front.
func (r *Registry) Rollouts() []release.Rollout {
	return slices.SortedFunc(maps.Values(r.rollouts), func(a, b release.Rollout) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
}

// Rollout returns the latest rollout of a service.
func (r *Registry) Rollout(service string) (release.Rollout, bool) {
	found, ok := r.rollouts[service]
	return found, ok
}

// Stamp sets the time of an order of a rollout. The leader calls it before it proposes the command, so that all
// replicas apply the command with the same time.
func (c *Command) Stamp(now time.Time) {
	if c.Rollout != nil && c.Rollout.Start != nil {
		c.Rollout.Start.UnixMs = now.UnixMilli()
	}
}
