package experiment

import (
	"slices"
	"sync"
	"time"
)

// interval is a time span. A zero end means that it lasts.
type interval struct{ from, to time.Time }

func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}

func (i interval) contains(t time.Time) bool {
	return !t.Before(i.from) && (i.to.IsZero() || t.Before(i.to))
}

// faultLog records when processes were out of service, so that the judge can tell faults from violations. It is safe
// for concurrent use.
type faultLog struct {
	mu sync.Mutex
	// outages are unplanned: kills, partitions and crashes of the upstream beside a node.
	outages map[string][]interval
	// stops are planned: from the request to stop until the process has ended.
	stops map[string][]interval
	// absences are times when a node cannot apply versions, for whatever reason.
	absences map[string][]interval
	// sourceDown are times without a quorum of control members.
	sourceDown []interval
}

func newFaultLog() *faultLog {
	return &faultLog{
		outages:  make(map[string][]interval),
		stops:    make(map[string][]interval),
		absences: make(map[string][]interval),
	}
}

func begin(list []interval) []interval { return append(list, interval{from: time.Now()}) }

// end closes the oldest interval that is still open.
func end(list []interval) {
	for i := range list {
		if list[i].to.IsZero() {
			list[i].to = time.Now()
			return
		}
	}
}

func (l *faultLog) beginOutage(process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outages[process] = begin(l.outages[process])
	l.absences[process] = begin(l.absences[process])
}

func (l *faultLog) endOutage(process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end(l.outages[process])
	end(l.absences[process])
}

func (l *faultLog) beginStop(process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stops[process] = begin(l.stops[process])
	l.absences[process] = begin(l.absences[process])
}

// endStop records that the process has ended; it stays absent until endAbsence.
func (l *faultLog) endStop(process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end(l.stops[process])
}

func (l *faultLog) endAbsence(process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end(l.absences[process])
}

// setSource records whether the control members have a quorum.
func (l *faultLog) setSource(up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := len(l.sourceDown) > 0 && l.sourceDown[len(l.sourceDown)-1].to.IsZero()
	switch {
	case up && open:
		end(l.sourceDown)
	case !up && !open:
		l.sourceDown = begin(l.sourceDown)
	}
}

// unplanned reports whether any of the processes had an unplanned outage in the time span.
func (l *faultLog) unplanned(from, to time.Time, processes ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, process := range processes {
		if slices.ContainsFunc(l.outages[process], func(i interval) bool { return i.overlaps(from, to) }) {
			return true
		}
	}
	return false
}

// stopDuring returns the planned stop of a process that began after from and before to.
func (l *faultLog) stopDuring(process string, from, to time.Time) (interval, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stop := range l.stops[process] {
		if stop.from.After(from) && stop.from.Before(to) {
			return stop, true
		}
	}
	return interval{}, false
}

// allowedSince returns the earliest time at which a node could be asked to hold a version that was signed at signed
// and came into force at inForce: the end of the last fault in between that kept the version from it.
func (l *faultLog) allowedSince(node string, signed, inForce time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := signed
	for _, list := range [][]interval{l.absences[node], l.sourceDown} {
		for _, i := range list {
			if !i.to.IsZero() && i.to.After(allowed) && i.from.Before(inForce) {
				allowed = i.to
			}
		}
	}
	if allowed.After(inForce) {
		return inForce
	}
	return allowed
}

// absent reports whether a node is out of service now.
func (l *faultLog) absent(node string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(l.absences[node], func(i interval) bool { return i.contains(now) })
}
