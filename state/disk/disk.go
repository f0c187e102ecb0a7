// Package disk defines a small interface to the files of one folder, with two implementations: real files, and a fake
// for tests that can lose unsynced writes, tear the last write, flip bits and fail operations.
package disk

import (
	"io"

	"github.com/cockroachdb/errors"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrInvalidName reports a name that is empty or contains a path separator.
	ErrInvalidName = errors.New("disk: invalid file name")
	// ErrNotFound reports a file that does not exist.
	ErrNotFound = errors.New("disk: file not found")
	// ErrCrashed reports the use of a file that was opened before Fake.Crash.
	ErrCrashed = errors.New("disk: file was opened before a crash")
	// ErrInjected reports a failure that was requested with Fake.FailWrites or Fake.FailSyncs.
	ErrInjected = errors.New("disk: injected failure")
)

// File is an open file.
type File interface {
	io.ReaderAt
	// Write appends to the file.
	io.Writer
	// Sync makes the content durable.
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// FS is a folder of files. Names must not contain path separators.
type FS interface {
	// Open opens a file for reading and appending. It creates the file if it does not exist.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files in sorted order.
	List() ([]string, error)
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
}
