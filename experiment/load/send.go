package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/experiment/standin"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// opaqueReader hides the type of a body from net/http, which would otherwise send the request again by itself after the
// connection breaks.
type opaqueReader struct{ io.Reader }

// send makes one attempt and checks its response.
func (g *Generator) send(ctx context.Context, call *Call, a arrival, node Node, ordinal int) Attempt {
	attempt := Attempt{ID: fmt.Sprintf("%s#%d", call.Request, ordinal), Node: node.ID, Start: time.Now()}
	var connections atomic.Int64
	var sent atomic.Pointer[time.Time]
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connections.Add(1) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			now := time.Now()
			sent.Store(&now)
		},
	}
	// The last send may use all the time that is left.
	if ordinal < g.options.MaxSends-1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, g.attemptTimeout(call))
		defer cancel()
	}
	request, err := g.request(httptrace.WithClientTrace(ctx, trace), call, a, node, attempt.ID)
	if err != nil {
		// The URL is built from addresses that listeners reported.
		panic(err)
	}
	response, err := g.client.Do(request)
	if err == nil {
		g.evaluate(&attempt, call, response)
	} else {
		attempt.recordError(ctx, err)
	}
	attempt.End = time.Now()
	attempt.Replayed = connections.Load() > 1
	if at := sent.Load(); at != nil {
		attempt.SentAt = *at
	}
	return attempt
}

// request builds the HTTP request of an attempt.
func (g *Generator) request(ctx context.Context, call *Call, a arrival, node Node, attempt string) (*http.Request, error) {
	var body io.Reader
	if call.Route.Class == bundle.ClassIrreversible {
		// The body is the same in every send, because a key that is reused for another body is refused.
		body = opaqueReader{strings.NewReader(`{"request":"` + call.Request + `"}`)}
	}
	request, err := http.NewRequestWithContext(ctx, method(call.Route.Class), "http://"+node.Address+g.options.Path(call.Route), body)
	if err != nil {
		return nil, err
	}
	setHeaders(request.Header, call, a, attempt, time.Until(call.Start.Add(call.Deadline))-g.options.RoundTrip)
	return request, nil
}

// recordError records an attempt that ended with an error instead of a complete response.
func (a *Attempt) recordError(ctx context.Context, err error) {
	a.Error = err.Error()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.Outcome = Refused
		return
	}
	a.Outcome = Lost
	a.ConnectionBroken = ctx.Err() == nil
}

// evaluate reads and checks a response, and sets the outcome of the attempt.
func (g *Generator) evaluate(a *Attempt, call *Call, response *http.Response) {
	defer response.Body.Close()
	a.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.recordError(response.Request.Context(), err)
		return
	}
	if micros, err := strconv.ParseInt(response.Header.Get(standin.HeaderAddedTime), 10, 64); err == nil {
		a.AddedTime = time.Duration(micros) * time.Microsecond
	}
	a.Outcome = outcomeOf(response)
	if a.Outcome != Done {
		return
	}
	content, err := standin.CheckResponse(response.Header, body, call.Request)
	if err != nil {
		a.Outcome = Failed
		a.WrongResponse = err.Error()
		return
	}
	a.Receipt = content.Receipt
}

// outcomeOf returns the outcome that a response states. Applications respond with status 200 to every request that they
// complete; any other status is an error of the application even if the outcome is done, and counts as Failed.
func outcomeOf(response *http.Response) Outcome {
	outcome := Outcome(response.Header.Get(standin.HeaderOutcome))
	switch {
	case outcome == NotRun || outcome == Unknown:
		return outcome
	case response.StatusCode == http.StatusOK && (outcome == Done || outcome == ""):
		return Done
	default:
		return Failed
	}
}
