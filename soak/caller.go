package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// callerCount is the number of callers under random faults, and plannedCallerCount under planned work, where calls
	// are slow: it keeps several calls in flight on each node. Large deployments have a caller for each node.
	callerCount        = 6
	plannedCallerCount = 32
	// callerNodeCount is the number of nodes that a caller uses, in all but the smallest deployments.
	callerNodeCount = 4
	// callInterval is the pause of a caller between a response and the next request.
	callInterval = 25 * time.Millisecond
	// callPatience is how long a caller waits for a response after the deadline of its request.
	callPatience = time.Second
	dialTimeout  = time.Second
	// One request in newConnectionShare is sent on a new connection although one is open. One in idleConnectionShare of
	// the new connections first stays idle, for up to maxIdleTime.
	newConnectionShare  = 8
	idleConnectionShare = 8
	maxIdleTime         = 2 * time.Second
	// One lookup in longResponseShare gets a response that is too long to be buffered.
	longResponseShare = 16
)

// caller sends requests, one at a time, and keeps a connection open to each node that it uses. It does without
// http.Transport, which may resend a request and does not tell when a connection was closed.
type caller struct {
	run   *seedRun
	index int
	rng   *rand.Rand
	// heedsReadiness is set if the caller avoids nodes that report that they are not ready.
	heedsReadiness bool
	connections    map[*process]*callerConnection
}

// callerConnection is an open connection of a caller to a node.
type callerConnection struct {
	net.Conn
	reader *bufio.Reader
	opened time.Time
	// used is set once the connection has carried a request.
	used bool
}

func (r *seedRun) newCaller(seed uint64, index int) *caller {
	return &caller{
		run: r, index: index, rng: rand.New(rand.NewPCG(seed, uint64(index))), heedsReadiness: index%2 == 1,
		connections: make(map[*process]*callerConnection),
	}
}

// callerTotal returns the number of callers of a seed.
func (o *Options) callerTotal() int {
	switch {
	case o.Core:
		return 0
	case o.Planned:
		return max(plannedCallerCount, o.Nodes)
	default:
		return max(callerCount, o.Nodes)
	}
}

// loop sends requests to the nodes in turn, one in six to the irreversible route and one in six as an upload. Each has an
// identifier of its own, its attempt, which begins with the kind of call.
func (c *caller) loop(ctx context.Context) {
	defer func() {
		for _, connection := range c.connections {
			connection.Close()
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		kind, path := "l", "/lookup"
		switch n % 6 {
		case 0:
			kind, path = "p", "/promote"
		case 3:
			kind, path = "u", "/upload"
		}
		attempt := fmt.Sprintf("%s-%d-%d", kind, c.index, n)
		if n%3 > 0 && c.rng.IntN(longResponseShare) == 0 {
			attempt += suffixLong
		}
		if kind == "u" && c.rng.IntN(largeUploadShare) == 0 {
			attempt += suffixLarge
		}
		c.send(ctx, c.node(n), path, attempt)
		sleep(ctx, callInterval)
	}
}

// node returns the node for the request of number n: the next one of those that the caller uses, or the first one after
// it that is ready if the caller heeds readiness.
func (c *caller) node(n int) *process {
	nodes := c.run.deployment.nodes
	for skipped := range callerNodeCount {
		node := nodes[(c.index+(n+skipped)%callerNodeCount)%len(nodes)]
		if !c.heedsReadiness || node.ready.Load() {
			return node
		}
	}
	return nodes[(c.index+n%callerNodeCount)%len(nodes)]
}

// connection returns the open connection to a node, or a new one.
func (c *caller) connection(ctx context.Context, node *process) (*callerConnection, error) {
	if open := c.connections[node]; open != nil {
		if c.rng.IntN(newConnectionShare) > 0 {
			return open, nil
		}
		c.drop(node)
	}
	conn, err := net.DialTimeout("tcp", node.callerAddress, dialTimeout)
	if err != nil {
		return nil, err
	}
	open := &callerConnection{Conn: conn, reader: bufio.NewReader(conn), opened: time.Now()}
	c.connections[node] = open
	if c.rng.IntN(idleConnectionShare) == 0 {
		sleep(ctx, time.Duration(c.rng.Int64N(int64(maxIdleTime))))
	}
	return open, nil
}

// drop closes the connection to a node.
func (c *caller) drop(node *process) {
	c.connections[node].Close()
	delete(c.connections, node)
}

// send sends one request and passes to the recorder what became of it.
func (c *caller) send(ctx context.Context, node *process, path, attempt string) {
	recorder := c.run.recorder
	work := c.run.options.drawServiceTime(c.rng)
	connection, err := c.connection(ctx, node)
	if err != nil {
		return // The node is down or paused.
	}
	request, encoded, err := encodeRequest(node, path, attempt, work)
	if err != nil {
		recorder.reportViolation("request %s cannot be made: %v", attempt, err)
		return
	}
	seen := &call{attempt: attempt, node: node.name, opened: connection.opened, kept: connection.used}
	connection.used = true
	seen.deadline = time.Now().Add(c.run.options.routeDeadline())
	_ = connection.SetDeadline(seen.deadline.Add(callPatience))
	stopWaiting := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Now()) })
	defer stopWaiting()
	if err := c.write(ctx, connection, encoded, attempt); err != nil {
		// The request is incomplete, but the node may have refused it already.
		if response, body, err := readResponse(connection.reader, request); err == nil {
			recorder.responseReceived(attempt, response, body)
		}
		c.drop(node)
		return
	}
	seen.sent = time.Now()
	response, body, err := readResponse(connection.reader, request)
	seen.ended, seen.err = time.Now(), err
	seen.abandoned = errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil
	seen.unknown = err == nil && response.Header.Get(headerOutcome) == outcomeUnknown
	recorder.callEnded(seen)
	if err != nil {
		c.drop(node)
		return
	}
	recorder.responseReceived(attempt, response, body)
	if response.Close {
		c.drop(node)
	}
}

func encodeRequest(node *process, path, attempt string, work time.Duration) (*http.Request, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+node.callerAddress+path, strings.NewReader(requestBody(attempt)))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set(headerAttempt, attempt)
	request.Header.Set(headerServiceTime, work.String())
	var encoded bytes.Buffer
	err = request.Write(&encoded)
	return request, encoded.Bytes(), err
}

// readResponse returns an error unless the response is complete.
func readResponse(reader *bufio.Reader, request *http.Request) (*http.Response, []byte, error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}
