package operator

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// Limits of the API.
const (
	// maxRequestBytes bounds a stage request: a complete update in base64 and the other fields.
	maxRequestBytes = registry.MaxUpdateBytes/3*4 + 64<<10
	// maxSmallRequestBytes bounds all other requests.
	maxSmallRequestBytes = 64 << 10
	// maxResponseBytes bounds a response that a client reads. The history and the dump are the largest ones.
	maxResponseBytes = 64 << 20
	// DefaultHistoryLimit is the number of history records if the request sets no limit.
	DefaultHistoryLimit = 100
	// MaxHistoryLimit bounds the number of history records in one response.
	MaxHistoryLimit = 2000
	// maxRequestIDLength bounds the length of a request ID in bytes; the registry has the same limit.
	maxRequestIDLength = 64
)

// errorBody is the JSON body of a response with an error.
type errorBody struct {
	Code     string           `json:"code"`
	Message  string           `json:"message,omitempty"`
	Leader   string           `json:"leader,omitempty"`
	Winner   *bundle.Approval `json:"winner,omitempty"`
	Problems bundle.Problems  `json:"problems,omitempty"`
}

// wireError is the code and the HTTP status by which a response represents an error.
type wireError struct {
	kind   error
	code   string
	status int
}

// wireErrors lists all errors that a member sends. The last one stands for all errors that are not part of the API.
var wireErrors = []wireError{
	{ErrVersionTaken, "version-taken", http.StatusConflict},
	{ErrVersionOld, "version-old", http.StatusConflict},
	{ErrWithdrawn, "withdrawn", http.StatusConflict},
	{ErrNotLatest, "not-latest", http.StatusConflict},
	{ErrUnknownVersion, "unknown-version", http.StatusNotFound},
	{ErrNotStaged, "not-staged", http.StatusConflict},
	{ErrInvalidBundle, "invalid-bundle", http.StatusUnprocessableEntity},
	{ErrUnauthorized, "unauthorized", http.StatusForbidden},
	{ErrBadRequest, "bad-request", http.StatusBadRequest},
	{ErrNotFound, "not-found", http.StatusNotFound},
	{ErrRolloutBusy, "rollout-busy", http.StatusConflict},
	{ErrMaybeCopy, "maybe-copy", http.StatusServiceUnavailable},
	{ErrRolloutEnded, "rollout-ended", http.StatusConflict},
	{ErrUnknownService, "unknown-service", http.StatusNotFound},
	{ErrMembershipBusy, "membership-busy", http.StatusConflict},
	{ErrNotLeader, "not-leader", http.StatusMisdirectedRequest},
	{ErrNoQuorum, "no-quorum", http.StatusServiceUnavailable},
	{ErrOutcomeUnknown, "outcome-unknown", http.StatusGatewayTimeout},
	{ErrInternal, "internal", http.StatusInternalServerError},
}

// CodeOf returns the code of an error in responses and in the JSON output of sapphirectl.
func CodeOf(err error) string {
	if errors.Is(err, ErrUnreachable) {
		return "unreachable"
	}
	return wireErrorOf(err).code
}

// wireErrorOf returns the representation of an error; that of ErrInternal if the error is not part of the API.
func wireErrorOf(err error) wireError {
	for _, candidate := range wireErrors {
		if errors.Is(err, candidate.kind) {
			return candidate
		}
	}
	return wireErrors[len(wireErrors)-1]
}

// kindOf returns the error with the given code.
func kindOf(code string) (error, bool) {
	for _, candidate := range wireErrors {
		if candidate.code == code {
			return candidate.kind, true
		}
	}
	return nil, false
}
