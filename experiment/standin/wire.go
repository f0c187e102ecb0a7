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
	// HeaderNest is the number of calls that the request makes one inside the other.
	HeaderNest = "Experiment-Nest"
	// HeaderDigest is the SHA-256 of the answer's body.
	HeaderDigest = "Experiment-Digest"
)

// Headers of the design page, section 5.
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

// ErrWrongResponse reports an answer that is complete but altered or for another request.
var ErrWrongResponse = errors.New("standin: wrong answer")

// ResponseBody is the body of an upstream's response.
type ResponseBody struct {
	Request string `json:"request"`
	// Receipt identifies the run that produced the answer.
	Receipt string `json:"receipt"`
	Filler  string `json:"filler"`
}

// newAnswer returns a body of about the given size and its digest.
func newAnswer(request, receipt string, size int) (body []byte, digest string) {
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

// CheckResponse verifies a complete response to a request. It returns ErrWrongAnswer unless digest and echo match.
func CheckResponse(header http.Header, body []byte, request string) (ResponseBody, error) {
	if header.Get(HeaderDigest) != digestOf(body) {
		return ResponseBody{}, errors.Wrapf(ErrWrongResponse, "digest of %d bytes", len(body))
	}
	var answer ResponseBody
	if err := json.Unmarshal(body, &answer); err != nil {
		return ResponseBody{}, errors.Wrap(ErrWrongResponse, err.Error())
	}
	if answer.Request != request {
		return ResponseBody{}, errors.Wrapf(ErrWrongResponse, "answer to %s, want %s", answer.Request, request)
	}
	return answer, nil
}
