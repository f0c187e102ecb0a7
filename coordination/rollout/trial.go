package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/state/release"
)

const (
	// window is the time over which releases are compared: long enough for two upstreams of a release in turn, and short
	// enough that a fault that begins late is not lost among earlier results.
	window = 4 * time.Second
	// slotTime and slots divide the window.
	slotTime = time.Second
	slots    = int(window / slotTime)
	// reportLifetime is the age from which on a report says nothing about the present.
	reportLifetime = 1500 * time.Millisecond
	// minFailures and minTimed are the failures and times that one upstream must have shown on a route to count as faulty.
	minFailures = 4
	minTimed    = 6
	// minJudgedCalls is the number of calls after which an upstream counts as judged.
	minJudgedCalls = 8
	// failureExcess is how far the failure rate must exceed failureRatio times that of the other releases. Under overload
	// the few upstreams that a release uses at first may fail more calls than others whose load is balanced.
	failureExcess = 0.05
	failureRatio  = 2
	// distressRate is the failure rate of the other releases above which a release cannot be compared with them.
	distressRate = 0.25
	// confidence is the number of standard errors by which it must do so, which one of twenty sound upstreams exceeds.
	confidence = 1.64
	// slowness is the ratio of the mean times of a slow release and the others. Less may come from the upstreams' load.
	slowness = 3
	// tailShare is the share of the slowest calls of the other releases with which those of a release are compared, and
	// tailExcess how far the release's share of such calls must exceed theirs.
	tailShare  = 0.1
	tailExcess = 0.15
	// tailShift is the number of buckets by which the load of the few upstreams that a release uses at first may slow all of
	// its calls: a factor of 1.4.
	tailShift = 1
	// minSlowness is the difference below which a release does not count as slow.
	minSlowness = 10 * time.Millisecond
)

// counts are results of calls.
type counts struct {
	calls, failures, timed, micros float64
	times                          [release.TimeBuckets]float64
}

func countsOf(r release.RouteResults) counts {
	c := counts{calls: float64(r.Calls), failures: float64(r.Failures), timed: float64(r.Timed), micros: float64(r.TimeMicros)}
	for bucket, count := range r.Times[:min(len(r.Times), release.TimeBuckets)] {
		c.times[bucket] = float64(count)
	}
	return c
}

func (c counts) plus(d counts) counts { return c.plusTimes(d, 1) }

func (c counts) minus(d counts) counts { return c.plusTimes(d, -1) }

func (c counts) plusTimes(d counts, factor float64) counts {
	c.calls += factor * d.calls
	c.failures += factor * d.failures
	c.timed += factor * d.timed
	c.micros += factor * d.micros
	for bucket, count := range d.times {
		c.times[bucket] += factor * count
	}
	return c
}

func (c counts) mean() time.Duration {
	return time.Duration(c.micros / max(c.timed, 1) * float64(time.Microsecond))
}

// isFailing reports whether the failure rate exceeds that of the other releases beyond doubt.
func (c counts) isFailing(others counts) bool {
	return c.failures >= minFailures && exceeds(c.failures, c.calls, others.failures, others.calls, failureRatio, failureExcess)
}

// exceeds reports whether the share of events among calls exceeds a multiple of that among other calls beyond doubt and by
// more than an excess.
func exceeds(events, calls, otherEvents, otherCalls, ratio, excess float64) bool {
	rate, otherRate := events/calls, otherEvents/max(otherCalls, 1)
	lowest := rate - confidence*math.Sqrt(rate*(1-rate)/calls)
	// A rate of 0 over few calls is not known to be 0.
	highest := otherRate + confidence*math.Sqrt(max(otherRate*(1-otherRate), 0.01)/max(otherCalls, 1))
	return lowest > ratio*highest+excess
}

// isSlow reports whether all calls take much longer than on the other releases, or clearly more of them take longer than
// nearly all calls there: a part of the calls may be slow while the mean says little.
func (c counts) isSlow(others counts) bool {
	if c.timed < minTimed || others.timed < minTimed || c.mean()-others.mean() < minSlowness {
		return false
	}
	late, othersLate := c.tail(others)
	return c.mean() > slowness*others.mean() ||
		late >= minTimed && exceeds(late, c.timed, othersLate, others.timed, 1, tailExcess)
}

// tail counts the calls that take longer than nearly all of the others' calls by more than the load may explain, and the
// others' slowest calls.
func (c counts) tail(others counts) (own, reference float64) {
	first := release.TimeBuckets
	for first > 0 && reference+others.times[first-1] <= tailShare*others.timed {
		first--
		reference += others.times[first]
	}
	for bucket := min(first+tailShift, release.TimeBuckets-1); bucket < release.TimeBuckets; bucket++ {
		own += c.times[bucket]
	}
	return own, reference
}

// report is one report of an upstream's results.
type report struct {
	at       time.Time
	inFlight int
	routes   map[string]counts
}

// upstream holds the results of the calls that one node's upstream has run.
type upstream struct {
	release     string
	incarnation uint64
	sequence    uint64
	// reports holds the reports of the window, oldest first, with the last one before it.
	reports []report
	// before sums the calls that earlier processes of the node reported.
	before float64
}

func (u *upstream) latest() report { return u.reports[len(u.reports)-1] }

// calls returns the number of calls since the order.
func (u *upstream) calls() float64 {
	sum := u.before
	for _, c := range u.latest().routes {
		sum += c.calls
	}
	return sum
}

// history holds the results of the window in slots of slotTime, the latest first, by route.
type history [slots]map[string]counts

// recent returns the results within the window.
func (u *upstream) recent(now time.Time) history {
	var h history
	for i := 1; i < len(u.reports); i++ {
		slot := int(now.Sub(u.reports[i].at) / slotTime)
		if slot < 0 || slot >= slots {
			continue
		}
		if h[slot] == nil {
			h[slot] = make(map[string]counts)
		}
		for route, c := range u.reports[i].routes {
			h[slot][route] = h[slot][route].plus(c.minus(u.reports[i-1].routes[route]))
		}
	}
	return h
}

// add adds the results of another history.
func (h *history) add(other history) {
	for slot, routes := range other {
		if h[slot] == nil {
			h[slot] = make(map[string]counts)
		}
		for route, c := range routes {
			h[slot][route] = h[slot][route].plus(c)
		}
	}
}

// sum returns the results of each route over the whole window.
func (h *history) sum() map[string]counts {
	sum := make(map[string]counts)
	for _, routes := range h {
		for route, c := range routes {
			sum[route] = sum[route].plus(c)
		}
	}
	return sum
}

func (h *history) total() counts {
	var total counts
	for _, c := range h.sum() {
		total = total.plus(c)
	}
	return total
}

// expected returns what the others would have shown on a route with the calls of this history: in each slot with calls of
// both, the others' rate and mean time count as much as this history has calls. Without such slots it is the others' sum.
// What befalls the whole service for a part of the window thus counts only for the calls that ran meanwhile.
func (h *history) expected(route string, others *history) counts {
	var expected, both, own counts
	for slot := range h {
		c, reference := h[slot][route], others[slot][route]
		if c.calls == 0 || reference.calls == 0 {
			continue
		}
		own, both = own.plus(c), both.plus(reference)
		expected.failures += c.calls * reference.failures / reference.calls
		if reference.timed > 0 {
			expected.timed += c.timed
			expected.micros += c.timed * reference.micros / reference.timed
			for bucket, count := range reference.times {
				expected.times[bucket] += c.timed * count / reference.timed
			}
		}
	}
	if both.calls == 0 {
		return others.sum()[route]
	}
	result := counts{calls: both.calls, failures: both.calls * expected.failures / own.calls, timed: both.timed}
	if expected.timed > 0 {
		result.micros = both.timed * expected.micros / expected.timed
		for bucket, count := range expected.times {
			result.times[bucket] = both.timed * count / expected.timed
		}
	}
	return result
}

// trial is what a Judge knows of one rollout.
type trial struct {
	started uint64
	release string
	// revision is the latest known revision of the rollout, revisionAt the time at which it was seen first.
	revision   uint64
	revisionAt time.Time
	upstreams  map[string]*upstream // by node
}

func newTrial(r release.Rollout) *trial {
	return &trial{started: r.Started, release: r.Release, upstreams: make(map[string]*upstream)}
}

func (t *trial) setRevision(now time.Time, r release.Rollout) {
	if r.Revision != t.revision {
		t.revision, t.revisionAt = r.Revision, now
	}
}

func (t *trial) observe(now time.Time, results release.Results) {
	u := t.upstreams[results.Node]
	if u != nil && (results.Incarnation < u.incarnation ||
		results.Incarnation == u.incarnation && results.Sequence <= u.sequence) {
		return
	}
	if u == nil || u.incarnation != results.Incarnation || u.release != results.Release {
		next := &upstream{release: results.Release, incarnation: results.Incarnation}
		if u != nil && u.release == results.Release {
			next.before = u.calls()
		}
		u = next
		t.upstreams[results.Node] = u
	}
	u.sequence = results.Sequence
	latest := report{at: now, inFlight: results.InFlight, routes: make(map[string]counts, len(results.Routes))}
	for _, route := range results.Routes {
		latest.routes[route.Route] = countsOf(route)
	}
	u.reports = append(u.reports, latest)
	for len(u.reports) > 2 && now.Sub(u.reports[1].at) >= window {
		u.reports = u.reports[1:]
	}
}

// totals returns the calls of the release and those of the whole service since the order.
func (t *trial) totals() (newer, all float64) {
	for _, u := range t.upstreams {
		all += u.calls()
		if u.release == t.release {
			newer += u.calls()
		}
	}
	return newer, all
}

// hasEvidence reports whether the release has run enough calls to be judged, on two upstreams if it has as many.
func (t *trial) hasEvidence(upstreams int) bool {
	newer, all := t.totals()
	if newer < min(max(minEvidenceShare*all, minEvidence), maxEvidence) {
		return false
	}
	judged := 0
	for _, u := range t.upstreams {
		if u.release == t.release && u.calls() > 0 {
			judged++
		}
	}
	return judged >= min(2, upstreams)
}

// othersRecent sums the results of the other releases within the window.
func (t *trial) othersRecent(now time.Time) *history {
	others := new(history)
	for _, u := range t.upstreams {
		if u.release != t.release {
			others.add(u.recent(now))
		}
	}
	return others
}

// verdict tells whether a release is bad. suspected is set if one of its upstreams is faulty, which may be that
// upstream's own fault.
type verdict struct {
	bad, suspected bool
	reason         string
}

// judge compares each upstream of the release with the other releases over the same time, so that what befalls the whole
// service does not count. Only a fault that most of the judged upstreams show is one of the release.
func (t *trial) judge(now time.Time, upstreams int) verdict {
	others := t.othersRecent(now)
	judged, faulty := 0, 0
	reason := ""
	for _, node := range slices.Sorted(maps.Keys(t.upstreams)) {
		u := t.upstreams[node]
		if u.release != t.release {
			continue
		}
		fault, calls := u.fault(now, others)
		if fault != "" {
			faulty++
			reason = fmt.Sprintf("upstream of %s: %s", node, fault)
		}
		if fault != "" || calls >= minJudgedCalls {
			judged++
		}
	}
	v := verdict{reason: reason, suspected: faulty > 0 && 2*faulty >= judged}
	v.bad = 2*faulty > judged && (faulty >= 2 || upstreams <= 1 && faulty == 1)
	if v.bad {
		v.reason = fmt.Sprintf("%d of %d judged upstreams are faulty; %s", faulty, judged, reason)
	}
	return v
}

// fault describes how an upstream is worse than the other releases, if it is, and returns the number of its calls.
func (u *upstream) fault(now time.Time, others *history) (fault string, calls float64) {
	var all, allExpected counts
	expectedFailures := 0.0
	recent := u.recent(now)
	sum := recent.sum()
	for _, route := range slices.Sorted(maps.Keys(sum)) {
		c, reference := sum[route], recent.expected(route, others)
		all = all.plus(c)
		allExpected.calls += reference.calls
		expectedFailures += c.calls * reference.failures / max(reference.calls, 1)
		switch {
		case fault != "":
		case c.isFailing(reference):
			fault = fmt.Sprintf("on route %q, %s, of the other releases' %s", route, formatRate(c.failures, c.calls),
				formatRate(reference.failures, reference.calls))
		case c.isSlow(reference):
			late, othersLate := c.tail(reference)
			fault = fmt.Sprintf("on route %q, %.0f calls took %s on average and %.0f of them long, %.0f of the other releases %s and %.0f",
				route, c.timed, c.mean().Round(time.Millisecond), late, reference.timed,
				reference.mean().Round(time.Millisecond), othersLate)
		}
	}
	allExpected.failures = allExpected.calls * expectedFailures / max(all.calls, 1)
	if fault == "" && all.isFailing(allExpected) {
		fault = fmt.Sprintf("%s, of the other releases' %s", formatRate(all.failures, all.calls),
			formatRate(allExpected.failures, allExpected.calls))
	}
	return fault, all.calls
}

// inDistress reports whether the other releases themselves fail so many calls that a fault of the release may not show.
func (t *trial) inDistress(now time.Time) bool {
	others := t.othersRecent(now).total()
	return others.failures > distressRate*others.calls
}

// olderAreIdle reports whether the upstreams of the other releases have had no call for settleTime, by reports that are
// recent. Upstreams whose nodes report no more have stopped.
func (t *trial) olderAreIdle(now time.Time) bool {
	for _, u := range t.upstreams {
		if u.release == t.release || now.Sub(u.latest().at) > reportLifetime {
			continue
		}
		if u.latest().inFlight > 0 {
			return false
		}
		for i := len(u.reports) - 1; i >= 0; i-- {
			earlier := u.reports[i]
			if callsOf(earlier) != callsOf(u.latest()) || earlier.inFlight > 0 {
				return false
			}
			if now.Sub(earlier.at) >= settleTime {
				break
			}
		}
	}
	return true
}

func callsOf(r report) float64 {
	sum := 0.0
	for _, c := range r.routes {
		sum += c.calls
	}
	return sum
}

// evidence summarizes the results since the order and those within the window.
func (t *trial) evidence(now time.Time) string {
	newer, all := t.totals()
	others := t.othersRecent(now).total()
	var own history
	judged := 0
	for _, u := range t.upstreams {
		if u.release != t.release {
			continue
		}
		judged++
		own.add(u.recent(now))
	}
	ownTotal := own.total()
	late, othersLate := ownTotal.tail(others)
	return fmt.Sprintf("%.0f of %.0f calls on %d upstreams; lately %s in %s, %.0f long, of the others %s in %s, %.0f long",
		newer, all, judged, formatRate(ownTotal.failures, ownTotal.calls), ownTotal.mean().Round(time.Millisecond), late,
		formatRate(others.failures, others.calls), others.mean().Round(time.Millisecond), othersLate)
}
