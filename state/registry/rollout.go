package registry

import (
	"cmp"
	"maps"
	"math"
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

// StartRollout orders the rollout of a release.
type StartRollout struct {
	Service    string `cbor:"1,keyasint"`
	Release    string `cbor:"2,keyasint"`
	DurationMs int64  `cbor:"3,keyasint"`
	Operator   string `cbor:"4,keyasint,omitempty"`
	// UnixMs is the time at the leader, which sets it. Differences between the times that one leader sets are exact: it
	// reads a clock that does not jump.
	UnixMs int64 `cbor:"5,keyasint,omitempty"`
	// Latest is what the leader knew of the service's latest order when it proposed this one. It is nil in entries of
	// leaders of earlier versions.
	Latest *LatestOrder `cbor:"6,keyasint,omitempty"`
}

// LatestOrder bounds the age of a service's latest order, which is the time since its entry was committed. The leader
// measures it on a clock that does not jump, and puts it into the log, as the replicas' own clocks must not decide.
type LatestOrder struct {
	// Started is the log index of the order; 0 if the leader has applied none.
	Started  uint64 `cbor:"1,keyasint,omitempty"`
	MinAgeMs int64  `cbor:"2,keyasint,omitempty"`
	// MaxAgeMs is AgeUnknown if the leader has no upper bound.
	MaxAgeMs int64 `cbor:"3,keyasint,omitempty"`
	// FormerMinAgeMs is the least age of release.Rollout.Former.
	FormerMinAgeMs int64 `cbor:"4,keyasint,omitempty"`
	// ResendMs is the time for which operators send an order again that got no response.
	ResendMs int64 `cbor:"5,keyasint,omitempty"`
	// Outdated is set if the leader had not applied an entry of its own term yet, so that there may be orders of former
	// leaders that it did not know.
	Outdated bool `cbor:"6,keyasint,omitempty"`
}

// AgeUnknown is the upper bound of the age of an order that was committed before its leader started.
const AgeUnknown = math.MaxInt64

// maxOrderDelay bounds the time from the arrival of an order at a member until the leader proposes it.
const maxOrderDelay = time.Second

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
	var former release.Order
	if latest, ok := r.rollouts[s.Service]; ok {
		result, done := checkAgainstLatest(latest, requestID, s)
		if done {
			return result
		}
		former = openOrder(latest, s)
	}
	if !r.hasService(s.Service) {
		return refuse(CodeUnknownService, "service %q is not in the latest approved bundle", s.Service)
	}
	r.rollouts[s.Service] = release.Rollout{
		Service: s.Service, Release: s.Release, State: release.Running, DurationMs: s.DurationMs, Operator: s.Operator,
		Started: index, Revision: index, StartedUnixMs: s.UnixMs, Reason: "waits for upstreams of the release",
		RequestID: requestID, Former: former,
	}
	r.limitRollouts()
	return Result{Effect: EffectRolloutStarted, Index: index}
}

// checkAgainstLatest decides about an order by the latest one of its service; done is false if the order starts a rollout.
//
// An order that arrives is either a copy of an earlier one, whose response was lost, or another order. Two orders with
// identifiers are the same order if these are equal. Others can be told apart only by the age of the earlier one, as
// operators send copies for ResendMs at most: while its copies may still arrive, no equal order starts a rollout, and
// later no order is a copy of it. Success is reported only for an order that starts a rollout, that has the identifier of
// the latest one, or that equals the latest one while its rollout runs and is as young as for a copy.
func checkAgainstLatest(latest release.Rollout, requestID string, s StartRollout) (result Result, done bool) {
	asksFor := func(o release.Order) bool { return o.Release == s.Release && o.DurationMs == s.DurationMs }
	sameID := requestID != "" && requestID == latest.RequestID
	running := latest.State == release.Running
	ages := s.agesOf(latest)
	switch {
	case asksFor(latest.Order()) && (sameID || running && ages.maximum <= ages.resendTime):
		return Result{Effect: EffectRolloutStarted, Index: latest.Started}, true
	case running:
		return refuse(CodeRolloutRunning, "the rollout of release %q of service %q is in progress", latest.Release,
			s.Service), true
	case s.Latest == nil:
		// Leaders of earlier versions started each order that was not equal, and replicas must not differ.
		return maybeCopy(ages.copiesEnd()), asksFor(latest.Order()) && requestID == ""
	}
	formerIsOpen := latest.Former.Started != 0 && ages.former <= ages.copiesEnd()
	switch {
	case formerIsOpen && (requestID == "" && asksFor(latest.Former) || ages.isOpen(latest)):
		// Only one former order is remembered, so that a third one has to wait.
		return maybeCopy(ages.copiesEnd() - ages.former), true
	case requestID == "" && asksFor(latest.Order()) && ages.isOpen(latest):
		return maybeCopy(ages.copiesEnd() - ages.minimum), true
	default:
		return Result{}, false
	}
}

func maybeCopy(wait time.Duration) Result {
	return refuse(CodeMaybeCopy, "copies of the former order may still arrive; send this one again in %s", wait)
}

// openOrder returns the order of which copies may still arrive after the order s has taken the place of the latest one.
func openOrder(latest release.Rollout, s StartRollout) release.Order {
	switch ages := s.agesOf(latest); {
	case s.Latest == nil:
		return release.Order{}
	case ages.isOpen(latest):
		return latest.Order()
	case ages.former <= ages.copiesEnd():
		return latest.Former
	default:
		return release.Order{}
	}
}

// orderAges holds bounds of the times since the latest order of a service and the former one were committed.
type orderAges struct {
	minimum, maximum, former time.Duration
	// resendTime is the time for which operators send an order again.
	resendTime time.Duration
}

// copiesEnd returns the age of an order from which on no copy of it arrives.
func (a orderAges) copiesEnd() time.Duration { return a.resendTime + maxOrderDelay }

// isOpen reports whether copies of the latest order may still arrive that no identifier tells from other orders.
func (a orderAges) isOpen(latest release.Rollout) bool {
	return latest.RequestID == "" && a.minimum <= a.copiesEnd()
}

func (s StartRollout) agesOf(latest release.Rollout) orderAges {
	known := s.Latest
	if known == nil {
		return orderAges{maximum: AgeUnknown}
	}
	ages := orderAges{maximum: AgeUnknown, resendTime: milliseconds(known.ResendMs)}
	switch {
	case known.Started == latest.Started:
		ages.minimum, ages.maximum = milliseconds(known.MinAgeMs), milliseconds(known.MaxAgeMs)
		ages.former = milliseconds(known.FormerMinAgeMs)
	case !known.Outdated:
		// The leader proposed the latest order too and had not applied it yet: both times are from its clock.
		ages.maximum = milliseconds(s.UnixMs - latest.StartedUnixMs)
	}
	return ages
}

// milliseconds converts a number of milliseconds, as far as a duration can hold it.
func milliseconds(n int64) time.Duration {
	const most = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(max(n, 0), most)) * time.Millisecond
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

// Stamp sets what the leader knows of an order of a rollout: its time, and the age of the service's latest order. The
// leader calls it before it proposes the command, so that all replicas apply the command with the same values.
func (c *Command) Stamp(now time.Time, latestOf func(service string) *LatestOrder) {
	if c.Rollout != nil && c.Rollout.Start != nil {
		c.Rollout.Start.UnixMs = now.UnixMilli()
		c.Rollout.Start.Latest = latestOf(c.Rollout.Start.Service)
	}
}
