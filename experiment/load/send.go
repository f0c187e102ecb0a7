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

// plainReader hides the type of a body from net/http, which would otherwise send the request again by itself after a
// broken connection.
type plainReader struct{ io.Reader }

// send makes one attempt and judges its answer.
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
		ctx, cancel = context.WithTimeout(ctx, g.patience(call))
		defer cancel()
	}
	request, err := g.request(httptrace.WithClientTrace(ctx, trace), call, a, node, attempt.ID)
	if err != nil {
		// The URL is built from addresses that listeners reported.
		panic(err)
	}
	response, err := g.client.Do(request)
	if err == nil {
		g.judge(&attempt, call, response)
	} else {
		attempt.fail(ctx, err)
	}
	attempt.End = time.Now()
	attempt.Replayed = connections.Load() > 1
	if at := sent.Load(); at != nil {
		attempt.SentAt = *at
	}
	return attempt
}

func (g *Generator) request(ctx context.Context, call *Call, a arrival, node Node, attempt string) (*http.Request, error) {
	var body io.Reader
	if call.Route.Class == bundle.ClassIrreversible {
		// The body is the same in every send, because a key that is reused for another body is refused.
		body = plainReader{strings.NewReader(`{"request":"` + call.Request + `"}`)}
	}
	request, err := http.NewRequestWithContext(ctx, method(call.Route.Class), "http://"+node.Address+g.options.Path(call.Route), body)
	if err != nil {
		return nil, err
	}
	setHeaders(request.Header, call, a, attempt, time.Until(call.Start.Add(call.Deadline))-g.options.RoundTrip)
	return request, nil
}

// fail records an attempt without an answer.
func (a *Attempt) fail(ctx context.Context, err error) {
	a.Error = err.Error()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.Outcome = Refused
		return
	}
	a.Outcome = Lost
	a.ConnectionBroken = ctx.Err() == nil
}

// judge reads a response and checks it.
func (g *Generator) judge(a *Attempt, call *Call, response *http.Response) {
	defer response.Body.Close()
	a.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.fail(response.Request.Context(), err)
		return
	}
	if micros, err := strconv.ParseInt(response.Header.Get(standin.HeaderAddedTime), 10, 64); err == nil {
		a.AddedTime = time.Duration(micros) * time.Microsecond
	}
	a.Outcome = outcomeOf(response)
	if a.Outcome != Done {
		return
	}
	answer, err := standin.CheckResponse(response.Header, body, call.Request)
	if err != nil {
		a.Outcome = Failed
		a.WrongResponse = err.Error()
		return
	}
	a.Receipt = answer.Receipt
}

// outcomeOf returns what the response tells. Only a response with status 200 is one of the application's answers; an
// error of the application is done, but not whole.
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
