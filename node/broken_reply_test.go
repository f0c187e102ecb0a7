package node_test

import (
	"context"
	"errors"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// brokenExecutor is the node beside an upstream; it replies to each call with the given frames.
type brokenExecutor struct{ frames []*protocol.ReplyFrame }

func (e *brokenExecutor) Call(stream rpc.CallServerStream) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	for _, frame := range e.frames {
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

func (e *brokenExecutor) Follow(rpc.FollowServerStream) error {
	return errors.New("no configuration here")
}

func (e *brokenExecutor) Ping(context.Context, *protocol.PingRequest) (*protocol.PingReply, error) {
	return &protocol.PingReply{Incarnation: 1}, nil
}

var _ = Describe("a broken reply of another node", func() {
	reply := func(status int, header http.Header) *protocol.ReplyFrame {
		return &protocol.ReplyFrame{Last: true, Body: []byte("ok"), Metadata: &protocol.ReplyMetadata{
			Outcome: protocol.OutcomeDone, Status: status, Header: protocol.HeaderFields(header), ContentLength: 2,
		}}
	}
	progress := &protocol.ReplyFrame{Progress: true}
	first := reply(http.StatusOK, nil)
	first.Last, first.Metadata.ContentLength = false, -1

	// Guards against a node of an earlier release, or one in trouble, whose reply is passed on although it is none.
	send := func(frames []*protocol.ReplyFrame) (lookup, irreversible callResult) {
		server := rpc.NewServer(listen(), nil)
		server.ServeNode(&brokenExecutor{frames})
		go func() { _ = server.Serve() }()
		DeferCleanup(server.Stop)
		ingress, callers, _ := startNode("ingress", newFakeLedger().server.Address())
		Expect(ingress.MergeEndpoint(endpoints.Record{
			ID: "broken", Incarnation: 1, Sequence: 1, Zone: "a", Service: "desk", Address: server.Address(),
			State: endpoints.Serving, Slots: 4,
		})).To(Succeed())
		f := &fixture{callers: callers, client: &http.Client{Transport: &http.Transport{}}}
		DeferCleanup(f.client.CloseIdleConnections)
		return f.post("/lookup", ""), f.post("/promote", "", keyHeader, "k")
	}
	DescribeTable("is answered as one whose outcome is unknown", func(frames ...*protocol.ReplyFrame) {
		lookup, irreversible := send(frames)
		for _, got := range []callResult{lookup, irreversible} {
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Expect(got.outcome()).To(Equal(string(protocol.OutcomeUnknown)))
		}
	},
		Entry("nothing"),
		Entry("no metadata", &protocol.ReplyFrame{Body: []byte("ok"), Last: true}),
		Entry("progress only", progress, progress),
		Entry("an outcome that is not known", &protocol.ReplyFrame{Last: true, Metadata: &protocol.ReplyMetadata{Status: 200}}),
		Entry("status 0", reply(0, nil)),
		Entry("status 101", reply(http.StatusSwitchingProtocols, nil)),
		Entry("status 999", reply(999, nil)),
		Entry("status 1000", reply(1000, nil)),
		Entry("a blank in the name of a field", reply(http.StatusOK, http.Header{"X Name": {"v"}})),
		Entry("a control byte in the name of a field", reply(http.StatusOK, http.Header{"X\x01Name": {"v"}})),
		Entry("a line break in a value", reply(http.StatusOK, http.Header{"X-Name": {"a\r\nb"}})),
	)
	DescribeTable("cuts the connection of a caller that got a part of it", func(frames ...*protocol.ReplyFrame) {
		lookup, irreversible := send(frames)
		Expect(lookup.err).To(HaveOccurred())
		Expect(irreversible.err).To(HaveOccurred())
	},
		Entry("no last frame", first, &protocol.ReplyFrame{Body: []byte("ok")}),
		Entry("a length that is not that of the body",
			&protocol.ReplyFrame{Last: true, Body: []byte("o"), Metadata: reply(http.StatusOK, nil).Metadata}),
		Entry("a blank in the trailer", first,
			&protocol.ReplyFrame{Last: true, Trailer: http.Header{"X Sum": {"v"}}}),
	)
})
