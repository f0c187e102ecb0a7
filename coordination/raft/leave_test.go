package raft_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/membership"
	"sapphiregate.example/sapphiregate/coordination/raft"
)

const (
	graceTime        = 4 * time.Second // that a member which is told to end has
	announceInterval = 300 * time.Millisecond
	policyInterval   = 40 * time.Millisecond
)

// fleet drives the processes of a cluster as control members do: leaders change the membership and release members by the
// policy, processes that are no members ask to join, and those that are told to end wait for their release.
type fleet struct {
	*cluster
	policy     membership.Policy
	candidates map[raft.MemberID]*membership.Candidates // by the process that has heard of them
	leaveBy    map[raft.MemberID]time.Duration          // when a process that was told to end does so in any case
	restartAt  map[raft.MemberID]time.Duration
	restarts   map[raft.MemberID]time.Duration // time after its end at which a process is back; none if it stays away
	// sites holds the address and zone of a process, by its identity, unless its address is the identity.
	sites map[raft.MemberID]site
	// released, removed and overdue count the ends by their reason.
	released, removed, overdue int
}

type site struct{ address, zone string }

func (f *fleet) site(id raft.MemberID) site {
	if s, ok := f.sites[id]; ok {
		return s
	}
	return site{address: string(id)}
}

func newFleet(seed int64, spares int) *fleet {
	var others []raft.MemberID
	for i := range spares {
		others = append(others, raft.MemberID(fmt.Sprintf("s%d", i)))
	}
	founders := voters("a", "b", "c", "d", "e")
	for i := range founders.Members {
		founders.Members[i].Address = string(founders.Members[i].ID)
	}
	return fleetOf(newCluster(seed, founders, others...), membership.NewPolicy(5, repairWithin))
}

// repairWithin is the time within which a process that is back counts as a full member.
const repairWithin = 4 * time.Second

func fleetOf(c *cluster, policy membership.Policy) *fleet {
	return &fleet{
		cluster: c, policy: policy, sites: map[raft.MemberID]site{},
		candidates: map[raft.MemberID]*membership.Candidates{}, leaveBy: map[raft.MemberID]time.Duration{},
		restartAt: map[raft.MemberID]time.Duration{}, restarts: map[raft.MemberID]time.Duration{},
	}
}

// advance runs the fleet and calls check after each step.
func (f *fleet) advance(duration time.Duration, check func()) {
	for end := f.now + duration; f.now < end; {
		f.cluster.run(step)
		for _, m := range f.members {
			if at, ok := f.restartAt[m.id]; ok && f.now >= at {
				delete(f.restartAt, m.id)
				delete(f.candidates, m.id)
				f.restart(m)
			}
			if m.node == nil {
				continue
			}
			f.stepLeave(m)
			if m.node != nil && f.now%policyInterval == 0 {
				f.applyPolicy(m)
			}
		}
		if f.now%announceInterval == 0 {
			f.announce()
		}
		check()
	}
}

func (f *fleet) applyPolicy(m *member) {
	now, status, known := f.clock(m), m.node.Status(), f.candidatesOf(m.id)
	if change, ok := f.policy.NextChange(now, status, known); ok {
		_, _, _ = m.node.ProposeMembership(now, change)
	} else if id, ok := f.policy.NextRelease(now, status, known); ok {
		_ = m.node.Release(now, id)
	}
	f.process(m)
}

func (f *fleet) candidatesOf(id raft.MemberID) *membership.Candidates {
	if f.candidates[id] == nil {
		f.candidates[id] = new(membership.Candidates)
	}
	return f.candidates[id]
}

func (f *fleet) announce() {
	for _, m := range f.members {
		if m.node == nil || !f.isOutside(m) || f.leaveBy[m.id] > 0 {
			continue
		}
		for _, other := range f.members {
			if other.node != nil && other != m && f.rng.Float64() >= f.loss {
				f.candidatesOf(other.id).Announce(membership.Candidate{
					ID: m.id, Address: f.site(m.id).address, Zone: f.site(m.id).zone, LastSeen: f.clock(other),
				})
			}
		}
	}
}

// isOutside reports whether a process takes itself for no member.
func (f *fleet) isOutside(m *member) bool {
	status := m.node.Status()
	_, listed := status.Membership.Find(m.id)
	return !listed && !status.MembershipPending
}

// tellToEnd tells a process to end. It comes back some time after its end; never if that is 0.
func (f *fleet) tellToEnd(m *member, backAfter time.Duration) {
	if m.node != nil && f.leaveBy[m.id] == 0 {
		f.leaveBy[m.id], f.restarts[m.id] = f.now+graceTime, backAfter
	}
}

// stepLeave takes the next step of a process that was told to end, as control.Member does.
func (f *fleet) stepLeave(m *member) {
	by, leaving := f.leaveBy[m.id]
	if !leaving {
		return
	}
	now := f.clock(m)
	current := m.node.Status()
	if target, ok := membership.TransferTarget(current); ok && current.Transferring == "" {
		_ = m.node.TransferLeadership(now, target)
	}
	m.node.Leave(now)
	f.process(m)
	status := m.node.Status()
	switch {
	case status.Removed || f.isOutside(m):
		f.removed++
		f.restarts[m.id] = 0 // An identity without its state must not come back.
	case status.Released:
		f.released++
	case f.now >= by:
		f.overdue++
	default:
		return
	}
	delete(f.leaveBy, m.id)
	f.crash(m)
	if back := f.restarts[m.id]; back > 0 {
		f.restartAt[m.id] = f.now + back
	}
}

// runningVoters counts the voters of the newest leader's membership, and those of them that run.
func (f *fleet) runningVoters() (running, all int) {
	leader := f.leader()
	if leader == nil {
		return 0, 0
	}
	ids := leader.node.Status().Membership.Voters()
	for _, id := range ids {
		if f.member(id).node != nil {
			running++
		}
	}
	return running, len(ids)
}

// Guards against planned stops that together take the quorum away: each member may end for itself, but not all of them,
// in any order, with or without processes that take their place, beside the loss of a leader and of messages.
func TestPlannedLeavesKeepTheQuorum(t *testing.T) {
	released, removed, overdue := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		spares := rapid.IntRange(0, 5).Draw(t, "spares")
		f := newFleet(rapid.Int64().Draw(t, "seed"), spares)
		f.loss = rapid.SampledFrom([]float64{0, 0, 0.05}).Draw(t, "loss")
		f.maxExtraDelay = time.Duration(rapid.SampledFrom([]int{0, 20}).Draw(t, "delay")) * time.Millisecond
		leaderCrashes := rapid.Bool().Draw(t, "leaderCrashes")
		checkQuorum := func() {
			if running, all := f.runningVoters(); !leaderCrashes && f.overdue == 0 && all > 0 && running <= all/2 {
				t.Fatalf("%d of %d voters run", running, all)
			}
		}
		f.advance(3*time.Second, checkQuorum)
		leaves := rapid.IntRange(1, 8).Draw(t, "leaves")
		for i := range leaves {
			if leaderCrashes && i == leaves/2 {
				if leader := f.leader(); leader != nil {
					f.restartAt[leader.id] = f.now + time.Second
					delete(f.leaveBy, leader.id)
					f.crash(leader)
				}
			}
			m := f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "member")]
			f.tellToEnd(m, time.Duration(rapid.IntRange(0, 15).Draw(t, "backAfter"))*100*time.Millisecond)
			f.advance(time.Duration(rapid.IntRange(0, 15).Draw(t, "pause"))*100*time.Millisecond, checkQuorum)
		}
		f.advance(graceTime+time.Second, checkQuorum)
		released, removed, overdue = released+f.released, removed+f.removed, overdue+f.overdue
		f.expectProgress(t)
	})
	t.Logf("%d members released, %d removed, %d overdue", released, removed, overdue)
	if released < 20 || removed < 20 {
		t.Error("too few members left")
	}
}

// Guards against a member that is not replaced although a process waits for its place: it holds the group's quorum when
// it ends.
func TestPlannedLeavesAreReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaves := rapid.IntRange(1, 5).Draw(t, "leaves")
		f := newFleet(rapid.Int64().Draw(t, "seed"), leaves)
		none := func() {}
		f.advance(3*time.Second, none)
		for i := range leaves {
			f.tellToEnd(f.members[i], 0)
			f.advance(time.Duration(rapid.IntRange(0, 15).Draw(t, "pause"))*100*time.Millisecond, none)
		}
		f.advance(graceTime, none)
		if running, all := f.runningVoters(); f.removed != leaves || running != 5 || all != 5 {
			t.Fatalf("%d of %d leaving members were replaced, %d were overdue, %d of %d voters run", f.removed, leaves, f.overdue, running, all)
		}
	})
}

// expectProgress starts all processes that have ended, other than those that were removed, and expects the group to
// commit an entry.
func (f *fleet) expectProgress(t *rapid.T) {
	f.loss, f.maxExtraDelay = 0, 0
	for _, m := range f.members {
		_, mayReturn := f.restarts[m.id]
		if m.node == nil && (!mayReturn || f.wasVoter(m.id)) {
			f.restart(m)
		}
	}
	f.advance(8*time.Second, func() {})
	leader := f.awaitLeader()
	before := leader.node.Status().Commit
	if err := f.propose(leader, 1); err != nil {
		t.Fatal(err)
	}
	f.advance(2*time.Second, func() {})
	if f.member(leader.id).node.Status().Commit <= before {
		t.Fatal("no entry is committed")
	}
}

// wasVoter reports whether any process that runs lists a process as a voter.
func (f *fleet) wasVoter(id raft.MemberID) bool {
	for _, m := range f.members {
		if m.node != nil && m.node.Membership().IsVoter(id) {
			return true
		}
	}
	return false
}
