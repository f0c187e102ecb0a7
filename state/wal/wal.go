// Package wal stores a raft member's durable state in one folder: an identity, a log of checksummed records in
// segments, and snapshots.
package wal

import (
	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/state/disk"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrCorrupt reports durable content that is damaged. The member must be replaced.
	ErrCorrupt = errors.New("wal: corrupt")
	// ErrTooLarge reports a record or snapshot above its size limit.
	ErrTooLarge = errors.New("wal: record too large")
	// ErrFailed reports a log whose earlier write failed. It must be opened again.
	ErrFailed = errors.New("wal: earlier write failed")
	// ErrInvalid reports an argument that would make the log inconsistent.
	ErrInvalid = errors.New("wal: invalid argument")
)

// Recovered is the durable state found by Open.
type Recovered struct {
	Identity  raft.MemberID
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry
	// TruncatedBytes is the size of a torn tail that was removed.
	TruncatedBytes int64
}

// Log is an open log. It is not safe for concurrent use.
type Log struct{}

// Open recovers the folder, or initialises an empty one.
func Open(fs disk.FS) (*Log, Recovered, error) { return nil, Recovered{}, nil }

// Append writes a hard state and entries. It returns after the sync.
func (l *Log) Append(hs raft.HardState, entries []raft.Entry) error { return nil }

// SaveSnapshot makes a snapshot durable and drops the records that it covers.
func (l *Log) SaveSnapshot(s raft.Snapshot) error { return nil }

// Close closes the files.
func (l *Log) Close() error { return nil }
