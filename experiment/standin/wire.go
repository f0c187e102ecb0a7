package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Headers that the load generator sets for the upstreams. Nodes forward them like any other header.
const (
	HeaderRequest = "Experiment-Request"
	HeaderAttempt = "Experiment-Attempt"
	HeaderClass   = "Experiment-Class"
	// HeaderCrash marks a request that crashes the upstream that runs it.
	HeaderCrash = "Experiment-Crash"
	// HeaderNest is how many levels of nested calls the request makes: its upstream makes one call, with the value
	// lowered by 1, until the value is 0.
	HeaderNest = "Experiment-Nest"
	// HeaderDigest is the SHA-256 of the response body, in hexadecimal.
	HeaderDigest = "Experiment-Digest"
)

// Headers that applications, callers and nodes exchange. HeaderAddedTime is in microseconds, HeaderDeadline in
// milliseconds.
const (
	HeaderOutcome        = "Sapphire-Outcome"
	HeaderDeadline       = "Sapphire-Deadline-Ms"
	HeaderDepth          = "Sapphire-Depth"
	HeaderRetry          = "Sapphire-Retry"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAddedTime      = "Sapphire-Added-Micros"
)

// OutcomeNotRun is the outcome that an upstream sends when it sheds a request.
const OutcomeNotRun = "not-run"

// ErrWrongResponse reports a response that is complete but was altered or belongs to another request.
var ErrWrongResponse = errors.New("standin: wrong answer")

// ResponseBody is the JSON body of an upstream's response.
type ResponseBody struct {
	Request string `json:"request"`
	// Receipt identifies the run that produced the response.
	Receipt string `json:"receipt"`
	// Filler brings the body to the wanted size.
	Filler string `json:"filler"`
}

// newResponse returns a response body with a filler of size bytes, and the body's digest.
func newResponse(request, receipt string, size int) (body []byte, digest string) {
	body, err := json.Marshal(ResponseBody{Request: request, Receipt: receipt, Filler: strings.Repeat("x", size)})
	if err != nil {
		// Strings always encode.
		panic(err)
	}
	return body, digestOf(body)
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// CheckResponse verifies a complete response to a request. It returns ErrWrongResponse unless the body
// matches the digest header and names the request.
func CheckResponse(header http.Header, body []byte, request string) (ResponseBody, error) {
	if header.Get(HeaderDigest) != digestOf(body) {
		return ResponseBody{}, errors.Wrapf(ErrWrongResponse, "digest of %d bytes", len(body))
	}
	var content ResponseBody
	if err := json.Unmarshal(body, &content); err != nil {
		return ResponseBody{}, errors.Wrap(ErrWrongResponse, err.Error())
	}
	if content.Request != request {
		return ResponseBody{}, errors.Wrapf(ErrWrongResponse, "answer to %s, want %s", content.Request, request)
	}
	return content, nil
}
