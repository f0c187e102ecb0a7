package raft_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/raft"
)

// Guards against lost or changed committed entries, two leaders in a term, diverging logs, ages below the true age, and
// groups that do not recover, under any schedule of faults.
func TestRandomSchedules(t *testing.T) {
	ageChecks, commits, leaders, removals := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Int64().Draw(t, "seed"), rapid.SampledFrom([]raft.Membership{voters("a", "b", "c"), voters("a", "b", "c", "d", "e")}).Draw(t, "voters"), "f", "g")
		c.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		c.duplication = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplication")
		c.maxExtraDelay = time.Duration(rapid.SampledFrom([]int{0, 20, 200}).Draw(t, "delay")) * time.Millisecond
		c.maxWriteTime = time.Duration(rapid.SampledFrom([]int{0, 10, 100}).Draw(t, "write")) * time.Millisecond
		c.writeCrashProbability = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "crashWrites")
		c.run(2 * time.Second)
		for range rapid.IntRange(10, 60).Draw(t, "actions") {
			m := c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")]
			removals += c.act(t, rapid.IntRange(0, 15).Draw(t, "action"), m)
			c.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
		}
		c.recoverAll(t)
		ageChecks, commits, leaders = ageChecks+c.ageChecks, commits+len(c.states), leaders+len(c.leaders)
	})
	t.Logf("%d age checks of members that lack entries, %d entries, %d terms with a leader, %d removals", ageChecks, commits, leaders, removals)
	if ageChecks < 1000 || commits < 1000 || removals < 10 {
		t.Error("too few age checks, entries or removals: the schedules hardly exercise the group")
	}
}

// act injects one fault or makes one request. It returns the number of members whose removal was proposed, 0 or 1.
func (c *cluster) act(t *rapid.T, action int, m *member) int {
	leader := c.leader()
	switch action {
	case 0:
		if m.node != nil {
			c.crash(m)
		}
	case 1, 2:
		if m.node == nil {
			c.restart(m)
		}
	case 3:
		c.isolate(m.id)
	case 4:
		c.isolate(m.id, c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "second")].id)
	case 5:
		other := c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "receiver")]
		c.blockedLinks[[2]raft.MemberID{m.id, other.id}] = true
	case 6, 7:
		c.heal()
	case 8:
		if leader != nil {
			_ = leader.node.TransferLeadership(c.clock(leader), m.id)
		}
	case 9:
		if leader == nil {
			return 0
		}
		if c.change(leader, raft.ChangeAddLearner, m.id) != nil {
			_ = c.change(leader, raft.ChangePromote, m.id)
		}
	case 10:
		if leader != nil && len(leader.node.Status().Membership.Voters()) > 2 && c.change(leader, raft.ChangeRemove, m.id) == nil {
			return 1
		}
	default:
		if leader != nil {
			_ = c.propose(leader, rapid.IntRange(1, 40).Draw(t, "count"))
		}
	}
	return 0
}

// recoverAll ends all faults, restarts crashed members and expects the group to commit an entry on all members.
func (c *cluster) recoverAll(t *rapid.T) {
	c.heal()
	c.loss, c.duplication, c.writeCrashProbability, c.maxExtraDelay, c.maxWriteTime = 0, 0, 0, 0, 2*time.Millisecond
	for _, m := range c.members {
		if m.node == nil {
			c.restart(m)
		}
	}
	c.run(8 * time.Second)
	leader := c.awaitLeader()
	if err := c.propose(leader, 1); err != nil {
		t.Fatal(err)
	}
	c.run(8 * time.Second)
	last := leader.node.Status().LastIndex
	if leader != c.leader() || last < uint64(len(c.states)-1) {
		t.Fatalf("leadership is not stable, or the leader lost entries: last %d of %d", last, len(c.states)-1)
	}
	for _, member := range leader.node.Status().Membership.Members {
		m := c.member(member.ID)
		age, ok := m.node.ConfirmedAge(c.clock(m))
		if m.applied != last || !ok || age > time.Second {
			t.Fatalf("%s applied %d of %d, age %v (%v)", m.id, m.applied, last, age, ok)
		}
	}
}
