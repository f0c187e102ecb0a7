// Package ledger is the replicated state machine that lets an irreversible call run at most once. All replicas that
// apply the same commands hold the same state; time enters only through the commands.
package ledger

import (
	"time"
)

// Answer is the response of an irreversible call.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// Dropped means that the call is done but that header and body are not kept: too large, or too old.
	Dropped bool `cbor:"4,keyasint,omitempty"`
}

// Claim asks for the right to run a call. Attempt is unique within an incarnation of the executor.
type Claim struct {
	Key           string   `cbor:"1,keyasint"`
	Route         string   `cbor:"2,keyasint"`
	RequestDigest [32]byte `cbor:"3,keyasint"`
	Executor      string   `cbor:"4,keyasint"`
	Incarnation   uint64   `cbor:"5,keyasint"`
	Attempt       uint64   `cbor:"6,keyasint"`
}

// Record stores the answer of a call. It is valid only from the holder of the claim.
type Record struct {
	Key         string `cbor:"1,keyasint"`
	Executor    string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Attempt     uint64 `cbor:"4,keyasint"`
	Answer      Answer `cbor:"5,keyasint"`
}

// Release gives a claim back: the call was proved not run. It is valid only from the holder of the claim. It also
// voids copies of the claim that arrive later.
type Release struct {
	Key         string `cbor:"1,keyasint"`
	Executor    string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Attempt     uint64 `cbor:"4,keyasint"`
}

// Query asks for the state of a key. A zero RequestDigest skips the comparison with the digest of the claim.
type Query struct {
	Key           string   `cbor:"1,keyasint"`
	RequestDigest [32]byte `cbor:"2,keyasint,omitempty"`
}

// Command is one entry of the replicated log. One of the pointers is set.
type Command struct {
	Claim   *Claim   `cbor:"1,keyasint,omitempty"`
	Record  *Record  `cbor:"2,keyasint,omitempty"`
	Release *Release `cbor:"3,keyasint,omitempty"`
	Query   *Query   `cbor:"4,keyasint,omitempty"`
	// NowMs is the leader's wall clock in milliseconds since 1970. The ledger's time never goes back.
	NowMs int64 `cbor:"5,keyasint"`
}

// Status is the state of a key after a command.
type Status uint8

// The statuses.
const (
	// Granted means that the sender of the claim holds it and may run the call.
	Granted Status = iota
	// Claimed means that Holder holds the claim. The call may have run.
	Claimed
	// Done means that the call ran. Result.Answer is set.
	Done
	// Released means that the last claim was given back; the call was not run.
	Released
	// KeyReused means that the key belongs to a different request.
	KeyReused
	// Expired means that the key is too old, or too far in the future, to be accepted.
	Expired
	// Absent means that the ledger does not know the key.
	Absent
	// Full means that the ledger holds as many keys as it may; the claim was not granted.
	Full
	// Invalid means that the command is not well-formed.
	Invalid
)

// Result is the effect of a command.
type Result struct {
	Status Status `cbor:"1,keyasint"`
	// Holder is the current or last holder of the claim. Its RequestDigest is not filled in.
	Holder Claim   `cbor:"2,keyasint,omitzero"`
	Answer *Answer `cbor:"3,keyasint,omitempty"`
}

// Config holds the limits of a Ledger. All replicas must use the same values. Zero fields take the defaults.
type Config struct {
	// KeyRetention is the time for which keys are kept.
	KeyRetention time.Duration
	// AnswerRetention is the time for which answers and released claims are kept.
	AnswerRetention time.Duration
	// MaxAnswerBytes bounds one answer; larger ones are stored as dropped.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes bounds all answers; the oldest are dropped first.
	MaxTotalAnswerBytes int
	// MaxKeys bounds the keys; further claims get Full.
	MaxKeys int
}

// Ledger holds the state of all keys. It is not safe for concurrent use.
type Ledger struct {
	config Config
}

// New returns an empty ledger.
func New(c Config) *Ledger { return &Ledger{config: c} }

// Apply applies a committed command.
func (l *Ledger) Apply(c Command) Result { return Result{} }

// Len returns the number of keys that are held.
func (l *Ledger) Len() int { return 0 }

// Snapshot returns the canonical encoding of the state: equal states have equal snapshots.
func (l *Ledger) Snapshot() ([]byte, error) { return nil, nil }

// Restore builds a ledger from a snapshot.
func Restore(c Config, data []byte) (*Ledger, error) { return New(c), nil }
