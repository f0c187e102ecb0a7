package rpc

import (
	"context"
	"fmt"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sapphiregate.example/sapphiregate/invariant"
)

// A handler that panics ends its own call with an error and is reported as a violated invariant. Otherwise one message
// would end the process, with all calls in flight.

func recoverUnary(
	ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler,
) (reply any, err error) {
	defer recoverHandler(info.FullMethod, &err)
	return handler(ctx, request)
}

func recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	defer recoverHandler(info.FullMethod, &err)
	return handler(server, stream)
}

// recoverHandler must be deferred. It sets the error of a handler that panicked.
func recoverHandler(method string, err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	invariant.Violated(invariant.Internal, "a handler panicked", map[string]any{
		"method": method, "panic": fmt.Sprint(cause), "stack": string(debug.Stack()),
	})
	*err = status.Error(codes.Internal, "the handler failed; see the log of the process")
}
