package quarantine

import (
	"maps"
	"slices"
	"time"
)

// entry holds the crashes that happened while one request was in flight.
type entry struct {
	crashes map[ReportID]*crash
}

// crash describes a crash of an upstream with respect to one request that was in flight.
type crash struct {
	// at is the time of the crash: the earliest that follows from the reports that this node received.
	at time.Time
	// reported is unset if the clearance arrived before the report of the crash.
	reported bool
	// exclusive is set if the request was the only one in flight because it was suspect already.
	exclusive bool
	cleared   bool
}

// isActive reports whether the crash counts against the request at this time.
func (c *crash) isActive(now time.Time, duration time.Duration) bool {
	return c.reported && !c.cleared && now.Sub(c.at) < duration
}

func (e *entry) verdict(now time.Time, duration time.Duration) Verdict {
	verdict := Allowed
	for _, c := range e.crashes {
		switch {
		case !c.isActive(now, duration):
		case c.exclusive:
			return Refused
		default:
			verdict = Exclusive
		}
	}
	return verdict
}

// activeCrashes returns the crashes that count against the request, in order of their identifier.
func (e *entry) activeCrashes(now time.Time, duration time.Duration) []ReportID {
	var list []ReportID
	for id, c := range e.crashes {
		if c.isActive(now, duration) {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, ReportID.Compare)
	return list
}

func (e *entry) latestCrash() time.Time {
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
	for _, id := range e.activeCrashes(now, duration) {
		result.Upstreams = append(result.Upstreams, id.Upstream)
		if until := e.crashes[id].at.Add(duration); until.After(result.Until) {
			result.Until = until
		}
	}
	result.Upstreams = slices.Compact(result.Upstreams)
	return result
}

// String returns the name of the verdict.
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
