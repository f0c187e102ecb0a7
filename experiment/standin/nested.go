package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// nested makes the call's inner call through the node beside the upstream, and returns an error unless the answer is
// whole.
func (u *Upstream) nested(r *http.Request, c call) error {
	if c.nest == 0 || len(u.options.NestPaths) == 0 {
		return nil
	}
	inner := fmt.Sprintf("%s/%d", c.request, c.nest)
	url := "http://" + u.options.NodeAddress + u.options.NestPaths[c.nest%len(u.options.NestPaths)]
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set(HeaderRequest, inner)
	request.Header.Set(HeaderAttempt, fmt.Sprintf("%s/%d", c.attempt, c.nest))
	request.Header.Set(HeaderClass, string(c.class))
	request.Header.Set(HeaderNest, strconv.Itoa(c.nest-1))
	propagate(request.Header, r.Header, time.Since(c.arrived))
	response, err := u.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "standin: nested call")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "standin: nested answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("standin: nested call got status %d", response.StatusCode)
	}
	if _, err := CheckResponse(response.Header, body, inner); err != nil {
		u.options.Recorder.addWrongNested(inner)
		return err
	}
	return nil
}

// propagate passes on what an application passes on to the calls that it makes: depth, retry mark and deadline.
func propagate(to, from http.Header, spent time.Duration) {
	for _, name := range []string{HeaderDepth, HeaderRetry} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
	if left, err := strconv.Atoi(from.Get(HeaderDeadline)); err == nil {
		to.Set(HeaderDeadline, strconv.Itoa(max(1, left-int(spent/time.Millisecond))))
	}
}
