package node_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

const eventuallyTimeout = 20 * time.Second

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

var (
	violationsMu sync.Mutex
	violations   []string
)

var _ = BeforeSuite(func() {
	invariant.SetHandler(func(name invariant.Name, message string, values map[string]any) {
		violationsMu.Lock()
		defer violationsMu.Unlock()
		violations = append(violations, fmt.Sprint(name, ": ", message, values))
	})
})

var _ = AfterEach(func() {
	violationsMu.Lock()
	defer violationsMu.Unlock()
	Expect(violations).To(BeEmpty())
})

// fakeLedger is a control member that applies ledger commands without a log.
type fakeLedger struct {
	server *rpc.Server
	mu     sync.Mutex
	state  *ledger.Ledger
	// lostClaimReplies is the number of claims whose reply is lost after the claim was applied.
	lostClaimReplies int
}

func newFakeLedger() *fakeLedger {
	f := &fakeLedger{state: ledger.New(ledger.Config{}), server: rpc.NewServer(listen(), nil)}
	f.server.ServeMember(f)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.server.Serve()
	}()
	DeferCleanup(func() { f.server.Stop(); <-done })
	return f
}

func (f *fakeLedger) Propose(_ context.Context, r *protocol.ProposeRequest) (*protocol.ProposeReply, error) {
	var command ledger.Command
	if err := protocol.Unmarshal(r.Command, &command); err != nil {
		return nil, err
	}
	command.NowMs = time.Now().UnixMilli()
	f.mu.Lock()
	defer f.mu.Unlock()
	result, err := protocol.Marshal(f.state.Apply(command))
	if err == nil && command.Claim != nil && f.lostClaimReplies > 0 {
		f.lostClaimReplies--
		err = errors.New("the reply is lost")
	}
	return &protocol.ProposeReply{Status: protocol.ProposeApplied, Result: result, LedgerGroups: 1}, err
}

func (f *fakeLedger) Identify(context.Context, *protocol.IdentifyRequest) (*protocol.IdentifyReply, error) {
	return &protocol.IdentifyReply{}, nil
}

func (f *fakeLedger) Follow(rpc.FollowServerStream) error { return errors.New("no configuration here") }
func (f *fakeLedger) Step(string, *protocol.StepFrame)    {}

func (f *fakeLedger) status(key string) ledger.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Lookup(ledger.Query{Key: key}).Status
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

// fixture is an ingress, an executor (the same node unless remote) and the executor's upstream.
type fixture struct {
	ingress, executor *node.Node
	callers, admin    string
	upstream          *httptest.Server
	client            *http.Client
}

func testBundle() *bundle.Bundle {
	route := func(name string, class bundle.Class, limit int64) bundle.Route {
		return bundle.Route{
			Name: name, Match: bundle.Match{PathPrefix: "/" + name}, Service: "desk", Class: class,
			DeadlineMs: 15_000, MaxBodyBytes: limit,
		}
	}
	b := &bundle.Bundle{
		Services: []bundle.Service{{Name: "desk"}},
		Routes: []bundle.Route{
			route("lookup", bundle.ClassLookup, 0), route("promote", bundle.ClassIrreversible, 1000),
			route("small", bundle.ClassLookup, 1000), route("stream", bundle.ClassLookup, 100_000),
		},
	}
	bundle.Canonicalize(b)
	return b
}

func startNode(id, member string, configure ...func(*node.Options)) (started *node.Node, callers, admin string) {
	callersListener, adminListener := listen(), listen()
	options := node.Options{
		ID: id, Zone: "a", Callers: callersListener, Mesh: listen(), Admin: adminListener, Members: []string{member},
		Keys: bundle.NewKeyring(nil), Logger: zerolog.Nop(),
	}
	for _, change := range configure {
		change(&options)
	}
	started = node.New(options)
	started.Start()
	DeferCleanup(started.Kill)
	Expect(started.PutInForce(bundle.Approval{Version: 1}, testBundle())).To(Succeed())
	return started, callersListener.Addr().String(), adminListener.Addr().String()
}

// newFixture starts the nodes. configure changes the options of the ingress of a remote fixture.
func newFixture(
	remote bool, member string, slots int, handler http.HandlerFunc, configure ...func(*node.Options),
) *fixture {
	f := &fixture{upstream: httptest.NewServer(handler), client: &http.Client{Transport: &http.Transport{}}}
	DeferCleanup(func() {
		f.client.CloseIdleConnections()
		f.upstream.CloseClientConnections()
		f.upstream.Close()
	})
	f.executor, f.callers, f.admin = startNode("executor", member)
	f.ingress = f.executor
	if remote {
		f.ingress, f.callers, _ = startNode("ingress", member, configure...)
	}
	address := strings.TrimPrefix(f.upstream.URL, "http://")
	Expect(f.executor.AcceptUpstream(node.Announcement{Service: "desk", Address: address, Slots: slots})).To(Succeed())
	Eventually(func() bool { _, ok := f.executor.OwnRecord(); return ok }, eventuallyTimeout).Should(BeTrue())
	record, _ := f.executor.OwnRecord()
	Expect(f.executor.MergeEndpoint(record)).To(Succeed())
	Expect(f.ingress.MergeEndpoint(record)).To(Succeed())
	return f
}

// callResult is a response with its whole body, or the error that ended it.
type callResult struct {
	status          int
	header, trailer http.Header
	body            []byte
	err             error
}

func (r callResult) outcome() string { return r.header.Get(protocol.HeaderOutcome) }

func (f *fixture) send(ctx context.Context, path string, body io.Reader, header ...string) callResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers+path, body)
	if err != nil {
		return callResult{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	if withTrailer, ok := body.(interface{ declaredTrailer() http.Header }); ok {
		request.Trailer = withTrailer.declaredTrailer()
	}
	response, err := f.client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, response.Trailer, data, err}
}

func (f *fixture) post(path, body string, header ...string) callResult {
	return f.send(context.Background(), path, strings.NewReader(body), header...)
}

func (f *fixture) async(ctx context.Context, path, body string, header ...string) <-chan callResult {
	done := make(chan callResult, 1)
	go func() { done <- f.send(ctx, path, strings.NewReader(body), header...) }()
	return done
}

// chunkedBody is a body of unknown length with a trailer whose value is set at its end.
type chunkedBody struct {
	io.Reader
	trailer http.Header
}

func newChunkedBody(size int) *chunkedBody {
	return &chunkedBody{bytes.NewReader(bytes.Repeat([]byte("0123456789abcdef"), size/16)), http.Header{"X-Sum": nil}}
}

func (c *chunkedBody) declaredTrailer() http.Header { return c.trailer }

func (c *chunkedBody) Read(data []byte) (int, error) {
	n, err := c.Reader.Read(data)
	if err == io.EOF {
		c.trailer.Set("X-Sum", "request")
	}
	return n, err
}
