package control_test

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/control"
	"sapphiregate.example/sapphiregate/experiment"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/local"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/ledger"
	"sapphiregate.example/sapphiregate/state/registry"
	"sapphiregate.example/sapphiregate/transport/rpc"
	"sapphiregate.example/sapphiregate/transport/shape"
)

const eventuallyTimeout = 20 * time.Second

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

var (
	violationsMu sync.Mutex
	violations   []string
)

var _ = BeforeSuite(func() {
	invariant.SetHandler(func(name invariant.Name, message string, _ map[string]any) {
		violationsMu.Lock()
		defer violationsMu.Unlock()
		violations = append(violations, string(name)+": "+message)
	})
})

var _ = AfterEach(func() {
	violationsMu.Lock()
	defer violationsMu.Unlock()
	Expect(violations).To(BeEmpty())
})

// group runs three members with real ports and folders.
type group struct {
	*local.Deployment
	operators map[string]ed25519.PrivateKey
	admin     map[string]string
}

func newGroup(nodes ...experiment.NodeSpec) *group {
	g := &group{admin: make(map[string]string), operators: map[string]ed25519.PrivateKey{
		"ana": ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
		"ben": ed25519.NewKeyFromSeed(append(make([]byte, ed25519.SeedSize-1), 1)),
	}}
	var err error
	g.Deployment, err = local.New(experiment.Spec{
		Network: shape.NewNetwork(1), Operators: g.operators, DataFolder: GinkgoT().TempDir(),
		Members: []experiment.MemberSpec{{ID: "a", Zone: "za"}, {ID: "b", Zone: "zb"}, {ID: "c", Zone: "zc"}},
		Nodes:   nodes,
	}, local.Options{Logger: zerolog.New(GinkgoWriter)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { Expect(g.Close()).To(Succeed()) })
	g.refreshAdminAddresses()
	return g
}

// formGroup starts the members of a new group in the given order. It checks that the founders form one group whatever
// their order is.
func formGroup(order ...string) *group { return formGroupWith(nil, order...) }

// formGroupWith forms a group beside nodes that are not started yet.
func formGroupWith(nodes []experiment.NodeSpec, order ...string) *group {
	g := newGroup(nodes...)
	g.start(order[:2]...)
	// The identity of the third founder is not known yet, so that the first two must not form a group.
	_, formed := g.Leader()
	Expect(formed).To(BeFalse())
	g.start(order[2])
	g.leader()
	var first []string
	Eventually(func() int { first = g.memberIDs("a"); return len(first) }, eventuallyTimeout).Should(Equal(3))
	Expect(first).NotTo(ContainElement(BeElementOf("a", "b", "c")))
	for _, id := range order {
		Eventually(func() []string { return g.memberIDs(id) }, eventuallyTimeout).Should(Equal(first))
		Expect(first).To(ContainElement(g.dump(id).ID))
	}
	return g
}

func (g *group) refreshAdminAddresses() {
	for i, id := range g.Members() {
		g.admin[id] = g.AdminAddresses()[i]
	}
}

func (g *group) start(ids ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	for _, id := range ids {
		Expect(g.StartMember(ctx, id)).To(Succeed())
	}
}

func (g *group) kill(ids ...string) {
	for _, id := range ids {
		Expect(g.KillMember(id)).To(Succeed())
	}
}

// leader waits until one of the members leads, and returns it and the other members.
func (g *group) leader() (leader string, followers []string) {
	Eventually(func() (ok bool) { leader, ok = g.Leader(); return ok }, eventuallyTimeout).Should(BeTrue())
	return leader, slices.DeleteFunc(g.Members(), func(id string) bool { return id == leader })
}

// client returns a client that sends requests to one member, at most rounds times each.
func (g *group) client(id string, rounds int) *operator.Client {
	return g.clientWithTimeout(id, rounds, 2*time.Second)
}

func (g *group) clientWithTimeout(id string, rounds int, attempt time.Duration) *operator.Client {
	client, err := operator.NewClient(operator.ClientConfig{
		Addresses: []string{g.admin[id]}, Rounds: rounds, RetryWait: 20 * time.Millisecond,
		AttemptTimeout: attempt, Rand: rand.New(rand.NewSource(1)),
	})
	Expect(err).NotTo(HaveOccurred())
	return client
}

const maxClientRounds = 10

// config returns a bundle that differs by the name of its service.
func config(service string) *bundle.Bundle {
	return &bundle.Bundle{Services: []bundle.Service{{Name: service}}}
}

// refusalOf returns why a node refuses a request with key k.
func (g *group) refusalOf(ctx context.Context, id string) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Address(id).HTTP+"/", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer k")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	return response.Header.Get(protocol.HeaderReason)
}

func (g *group) request(name string, version uint64, b *bundle.Bundle) operator.ApproveRequest {
	update, err := bundle.FullUpdate(b)
	Expect(err).NotTo(HaveOccurred())
	approval := bundle.Approval{Version: version, Digest: update.Target, Operator: name}
	return operator.ApproveRequest{
		RequestID: operator.NewRequestID(), Approval: bundle.Sign(g.operators[name], approval),
	}
}

func (g *group) stage(id, name string, version uint64, b *bundle.Bundle) {
	update, err := bundle.FullUpdate(b)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := registry.EncodeUpdate(update)
	Expect(err).NotTo(HaveOccurred())
	_, err = g.client(id, maxClientRounds).Stage(context.Background(), operator.StageRequest{
		RequestID: operator.NewRequestID(), Operator: name, Version: version, Digest: update.Target, Update: encoded,
	})
	Expect(err).NotTo(HaveOccurred())
}

func (g *group) approve(id string, version uint64, b *bundle.Bundle) operator.Decision {
	g.stage(id, "ana", version, b)
	decision, err := g.client(id, maxClientRounds).Approve(context.Background(), g.request("ana", version, b))
	Expect(err).NotTo(HaveOccurred())
	return decision
}

func (g *group) dump(id string) (dump control.Dump) {
	response, err := g.client(id, 1).Dump(context.Background())
	if err != nil || json.Unmarshal(response.State, &dump) != nil {
		return control.Dump{ConfirmedAgeMs: operator.AgeUnknown}
	}
	return dump
}

func (g *group) latestVersion(id string) uint64 {
	if latest := g.dump(id).Latest; latest != nil {
		return latest.Version
	}
	return 0
}

// memberIDs returns the sorted identities of the membership of the registry's group as one member knows it.
func (g *group) memberIDs(id string) (ids []string) {
	dump := g.dump(id)
	if len(dump.Groups) == 0 {
		return nil
	}
	for _, member := range dump.Groups[0].Raft.Membership.Members {
		ids = append(ids, string(member.ID))
	}
	slices.Sort(ids)
	return ids
}

// commitToLedger sends a ledger command to the members until one commits it.
func (g *group) commitToLedger(pool *rpc.Pool, addresses []string, command ledger.Command) (result ledger.Result) {
	data, err := protocol.Marshal(command)
	Expect(err).NotTo(HaveOccurred())
	request := &protocol.ProposeRequest{Target: protocol.TargetLedger, Key: "k", Command: data}
	Eventually(func() bool {
		for _, address := range addresses {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			reply, err := pool.Propose(ctx, address, request)
			cancel()
			if err == nil && reply.Status == protocol.ProposeApplied {
				return protocol.Unmarshal(reply.Result, &result) == nil
			}
		}
		return false
	}, eventuallyTimeout).Should(BeTrue())
	return result
}
