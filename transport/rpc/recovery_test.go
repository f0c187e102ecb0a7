package rpc_test

import (
	"context"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// panickingNode panics on a Call of /panic or without metadata, and on the first Ping.
type panickingNode struct {
	pinged bool
}

func (n *panickingNode) Follow(rpc.FollowServerStream) error { return nil }

func (n *panickingNode) Call(stream rpc.CallServerStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	if frame.Metadata.URI == "/panic" { // Also panics without metadata.
		panic("malformed request")
	}
	return stream.Send(&protocol.ReplyFrame{Metadata: &protocol.ReplyMetadata{}, Last: true})
}

func (n *panickingNode) Ping(context.Context, *protocol.PingRequest) (*protocol.PingReply, error) {
	if !n.pinged {
		n.pinged = true
		panic("first ping")
	}
	return &protocol.PingReply{Incarnation: 7}, nil
}

var _ = Describe("a handler that panics", func() {
	// Guards against one malformed message that ends the process.
	It("ends its own call with an error, and the process serves on", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := rpc.NewServer(listener, nil)
		server.ServeNode(&panickingNode{})
		go func() { _ = server.Serve() }()
		DeferCleanup(server.Stop)
		pool := rpc.NewPool(nil, nil)
		DeferCleanup(pool.Close)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		DeferCleanup(cancel)
		before := invariant.Counts()[invariant.Internal]

		call := func(frame *protocol.CallFrame) error {
			stream, err := pool.Call(ctx, server.Address())
			Expect(err).NotTo(HaveOccurred())
			Expect(stream.Send(frame)).To(Succeed())
			_, err = stream.Recv()
			return err
		}
		_, err = pool.Ping(ctx, server.Address())
		Expect(err).To(MatchError(rpc.ErrRejected))
		Expect(call(&protocol.CallFrame{Metadata: &protocol.CallMetadata{URI: "/panic"}, Last: true})).NotTo(Succeed())
		Expect(call(&protocol.CallFrame{Last: true})).NotTo(Succeed())
		Expect(call(&protocol.CallFrame{Metadata: &protocol.CallMetadata{URI: "/"}, Last: true})).To(Succeed())
		reply, err := pool.Ping(ctx, server.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Incarnation).To(BeEquivalentTo(7))
		Expect(invariant.Counts()[invariant.Internal] - before).To(BeEquivalentTo(3))
	})
})
