package quarantine

import (
	"maps"
	"slices"
	"time"
)

// entry holds the crashes with one request in flight.
type entry struct {
	crashes map[ReportID]*crash
}

// crash is one request's part in a crash.
type crash struct {
	// at is the earliest time at which this node can place the crash.
	at time.Time
	// reported is unset while only the clearance has arrived.
	reported bool
	isolated bool
	cleared  bool
}

// counts reports whether the crash counts against the request.
func (c *crash) counts(now time.Time, duration time.Duration) bool {
	return c.reported && !c.cleared && now.Sub(c.at) < duration
}

func (e *entry) verdict(now time.Time, duration time.Duration) Verdict {
	verdict := Allowed
	for _, c := range e.crashes {
		switch {
		case !c.counts(now, duration):
		case c.isolated:
			return Refused
		default:
			verdict = Exclusive
		}
	}
	return verdict
}

// active returns the crashes that count, in order.
func (e *entry) active(now time.Time, duration time.Duration) []ReportID {
	var list []ReportID
	for id, c := range e.crashes {
		if c.counts(now, duration) {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, ReportID.Compare)
	return list
}

func (e *entry) latest() time.Time {
	var latest time.Time
	for c := range maps.Values(e.crashes) {
		if c.at.After(latest) {
			latest = c.at
		}
	}
	return latest
}

func (e *entry) describe(now time.Time, f Fingerprint, duration time.Duration) Entry {
	result := Entry{Fingerprint: f, Verdict: e.verdict(now, duration)}
	for _, id := range e.active(now, duration) {
		result.Upstreams = append(result.Upstreams, id.Upstream)
		if until := e.crashes[id].at.Add(duration); until.After(result.Until) {
			result.Until = until
		}
	}
	result.Upstreams = slices.Compact(result.Upstreams)
	return result
}

// String names the verdict in logs and tables.
func (v Verdict) String() string {
	switch v {
	case Allowed:
		return "allowed"
	case Exclusive:
		return "alone"
	default:
		return "refused"
	}
}
