package node_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// fakeOwner is a control member that lends the tokens of quotas.
type fakeOwner struct {
	server *rpc.Server
	mu     sync.Mutex
	book   *quota.Book
	// silent makes it leave requests without a reply.
	silent bool
	asked  bool
}

func newFakeOwner(limits map[string]quota.Limit) *fakeOwner {
	owner := &fakeOwner{server: rpc.NewServer(listen(), nil), book: quota.NewBook(quotaBounds)}
	owner.book.SetLimits(time.Now(), limits)
	owner.book.Open(time.Now().Add(-time.Minute), false)
	owner.server.ServeQuotas(owner)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = owner.server.Serve()
	}()
	DeferCleanup(func() { owner.server.Stop(); <-done })
	return owner
}

func (o *fakeOwner) Lend(ctx context.Context, request *quota.Request) (*quota.Reply, error) {
	o.mu.Lock()
	silent := o.silent
	o.asked = true
	o.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	return &quota.Reply{IsOwner: true, Grants: o.book.Lend(now, now.Add(time.Second), request)}, nil
}

func (o *fakeOwner) isAsked() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.asked
}

// quotaBounds leaves so little beyond the limit that it does not count in these tests.
var quotaBounds = quota.Bounds{Window: 5 * time.Second, Allowance: 2}

var _ = Describe("the quota of a team", func() {
	const keyed = "Bearer key-of-agency"
	var owner *fakeOwner
	var f *fixture
	BeforeEach(func() {
		team := bundle.Team{Name: "agency", Keys: []string{"key-of-agency"}, RequestsPerSecond: 1, Burst: 10}
		owner = newFakeOwner(quota.LimitsOf([]bundle.Team{team}))
		member := owner.server.Address()
		f = newFixture(true, member, 4, func(http.ResponseWriter, *http.Request) {}, func(o *node.Options) { o.QuotaBounds = quotaBounds })
		b := testBundle()
		b.Teams, b.Access = []bundle.Team{team}, bundle.AccessKeys
		Expect(f.ingress.PutInForce(bundle.Approval{Version: 2}, b)).To(Succeed())
	})

	It("refuses what lies beyond it, with the time to come back", func() {
		allowed, refused := 0, 0
		for range 20 {
			result := f.post("/lookup", "", "Authorization", keyed)
			switch result.status {
			case http.StatusOK:
				allowed++
			case http.StatusTooManyRequests:
				refused++
				seconds, err := strconv.Atoi(result.header.Get("Retry-After"))
				Expect(err).NotTo(HaveOccurred())
				Expect(seconds).To(BeNumerically(">=", 1))
				Expect(result.outcome()).To(Equal(string(protocol.OutcomeNotRun)))
				Expect(result.header.Get(protocol.HeaderReason)).To(Equal(string(protocol.ReasonQuota)))
			}
		}
		Expect(allowed).To(BeNumerically("~", 12, 2))
		Expect(allowed + refused).To(Equal(20))
	})

	It("is unknown while no owner replies: requests are refused in time, as not run", func() {
		owner.mu.Lock()
		owner.silent = true
		owner.mu.Unlock()
		started := time.Now()
		result := f.post("/lookup", "", "Authorization", keyed)
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		Expect(result.status).To(Equal(http.StatusServiceUnavailable))
		Expect(result.header.Get(protocol.HeaderReason)).To(Equal(string(protocol.ReasonQuotaUnknown)))
		Expect(result.outcome()).To(Equal(string(protocol.OutcomeNotRun)))
		owner.mu.Lock()
		owner.silent = false
		owner.mu.Unlock()
		Eventually(func() int { return f.post("/lookup", "", "Authorization", keyed).status }, eventuallyTimeout).
			Should(Equal(http.StatusOK))
	})

	It("is asked for by no goroutine that outlives the node", func() {
		owner.mu.Lock()
		owner.silent = true
		owner.mu.Unlock()
		go f.post("/lookup", "", "Authorization", keyed)
		Eventually(owner.isAsked, eventuallyTimeout).Should(BeTrue())
		unblock := f.ingress.BlockQuotaReply()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			f.ingress.Kill()
		}()
		Consistently(stopped, 200*time.Millisecond).ShouldNot(BeClosed())
		unblock()
		Eventually(stopped, eventuallyTimeout).Should(BeClosed())
	})
})
