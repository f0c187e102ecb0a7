// Package endpoints holds the table of announced upstreams. Records are spread through the distribution tree. Of two
// records of one upstream the one with the greater (incarnation, sequence) wins, so tables that received the same
// records are equal whatever the order of arrival. The package reads no clock: the caller supplies the time.
package endpoints

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an announced upstream.
type State uint8

// Serving, Draining and Gone are announced by the upstream's own node. Suspect is published by that node's parent or by
// a control member if the node does not respond.
const (
	Serving State = iota + 1
	Draining
	Gone
	Suspect
)

// String returns the state's name as it appears in logs and dumps.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	case Suspect:
		return "suspect"
	default:
		return "unknown"
	}
}

// Failure detection: a node polls its parent every PollInterval, and the parent suspects a node that sends no poll for
// three intervals.
const (
	// PollInterval is the mean time between two polls by a child.
	PollInterval = time.Second
	// SuspectAfter is the time without a message after which a parent publishes a child as suspect. The longest time
	// between two polls is 1.1 s, so a false alarm needs a poll that is delayed by more than 1.9 s. With a TCP
	// retransmission timeout of 200 ms that doubles (0.2, 0.6, 1.4, 3.0 s), these are four losses of one segment in a
	// row: p^4 per poll at segment loss p. See docs/distribution.md.
	SuspectAfter = 3 * time.Second
	// RemoveAfter is the time after which a suspect or gone record is removed from the table.
	RemoveAfter = 60 * time.Second
	// TombstoneLifetime is the time for which the version of a removed record is remembered, so that a delayed copy of
	// the record does not add it again. It is longer than any link holds a message back.
	TombstoneLifetime = 10 * time.Minute
)

// Record is the announcement of one upstream by its node. ID and Incarnation are those of the node; Sequence counts its
// announcements. Slots is the number of calls that the upstream runs at once.
type Record struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint,omitempty"`
	Service     string `cbor:"5,keyasint,omitempty"`
	Address     string `cbor:"6,keyasint,omitempty"`
	State       State  `cbor:"7,keyasint"`
	Slots       int    `cbor:"8,keyasint,omitempty"`
	// Parent is the ID of the announcing node's parent in the distribution tree: a node or a control member. If the
	// parent fails together with its children, no peer monitors the children; Parent shows which nodes these are.
	Parent string `cbor:"9,keyasint,omitempty"`
	// Leaving identifies the process of the upstream that has said that it is about to stop; nil if it has not. The node
	// keeps no state of its own, and learns this from its parent after a restart.
	Leaving *UpstreamProcess `cbor:"10,keyasint,omitempty"`
	// Release is the version of the upstream's software; empty if it announces none.
	Release string `cbor:"11,keyasint,omitempty"`
	// Paced is set if other nodes need not slow the start of the upstream: the node beside it does, or knows that it is warm.
	Paced bool `cbor:"12,keyasint,omitempty"`
}

// UpstreamProcess identifies one process of an upstream by its ID and its start time in Unix milliseconds.
type UpstreamProcess struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
}

// Compare orders two records of one upstream by (incarnation, sequence). If both are equal, Suspect is greater than the
// node's own Serving or Draining, and Gone is greater than Suspect. The record that a table keeps therefore does not
// depend on the order of arrival.
func (r Record) Compare(other Record) int {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
		cmp.Compare(r.State.precedence(), other.State.precedence()),
	)
}

// Before reports whether r precedes other in the order of the distribution tree: by (incarnation, ID).
func (r Record) Before(other Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.ID, other.ID)) < 0
}

// Usable reports whether the upstream may receive new calls.
func (r Record) Usable() bool { return r.State == Serving }

// Expiring reports whether the record is removed after RemoveAfter unless a newer one replaces it.
func (r Record) Expiring() bool { return r.State == Gone || r.State == Suspect }

// precedence orders the states of records with equal incarnation and sequence; the greatest one wins.
func (s State) precedence() int {
	switch s {
	case Serving:
		return 0
	case Draining:
		return 1
	case Suspect:
		return 2
	default:
		return 3
	}
}

// versionHash hashes the fields that identify the record's version. Records that agree in these agree in all fields.
func (r Record) versionHash() uint64 {
	var buffer [128]byte
	data := append(buffer[:0], r.ID...)
	data = append(data, 0, byte(r.State))
	data = binary.LittleEndian.AppendUint64(data, r.Incarnation)
	data = binary.LittleEndian.AppendUint64(data, r.Sequence)
	return xxhash.Sum64(data)
}
