package rpc

import (
	"context"

	"google.golang.org/grpc"

	"sapphiregate.example/sapphiregate/protocol"
)

// The streams that servers hand to their handlers.
type (
	// FollowServerStream is the parent's side of a Follow stream.
	FollowServerStream = grpc.BidiStreamingServer[protocol.FollowFrame, protocol.FollowFrame]
	// CallServerStream is the executor's side of a Call stream.
	CallServerStream = grpc.BidiStreamingServer[protocol.CallFrame, protocol.ReplyFrame]
	// StepServerStream is the receiving side of a Step stream.
	StepServerStream = grpc.ClientStreamingServer[protocol.StepFrame, protocol.StepAck]
)

// The streams that clients hold.
type (
	// FollowClientStream is the child's side of a Follow stream.
	FollowClientStream = grpc.BidiStreamingClient[protocol.FollowFrame, protocol.FollowFrame]
	// CallClientStream is the ingress's side of a Call stream.
	CallClientStream = grpc.BidiStreamingClient[protocol.CallFrame, protocol.ReplyFrame]
	// StepClientStream is the sending side of a Step stream.
	StepClientStream = grpc.ClientStreamingClient[protocol.StepFrame, protocol.StepAck]
)

// Follower serves Follow streams of nodes and members.
type Follower interface {
	Follow(stream FollowServerStream) error
}

// Executor serves Call streams.
type Executor interface {
	Call(stream CallServerStream) error
}

// Pinger responds to probes.
type Pinger interface {
	Ping(ctx context.Context, request *protocol.PingRequest) (*protocol.PingReply, error)
}

// Proposer serves proposals and tells who the member is.
type Proposer interface {
	Propose(ctx context.Context, request *protocol.ProposeRequest) (*protocol.ProposeReply, error)
	Identify(ctx context.Context, request *protocol.IdentifyRequest) (*protocol.IdentifyReply, error)
}

// StepReceiver receives messages of the replicated logs.
type StepReceiver interface {
	// Step takes a frame of the member at the given mesh address.
	Step(address string, frame *protocol.StepFrame)
}

const (
	methodFollow   = "/sapphiregate.Mesh/Follow"
	methodCall     = "/sapphiregate.Mesh/Call"
	methodPing     = "/sapphiregate.Mesh/Ping"
	methodPropose  = "/sapphiregate.Control/Propose"
	methodIdentify = "/sapphiregate.Control/Identify"
	methodStep     = "/sapphiregate.Raft/Step"
)

var followServiceDesc = grpc.ServiceDesc{
	ServiceName: "sapphiregate.Mesh",
	HandlerType: (*Follower)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName: "Follow", ServerStreams: true, ClientStreams: true,
		Handler: func(server any, stream grpc.ServerStream) error {
			typed := &grpc.GenericServerStream[protocol.FollowFrame, protocol.FollowFrame]{ServerStream: stream}
			return server.(Follower).Follow(typed)
		},
	}},
}

var nodeServiceDesc = grpc.ServiceDesc{
	ServiceName: "sapphiregate.Mesh",
	HandlerType: (*nodeHandler)(nil),
	Methods:     []grpc.MethodDesc{{MethodName: "Ping", Handler: unary(methodPing, Pinger.Ping)}},
	Streams: []grpc.StreamDesc{followServiceDesc.Streams[0], {
		StreamName: "Call", ServerStreams: true, ClientStreams: true,
		Handler: func(server any, stream grpc.ServerStream) error {
			typed := &grpc.GenericServerStream[protocol.CallFrame, protocol.ReplyFrame]{ServerStream: stream}
			return server.(Executor).Call(typed)
		},
	}},
}

// nodeHandler is what a node serves.
type nodeHandler interface {
	Follower
	Executor
	Pinger
}

var controlServiceDesc = grpc.ServiceDesc{
	ServiceName: "sapphiregate.Control",
	HandlerType: (*Proposer)(nil),
	Methods: []grpc.MethodDesc{
		{MethodName: "Propose", Handler: unary(methodPropose, Proposer.Propose)},
		{MethodName: "Identify", Handler: unary(methodIdentify, Proposer.Identify)},
	},
}

// unary adapts a typed method to grpc-go's handler signature.
func unary[Server, Request, Reply any](
	method string, call func(Server, context.Context, *Request) (*Reply, error),
) grpc.MethodHandler {
	return func(
		server any, ctx context.Context, decode func(any) error, interceptor grpc.UnaryServerInterceptor,
	) (any, error) {
		request := new(Request)
		if err := decode(request); err != nil {
			return nil, err
		}
		if interceptor == nil {
			return call(server.(Server), ctx, request)
		}
		info := &grpc.UnaryServerInfo{Server: server, FullMethod: method}
		return interceptor(ctx, request, info, func(ctx context.Context, request any) (any, error) {
			return call(server.(Server), ctx, request.(*Request))
		})
	}
}

var raftServiceDesc = grpc.ServiceDesc{
	ServiceName: "sapphiregate.Raft",
	HandlerType: (*StepReceiver)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName: "Step", ClientStreams: true,
		Handler: func(server any, stream grpc.ServerStream) error {
			typed := &grpc.GenericServerStream[protocol.StepFrame, protocol.StepAck]{ServerStream: stream}
			return receiveSteps(server.(StepReceiver), typed)
		},
	}},
}

func receiveSteps(stepper StepReceiver, stream StepServerStream) error {
	address := ""
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		if frame.Address != "" {
			address = frame.Address
		}
		stepper.Step(address, frame)
	}
}
