package raft_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/membership"
	"sapphiregate.example/sapphiregate/coordination/raft"
)

// recoverWithin is the time after a loss within which the group commits entries again.
const recoverWithin = 15 * time.Second

// newZonedFleet starts processes in zones, as many in each as given. The first one of each zone is a founder.
func newZonedFleet(seed int64, tolerance membership.Tolerance, processes []int) *fleet {
	placement := membership.Placement{Tolerance: tolerance}
	voters, _ := placement.Voters()
	policy := membership.NewPolicy(voters, repairWithin)
	policy.Placement = placement
	var founders raft.Membership
	var others []raft.MemberID
	sites := map[raft.MemberID]site{}
	for zone, count := range processes {
		for i := range count {
			id := raft.MemberID(fmt.Sprintf("%c%d", 'a'+zone, i))
			sites[id] = site{address: string(id), zone: fmt.Sprintf("zone-%c", 'a'+zone)}
			if i == 0 {
				founders.Members = append(founders.Members, raft.Member{ID: id, Address: sites[id].address, Zone: sites[id].zone})
			} else {
				others = append(others, id)
			}
		}
	}
	f := fleetOf(newCluster(seed, founders, others...), policy)
	f.sites = sites
	return f
}

// inZone lists the processes of a zone.
func (f *fleet) inZone(zone string) []*member {
	return slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return f.site(m.id).zone != zone })
}

// stop ends a process at once. If its disk is lost, its place is taken by a process with another identity and no state.
func (f *fleet) stop(m *member, diskLost bool) *member {
	if m.node != nil {
		f.crash(m)
	}
	delete(f.leaveBy, m.id)
	delete(f.restartAt, m.id)
	if !diskLost {
		return m
	}
	f.members = slices.DeleteFunc(f.members, func(other *member) bool { return other == m })
	id := raft.MemberID(fmt.Sprintf("%s-%d", f.site(m.id).address, f.steps))
	f.sites[id] = f.site(m.id)
	f.add(id, raft.Membership{})
	added := f.member(id)
	f.crash(added)
	return added
}

// commit proposes entries until one is committed, and returns its index; 0 if none is within the time.
func (f *fleet) commit(within time.Duration) uint64 {
	for end := f.now + within; f.now < end; {
		leader := f.leader()
		if leader == nil || f.propose(leader, 1) != nil {
			f.advance(100*time.Millisecond, func() {})
			continue
		}
		index, term := leader.node.Status().LastIndex, leader.node.Status().Term
		for range 20 {
			f.advance(20*time.Millisecond, func() {})
			if leader.node == nil || leader.node.Status().Term != term {
				break
			}
			if leader.node.Status().Commit >= index {
				return index
			}
		}
	}
	return 0
}

// Guards against committed entries whose only copies are in one zone, and against a group that the loss of a zone leaves
// without a quorum for good, once earlier losses are repaired: outages of zones and machines, planned stops and the loss of
// the leader come in any order, each after the one before is repaired.
func TestZonesMayBeLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newZonedFleet(rapid.Int64().Draw(t, "seed"), membership.Tolerance{Instances: 1, Zones: 1},
			rapid.SampledFrom([][]int{{2, 2, 1}, {3, 1, 1}, {1, 1, 1}, {2, 2, 2}, {1, 2, 1, 1}}).Draw(t, "processes"))
		f.maxExtraDelay = time.Duration(rapid.SampledFrom([]int{0, 20}).Draw(t, "delay")) * time.Millisecond
		f.advance(3*time.Second, func() {})
		for range rapid.IntRange(1, 4).Draw(t, "losses") {
			index := f.commit(recoverWithin)
			if index == 0 {
				t.Fatal("no entry is committed")
			}
			lost := []*member{rapid.SampledFrom(f.members).Draw(t, "process")}
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				lost = f.inZone(f.site(lost[0].id).zone)
			}
			diskLost := rapid.Bool().Draw(t, "disks")
			var back []*member
			for _, m := range lost {
				back = append(back, f.stop(m, diskLost))
			}
			f.advance(time.Duration(rapid.IntRange(2, 80).Draw(t, "down"))*100*time.Millisecond, func() {})
			if !diskLost && rapid.Bool().Draw(t, "overlap") {
				// More is lost at once than tolerated, but only one zone's disks: the group may stop until all are back.
				index = max(index, f.commit(time.Second))
				zone := f.site(lost[0].id).zone
				others := slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return f.site(m.id).zone == zone })
				for _, m := range f.inZone(f.site(rapid.SampledFrom(others).Draw(t, "second").id).zone) {
					back = append(back, f.stop(m, true))
				}
				f.advance(time.Second, func() {})
			}
			for _, m := range back {
				if f.member(m.id) != nil && m.node == nil {
					f.restart(m)
				}
			}
			if rapid.Bool().Draw(t, "planned stop") {
				// It is back before the time for the repair is over, and does not take the group's quorum.
				f.tellToEnd(rapid.SampledFrom(f.members).Draw(t, "stopped"), 500*time.Millisecond)
			}
			f.advance(repairWithin, func() {})
			f.returnAll()
			f.advance(repairWithin, func() {})
			if f.commit(recoverWithin) <= index {
				t.Fatalf("no entry is committed after %d", index)
			}
			if shortfall := f.policy.Shortfall(f.leader().node.Status()); shortfall > 0 {
				t.Fatalf("%d voters too many may be lost at once: %v", shortfall, f.leader().node.Membership())
			}
		}
	})
}

// Guards against a member that waits in vain to be replaced, because the processes that ask to join must not take its place,
// and ends when its time is over.
func TestTheOnlyProcessOfAZoneIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newZonedFleet(rapid.Int64().Draw(t, "seed"), membership.Tolerance{Instances: 1, Zones: 1}, []int{2, 2, 1})
		f.advance(3*time.Second, func() {})
		f.tellToEnd(f.inZone("zone-c")[0], 500*time.Millisecond)
		f.advance(graceTime+time.Second, func() {})
		if f.released != 1 || f.removed != 0 || f.overdue != 0 {
			t.Fatalf("%d released, %d removed, %d overdue", f.released, f.removed, f.overdue)
		}
	})
}

// returnAll starts the processes that have ended. One that was removed has discarded its state.
func (f *fleet) returnAll() {
	for _, m := range slices.Clone(f.members) {
		if m.node != nil {
			continue
		}
		if f.isListed(m.id) {
			f.restart(m)
		} else {
			f.restart(f.stop(m, true))
		}
	}
}

// isListed reports whether the newest leader lists a member.
func (f *fleet) isListed(id raft.MemberID) bool {
	leader := f.leader()
	if leader == nil {
		return true
	}
	_, listed := leader.node.Membership().Find(id)
	return listed
}
