// Package quarantine recognizes requests that crash upstreams. Nodes exchange reports of crashes. The order in which a
// node merges them does not matter, and a repeated report changes nothing. A List is safe for concurrent use.
//
// A request that was in flight when an upstream crashed is suspect. It runs only exclusively, that is, with no other
// request in flight on the upstream. A suspect request that crashes an upstream while it runs exclusively is
// quarantined: it is refused. A request that merely happened to be the only one in flight is not quarantined at once:
// at the design scale an upstream runs about one call at a time, so the loss of a rack would otherwise quarantine one
// harmless request for each upstream in it.
package quarantine

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"
)

// Fingerprint identifies a request across nodes and resends.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. body is the SHA-256 of the request body.
func FingerprintOf(route, method, path string, key string, body [32]byte) Fingerprint {
	h := sha256.New()
	for _, field := range []string{route, method, path, key} {
		// The length distinguishes two requests whose concatenated fields are the same text.
		h.Write(binary.AppendUvarint(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
	h.Write(body[:])
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// Compare orders fingerprints.
func (f Fingerprint) Compare(other Fingerprint) int { return bytes.Compare(f[:], other[:]) }

// ReportID identifies a report: the node that published it, the node's incarnation and a number within the incarnation.
type ReportID struct {
	Upstream    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
}

// Compare orders report identifiers.
func (r ReportID) Compare(other ReportID) int {
	return cmp.Or(
		cmp.Compare(r.Upstream, other.Upstream),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
	)
}

// Clearance makes certain crashes no longer count against a request.
type Clearance struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crashes     []ReportID  `cbor:"2,keyasint"`
}

// Report tells other nodes about a crash, or about requests that are cleared.
type Report struct {
	Upstream    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// Fingerprints lists the requests in flight when the upstream crashed.
	Fingerprints []Fingerprint `cbor:"4,keyasint,omitempty"`
	// Exclusive is set if the only request in flight was run exclusively because it was suspect.
	Exclusive bool `cbor:"5,keyasint,omitempty"`
	// Cleared lists requests that ran successfully or that an operator cleared.
	Cleared []Clearance `cbor:"6,keyasint,omitempty"`
	// Age is the time since the crash, by the clock of the sender.
	Age time.Duration `cbor:"7,keyasint,omitempty"`
}

// ID returns the identifier of the report.
func (r Report) ID() ReportID {
	return ReportID{Upstream: r.Upstream, Incarnation: r.Incarnation, Sequence: r.Sequence}
}

// Verdict tells how a request may run.
type Verdict uint8

// The verdicts.
const (
	// Allowed requests run as usual.
	Allowed Verdict = iota
	// Exclusive requests are suspect: they run only on an upstream that runs nothing else, and are not retried.
	Exclusive
	// Refused requests are quarantined.
	Refused
)

// Entry describes one suspect or quarantined request.
type Entry struct {
	Fingerprint Fingerprint
	Verdict     Verdict
	// Upstreams lists the upstreams that crashed with the request in flight.
	Upstreams []string
	// Until is the time at which the entry expires on this node.
	Until time.Time
}

// Config holds the settings of a List. Zero fields take the defaults.
type Config struct {
	// ID and Incarnation identify this node in the reports that it publishes.
	ID          string
	Incarnation uint64
	// Duration is the time for which a crash counts against a request.
	Duration time.Duration
	// Retention is the time for which a crash is kept on the list, so that a repeated report does not make an expired
	// crash count again. It is at least Duration.
	Retention time.Duration
	// MaxEntries is the largest number of requests on the list. Those with the oldest crashes are dropped first.
	MaxEntries int
}

// The defaults of Config.
const (
	DefaultDuration = 10 * time.Minute
	// DefaultRetention is the duration of the longest network partition that the design allows for.
	DefaultRetention = time.Hour
	// DefaultMaxEntries covers crashes of 80 upstreams with 120 requests in flight each.
	DefaultMaxEntries = 10_000
)

func (c Config) withDefaults() Config {
	c.Duration = cmp.Or(c.Duration, DefaultDuration)
	c.Retention = max(c.Duration, cmp.Or(c.Retention, DefaultRetention))
	c.MaxEntries = cmp.Or(c.MaxEntries, DefaultMaxEntries)
	return c
}

// List holds the suspect and quarantined requests that one node knows of.
type List struct {
	config   Config
	mu       sync.RWMutex
	entries  map[Fingerprint]*entry
	sequence uint64
	// lastExpiry is when crashes past their retention were last removed.
	lastExpiry time.Time
}

// New returns an empty list.
func New(c Config) *List {
	return &List{config: c.withDefaults(), entries: make(map[Fingerprint]*entry)}
}

// Crashed records a crash of this node's own upstream and returns the report to publish. inFlight lists the requests
// in flight; exclusive is set if the only one was run exclusively.
func (l *List) Crashed(now time.Time, inFlight []Fingerprint, exclusive bool) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.newReport()
	r.Fingerprints = slices.Clone(inFlight)
	r.Exclusive = exclusive && len(inFlight) == 1
	l.merge(now, r)
	return r
}

// Observe merges a report. It returns whether the report contained anything new, in which case it should be passed on
// to other nodes. Callers must not skip a report because they have seen its identifier: a report that Reports rebuilt
// may be less complete than the original with the same identifier.
func (l *List) Observe(now time.Time, r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merge(now, r)
}

// Verdict returns how a request may run.
func (l *List) Verdict(now time.Time, f Fingerprint) Verdict {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.entries[f]
	if !ok {
		return Allowed
	}
	return e.verdict(now, l.config.Duration)
}

// Succeeded clears a suspect request that ran without a crash. A quarantined request is not cleared: a run that began
// before the quarantine does not show that later runs are harmless. The report must be published if the result is true.
func (l *List) Succeeded(now time.Time, f Fingerprint) (Report, bool) {
	if l.Verdict(now, f) != Exclusive {
		return Report{}, false
	}
	return l.Clear(now, f)
}

// Entries returns the suspect and quarantined requests, sorted by fingerprint.
func (l *List) Entries(now time.Time) []Entry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []Entry
	for _, f := range l.sorted() {
		e := l.entries[f]
		if e.verdict(now, l.config.Duration) != Allowed {
			list = append(list, e.describe(now, f, l.config.Duration))
		}
	}
	return list
}

// Clear removes requests from the list at the request of an operator; without fingerprints it removes all. The report
// must be published if the result is true. Crashes whose reports have not reached this node yet are not cleared.
func (l *List) Clear(now time.Time, fingerprints ...Fingerprint) (Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(fingerprints) == 0 {
		fingerprints = l.sorted()
	}
	var cleared []Clearance
	for _, f := range fingerprints {
		e, ok := l.entries[f]
		if !ok || e.verdict(now, l.config.Duration) == Allowed {
			continue
		}
		cleared = append(cleared, Clearance{Fingerprint: f, Crashes: e.activeCrashes(now, l.config.Duration)})
	}
	if len(cleared) == 0 {
		return Report{}, false
	}
	r := l.newReport()
	r.Cleared = cleared
	l.merge(now, r)
	return r, true
}

// Reports returns the whole list as reports for a node that has just joined.
func (l *List) Reports(now time.Time) []Report {
	l.mu.RLock()
	defer l.mu.RUnlock()
	reports := make(map[ReportID]*Report)
	for _, f := range l.sorted() {
		for id, c := range l.entries[f].crashes {
			if now.Sub(c.at) >= l.config.Retention {
				continue
			}
			r, ok := reports[id]
			if !ok {
				r = &Report{Upstream: id.Upstream, Incarnation: id.Incarnation, Sequence: id.Sequence, Age: now.Sub(c.at)}
				reports[id] = r
			}
			r.add(f, id, c)
		}
	}
	list := make([]Report, 0, len(reports))
	for _, r := range reports {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Report) int { return a.ID().Compare(b.ID()) })
	return list
}

// add adds a request that was in flight in the crash, or its clearance, to the report.
func (r *Report) add(f Fingerprint, id ReportID, c *crash) {
	if c.reported {
		r.Fingerprints = append(r.Fingerprints, f)
		r.Exclusive = r.Exclusive || c.exclusive
	}
	if c.cleared {
		r.Cleared = append(r.Cleared, Clearance{Fingerprint: f, Crashes: []ReportID{id}})
	}
}

func (l *List) newReport() Report {
	l.sequence++
	return Report{Upstream: l.config.ID, Incarnation: l.config.Incarnation, Sequence: l.sequence}
}

// merge adds the contents of a report. The result does not depend on the order and repetition of reports: crashes and
// clearances are only added, flags are only set, and the time of a crash only moves back.
func (l *List) merge(now time.Time, r Report) bool {
	at := now.Add(-max(0, r.Age))
	if now.Sub(at) >= l.config.Retention {
		return false
	}
	changed := false
	for _, f := range r.Fingerprints {
		c, added := l.findOrAddCrash(f, r.ID(), at)
		changed = changed || added || !c.reported
		c.reported = true
		c.exclusive = c.exclusive || r.Exclusive
	}
	for _, clearance := range r.Cleared {
		for _, id := range clearance.Crashes {
			c, added := l.findOrAddCrash(clearance.Fingerprint, id, at)
			changed = changed || added || !c.cleared
			c.cleared = true
		}
	}
	l.expireCrashes(now)
	l.evictOldest()
	return changed
}

func (l *List) findOrAddCrash(f Fingerprint, id ReportID, at time.Time) (*crash, bool) {
	e, ok := l.entries[f]
	if !ok {
		e = &entry{crashes: make(map[ReportID]*crash)}
		l.entries[f] = e
	}
	c, ok := e.crashes[id]
	if !ok {
		c = &crash{at: at}
		e.crashes[id] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	return c, !ok
}

// expireInterval is the shortest time between two searches of the whole list for crashes past their retention.
const expireInterval = time.Minute

// expireCrashes removes crashes past their retention, at most once per expireInterval.
func (l *List) expireCrashes(now time.Time) {
	if now.Sub(l.lastExpiry) < expireInterval {
		return
	}
	l.lastExpiry = now
	for f, e := range l.entries {
		for id, c := range e.crashes {
			if now.Sub(c.at) >= l.config.Retention {
				delete(e.crashes, id)
			}
		}
		if len(e.crashes) == 0 {
			delete(l.entries, f)
		}
	}
}

// evictOldest removes the requests whose latest crash is the oldest until at most MaxEntries are left.
func (l *List) evictOldest() {
	excess := len(l.entries) - l.config.MaxEntries
	if excess <= 0 {
		return
	}
	list := l.sorted()
	slices.SortStableFunc(list, func(a, b Fingerprint) int { return l.entries[a].latestCrash().Compare(l.entries[b].latestCrash()) })
	for _, f := range list[:excess] {
		delete(l.entries, f)
	}
}

func (l *List) sorted() []Fingerprint {
	return slices.SortedFunc(maps.Keys(l.entries), Fingerprint.Compare)
}
