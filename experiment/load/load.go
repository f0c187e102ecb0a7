// Package load generates calls in an open loop and records what callers were told.
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

// Phase is a time of constant rates.
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
	// Path returns the path of a route.
	Path      func(Route) string
	Deadlines map[bundle.Class]time.Duration
	// RoundTrip is the time on the wire between callers and nodes; the deadline that callers send is shorter by it.
	RoundTrip time.Duration
	// CancelRate is the share of callers that leave before the answer.
	CancelRate float64
	// AttemptTimeout is the time after which a caller takes an answer for lost and sends again to another node; 0 takes
	// half of the deadline.
	AttemptTimeout time.Duration
	// MaxSends bounds how often a call is sent; 0 takes defaultSends.
	MaxSends int
	// CrashRate and NestRate are additional lookups per second that crash their upstream, or nest to NestDepth.
	CrashRate float64
	NestRate  float64
	NestDepth int
}

// Outcome is what a caller was told.
type Outcome string

// The outcomes. The first three are values of the header Sapphire-Outcome.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	// Lost is an attempt without an answer: a broken connection or the end of the caller's patience.
	Lost Outcome = "lost"
	// Refused is an attempt whose connection could not be opened, so that nothing was sent.
	Refused Outcome = "refused"
	// Failed is an answer that is neither a whole response nor has a valid outcome.
	Failed Outcome = "failed"
)

// Attempt is one send of a call.
type Attempt struct {
	ID         string
	Node       string
	Start, End time.Time
	// SentAt is when the request was written to the connection, or zero.
	SentAt  time.Time
	Outcome Outcome
	Status  int
	// Receipt identifies the run that the answer claims.
	Receipt string
	// WrongResponse describes a complete answer that was altered or belongs to another request.
	WrongResponse string
	// Error is the error of the HTTP client, if there was one.
	Error string
	// ConnectionBroken reports that the connection ended under the attempt, and not the caller's patience.
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
	// Cancelled reports that the caller went away before the answer.
	Cancelled bool
	// Special marks the calls that crash or nest; they are not part of the goodput.
	Special bool
}

// Succeeded reports whether the caller received its complete and correct response.
func (c *Call) Succeeded() bool { return c.Outcome == Done }

// MetDeadline reports whether the whole response came within the deadline.
func (c *Call) MetDeadline() bool { return c.Succeeded() && c.End.Sub(c.Start) <= c.Deadline }

// Progress counts calls while the load runs.
type Progress struct {
	Offered, Ended, Succeeded, NotRun, Unknown int64
}
