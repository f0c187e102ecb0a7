package protocol

import "net/http"

// Dialect names the header fields by which callers and upstreams speak with a node. A deployment whose callers and
// upstreams have names of their own sets it; an empty name switches its field off.
type Dialect struct {
	// Deadline carries the time left for a request, in milliseconds.
	Deadline string
	// Depth counts the calls above a request.
	Depth string
	// Retry marks requests that are made on behalf of a retry.
	Retry string
	// RequestID identifies one attempt of a caller. Upstreams repeat it, which tells an answer to this request from a late
	// answer to an earlier one.
	RequestID string
	// CallerService carries the service beside which a request began. The ingress sets it, whatever the caller sent.
	CallerService string
	// ExpectUpstream carries the identity of the upstream that is to run a request. Any other upstream answers
	// 421 Misdirected Request and does not run it.
	ExpectUpstream string
	// SuccessMarker is set by upstreams on their answers; an answer of success without it is not one.
	SuccessMarker string
	// NotRun marks an upstream's answer to a request that it has not run. NotRunValue is the value that it then has;
	// empty means any.
	NotRun      string
	NotRunValue string
	// FractionalRetryAfter is set if callers understand fractions of a second in Retry-After.
	FractionalRetryAfter bool
	// OutcomeHeaders adds the headers that explain an answer to its caller, such as HeaderOutcome.
	OutcomeHeaders bool
}

// DefaultDialect is that of callers and upstreams that know sapphiregate.
var DefaultDialect = Dialect{
	Deadline: HeaderDeadline, Depth: HeaderDepth, Retry: HeaderRetry,
	NotRun: HeaderOutcome, NotRunValue: string(OutcomeNotRun), OutcomeHeaders: true,
}

// Refused reports whether an upstream's answer states that it has not run the request.
func (d *Dialect) Refused(status int, header http.Header) bool {
	if d.ExpectUpstream != "" && status == http.StatusMisdirectedRequest {
		return true
	}
	value := header.Get(d.NotRun)
	if d.NotRunValue == "" {
		return value != ""
	}
	return status == http.StatusServiceUnavailable && value == d.NotRunValue
}

// ValidResponse reports whether an upstream's answer belongs to the request and is what the upstream made.
func (d *Dialect) ValidResponse(request, answer http.Header, status int) bool {
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	if d.SuccessMarker != "" && success && (answer.Get(d.SuccessMarker) == "" || answer.Get("Content-Encoding") != "") {
		return false
	}
	if d.RequestID == "" {
		return true
	}
	echoed := answer.Get(d.RequestID)
	return echoed == request.Get(d.RequestID) || echoed == "" && !success
}
