package protocol

// Header fields between callers, upstreams and nodes.
const (
	// HeaderOutcome tells a caller what became of its request; see Outcome.
	HeaderOutcome = "Sapphire-Outcome"
	// HeaderOutcomeURL is the URL at which a caller can ask later for the outcome of an irreversible request.
	HeaderOutcomeURL = "Sapphire-Outcome-Url"
	// HeaderReason tells why a request was refused or its outcome is unknown; see Reason.
	HeaderReason = "Sapphire-Reason"
	// HeaderDeadline is the time left for the request, in milliseconds.
	HeaderDeadline = "Sapphire-Deadline-Ms"
	// HeaderDepth is the number of calls above this one in its chain.
	HeaderDepth = "Sapphire-Depth"
	// HeaderRetry marks calls that are made on behalf of a retry. They are never retried themselves.
	HeaderRetry = "Sapphire-Retry"
	// HeaderAddedTime is the time that the request spent in processes of sapphiregate, in microseconds.
	HeaderAddedTime = "Sapphire-Added-Micros"
	// HeaderUpstreamLimit is set by an upstream to the requests per second that it takes from all nodes together.
	HeaderUpstreamLimit = "Sapphire-Upstream-Limit"
	// HeaderUpstreamLeaving is set to 1 in all responses of an upstream that is about to stop.
	HeaderUpstreamLeaving = "Sapphire-Upstream-Leaving"
	// HeaderTeam is the name of the team whose key the caller of a request has.
	HeaderTeam = "Sapphire-Team"
	// HeaderVersion is the configuration version that routed the request.
	HeaderVersion = "Sapphire-Version"
	// HeaderIdempotencyKey is the key by which irreversible requests are idempotent.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// MaxDepth is the greatest allowed length of a chain of calls; calls beyond it are refused as not run. The longest
// chain that the system is designed for is 22.
const MaxDepth = 32

// MaxHeaderBytes bounds the size of the header of a request and of a response.
const MaxHeaderBytes = 64 << 10

// Outcome tells a caller whether its request was run.
type Outcome string

const (
	// OutcomeDone means that the response is the complete response of the upstream.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no upstream has run the request, provably.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that an upstream may or may not have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Reason tells why a request was refused or why its outcome is unknown.
type Reason string

const (
	ReasonNone              Reason = ""
	ReasonNoRoute           Reason = "no-route"
	ReasonNotReady          Reason = "not-ready"
	ReasonNoUpstream        Reason = "no-upstream"
	ReasonShed              Reason = "shed"
	ReasonBusy              Reason = "busy"
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
	// ReasonUnknownKey means that no team has the key of the request, or that it has none and needs one.
	ReasonUnknownKey Reason = "unknown-key"
	// ReasonUnconfirmed means that the node does not know whether its keys are still those of the latest version.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonQuota means that the caller's team has used up its quota.
	ReasonQuota Reason = "quota"
	// ReasonQuotaUnknown means that the node cannot learn whether the caller's team has used up its quota.
	ReasonQuotaUnknown Reason = "quota-unknown"
)
