package membership_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/membership"
	"sapphiregate.example/sapphiregate/coordination/raft"
)

// TestMain fixes the seed of the property tests, so that every run draws the same cases.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 20261204
	RunSpecs(t, "membership", suite, reporter)
}

const voters = 5

var policy = membership.NewPolicy(voters, 4*time.Second)

// process is one control process of a simulated group. It gets a new ID when its disk is lost.
type process struct {
	id            raft.MemberID
	address, zone string
	alive         bool
	// downSince is the time from which a process that is not alive is silent; zero stands for long ago.
	downSince time.Time
}

// group simulates a Raft group whose leader commits each change that NextChange proposes at once.
type group struct {
	policy     membership.Policy
	now        time.Time
	processes  []*process
	members    raft.Membership
	candidates membership.Candidates
	identities int
	removed    []raft.MemberID
}

func newGroup(size int) *group {
	g := &group{now: time.Unix(1_000, 0), policy: policy}
	for i := range size {
		p := &process{address: fmt.Sprintf("10.0.0.%d:1", i), alive: true}
		g.processes = append(g.processes, p)
		g.identify(p)
		if i < voters {
			g.members.Members = append(g.members.Members, raft.Member{ID: p.id, Address: p.address})
		}
	}
	return g
}

// identify gives a process a new ID. The order of the IDs differs from the order in which they were created.
func (g *group) identify(p *process) {
	g.identities++
	p.id = raft.MemberID(fmt.Sprintf("%c%d", 'a'+(g.identities*7)%26, g.identities))
}

func (g *group) process(id raft.MemberID) *process {
	for _, p := range g.processes {
		if p.id == id && p.alive {
			return p
		}
	}
	return nil
}

// leader returns the first voter that is alive.
func (g *group) leader() *process {
	for _, id := range g.members.Voters() {
		if p := g.process(id); p != nil {
			return p
		}
	}
	return nil
}

func (g *group) status() raft.Status {
	status := raft.Status{
		ID: g.leader().id, Role: raft.RoleLeader, Commit: 10, Membership: g.members,
		Progress: make(map[raft.MemberID]raft.MemberProgress),
	}
	for _, member := range g.members.Members {
		progress := raft.MemberProgress{SinceContact: -1, Silence: time.Minute}
		for _, p := range g.processes {
			switch {
			case p.id == member.ID && p.alive:
				progress = raft.MemberProgress{Match: 10}
			case p.id == member.ID && !p.downSince.IsZero():
				progress.Silence = g.now.Sub(p.downSince)
			}
		}
		status.Progress[member.ID] = progress
	}
	return status
}

// step advances the time by 100 ms and returns the change that was made, if any.
func (g *group) step() (raft.MembershipChange, bool) {
	g.now = g.now.Add(100 * time.Millisecond)
	for _, p := range g.processes {
		if _, member := g.members.Find(p.id); p.alive && !member {
			g.candidates.Announce(membership.Candidate{ID: p.id, Address: p.address, Zone: p.zone, LastSeen: g.now})
		}
	}
	change, ok := g.policy.NextChange(g.now, g.status(), &g.candidates)
	if ok {
		g.apply(change)
	}
	return change, ok
}

func (g *group) apply(change raft.MembershipChange) {
	var members []raft.Member
	for _, member := range g.members.Members {
		switch {
		case member.ID != change.Member.ID:
			members = append(members, member)
		case change.Kind == raft.ChangePromote:
			member.Learner = false
			members = append(members, member)
		default:
			g.removed = append(g.removed, member.ID)
		}
	}
	if change.Kind == raft.ChangeAddLearner {
		members = append(members, change.Member)
	}
	slices.SortFunc(members, func(a, b raft.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	g.members = raft.Membership{Members: members}
}

// settle runs until no change is proposed, for at most 100 steps, and returns the number of changes.
func (g *group) settle() int {
	changes := 0
	for range 100 {
		if _, ok := g.step(); !ok {
			return changes
		}
		changes++
	}
	return changes
}

// loseDisk restarts a process with an empty disk.
func (g *group) loseDisk(p *process) { g.identify(p) }

var _ = Describe("NextChange", func() {
	// Guards against a leader that confuses the restarted process with the lost member because both have the same
	// address, and adds and removes it again and again. The group could then not survive the loss of another disk.
	It("replaces a member that restarts at its address with an empty disk exactly once", func() {
		for range 50 {
			g := newGroup(voters)
			lost := g.processes[1+rand.IntN(voters-1)]
			former := lost.id
			g.loseDisk(lost)
			Expect(g.settle()).To(Equal(3), "add, promote, remove")
			Expect(g.removed).To(Equal([]raft.MemberID{former}))
			Expect(g.members.Voters()).To(ContainElement(lost.id))
		}
	})

	// Guards against a group that shrinks to three voters while it replaces two members: an entry that is committed on
	// two disks could then be lost with both of them.
	It("never has fewer voters than before while it replaces two members", func() {
		g := newGroup(voters)
		g.loseDisk(g.processes[1])
		g.loseDisk(g.processes[3])
		for range 20 {
			g.step()
			Expect(len(g.members.Voters())).To(BeNumerically(">=", voters))
		}
		Expect(g.members.Voters()).To(ConsistOf(g.processes[0].id, g.processes[1].id, g.processes[2].id,
			g.processes[3].id, g.processes[4].id))
	})

	// Guards against the removal of a live member because a former candidate used the same address: an announcement is
	// valid for two seconds, so the former candidate is still listed.
	It("keeps a voter or a learner that was in contact after a candidate announced the same address", func() {
		for _, learner := range []bool{false, true} {
			g := newGroup(voters)
			g.members.Members[1].Learner = learner
			g.candidates.Announce(membership.Candidate{
				ID: "former", Address: g.members.Members[1].Address, LastSeen: g.now.Add(-time.Second),
			})
			change, proposed := policy.NextChange(g.now, g.status(), &g.candidates)
			if learner {
				Expect(change.Kind).To(Equal(raft.ChangePromote))
			} else {
				Expect(proposed).To(BeFalse(), "proposed: %+v", change)
			}
		}
	})

	It("adds the processes that ask to join to the initial members", func() {
		g := newGroup(voters)
		g.members.Members = g.members.Members[:3]
		g.settle()
		Expect(g.members.Voters()).To(HaveLen(voters))
	})

	// Guards against replacing a member that only restarts: the copy of the state that it holds would be lost.
	It("keeps an unreachable member while no process asks to join, and replaces it by one that does", func() {
		g := newGroup(voters)
		g.processes[2].alive = false
		Expect(g.settle()).To(BeZero())
		gone := g.processes[2].id
		spare := &process{address: "10.0.0.9:1", alive: true}
		g.identify(spare)
		g.processes = append(g.processes, spare)
		Expect(g.settle()).To(Equal(3))
		Expect(g.removed).To(Equal([]raft.MemberID{gone}))
		Expect(g.members.Voters()).To(ContainElement(spare.id))
	})

	// Guards against a group that never accepts an entry because a process did not come up at the first start.
	It("counts processes that do not join as lost", func() {
		g := newGroup(voters)
		status := g.status()
		Expect(policy.IsForming(status)).To(BeFalse())
		status.Membership.Members = status.Membership.Members[:voters-1]
		Expect(policy.IsForming(status)).To(BeTrue())
		status.LeaderFor = policy.ReplaceAfter
		Expect(policy.IsForming(status)).To(BeFalse())
	})

	It("adds no process to a group that has all its voters", func() {
		g := newGroup(voters + 2)
		Expect(g.settle()).To(BeZero())
	})

	It("proposes nothing while a change is pending or another member leads", func() {
		g := newGroup(voters)
		g.loseDisk(g.processes[1])
		g.candidates.Announce(membership.Candidate{ID: g.processes[1].id, Address: g.processes[1].address, LastSeen: g.now})
		status := g.status()
		status.MembershipPending = true
		_, ok := policy.NextChange(g.now, status, &g.candidates)
		Expect(ok).To(BeFalse())
		status.MembershipPending, status.Role = false, raft.RoleFollower
		_, ok = policy.NextChange(g.now, status, &g.candidates)
		Expect(ok).To(BeFalse())
	})
})
