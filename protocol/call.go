package protocol

import (
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// ChunkBytes is the largest body part that one frame carries.
const ChunkBytes = 64 << 10

// CallMetadata opens a call from an ingress to the executor beside the chosen upstream.
type CallMetadata struct {
	Service string       `cbor:"1,keyasint"`
	Route   string       `cbor:"2,keyasint"`
	Class   bundle.Class `cbor:"3,keyasint"`
	Method  string       `cbor:"4,keyasint"`
	URI     string       `cbor:"5,keyasint"`
	Host    string       `cbor:"6,keyasint"`
	Header  HeaderFields `cbor:"7,keyasint,omitempty"`
	// Remaining is the time left when the ingress sent the call; durations need no common clock.
	Remaining time.Duration `cbor:"8,keyasint"`
	Depth     int           `cbor:"9,keyasint,omitempty"`
	Retry     bool          `cbor:"10,keyasint,omitempty"`
	// Key is the idempotency key of an irreversible call.
	Key string `cbor:"11,keyasint,omitempty"`
	// ContentLength is -1 if the length is not known in advance.
	ContentLength int64 `cbor:"12,keyasint"`
	// Incarnation is the executor's incarnation that the ingress chose; another one refuses the call.
	Incarnation uint64 `cbor:"13,keyasint,omitempty"`
	// Fingerprint identifies the request among those that crash upstreams.
	Fingerprint [16]byte `cbor:"14,keyasint,omitzero"`
	// Exclusive asks the executor to run the call with no other call in flight.
	Exclusive bool   `cbor:"15,keyasint,omitempty"`
	Version   uint64 `cbor:"16,keyasint,omitempty"`
	// TrailerNames declares the trailer fields that follow a streamed body.
	TrailerNames []string `cbor:"19,keyasint,omitempty"`
	// RequestDigest identifies the content of an irreversible request.
	RequestDigest [32]byte `cbor:"18,keyasint,omitzero"`
	// Priority ranks the call in the upstream's queue; 1 is first, 0 takes the rank of the class.
	Priority int `cbor:"20,keyasint,omitempty"`
	// RequestID is the caller's name for the request, which the executor sets under its dialect's header name.
	RequestID string `cbor:"23,keyasint,omitempty"`
	// TargetRemaining is the time within which an answer has its full value; 0 if that is not known.
	TargetRemaining time.Duration `cbor:"22,keyasint,omitempty"`
	// Progress asks the executor for a sign that it has the call, which a hedge waits for.
	Progress bool `cbor:"21,keyasint,omitempty"`
}

// CallFrame is one message from ingress to executor. The first frame has metadata; Last ends the request.
type CallFrame struct {
	Metadata *CallMetadata       `cbor:"1,keyasint,omitempty"`
	Body     []byte              `cbor:"2,keyasint,omitempty"`
	Last     bool                `cbor:"3,keyasint,omitempty"`
	Trailer  map[string][]string `cbor:"4,keyasint,omitempty"`
}

// LoadReport is the executor's first-hand knowledge of its upstream, carried on every answer.
type LoadReport struct {
	InFlight      int   `cbor:"1,keyasint,omitempty"`
	Queued        int   `cbor:"2,keyasint,omitempty"`
	Slots         int   `cbor:"3,keyasint,omitempty"`
	LatencyMicros int64 `cbor:"4,keyasint,omitempty"`
}

// ReplyMetadata opens an executor's answer.
type ReplyMetadata struct {
	Outcome Outcome      `cbor:"1,keyasint"`
	Reason  Reason       `cbor:"2,keyasint,omitempty"`
	Status  int          `cbor:"3,keyasint,omitempty"`
	Header  HeaderFields `cbor:"4,keyasint,omitempty"`
	// ContentLength is -1 if the length is not known in advance.
	ContentLength int64      `cbor:"5,keyasint,omitempty"`
	Load          LoadReport `cbor:"6,keyasint"`
	// Suspect tells that the request was in flight when the upstream crashed; it must not be retried automatically.
	Suspect bool `cbor:"8,keyasint,omitempty"`
	// UpstreamTime is the time between the request written to the upstream and its answer read, as far as known.
	UpstreamTime time.Duration `cbor:"7,keyasint,omitempty"`
}

// ReplyFrame is one message from executor to ingress. Last ends a whole answer; a stream that ends without it
// was cut and the answer is not whole.
type ReplyFrame struct {
	Metadata *ReplyMetadata      `cbor:"1,keyasint,omitempty"`
	Body     []byte              `cbor:"2,keyasint,omitempty"`
	Last     bool                `cbor:"3,keyasint,omitempty"`
	Trailer  map[string][]string `cbor:"4,keyasint,omitempty"`
	// Progress tells, before the metadata, that the executor has the call. Such a frame has no other field.
	Progress bool `cbor:"5,keyasint,omitempty"`
}
