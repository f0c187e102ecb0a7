package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/internal/httpresponse"
)

// apiRequest is one request to the API with its retries.
type apiRequest struct {
	client  *Client
	method  string
	path    string
	body    []byte
	timeout time.Duration
	// maybeApplied is set after an attempt at a change that may have taken effect although no response tells so.
	maybeApplied bool
	// lastError is the most informative retryable error so far.
	lastError error
}

// sendChange sends a request that changes the state of the control members. The timeout is that of one attempt.
func sendChange[R any](ctx context.Context, c *Client, path string, request any, timeout time.Duration) (R, error) {
	var response R
	body, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrap(err, "operator: encode request")
	}
	r := apiRequest{client: c, method: http.MethodPost, path: path, body: body, timeout: timeout}
	return response, r.run(ctx, &response)
}

// sendRead sends a request that changes nothing.
func sendRead[R any](ctx context.Context, c *Client, path string) (R, error) {
	var response R
	r := apiRequest{client: c, method: http.MethodGet, path: path, timeout: c.config.AttemptTimeout}
	return response, r.run(ctx, &response)
}

// run tries all addresses in several rounds until one sends a definite response, and decodes it.
func (r *apiRequest) run(ctx context.Context, response any) error {
	wait := r.client.config.RetryWait
	for round := range r.client.config.Rounds {
		if round > 0 && !r.client.pause(ctx, wait) {
			break
		}
		if round > 0 {
			wait *= 2
		}
		if done, err := r.tryAddresses(ctx, response); done {
			return err
		}
	}
	return r.finalError(ctx)
}

// tryAddresses tries each address once, and the leaders that responses name. done is set after a definite response.
func (r *apiRequest) tryAddresses(ctx context.Context, response any) (done bool, err error) {
	queue := r.client.addressesInOrder()
	redirects := 0
	for len(queue) > 0 && ctx.Err() == nil {
		address := queue[0]
		queue = queue[1:]
		err := r.attempt(ctx, address, response)
		if err == nil || !retryable(err) {
			r.client.prefer(address)
			return true, err
		}
		r.recordFailure(address, err)
		if leader := leaderOf(err); leader != "" && leader != address && redirects < maxLeaderRedirects {
			redirects++
			queue = slices.DeleteFunc(queue, func(other string) bool { return other == leader })
			queue = slices.Insert(queue, 0, leader)
		}
	}
	return false, nil
}

// retryable reports whether another attempt may give another result.
func retryable(err error) bool {
	return errors.IsAny(err, ErrNotLeader, ErrNoQuorum, ErrOutcomeUnknown, ErrUnreachable, ErrInternal, ErrMaybeCopy)
}

// leaderOf returns the address of the leader that an error names, or an empty string.
func leaderOf(err error) string {
	var detailed *Error
	if !errors.As(err, &detailed) {
		return ""
	}
	if _, _, err := net.SplitHostPort(detailed.Leader); err != nil {
		return ""
	}
	return detailed.Leader
}

// recordFailure records a retryable error of an attempt.
func (r *apiRequest) recordFailure(address string, err error) {
	if r.method == http.MethodPost && errors.IsAny(err, ErrOutcomeUnknown, ErrInternal) {
		r.maybeApplied = true
	}
	// The error in a response is more informative than a failure to connect to another address.
	if r.lastError == nil || !errors.Is(err, ErrUnreachable) || errors.Is(r.lastError, ErrUnreachable) {
		r.lastError = errors.Wrapf(err, "%s", address)
	}
}

// finalError returns the error of the request after its last attempt.
func (r *apiRequest) finalError(ctx context.Context) error {
	message := "no attempt was made"
	if r.lastError != nil {
		message = r.lastError.Error()
	}
	if ctx.Err() != nil {
		message = fmt.Sprintf("%v; last attempt: %s", ctx.Err(), message)
	}
	switch {
	case r.maybeApplied:
		return &Error{Kind: ErrOutcomeUnknown, Message: message}
	case errors.Is(r.lastError, ErrInternal):
		return &Error{Kind: ErrInternal, Message: message}
	case errors.IsAny(r.lastError, ErrNoQuorum, ErrNotLeader):
		return &Error{Kind: ErrNoQuorum, Message: message}
	case errors.Is(r.lastError, ErrMaybeCopy):
		return &Error{Kind: ErrMaybeCopy, Message: message}
	default:
		return &Error{Kind: ErrUnreachable, Message: message}
	}
}

// attempt sends the request to one address and decodes the response.
func (r *apiRequest) attempt(ctx context.Context, address string, response any) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	url := r.client.scheme + "://" + address + r.path
	request, err := http.NewRequestWithContext(ctx, r.method, url, bytes.NewReader(r.body))
	if err != nil {
		return &Error{Kind: ErrUnreachable, Message: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	var connected atomic.Bool
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}))
	httpResponse, err := r.client.config.HTTP.Do(request)
	if err != nil && !connected.Load() {
		// Nothing was sent without a connection, as after a refused dial or a failed TLS handshake.
		return &Error{Kind: ErrUnreachable, Message: err.Error()}
	}
	if err != nil {
		return r.lostResponse(err.Error())
	}
	defer httpResponse.Body.Close()
	if err := httpresponse.Check(httpResponse); err != nil {
		return r.lostResponse(err.Error())
	}
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if err != nil || len(data) > maxResponseBytes {
		return r.lostResponse(fmt.Sprintf("response of %d bytes is incomplete: %v", len(data), err))
	}
	if httpResponse.StatusCode != http.StatusOK {
		return responseError(httpResponse.StatusCode, data)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return r.lostResponse(fmt.Sprintf("response cannot be decoded: %v", err))
	}
	return nil
}

// lostResponse returns the error of an attempt without a usable response. A change may nevertheless have taken effect.
func (r *apiRequest) lostResponse(message string) error {
	if r.method == http.MethodPost {
		return &Error{Kind: ErrOutcomeUnknown, Message: message}
	}
	return &Error{Kind: ErrUnreachable, Message: message}
}

// responseError returns the error that a response other than 200 OK describes.
func responseError(status int, data []byte) error {
	var body errorBody
	kind, ok := ErrInternal, false
	if json.Unmarshal(data, &body) == nil {
		kind, ok = kindOf(body.Code)
	}
	if !ok {
		return &Error{Kind: ErrInternal, Message: fmt.Sprintf("status %d without a known error code", status)}
	}
	return &Error{Kind: kind, Message: body.Message, Leader: body.Leader, Winner: body.Winner, Problems: body.Problems}
}

// addressesInOrder returns all addresses, the preferred one first.
func (c *Client) addressesInOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Clone(c.config.Addresses)
	if c.preferred == "" {
		return list
	}
	list = slices.DeleteFunc(list, func(address string) bool { return address == c.preferred })
	return slices.Insert(list, 0, c.preferred)
}

func (c *Client) prefer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = address
}

// preferNext prefers the address after the preferred one.
func (c *Client) preferNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := slices.Index(c.config.Addresses, c.preferred) + 1
	c.preferred = c.config.Addresses[next%len(c.config.Addresses)]
}

// pause waits for a random time between half of the duration and all of it. It returns false if the context ended
// first.
func (c *Client) pause(ctx context.Context, wait time.Duration) bool {
	c.mu.Lock()
	jittered := wait/2 + time.Duration(c.random.Int63n(int64(wait/2)+1))
	c.mu.Unlock()
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
