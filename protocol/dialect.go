package protocol

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Dialect holds the names of the header fields that nodes exchange with callers and upstreams. A deployment sets it if
// its callers and upstreams use other names; an empty name switches the field off.
type Dialect struct {
	// Deadline is the field with the time left for a request, in milliseconds.
	Deadline string
	// Depth is the field with the number of calls above a request in its chain.
	Depth string
	// Retry is the field that marks requests made on behalf of a retry.
	Retry string
	// RequestID is the field that identifies one attempt of a caller. Upstreams return it in their response, so that a
	// late response to an earlier request is not taken for the response to this one.
	RequestID string
	// CallerService is the field with the service of the caller. The ingress sets it, and replaces any value that the
	// caller sent.
	CallerService string
	// Team is the field in which an upstream gets the name of the caller's team. The ingress sets it, and removes any value
	// that the caller sent. It also removes the caller's key.
	Team string
	// ExpectUpstream is the field with the identity of the upstream that should run a request. Any other upstream
	// responds with 421 Misdirected Request and does not run it.
	ExpectUpstream string
	// SuccessMarker is the field that upstreams set in their responses. A response with a success status but without
	// this field does not come from the upstream itself.
	SuccessMarker string
	// NotRun is the field by which an upstream tells that it has not run the request. NotRunValue is the value that
	// means this; empty means any value.
	NotRun      string
	NotRunValue string
	// UpstreamLimit is the field in which an upstream names the requests per second, a decimal number, that it takes from
	// all nodes together, for as long as its responses have the field.
	UpstreamLimit string
	// UpstreamLeaving is the field that an upstream which is about to stop sets to 1 in all its responses.
	UpstreamLeaving string
	// UpstreamLoad is the field in which an upstream tells its load: calls that run, calls that wait, slots, and optionally
	// how long work takes on its instance at this moment, in percent of the usual, separated by commas.
	UpstreamLoad string
	// FractionalRetryAfter is set if callers understand fractions of a second in Retry-After.
	FractionalRetryAfter bool
	// OutcomeHeaders adds header fields such as HeaderOutcome to responses, which tell the caller what became of its
	// request.
	OutcomeHeaders bool
}

// DefaultDialect is the dialect of callers and upstreams that use the header names of sapphiregate.
var DefaultDialect = Dialect{
	Deadline: HeaderDeadline, Depth: HeaderDepth, Retry: HeaderRetry,
	NotRun: HeaderOutcome, NotRunValue: string(OutcomeNotRun), OutcomeHeaders: true,
	Team: HeaderTeam, UpstreamLimit: HeaderUpstreamLimit, UpstreamLeaving: HeaderUpstreamLeaving,
}

// Refused reports whether an upstream's response states that the request was not run.
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

// RequestLimit returns the requests per second that an upstream names in a response; 0 if it names none. The error is
// ErrMalformed.
func (d *Dialect) RequestLimit(header http.Header) (float64, error) {
	if d.UpstreamLimit == "" || header.Get(d.UpstreamLimit) == "" {
		return 0, nil
	}
	text := header.Get(d.UpstreamLimit)
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || limit < 0 || math.IsInf(limit, 0) || math.IsNaN(limit) {
		return 0, errors.Wrapf(ErrMalformed, "%s is %q, want requests per second", d.UpstreamLimit, text)
	}
	return max(limit, MinRequestLimit), nil
}

// Leaving reports whether an upstream tells in a response that it is about to stop.
func (d *Dialect) Leaving(header http.Header) bool {
	return d.UpstreamLeaving != "" && header.Get(d.UpstreamLeaving) == leavingValue
}

const leavingValue = "1"

// MinRequestLimit (requests per second) is the least limit that is applied. An upstream without any request could not tell
// that it takes more again.
const MinRequestLimit = 0.5

// ValidResponse reports whether a response belongs to the request and comes unchanged from the upstream itself: if the
// dialect has a SuccessMarker, a response of success must have it and must not be encoded, and if the dialect has a
// RequestID, the response must return that of the request. Bytes that do not name the request may belong to none.
func (d *Dialect) ValidResponse(request, response http.Header, status int) bool {
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	if d.SuccessMarker != "" && success &&
		(response.Get(d.SuccessMarker) == "" || response.Get("Content-Encoding") != "") {
		return false
	}
	return d.RequestID == "" || response.Get(d.RequestID) == request.Get(d.RequestID)
}

// UpstreamLoad is the load that an upstream tells in a response.
type UpstreamLoad struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the upstream's instance at this moment, in percent of the usual; 0 if the upstream
	// does not tell.
	Slowdown int
}

const (
	minLoadFields = 3
	maxLoadFields = 4
	// maxLoadFigure bounds the figures of a load; a larger one is a fault of the upstream.
	maxLoadFigure = 1_000_000
)

// Load returns the load that an upstream tells in a response; false if it tells none. The error is ErrMalformed.
func (d *Dialect) Load(header http.Header) (UpstreamLoad, bool, error) {
	if d.UpstreamLoad == "" || header.Get(d.UpstreamLoad) == "" {
		return UpstreamLoad{}, false, nil
	}
	text := header.Get(d.UpstreamLoad)
	parts := strings.Split(text, ",")
	malformed := errors.Wrapf(ErrMalformed, "%s is %q, want 3 or 4 whole numbers", d.UpstreamLoad, text)
	if len(parts) < minLoadFields || len(parts) > maxLoadFields {
		return UpstreamLoad{}, false, malformed
	}
	var figures [maxLoadFields]int
	for i, part := range parts {
		figure, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || figure < 0 || figure > maxLoadFigure {
			return UpstreamLoad{}, false, malformed
		}
		figures[i] = figure
	}
	return UpstreamLoad{Running: figures[0], Waiting: figures[1], Slots: figures[2], Slowdown: figures[3]}, true, nil
}
