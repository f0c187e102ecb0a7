package rpc

import (
	"context"

	"google.golang.org/grpc"

	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/protocol"
)

// The streams that a server passes to its handlers.
type (
	// FollowServerStream is the parent's side of a Follow stream.
	FollowServerStream = grpc.BidiStreamingServer[protocol.FollowFrame, protocol.FollowFrame]
	// CallServerStream is the side of a Call stream that belongs to the executor: the node whose upstream runs the call.
	CallServerStream = grpc.BidiStreamingServer[protocol.CallFrame, protocol.ReplyFrame]
	// StepServerStream is the receiving side of a Step stream.
	StepServerStream = grpc.ClientStreamingServer[protocol.StepFrame, protocol.StepAck]
)

// The streams that a client opens.
type (
	// FollowClientStream is the child's side of a Follow stream.
	FollowClientStream = grpc.BidiStreamingClient[protocol.FollowFrame, protocol.FollowFrame]
	// CallClientStream is the side of a Call stream that belongs to the ingress: the node that received the request.
	CallClientStream = grpc.BidiStreamingClient[protocol.CallFrame, protocol.ReplyFrame]
	// StepClientStream is the sending side of a Step stream.
	StepClientStream = grpc.ClientStreamingClient[protocol.StepFrame, protocol.StepAck]
)

// Follower serves the Follow streams that nodes and control members open.
type Follower interface {
	Follow(stream FollowServerStream) error
}

// Executor serves the Call streams that other nodes open.
type Executor interface {
	Call(stream CallServerStream) error
}

// Pinger responds to Ping, with which other processes check whether this one responds.
type Pinger interface {
	Ping(ctx context.Context, request *protocol.PingRequest) (*protocol.PingReply, error)
}

// Proposer accepts proposals for the replicated logs and reports the identity of the control member.
type Proposer interface {
	Propose(ctx context.Context, request *protocol.ProposeRequest) (*protocol.ProposeReply, error)
	Identify(ctx context.Context, request *protocol.IdentifyRequest) (*protocol.IdentifyReply, error)
}

// StepReceiver receives the messages of the replicated logs.
type StepReceiver interface {
	// Step handles a frame that the member at the given mesh address sent.
	Step(address string, frame *protocol.StepFrame)
}

// QuotaLender lends tokens of the teams' quotas to nodes.
type QuotaLender interface {
	Lend(ctx context.Context, request *quota.Request) (*quota.Reply, error)
}

const (
	methodFollow   = "/sapphiregate.Mesh/Follow"
	methodCall     = "/sapphiregate.Mesh/Call"
	methodPing     = "/sapphiregate.Mesh/Ping"
	methodPropose  = "/sapphiregate.Control/Propose"
	methodIdentify = "/sapphiregate.Control/Identify"
	methodStep     = "/sapphiregate.Raft/Step"
	methodLend     = "/sapphiregate.Quota/Lend"
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

// nodeHandler is the set of handlers of a node.
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

var quotaServiceDesc = grpc.ServiceDesc{
	ServiceName: "sapphiregate.Quota",
	HandlerType: (*QuotaLender)(nil),
	Methods:     []grpc.MethodDesc{{MethodName: "Lend", Handler: unary(methodLend, QuotaLender.Lend)}},
}

// unary adapts a typed method to the handler signature of grpc-go.
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

// receiveSteps passes the frames of a stream to the receiver. A frame without an address comes from the same sender as
// the frame before it.
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
