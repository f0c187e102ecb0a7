package protocol

import (
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// ChunkBytes bounds the part of a body that one frame carries.
const ChunkBytes = 64 << 10

// CallMetadata is the first part of a call from an ingress to the executor beside the selected upstream.
type CallMetadata struct {
	Service string       `cbor:"1,keyasint"`
	Route   string       `cbor:"2,keyasint"`
	Class   bundle.Class `cbor:"3,keyasint"`
	Method  string       `cbor:"4,keyasint"`
	URI     string       `cbor:"5,keyasint"`
	Host    string       `cbor:"6,keyasint"`
	Header  HeaderFields `cbor:"7,keyasint,omitempty"`
	// Remaining is the time left until the deadline when the ingress sent the call. It is a duration because the clocks
	// of the instances may differ.
	Remaining time.Duration `cbor:"8,keyasint"`
	// Depth is the number of calls above this one in its chain; see HeaderDepth.
	Depth int `cbor:"9,keyasint,omitempty"`
	// Retry is set for calls that are made on behalf of a retry; see HeaderRetry.
	Retry bool `cbor:"10,keyasint,omitempty"`
	// Key is the idempotency key of an irreversible call.
	Key string `cbor:"11,keyasint,omitempty"`
	// ContentLength is -1 if the length is not known in advance.
	ContentLength int64 `cbor:"12,keyasint"`
	// Incarnation is the incarnation of the executor that the ingress has selected. An executor of another incarnation
	// refuses the call.
	Incarnation uint64 `cbor:"13,keyasint,omitempty"`
	// Fingerprint identifies the request in the quarantine of requests that crash upstreams.
	Fingerprint [16]byte `cbor:"14,keyasint,omitzero"`
	// Exclusive asks the executor to run the call with no other call in flight.
	Exclusive bool `cbor:"15,keyasint,omitempty"`
	// Version is the configuration version that the ingress has in force.
	Version uint64 `cbor:"16,keyasint,omitempty"`
	// TrailerNames declares the trailer fields that follow a streamed body.
	TrailerNames []string `cbor:"19,keyasint,omitempty"`
	// RequestDigest identifies the content of an irreversible request.
	RequestDigest [32]byte `cbor:"18,keyasint,omitzero"`
	// Priority is the priority of the call in the upstream's queue: 1 is served first, 0 takes the priority of the
	// class.
	Priority int `cbor:"20,keyasint,omitempty"`
	// RequestID is the caller's identifier of the request. The executor sends it to the upstream in the header field
	// Dialect.RequestID.
	RequestID string `cbor:"23,keyasint,omitempty"`
	// TargetRemaining is the time left in which a response has its full value for the caller; 0 if the route has no
	// target.
	TargetRemaining time.Duration `cbor:"22,keyasint,omitempty"`
	// Team is the name of the caller's team; empty if it has none.
	Team string `cbor:"24,keyasint,omitempty"`
	// ReturnIfBusy asks the executor to return the call, with ReasonBusy, unless it can start at once.
	ReturnIfBusy bool `cbor:"25,keyasint,omitempty"`
	// Progress asks the executor for a progress frame as soon as it has the call. A hedged request waits for it.
	Progress bool `cbor:"21,keyasint,omitempty"`
}

// CallFrame is one message from ingress to executor. Only the first frame has metadata; Last marks the last frame.
type CallFrame struct {
	Metadata *CallMetadata       `cbor:"1,keyasint,omitempty"`
	Body     []byte              `cbor:"2,keyasint,omitempty"`
	Last     bool                `cbor:"3,keyasint,omitempty"`
	Trailer  map[string][]string `cbor:"4,keyasint,omitempty"`
}

// LoadReport is the load of an upstream as its executor counts it. Every reply carries one.
type LoadReport struct {
	InFlight int `cbor:"1,keyasint,omitempty"`
	Queued   int `cbor:"2,keyasint,omitempty"`
	Slots    int `cbor:"3,keyasint,omitempty"`
	// LatencyMicros is the mean service time in microseconds.
	LatencyMicros int64 `cbor:"4,keyasint,omitempty"`
	// Speed is how fast the upstream works, in percent of the mean of its service; 0 if it is not known.
	Speed int `cbor:"5,keyasint,omitempty"`
	// Slowdown is how long work takes on the upstream's instance at this moment, in percent of the usual; 0 if it is not
	// known. It holds for some tenths of a second.
	Slowdown int `cbor:"6,keyasint,omitempty"`
}

// ReplyMetadata is the first part of an executor's reply.
type ReplyMetadata struct {
	Outcome Outcome      `cbor:"1,keyasint"`
	Reason  Reason       `cbor:"2,keyasint,omitempty"`
	Status  int          `cbor:"3,keyasint,omitempty"`
	Header  HeaderFields `cbor:"4,keyasint,omitempty"`
	// ContentLength is -1 if the length is not known in advance.
	ContentLength int64      `cbor:"5,keyasint,omitempty"`
	Load          LoadReport `cbor:"6,keyasint"`
	// Suspect is set if the request was in flight when the upstream crashed. It must not be retried automatically.
	Suspect bool `cbor:"8,keyasint,omitempty"`
	// UpstreamTime is the time from sending the request to the upstream until its response was read; 0 if not known.
	UpstreamTime time.Duration `cbor:"7,keyasint,omitempty"`
}

// ReplyFrame is one message from executor to ingress. Last marks the last frame of a complete reply; the reply of a
// stream that ends without it is truncated.
type ReplyFrame struct {
	Metadata *ReplyMetadata      `cbor:"1,keyasint,omitempty"`
	Body     []byte              `cbor:"2,keyasint,omitempty"`
	Last     bool                `cbor:"3,keyasint,omitempty"`
	Trailer  map[string][]string `cbor:"4,keyasint,omitempty"`
	// Progress marks a progress frame: before the metadata, it tells that the executor has the call. It has no other
	// field.
	Progress bool `cbor:"5,keyasint,omitempty"`
}
