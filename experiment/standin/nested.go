package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// callNested makes the nested call that the request asks for, if any, through the node beside the upstream. It returns
// an error unless the response is complete and correct.
func (u *Upstream) callNested(r *http.Request, c call) error {
	if c.nestDepth == 0 || len(u.options.NestPaths) == 0 {
		return nil
	}
	inner := fmt.Sprintf("%s/%d", c.request, c.nestDepth)
	url := "http://" + u.options.NodeAddress + u.options.NestPaths[c.nestDepth%len(u.options.NestPaths)]
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set(HeaderRequest, inner)
	request.Header.Set(HeaderAttempt, fmt.Sprintf("%s/%d", c.attempt, c.nestDepth))
	request.Header.Set(HeaderClass, string(c.class))
	request.Header.Set(HeaderNest, strconv.Itoa(c.nestDepth-1))
	propagate(request.Header, r.Header, time.Since(c.arrived))
	response, err := u.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "standin: nested call")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "standin: read nested response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("standin: nested call got status %d", response.StatusCode)
	}
	if _, err := CheckResponse(response.Header, body, inner); err != nil {
		u.options.Recorder.addWrongNestedResponse(inner)
		return err
	}
	return nil
}

// propagate copies the headers that applications pass on with the calls that they make: depth, retry mark, and the
// deadline less the time that was spent.
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
