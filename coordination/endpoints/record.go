// Package endpoints holds the table of announced upstreams. Records spread through the distribution tree; the record
// with the greater (incarnation, sequence) wins, so tables that have seen the same records are equal whatever the
// order of arrival. The package reads no clock: the caller supplies the time.
package endpoints

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an announced upstream.
type State uint8

// The states. Serving, Draining and Gone are announced by the node beside the upstream, Suspect by its parent.
const (
	Serving State = iota + 1
	Draining
	Gone
	Suspect
)

// String returns the state's name.
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

// Failure detection. A node polls its parent every PollInterval; three silent intervals make it suspect.
const (
	// PollInterval is the mean time between two polls of a child.
	PollInterval = time.Second
	// SuspectAfter is the silence after which a parent publishes a child as suspect. The longest time between two
	// polls is 1.1 s, so a false alarm needs a poll that is delayed by more than 1.9 s. With a TCP retransmission
	// timeout of 200 ms that doubles (0.2, 0.6, 1.4, 3.0 s), these are four losses of one segment in a row: p^4 per
	// poll at segment loss p. See docs/distribution.md.
	SuspectAfter = 3 * time.Second
	// RemoveAfter is the time after which a suspect or gone record is dropped.
	RemoveAfter = 60 * time.Second
	// TombstoneLifetime bounds how long the version of a dropped record is remembered, so that a late copy of the
	// record does not bring it back. It is longer than any link keeps a message.
	TombstoneLifetime = 10 * time.Minute
)

// Record is the announcement of one upstream by the node beside it.
type Record struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint,omitempty"`
	Service     string `cbor:"5,keyasint,omitempty"`
	Address     string `cbor:"6,keyasint,omitempty"`
	State       State  `cbor:"7,keyasint"`
	Slots       int    `cbor:"8,keyasint,omitempty"`
	// Parent is the node or member that the announcing node follows. When a parent and its children fail together,
	// it tells who is left without a watcher.
	Parent string `cbor:"9,keyasint,omitempty"`
}

// Compare orders two records of one upstream by (incarnation, sequence). At equal versions a suspicion supersedes the
// node's own announcement, and gone supersedes a suspicion, so the winner does not depend on the order of arrival.
func (r Record) Compare(other Record) int {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
		cmp.Compare(r.State.precedence(), other.State.precedence()),
	)
}

// Before orders records of different nodes by (incarnation, id), the order of the distribution tree.
func (r Record) Before(other Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.ID, other.ID)) < 0
}

// Usable reports whether the upstream may receive new work.
func (r Record) Usable() bool { return r.State == Serving }

// Expiring reports whether the record is to be dropped after RemoveAfter.
func (r Record) Expiring() bool { return r.State == Gone || r.State == Suspect }

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

// versionHash hashes what identifies the record's version. The other fields follow from it.
func (r Record) versionHash() uint64 {
	var buffer [128]byte
	data := append(buffer[:0], r.ID...)
	data = append(data, 0, byte(r.State))
	data = binary.LittleEndian.AppendUint64(data, r.Incarnation)
	data = binary.LittleEndian.AppendUint64(data, r.Sequence)
	return xxhash.Sum64(data)
}
