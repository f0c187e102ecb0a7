// Package load makes calls to the nodes of an experiment in an open loop, that is, at times that do not depend on the
// responses, and records which outcome the callers learned.
package load

import (
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/shape"
)

// Route names a class of calls to a service.
type Route struct {
	Service string
	Class   bundle.Class
}

// Rates are arrivals per second by route.
type Rates map[Route]float64

// Phase is a period with constant rates.
type Phase struct {
	Duration time.Duration
	Rates    Rates
}

// Node is a node that callers send to.
type Node struct {
	ID      string
	Address string
}

// Options describes the load of one experiment.
type Options struct {
	Seed  int64
	Nodes []Node
	// Dial opens the callers' connections.
	Dial   shape.DialFunc
	Phases []Phase
	// Path returns the URL path of a route.
	Path func(Route) string
	// Deadlines are the times that callers allow for a call, by class.
	Deadlines map[bundle.Class]time.Duration
	// RoundTrip is the network round-trip time between callers and nodes. The deadline that callers send to a node is
	// shorter by it.
	RoundTrip time.Duration
	// CancelRate is the share of calls, from 0 to 1, whose callers close the connection before the response.
	CancelRate float64
	// AttemptTimeout is the time after which a caller gives up an attempt and sends the call to another node; 0 means
	// half of the deadline.
	AttemptTimeout time.Duration
	// MaxSends is the maximum number of times that a call is sent; 0 means defaultMaxSends.
	MaxSends int
	// CrashRate and NestRate are additional lookups per second that crash their upstream, or that make
	// nested calls: NestDepth calls in all, each made by the upstream of the one before.
	CrashRate float64
	NestRate  float64
	NestDepth int
}

// Outcome is what a caller knows about an attempt or a call.
type Outcome string

// The outcomes. The first three are values of the header Sapphire-Outcome.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	// Lost means that no complete response came: the connection broke, or the attempt timed out or was cancelled.
	Lost Outcome = "lost"
	// Refused means that the connection could not be opened, so that nothing was sent.
	Refused Outcome = "refused"
	// Failed means that a response came that is neither correct nor states one of the other outcomes.
	Failed Outcome = "failed"
)

// Attempt is one send of a call to one node.
type Attempt struct {
	ID         string
	Node       string
	Start, End time.Time
	// SentAt is when the request was written to the connection, or zero.
	SentAt  time.Time
	Outcome Outcome
	Status  int
	// Receipt identifies the run on an upstream that the response says it comes from.
	Receipt string
	// WrongResponse says what is wrong with a complete response that was altered or belongs to another request.
	WrongResponse string
	// Error is the error of the HTTP client, if there was one.
	Error string
	// ConnectionBroken reports that the attempt ended because the connection broke, not by a timeout or cancellation.
	ConnectionBroken bool
	// Replayed reports that the HTTP client sent the request twice; an outcome then covers only one of the sends.
	Replayed  bool
	AddedTime time.Duration
}

// Call is one call with all its sends.
type Call struct {
	Request  string
	Route    Route
	Start    time.Time
	End      time.Time
	Deadline time.Duration
	Attempts []Attempt
	Outcome  Outcome
	// Cancelled reports that the caller closed the connection before the deadline without a response.
	Cancelled bool
	// Special marks calls that crash their upstream or make nested calls. They do not count for the goodput.
	Special bool
}

// Succeeded reports whether the caller received its complete and correct response.
func (c *Call) Succeeded() bool { return c.Outcome == Done }

// MetDeadline reports whether the call succeeded within its deadline.
func (c *Call) MetDeadline() bool { return c.Succeeded() && c.End.Sub(c.Start) <= c.Deadline }

// Progress counts the calls so far, while the load runs: those started, those ended, and three of the outcomes.
type Progress struct {
	Offered, Ended, Succeeded, NotRun, Unknown int64
}
