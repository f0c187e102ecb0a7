package rpc

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Errors of the transport layer.
var (
	// ErrUnreachable means that the peer was not reached, that the connection broke, or that the peer's handler failed.
	ErrUnreachable = errors.New("rpc: peer is unreachable")
	// ErrTimeout means that the deadline passed before the reply arrived.
	ErrTimeout = errors.New("rpc: deadline exceeded")
	// ErrCanceled means that the caller canceled its context or closed the pool.
	ErrCanceled = errors.New("rpc: canceled")
	// ErrRejected means that the peer received the message and refused it.
	ErrRejected = errors.New("rpc: peer rejected the message")
)

// toTransportError converts an error of grpc-go into one of the errors of this package. A nil error stays nil.
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
