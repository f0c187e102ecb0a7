package rpc

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Errors of the transport layer.
var (
	// ErrUnreachable means that the peer was not reached or the connection broke.
	ErrUnreachable = errors.New("rpc: peer is unreachable")
	// ErrTimeout means that the deadline passed.
	ErrTimeout = errors.New("rpc: deadline exceeded")
	// ErrCanceled means that the caller gave up.
	ErrCanceled = errors.New("rpc: canceled")
	// ErrRejected means that the peer refused the message.
	ErrRejected = errors.New("rpc: peer rejected the message")
)

// toTransportError turns errors of grpc-go into those of this layer.
func toTransportError(err error) error {
	if err == nil {
		return nil
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return errors.Wrap(ErrTimeout, err.Error())
	case errors.Is(err, context.Canceled):
		return errors.Wrap(ErrCanceled, err.Error())
	}
	switch status.Code(err) {
	case codes.DeadlineExceeded:
		return errors.Wrap(ErrTimeout, err.Error())
	case codes.Canceled:
		return errors.Wrap(ErrCanceled, err.Error())
	case codes.Unavailable, codes.Unknown, codes.Aborted:
		return errors.Wrap(ErrUnreachable, err.Error())
	default:
		return errors.Wrap(ErrRejected, err.Error())
	}
}
