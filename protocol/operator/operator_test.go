package operator_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// seed fixes the order of the tests and the jitter of the pauses.
const seed = 20261204

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = seed
	RunSpecs(t, "operator", suite, reporter)
}

var key = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// fakeMember is a Backend over a registry, without consensus. Methods that no test needs panic.
type fakeMember struct {
	operator.Backend
	mu       sync.Mutex
	registry *registry.Registry
	index    uint64
	err      error
	calls    int
	// confirmedAgeMs is Status.ConfirmedAgeMs.
	confirmedAgeMs int64
}

func newMember() *fakeMember {
	keys := map[string][]ed25519.PublicKey{"ana": {key.Public().(ed25519.PublicKey)}}
	return &fakeMember{registry: registry.New(bundle.NewKeyring(keys))}
}

func (m *fakeMember) apply(c registry.Command) (operator.Decision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.err != nil {
		return operator.Decision{}, m.err
	}
	m.index++
	return operator.DecisionFromResult(m.registry.Apply(m.index, c))
}

func (m *fakeMember) Stage(_ context.Context, r operator.StageRequest) (operator.Decision, error) {
	return m.apply(registry.Command{RequestID: r.RequestID, Stage: &registry.Stage{
		Version: r.Version, Digest: r.Digest, Operator: r.Operator, Update: r.Update}})
}

func (m *fakeMember) Approve(_ context.Context, r operator.ApproveRequest) (operator.Decision, error) {
	return m.apply(registry.Command{RequestID: r.RequestID, Approve: &r.Approval})
}

func (m *fakeMember) Stop(_ context.Context, r operator.StopRequest) (operator.Decision, error) {
	return m.apply(registry.Command{RequestID: r.RequestID, Stop: &r.Stop})
}

func (m *fakeMember) Status(context.Context) (operator.Status, error) {
	return operator.Status{Member: "m1", ConfirmedAgeMs: m.confirmedAgeMs, Zones: []operator.ZoneStatus{{
		Zone: "a", Proxies: 3, AgeMs: operator.AgeUnknown,
		Lagging: []operator.LaggingProxy{{ID: "n1", Version: 4, Reason: "parts missing"}}}}}, m.err
}

func (m *fakeMember) History(_ context.Context, r operator.HistoryRequest) (operator.HistoryResponse, error) {
	return operator.HistoryResponse{Records: make([]registry.HistoryRecord, r.Limit)}, nil
}

// loseResponses handles the first n requests but drops their connections, as if the member crashed after a commit.
func loseResponses(n int, inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n > 0 {
			n--
			inner.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	})
}

func serve(h http.Handler) string {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newClient(addresses ...string) *operator.Client {
	client, err := operator.NewClient(operator.ClientConfig{
		Addresses: addresses, RetryWait: time.Millisecond, Rounds: 2, Rand: rand.New(rand.NewSource(seed)),
	})
	Expect(err).NotTo(HaveOccurred())
	return client
}

func stageRequest() operator.StageRequest {
	parts, manifest, err := bundle.Split(&bundle.Bundle{Services: []bundle.Service{{Name: "rank"}}})
	Expect(err).NotTo(HaveOccurred())
	data, err := registry.EncodeUpdate(bundle.Update{
		Target: manifest.Digest(), Delta: bundle.Diff(bundle.Manifest{}, manifest), Parts: parts})
	Expect(err).NotTo(HaveOccurred())
	return operator.StageRequest{Operator: "ana", Version: 1, Digest: manifest.Digest(), Update: data}
}

func approveRequest(version uint64) operator.ApproveRequest {
	return operator.ApproveRequest{Approval: bundle.Sign(key, bundle.Approval{
		Version: version, Digest: stageRequest().Digest, Operator: "ana"})}
}

// closedAddress returns an address that refuses connections.
func closedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	It("makes a change take effect only once if the first response is lost", func() {
		m := newMember()
		handler := operator.NewHandler(m)
		for _, call := range []func(c *operator.Client) (operator.Decision, error){
			func(c *operator.Client) (operator.Decision, error) { return c.Stage(ctx, stageRequest()) },
			func(c *operator.Client) (operator.Decision, error) { return c.Approve(ctx, approveRequest(1)) },
			func(c *operator.Client) (operator.Decision, error) {
				return c.Stop(ctx, operator.StopRequest{
					Stop: registry.SignStop(key, registry.Stop{Version: 1, Operator: "ana"})})
			},
		} {
			before := m.index
			decision, err := call(newClient(serve(loseResponses(1, handler))))
			Expect(err).NotTo(HaveOccurred())
			Expect(decision.Index).To(Equal(before+1), "the response is that to the first request")
			Expect(m.index).To(Equal(before + 2))
		}
		Expect(m.registry.History()).To(HaveLen(2))
	})

	It("sends the request to the leader that a response names, and skips addresses that refuse connections", func() {
		leader := serve(operator.NewHandler(newMember()))
		follower := newMember()
		follower.err = &operator.Error{Kind: operator.ErrNotLeader, Leader: leader}
		client := newClient(closedAddress(), serve(operator.NewHandler(follower)))
		decision, err := client.Stage(ctx, stageRequest())
		Expect(err).NotTo(HaveOccurred())
		Expect(decision.Effect).To(Equal(registry.EffectStaged))
	})

	It("gives up if two members name each other as the leader", func() {
		one, two := newMember(), newMember()
		first, second := serve(operator.NewHandler(one)), serve(operator.NewHandler(two))
		one.err = &operator.Error{Kind: operator.ErrNotLeader, Leader: second}
		two.err = &operator.Error{Kind: operator.ErrNotLeader, Leader: first}
		_, err := newClient(first, second).Stage(ctx, stageRequest())
		Expect(err).To(MatchError(operator.ErrNoQuorum))
		Expect(one.calls+two.calls).To(BeNumerically("<=", 2*(2+3)), "two rounds of two addresses and three redirects")
	})

	It("never reports a change as not accepted when it may have taken effect", func() {
		m := newMember()
		address := serve(loseResponses(100, operator.NewHandler(m)))
		_, err := newClient(address).Stage(ctx, stageRequest())
		Expect(err).To(MatchError(operator.ErrOutcomeUnknown))
		_, err = newClient(address).Status(ctx)
		Expect(err).To(MatchError(operator.ErrUnreachable))
		_, err = newClient(closedAddress()).Stage(ctx, stageRequest())
		Expect(err).To(MatchError(operator.ErrUnreachable))
	})

	It("returns every error with its details", func() {
		winner := approveRequest(3).Approval
		for _, kind := range []error{operator.ErrVersionTaken, operator.ErrVersionOld, operator.ErrWithdrawn,
			operator.ErrNotLatest, operator.ErrUnknownVersion, operator.ErrNotStaged, operator.ErrInvalidBundle,
			operator.ErrUnauthorized, operator.ErrBadRequest, operator.ErrNotFound, operator.ErrMembershipBusy,
			operator.ErrNoQuorum} {
			m := newMember()
			m.err = &operator.Error{Kind: kind, Message: "why", Winner: &winner,
				Problems: bundle.Problems{{Field: "f", Value: "v", Allowed: "a"}}}
			_, err := newClient(serve(operator.NewHandler(m))).Approve(ctx, approveRequest(1))
			Expect(err).To(MatchError(kind))
			var detailed *operator.Error
			Expect(errors.As(err, &detailed)).To(BeTrue())
			if kind != operator.ErrNoQuorum {
				Expect(detailed.Winner).To(Equal(&winner))
				Expect(detailed.Problems).To(HaveLen(1))
			}
		}
		m := newMember()
		m.err = errors.New("disk failed")
		_, err := newClient(serve(operator.NewHandler(m))).Status(ctx)
		Expect(err).To(MatchError(operator.ErrInternal))
	})

	It("prefers the status of a member that a quorum has confirmed to that of a partitioned one", func() {
		partitioned, old, confirmed := newMember(), newMember(), newMember()
		partitioned.confirmedAgeMs, old.confirmedAgeMs = operator.AgeUnknown, 2*operator.MaxFreshAgeMs
		first, second := serve(operator.NewHandler(partitioned)), serve(operator.NewHandler(old))
		status, err := newClient(first, second, serve(operator.NewHandler(confirmed))).Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.ConfirmedAgeMs).To(BeZero())
		status, err = newClient(first, second).Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.ConfirmedAgeMs).To(Equal(old.confirmedAgeMs))
	})

	It("reads status and history", func() {
		client := newClient(serve(operator.NewHandler(newMember())))
		status, err := client.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Zones[0].Lagging[0].Reason).To(Equal("parts missing"))
		Expect(status.Zones[0].AgeMs).To(Equal(operator.AgeUnknown))
		history, err := client.History(ctx, operator.HistoryRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(history.Records).To(HaveLen(operator.DefaultHistoryLimit))
		_, err = client.History(ctx, operator.HistoryRequest{Limit: operator.MaxHistoryLimit + 1})
		Expect(err).To(MatchError(operator.ErrBadRequest))
	})
})

var _ = Describe("Rollout", func() {
	zone := func(age int64, lowest uint64, counts ...operator.VersionCount) operator.ZoneStatus {
		return operator.ZoneStatus{Proxies: 4, AgeMs: age, LowestVersion: lowest, Versions: counts}
	}

	DescribeTable("determines the state of a zone, and never from old counts",
		func(z operator.ZoneStatus, stopped bool, want operator.RolloutState) {
			z.Rollout = operator.ZoneRollout(5, stopped, z)
			Expect(z.Rollout).To(Equal(want))
			Expect(operator.MeshRollout(5, stopped, []operator.ZoneStatus{z})).To(Equal(want))
		},
		Entry("all proxies", zone(0, 5, operator.VersionCount{Version: 5, Proxies: 4}), false, operator.RolloutInForce),
		Entry("all proxies, whose later versions are not listed", zone(0, 6), false, operator.RolloutInForce),
		Entry("some proxies", zone(0, 4, operator.VersionCount{Version: 5, Proxies: 3}), false, operator.RolloutInProgress),
		Entry("old counts", zone(operator.MaxFreshAgeMs+1, 5), false, operator.RolloutUnknown),
		Entry("no counts", zone(operator.AgeUnknown, 5), false, operator.RolloutUnknown),
		Entry("stopped", zone(0, 5), true, operator.RolloutStopped),
	)

	It("is unknown without proxies, and none before the first approval", func() {
		Expect(operator.MeshRollout(5, false, nil)).To(Equal(operator.RolloutUnknown))
		Expect(operator.MeshRollout(0, false, nil)).To(Equal(operator.RolloutNone))
	})

	It("returns the newest records of a history first", func() {
		records := []registry.HistoryRecord{{Index: 1}, {Index: 2}, {Index: 3}}
		Expect(operator.NewestRecords(records, 2)).To(Equal([]registry.HistoryRecord{{Index: 3}, {Index: 2}}))
	})
})

var _ = Describe("Handler", func() {
	post := func(path string, body []byte) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		operator.NewHandler(newMember()).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
		return recorder
	}

	DescribeTable("refuses malformed requests before they reach the backend",
		func(path, body string) { Expect(post(path, []byte(body)).Code).To(Equal(http.StatusBadRequest)) },
		Entry("no JSON", operator.PathStop, `{`),
		Entry("unknown field", operator.PathMemberRemove, `{"request_id":"r","id":"m","force":true}`),
		Entry("no request identifier", operator.PathMemberRemove, `{"id":"m"}`),
		Entry("no member", operator.PathMemberRemove, `{"request_id":"r"}`),
		Entry("no version", operator.PathStop, `{"request_id":"r","stop":{"operator":"ana","signature":"AA=="}}`),
		Entry("too large", operator.PathMemberRemove, `{"id":"`+strings.Repeat("x", 1<<17)+`"}`),
	)

	It("refuses a replacement on the path of approvals, which would ignore its condition", func() {
		request := approveRequest(2)
		request.RequestID = "r"
		request.Approval.Replaces = 1
		body, err := json.Marshal(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(post(operator.PathApprove, body).Code).To(Equal(http.StatusBadRequest))
	})
})
