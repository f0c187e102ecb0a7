package control

import "github.com/cockroachdb/errors"

// Errors of this package.
var (
	// ErrUncertain means that the command may have been committed or may be committed later.
	ErrUncertain = errors.New("control: outcome of the command is unknown")
	// ErrStopped means that the member has stopped.
	ErrStopped = errors.New("control: member has stopped")
	// ErrStorage means that the member's disk failed. The member stops, since it can no longer store what it acknowledges.
	ErrStorage = errors.New("control: storage failed")
	// ErrBootstrap means that the group could not be formed.
	ErrBootstrap = errors.New("control: group is not formed")
)
