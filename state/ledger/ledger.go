// Package ledger implements the replicated state machine that ensures that an irreversible call runs at most once. It
// is deterministic: the same commands in the same order give the same state on every replica, and the time is part of
// the commands.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/invariant"
)

// Response is the response of an upstream to an irreversible call.
type Response struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// Dropped means that the call is done, but its header and body are not kept because they were too large or too old.
	Dropped bool `cbor:"4,keyasint,omitempty"`
}

// Claim asks for the right to run a call. A claim that its holder sends again is granted again. Attempt must therefore
// be unique within an incarnation of the executor, and a restarted executor must use a new incarnation.
type Claim struct {
	Key           string   `cbor:"1,keyasint"`
	Route         string   `cbor:"2,keyasint"`
	RequestDigest [32]byte `cbor:"3,keyasint"`
	Executor      string   `cbor:"4,keyasint"`
	Incarnation   uint64   `cbor:"5,keyasint"`
	Attempt       uint64   `cbor:"6,keyasint"`
}

// Record stores the response of a call. It takes effect only if it comes from the holder of the claim.
type Record struct {
	Key         string   `cbor:"1,keyasint"`
	Executor    string   `cbor:"2,keyasint"`
	Incarnation uint64   `cbor:"3,keyasint"`
	Attempt     uint64   `cbor:"4,keyasint"`
	Response    Response `cbor:"5,keyasint"`
}

// Release gives up a claim after a call that was certainly not run. It ends the claim only if it comes from its holder.
// Whether it does or not, copies of the sender's claim that arrive later are not granted. Nothing is stored for an
// unknown key while the ledger is full.
type Release struct {
	Key         string `cbor:"1,keyasint"`
	Executor    string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Attempt     uint64 `cbor:"4,keyasint"`
}

// Query asks for the state of a key. If RequestDigest is zero, the request is not compared with that of the claim.
type Query struct {
	Key           string   `cbor:"1,keyasint"`
	RequestDigest [32]byte `cbor:"2,keyasint,omitzero"`
	Route         string   `cbor:"3,keyasint,omitempty"`
}

// Command is one entry of the replicated log. Exactly one of the pointers is set.
type Command struct {
	Claim   *Claim   `cbor:"1,keyasint,omitempty"`
	Record  *Record  `cbor:"2,keyasint,omitempty"`
	Release *Release `cbor:"3,keyasint,omitempty"`
	Query   *Query   `cbor:"4,keyasint,omitempty"`
	// NowMs is the leader's wall clock in milliseconds since 1970. If it is behind that of an earlier command, the ledger
	// keeps the later time.
	NowMs int64 `cbor:"5,keyasint"`
}

// Status is the state of a key after a command.
type Status uint8

const (
	// Granted means that the sender of the claim holds it and may run the call.
	Granted Status = iota
	// Claimed means that Holder holds the claim. The call may have run.
	Claimed
	// Done means that the call ran. Result.Response is set.
	Done
	// Released means that the last claim was released; the call was not run.
	Released
	// KeyReused means that the key belongs to a different request.
	KeyReused
	// Expired means that the time in the key is too far in the past or in the future.
	Expired
	// Absent means that the ledger does not know the key.
	Absent
	// Full means that the ledger has reached Config.MaxKeys; the claim was not granted.
	Full
	// Invalid means that the command does not have exactly one part, or has an empty key.
	Invalid
)

// Result is the result of a command.
type Result struct {
	Status Status `cbor:"1,keyasint"`
	// Holder is the current or last holder of the claim. Its Route and RequestDigest are not set.
	Holder Claim `cbor:"2,keyasint,omitzero"`
	// Response is set if Status is Done.
	Response *Response `cbor:"3,keyasint,omitempty"`
}

// Config holds the limits of a Ledger. All replicas must use the same values. Zero fields take the defaults.
type Config struct {
	// KeyRetention is the time for which keys are kept after their claim.
	KeyRetention time.Duration
	// ResponseRetention is the time for which responses and released claims are kept.
	ResponseRetention time.Duration
	// MaxResponseBytes bounds one response. Larger ones are stored as dropped.
	MaxResponseBytes int
	// MaxTotalResponseBytes bounds all responses together. The oldest are dropped first.
	MaxTotalResponseBytes int
	// MaxKeys bounds the number of keys. Further claims get Full.
	MaxKeys int
}

// The defaults of Config.
const (
	DefaultKeyRetention      = 7 * 24 * time.Hour
	DefaultResponseRetention = time.Hour
	DefaultMaxResponseBytes  = 64 << 10
	// DefaultMaxTotalResponseBytes is enough for 1,000 responses of the greatest size.
	DefaultMaxTotalResponseBytes = 64 << 20
	// DefaultMaxKeys takes 760 MB at 190 bytes a key and serves 6.6 irreversible calls/s over 7 days.
	DefaultMaxKeys = 4_000_000
)

func (c Config) withDefaults() Config {
	c.KeyRetention = cmp.Or(c.KeyRetention, DefaultKeyRetention)
	c.ResponseRetention = cmp.Or(c.ResponseRetention, DefaultResponseRetention)
	c.MaxResponseBytes = cmp.Or(c.MaxResponseBytes, DefaultMaxResponseBytes)
	c.MaxTotalResponseBytes = cmp.Or(c.MaxTotalResponseBytes, DefaultMaxTotalResponseBytes)
	c.MaxKeys = cmp.Or(c.MaxKeys, DefaultMaxKeys)
	return c
}

// Ledger holds the state of all keys. It is not safe for concurrent use.
type Ledger struct {
	config Config
	nowMs  int64 // the latest time of all commands so far
	keys
	responses
	executors nameTable
}

// New returns an empty ledger.
func New(c Config) *Ledger {
	return &Ledger{config: c.withDefaults(), keys: newKeys(), responses: newResponses(), executors: newNameTable()}
}

// Apply executes a committed command and returns its result.
func (l *Ledger) Apply(c Command) Result {
	l.advance(c.NowMs)
	if !c.valid() {
		return Result{Status: Invalid}
	}
	switch {
	case c.Claim != nil:
		return l.claim(*c.Claim)
	case c.Record != nil:
		return l.record(*c.Record)
	case c.Release != nil:
		return l.release(*c.Release)
	default:
		return l.Lookup(*c.Query)
	}
}

// Len returns the number of keys, including expired ones that are not removed yet.
func (l *Ledger) Len() int { return len(l.entries) }

// valid reports whether exactly one part of the command is set and its key is not empty.
func (c Command) valid() bool {
	set, key := 0, ""
	if c.Claim != nil {
		set, key = set+1, c.Claim.Key
	}
	if c.Record != nil {
		set, key = set+1, c.Record.Key
	}
	if c.Release != nil {
		set, key = set+1, c.Release.Key
	}
	if c.Query != nil {
		set, key = set+1, c.Query.Key
	}
	return set == 1 && key != ""
}

// advance sets the time, unless the clock of a new leader is behind that of an earlier one, and drops what has expired.
func (l *Ledger) advance(nowMs int64) {
	l.nowMs = max(l.nowMs, nowMs)
	l.keys.expire(l.nowMs)
	l.responses.expire(l.nowMs, l.config.MaxTotalResponseBytes)
}

// claim grants the claim if the key is unknown or released, or if the claimant holds the claim already.
func (l *Ledger) claim(c Claim) Result {
	keyMs, hasTime := keyTime(c.Key)
	if hasTime && !l.acceptsKeyTime(keyMs) {
		return Result{Status: Expired}
	}
	key, claimant := hashKey(c.Key), l.holder(c.Executor, c.Incarnation, c.Attempt)
	e, known := l.lookupForUpdate(key, l.nowMs)
	switch {
	case !known && len(l.entries) >= l.config.MaxKeys:
		return Result{Status: Full}
	case known && !e.sameRequest(c.Route, c.RequestDigest):
		return Result{Status: KeyReused}
	case known && e.status == Claimed && e.holder == claimant:
		return l.result(Granted, c.Key, e)
	case known && e.status != Released:
		return l.result(e.status, c.Key, e)
	case slices.Contains(l.voided[key], claimant):
		e.holder = claimant
		return l.result(Released, c.Key, e)
	}
	e = entry{status: Claimed, holder: claimant, request: hashRequest(c.Route, c.RequestDigest)}
	// A key with a time in the future is kept until claims with this key are refused as too old.
	e.expiresMs = max(l.nowMs, keyMs) + l.config.KeyRetention.Milliseconds()
	l.store(key, e)
	return l.result(Granted, c.Key, e)
}

// record completes the call with its response if the sender holds the claim.
func (l *Ledger) record(r Record) Result {
	key, claimant := hashKey(r.Key), l.holder(r.Executor, r.Incarnation, r.Attempt)
	e, known := l.lookupForUpdate(key, l.nowMs)
	if !known {
		return Result{Status: Absent}
	}
	if slices.Contains(l.voided[key], claimant) {
		invariant.Violated(invariant.FalseNotRun, "a released call has a response", map[string]any{
			"key": r.Key, "executor": r.Executor, "attempt": r.Attempt,
		})
	}
	if e.status == Claimed && e.holder == claimant {
		e.status = Done
		e.responseStatus = uint16(r.Response.Status)
		l.store(key, e)
		l.storeResponse(key, r.Response)
	}
	return l.result(e.status, r.Key, e)
}

// storeResponse stores a response unless it is too large.
func (l *Ledger) storeResponse(key keyHash, response Response) {
	if response.Dropped || response.Size() > l.config.MaxResponseBytes {
		return
	}
	l.responses.add(key, response, l.nowMs+l.config.ResponseRetention.Milliseconds())
	l.responses.expire(l.nowMs, l.config.MaxTotalResponseBytes)
}

// release ends the claim if the sender holds it. Whether it does or not, copies of the sender's claim that arrive later
// are void: if one were granted, no attempt would run the call or release the claim.
func (l *Ledger) release(r Release) Result {
	key, claimant := hashKey(r.Key), l.holder(r.Executor, r.Incarnation, r.Attempt)
	e, known := l.lookupForUpdate(key, l.nowMs)
	releasedUntil := l.nowMs + l.config.ResponseRetention.Milliseconds()
	switch {
	case !known && len(l.entries) >= l.config.MaxKeys:
		return Result{Status: Absent}
	case !known:
		e = entry{status: Released, holder: claimant, expiresMs: releasedUntil}
		l.store(key, e)
	case e.status == Claimed && e.holder == claimant:
		e.status, e.expiresMs = Released, releasedUntil
		l.store(key, e)
	case e.status == Done:
		return l.result(Done, r.Key, e)
	}
	l.void(key, claimant)
	return l.result(e.status, r.Key, e)
}

// Lookup returns the result of a query from this replica's state, which may lag behind that of the leader. It does not
// change the state.
func (l *Ledger) Lookup(q Query) Result {
	e, known := l.lookup(hashKey(q.Key), l.nowMs)
	if keyMs, hasTime := keyTime(q.Key); !known && hasTime && !l.acceptsKeyTime(keyMs) {
		return Result{Status: Expired}
	}
	if !known {
		return Result{Status: Absent}
	}
	if q.RequestDigest != ([32]byte{}) && !e.sameRequest(q.Route, q.RequestDigest) {
		return Result{Status: KeyReused}
	}
	return l.result(e.status, q.Key, e)
}

// acceptsKeyTime reports whether a key with this time may be claimed. A key older than KeyRetention may have been
// dropped after its call ran. A key as far in the future would have to be kept for twice KeyRetention or longer.
func (l *Ledger) acceptsKeyTime(keyMs int64) bool {
	age := l.nowMs - keyMs
	retention := l.config.KeyRetention.Milliseconds()
	return age < retention && age > -retention
}

func (l *Ledger) holder(executor string, incarnation, attempt uint64) holder {
	return holder{executor: l.executors.numberOf(executor), incarnation: incarnation, attempt: attempt}
}

// result returns a result with the holder of an entry and, if the status is Done, the response.
func (l *Ledger) result(status Status, key string, e entry) Result {
	r := Result{Status: status, Holder: Claim{
		Key:         key,
		Executor:    l.executors.names[e.holder.executor],
		Incarnation: e.holder.incarnation,
		Attempt:     e.holder.attempt,
	}}
	if status != Done {
		return r
	}
	if response, ok := l.responses.get(hashKey(key)); ok {
		r.Response = response
		return r
	}
	r.Response = &Response{Status: int(e.responseStatus), Dropped: true}
	return r
}
