// Package admission decides which calls one upstream runs, which wait and which are shed. A Queue is driven under the
// lock of its executor and is not safe for concurrent use.
package admission

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Action is what happens to a call.
type Action uint8

// The actions.
const (
	// Run starts the call now. It occupies a slot until Finish or Cancel.
	Run Action = iota
	// Wait keeps the call in its queue. A later Decision ends the wait.
	Wait
	// Shed refuses the call. It was not run.
	Shed
)

// Reason tells why a call was shed.
type Reason uint8

// The reasons.
const (
	// ReasonNone is the reason of calls that are not shed.
	ReasonNone Reason = iota
	// ReasonDeadline means that the call is not expected to finish before its deadline.
	ReasonDeadline
	// ReasonQueueFull means that the queue of the class is full.
	ReasonQueueFull
	// ReasonDraining means that the upstream is leaving.
	ReasonDraining
)

// Verdict is the decision on one call.
type Verdict struct {
	Action Action
	Reason Reason
}

// Decision is the verdict on a call that waited.
type Decision struct {
	ID      uint64
	Verdict Verdict
}

// Ticket describes a call that wants to run.
type Ticket struct {
	ID       uint64
	Class    bundle.Class
	Deadline time.Time
	// Alone means that the call must be the only one in flight on the upstream.
	Alone bool
}

// Config holds the settings of a Queue. Zero fields take the defaults.
type Config struct {
	// Slots bounds the calls in flight.
	Slots int
	// QueueLimit bounds the waiting calls of each class.
	QueueLimit int
}

// Queue holds the slots and the waiting calls of one upstream.
type Queue struct {
	config Config
}

// New returns an empty queue.
func New(c Config) *Queue { return &Queue{config: c} }

// Offer decides on a new call. Decisions on other calls that follow from it are returned by the next call of Expire,
// Finish or Cancel; NextExpiry is due at once in this case.
func (q *Queue) Offer(now time.Time, t Ticket) Verdict { return Verdict{} }

// Cancel frees the slot or the place in the queue of a call whose caller left.
func (q *Queue) Cancel(now time.Time, id uint64) []Decision { return nil }

// Finish frees the slot of a call that ran for the given time.
func (q *Queue) Finish(now time.Time, id uint64, service time.Duration) []Decision { return nil }

// Expire sheds waiting calls that can no longer finish in time and returns all pending decisions.
func (q *Queue) Expire(now time.Time) []Decision { return nil }

// NextExpiry returns the time at which Expire should be called, if any call waits.
func (q *Queue) NextExpiry() (time.Time, bool) { return time.Time{}, false }

// Load returns the first-hand load.
func (q *Queue) Load() balance.Load { return balance.Load{} }

// Drain refuses all further calls and sheds the waiting ones; call Expire next to receive these decisions.
// Calls in flight are not affected.
func (q *Queue) Drain() {}

// Resize changes the number of slots; call Expire next to receive the decisions that follow.
func (q *Queue) Resize(slots int) {}
