// Package quarantine recognizes requests that crash upstreams. Reports of crashes are merged in any order; repeated
// and late reports do not change the result. A List is safe for concurrent use.
//
// A request that was in flight in a crash is suspect and runs only alone. A suspect that crashes an upstream while it
// runs alone is quarantined. Being the only request in flight is no proof by itself: at the design scale an upstream
// runs about one call at a time, so the loss of a rack would quarantine one innocent request for each upstream in it.
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
		// The length keeps two requests apart whose fields join to the same text.
		h.Write(binary.AppendUvarint(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
	h.Write(body[:])
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// Compare orders fingerprints.
func (f Fingerprint) Compare(other Fingerprint) int { return bytes.Compare(f[:], other[:]) }

// ReportID identifies a report.
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

// Clearance withdraws the suspicion that certain crashes raised against a request.
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
	// Exclusive is set if the only request in flight was run alone because it was suspect.
	Exclusive bool `cbor:"5,keyasint,omitempty"`
	// Cleared lists requests that ran successfully or that an operator cleared.
	Cleared []Clearance `cbor:"6,keyasint,omitempty"`
	// Age is the time since the crash, as far as the sender knows.
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
	// Exclusive requests run only on an upstream that runs nothing else, and are not retried.
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
	// Retention is the time after a crash for which it is remembered, so that repeated reports do not revive it.
	Retention time.Duration
	// MaxEntries bounds the requests on the list; the oldest are dropped first.
	MaxEntries int
}

// The defaults of Config.
const (
	DefaultDuration = 10 * time.Minute
	// DefaultRetention is the longest partition that the design page plans for.
	DefaultRetention = time.Hour
	// DefaultMaxEntries covers a crash of 80 upstreams with 120 requests in flight each.
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
	// expired is the time of the last search for old crashes.
	expired time.Time
}

// New returns an empty list.
func New(c Config) *List {
	return &List{config: c.withDefaults(), entries: make(map[Fingerprint]*entry)}
}

// Crashed records a crash of this node's own upstream and returns the report to publish. inFlight lists the requests
// in flight; isolated is set if the only one was run alone.
func (l *List) Crashed(now time.Time, inFlight []Fingerprint, isolated bool) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.newReport()
	r.Fingerprints = slices.Clone(inFlight)
	r.Exclusive = isolated && len(inFlight) == 1
	l.merge(now, r)
	return r
}

// Observe merges a report. It returns whether the report told anything new, in which case it should be passed on.
// Reports must not be told apart by their identifier alone: one that Reports rebuilt may be less complete.
func (l *List) Observe(now time.Time, r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merge(now, r)
}

// Verdict tells how a request may run.
func (l *List) Verdict(now time.Time, f Fingerprint) Verdict {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.entries[f]
	if !ok {
		return Allowed
	}
	return e.verdict(now, l.config.Duration)
}

// Succeeded clears the suspicion against a request that ran. A quarantined request is not cleared: a run that began
// before it was quarantined proves nothing about later ones. The report must be published if the result is true.
func (l *List) Succeeded(now time.Time, f Fingerprint) (Report, bool) {
	if l.Verdict(now, f) != Exclusive {
		return Report{}, false
	}
	return l.Clear(now, f)
}

// Entries returns the suspect and quarantined requests, in order of fingerprint.
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

// Clear removes requests from the list on the word of an operator; without arguments it removes all. The report must
// be published if the result is true. Crashes that this node has not heard of yet are not cleared.
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
		cleared = append(cleared, Clearance{Fingerprint: f, Crashes: e.active(now, l.config.Duration)})
	}
	if len(cleared) == 0 {
		return Report{}, false
	}
	r := l.newReport()
	r.Cleared = cleared
	l.merge(now, r)
	return r, true
}

// Reports returns the whole state as reports, for a node that just joined. Their Age is the time since each crash.
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

// add puts what is known about one request's part in a crash into the report.
func (r *Report) add(f Fingerprint, id ReportID, c *crash) {
	if c.reported {
		r.Fingerprints = append(r.Fingerprints, f)
		r.Exclusive = r.Exclusive || c.isolated
	}
	if c.cleared {
		r.Cleared = append(r.Cleared, Clearance{Fingerprint: f, Crashes: []ReportID{id}})
	}
}

func (l *List) newReport() Report {
	l.sequence++
	return Report{Upstream: l.config.ID, Incarnation: l.config.Incarnation, Sequence: l.sequence}
}

// merge takes a report over. All steps are idempotent and independent of their order: crashes and clearances are only
// added, flags are only set, and the time of a crash only moves back.
func (l *List) merge(now time.Time, r Report) bool {
	at := now.Add(-max(0, r.Age))
	if now.Sub(at) >= l.config.Retention {
		return false
	}
	changed := false
	for _, f := range r.Fingerprints {
		c, added := l.crash(f, r.ID(), at)
		changed = changed || added || !c.reported
		c.reported = true
		c.isolated = c.isolated || r.Exclusive
	}
	for _, clearance := range r.Cleared {
		for _, id := range clearance.Crashes {
			c, added := l.crash(clearance.Fingerprint, id, at)
			changed = changed || added || !c.cleared
			c.cleared = true
		}
	}
	l.expire(now)
	l.limit()
	return changed
}

func (l *List) crash(f Fingerprint, id ReportID, at time.Time) (*crash, bool) {
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

// expireInterval bounds how often the whole list is searched for old crashes.
const expireInterval = time.Minute

// expire forgets crashes that are older than Remember.
func (l *List) expire(now time.Time) {
	if now.Sub(l.expired) < expireInterval {
		return
	}
	l.expired = now
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

// limit drops the requests whose latest crash is the oldest.
func (l *List) limit() {
	excess := len(l.entries) - l.config.MaxEntries
	if excess <= 0 {
		return
	}
	list := l.sorted()
	slices.SortStableFunc(list, func(a, b Fingerprint) int { return l.entries[a].latest().Compare(l.entries[b].latest()) })
	for _, f := range list[:excess] {
		delete(l.entries, f)
	}
}

func (l *List) sorted() []Fingerprint {
	return slices.SortedFunc(maps.Keys(l.entries), Fingerprint.Compare)
}
