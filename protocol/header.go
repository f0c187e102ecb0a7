package protocol

// Headers between callers, upstreams and nodes.
const (
	// HeaderOutcome tells a caller what became of its request; see Outcome.
	HeaderOutcome = "Sapphire-Outcome"
	// HeaderOutcomeURL is where a caller can ask again for the outcome of an irreversible request.
	HeaderOutcomeURL = "Sapphire-Outcome-Url"
	// HeaderReason says in one word why a request was refused or its outcome is unknown.
	HeaderReason = "Sapphire-Reason"
	// HeaderDeadline is the time left for the request, in milliseconds.
	HeaderDeadline = "Sapphire-Deadline-Ms"
	// HeaderDepth counts the calls above this one.
	HeaderDepth = "Sapphire-Depth"
	// HeaderRetry marks calls that are made on behalf of a retry; they are never retried again.
	HeaderRetry = "Sapphire-Retry"
	// HeaderAddedTime is the time that the request spent in our processes, in microseconds.
	HeaderAddedTime = "Sapphire-Added-Micros"
	// HeaderVersion is the configuration version that routed the request.
	HeaderVersion = "Sapphire-Version"
	// HeaderIdempotencyKey makes irreversible requests idempotent.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// MaxDepth is the deepest chain of calls that is carried; deeper calls are refused as not run.
// The deepest chain in the design scale is 22.
const MaxDepth = 32

// MaxHeaderBytes bounds the header of a request and of an answer.
const MaxHeaderBytes = 64 << 10

// Outcome is what a caller is told about its request.
type Outcome string

const (
	// OutcomeDone means that the answer is the upstream's whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no upstream has run the request, which is proved.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that an upstream may or may not have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a request was refused or why its outcome is unknown.
type Reason string

// The reasons.
const (
	ReasonNone              Reason = ""
	ReasonNoRoute           Reason = "no-route"
	ReasonNotReady          Reason = "not-ready"
	ReasonNoUpstream        Reason = "no-upstream"
	ReasonShed              Reason = "shed"
	ReasonCallLimit         Reason = "call-limit"
	ReasonDeadline          Reason = "deadline"
	ReasonDraining          Reason = "draining"
	ReasonQuarantined       Reason = "quarantined"
	ReasonKeyMissing        Reason = "key-missing"
	ReasonKeyReused         Reason = "key-reused"
	ReasonKeyExpired        Reason = "key-expired"
	ReasonLedgerUnavailable Reason = "ledger-unavailable"
	ReasonInProgress        Reason = "in-progress"
	ReasonUpstreamFailed    Reason = "upstream-failed"
	ReasonUpstreamRefused   Reason = "upstream-refused"
	ReasonUnreachable       Reason = "upstream-unreachable"
	ReasonTruncated         Reason = "truncated"
	ReasonNodeFailed        Reason = "node-failed"
	ReasonTooLarge          Reason = "too-large"
	ReasonTooDeep           Reason = "too-deep"
	ReasonCallerGone        Reason = "caller-gone"
	ReasonResponseNotKept   Reason = "answer-not-kept"
)
