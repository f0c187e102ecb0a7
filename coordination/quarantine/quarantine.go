// Package quarantine recognizes requests that crash upstreams. Reports of crashes are merged in any order; repeated
// and late reports do not change the result. A List is safe for concurrent use.
package quarantine

import (
	"time"
)

// Fingerprint identifies a request across nodes and resends.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. body is the SHA-256 of the request body.
func FingerprintOf(route, method, path string, key string, body [32]byte) Fingerprint {
	return Fingerprint{}
}

// ReportID identifies a report.
type ReportID struct {
	Upstream    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
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
	// Isolated is set if the only request in flight was run alone because it was suspect.
	Isolated bool `cbor:"5,keyasint,omitempty"`
	// Cleared lists requests that ran successfully or that an operator cleared.
	Cleared []Clearance `cbor:"6,keyasint,omitempty"`
	// Age is the time since the crash, as far as the sender knows.
	Age time.Duration `cbor:"7,keyasint,omitempty"`
}

// Verdict tells how a request may run.
type Verdict uint8

// The verdicts.
const (
	// Allowed requests run as usual.
	Allowed Verdict = iota
	// Alone requests run only on an upstream that runs nothing else, and are not retried.
	Alone
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
	// Remember is the time for which expired crashes are remembered, so that repeated reports do not revive them.
	Remember time.Duration
	// MaxEntries bounds the requests on the list; the oldest are dropped first.
	MaxEntries int
}

// List holds the suspect and quarantined requests that one node knows of.
type List struct {
	config Config
}

// New returns an empty list.
func New(c Config) *List { return &List{config: c} }

// Crashed records a crash of this node's own upstream and returns the report to publish. inFlight lists the requests
// in flight; isolated is set if the only one was run alone.
func (l *List) Crashed(now time.Time, inFlight []Fingerprint, isolated bool) Report { return Report{} }

// Observe merges a report. It returns whether the report was new.
func (l *List) Observe(now time.Time, r Report) bool { return false }

// Verdict tells how a request may run.
func (l *List) Verdict(now time.Time, f Fingerprint) Verdict { return Allowed }

// Succeeded clears the suspicion against a request that ran. The report must be published if the result is true.
func (l *List) Succeeded(now time.Time, f Fingerprint) (Report, bool) { return Report{}, false }

// Entries returns the suspect and quarantined requests, in order of fingerprint.
func (l *List) Entries(now time.Time) []Entry { return nil }

// Clear removes requests from the list on the word of an operator; without arguments it removes all. The report must
// be published if the result is true.
func (l *List) Clear(now time.Time, fingerprints ...Fingerprint) (Report, bool) {
	return Report{}, false
}

// Reports returns the whole state as reports, for a node that just joined.
func (l *List) Reports(now time.Time) []Report { return nil }
