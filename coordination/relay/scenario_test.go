package relay_test

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// settledMesh returns a mesh with the first version in force in all nodes, 30 s after it came into force.
func settledMesh(seed int64, zones, nodesPerZone int, without ...int) *sim {
	s := newSim(seed)
	addMesh(s, zones, nodesPerZone, without...)
	first := s.approve(s.stage(bundleOf(1, 20)))
	s.run(5 * time.Second)
	s.await(10*time.Second, s.allInForce(first))
	s.run(s.now + 30*time.Second)
	return s
}

// applyWithin is the time within which a version comes into force everywhere with shortIntervals.
const applyWithin = 2 * time.Second

// shortIntervals configures a deployment in which a version comes into force within 2 s even in nodes whose member has
// just been cut off.
func shortIntervals(c *relay.Config) {
	c.ApplyWithin(applyWithin)
	c.JoinJitter, c.PreferMembers = 200*time.Millisecond, true
	c.ZoneFollowers, c.RemoteFollowers = 32, 32
}

// fastMesh returns a mesh of three zones with shortIntervals.
func fastMesh(seed int64) *sim {
	s := newSim(seed)
	addMesh(s, 3, 4)
	for _, id := range s.ids {
		h := s.hosts[id]
		h.config = shortIntervals
		if h.member {
			s.kill(h)
			s.start(h)
		}
	}
	first := s.approve(s.stage(bundleOf(1, 20)))
	s.await(5*time.Second, s.allInForce(first))
	return s
}

var _ = Describe("Catch-up", func() {
	// Guards against sending missed versions one by one, or more bytes than the whole bundle has.
	It("takes one message after 300 missed versions", func() {
		s := settledMesh(3, 2, 6)
		node := s.hosts["n1-005"]
		s.isolate(node, 60*time.Second)
		for version := range 300 {
			s.schedule(s.now+time.Duration(version)*100*time.Millisecond, func() { s.approve(s.stage(bundleOf(version+2, 20))) })
		}
		s.run(s.now + 59*time.Second)
		Expect(node.inForce).To(BeNumerically("==", 1))
		messages, bytes := 0, 0
		s.onSend = func(_, to *host, m relay.Message) {
			if to == node && m.Parts != nil {
				messages++
				bytes += encodedSize(m)
			}
		}
		s.run(s.now + time.Second)
		took := s.await(10*time.Second, s.allInForce(301))
		whole, err := relay.Pack(s.staged[300])
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Println("caught up after", took, "with", bytes, "bytes; whole bundle", len(whole))
		Expect(messages).To(Equal(1))
		Expect(bytes).To(BeNumerically("<=", len(whole)+100))
		Expect(node.firstInForce).To(HaveLen(2))
	})
})

var _ = Describe("Restart", func() {
	// Guards against logs from which it cannot be told why a node kept an old version.
	It("of a member is reported by its nodes with the age of what they have", func() {
		s := fastMesh(1)
		s.run(s.now + 30*time.Second)
		node := s.hosts["n1-002"]
		Expect(node.peer.Status().Parent).To(Equal("m1"))
		node.parentChanges = nil
		s.kill(s.hosts["m1"])
		s.run(s.now + 5*time.Second)
		Expect(node.parentChanges).NotTo(BeEmpty())
		last := node.parentChanges[len(node.parentChanges)-1]
		Expect(last.Parent).To(Equal(node.peer.Status().Parent))
		Expect(last.Confirmed).To(BeTrue())
		Expect(last.Version).To(BeEquivalentTo(1))
		Expect(node.parentChanges[0].Former).To(Equal("m1"))
		Expect(node.parentChanges[0].Age).To(BeNumerically(">", 0))
	})

	// Guards against a node that forgets in a restart that its upstream leaves.
	It("tells a node which upstream had said that it leaves", func() {
		leaving := endpoints.UpstreamProcess{ID: "u1", Incarnation: 7}
		for seed := range int64(10) {
			s := fastMesh(seed)
			s.run(s.now + 10*time.Second)
			told, other := s.hosts["n1-002"], s.hosts["n1-003"]
			told.peer.Announce(s.localTime(told), endpoints.Record{
				State: endpoints.Draining, Service: "rank", Address: told.id, Slots: 10, Leaving: &leaving,
			})
			s.run(s.now + 200*time.Millisecond)
			s.restart(told, 500*time.Millisecond)
			s.restart(other, 500*time.Millisecond)
			s.run(s.now + 3*time.Second)
			Expect(told.leaving).To(Equal([]endpoints.UpstreamProcess{leaving}))
			Expect(other.leaving).To(BeEmpty())
			s.run(s.now + 5*time.Second)
			s.restart(told, 0)
			s.run(s.now + 3*time.Second)
			Expect(told.leaving).To(HaveLen(1), "the second process has announced an upstream that serves")
		}
	})
})

var _ = Describe("Partition", func() {
	// Guards against a zone that stays on an old version because its member has no quorum.
	It("makes nodes leave a member that is cut off, and return to it", func() {
		s := settledMesh(4, 3, 5)
		s.withoutQuorum["m1"] = true
		s.blocked = func(a, b *host) bool { return a.member && b.member && (a.id == "m1" || b.id == "m1") }
		s.run(s.now + 20*time.Second)
		version := s.approve(s.stage(bundleOf(2, 20)))
		took := s.await(5*time.Second, s.allInForce(version))
		GinkgoWriter.Println("in force after", took)
		s.run(s.now + time.Hour)
		s.heal()
		s.run(s.now + 2*time.Minute)
		for _, h := range s.nodes() {
			Expect(h.peer.Status().ParentZone).To(Equal(h.zone))
			Expect(h.peer.Status().Stale).To(BeFalse())
		}
	})

	// Guards against a node that takes its configuration for current because it hears of a version that it does not have
	// yet, and so judges keys that were added or removed since by an old one.
	It("lets a node know how recently its version was the latest", func() {
		s := fastMesh(7)
		node := s.hosts["n1-003"]
		age := func() time.Duration {
			at, ok := node.peer.ConfirmedAt()
			Expect(ok || node.inForce < 2).To(BeTrue())
			if !ok {
				return math.MaxInt64
			}
			return s.localTime(node).Sub(at)
		}
		s.run(s.now + 5*time.Second)
		Expect(age()).To(BeNumerically("<", applyWithin))
		s.isolate(node, 10*time.Second)
		second := s.approve(s.stage(bundleOf(2, 20)))
		s.run(s.now + 9*time.Second)
		Expect(age()).To(BeNumerically(">", 8*time.Second))
		for node.inForce < second {
			s.run(s.now + 5*time.Millisecond)
			if node.inForce < second {
				Expect(age()).To(BeNumerically(">", 8*time.Second))
			}
		}
		s.run(s.now + applyWithin)
		Expect(age()).To(BeNumerically("<", applyWithin))
	})

	// Guards against nodes that keep an old version for longer than 2 s because the member that they follow has just been
	// cut off from the quorum, although they can reach the other members.
	It("brings a version into force within 2 s after a member was cut off if the intervals are short", func() {
		for seed := range int64(10) {
			s := fastMesh(seed)
			s.run(30 * time.Second)
			s.withoutQuorum["m1"] = true
			s.blocked = func(a, b *host) bool { return a.member && b.member && (a.id == "m1" || b.id == "m1") }
			s.run(s.now + time.Second)
			version := s.approve(s.stage(bundleOf(2, 20)))
			s.await(2*time.Second, s.allInForce(version))
		}
	})

	// Guards against nodes that return to their zone and follow another node there although the member accepts children:
	// such nodes notice later than the member's children that the member is cut off.
	It("makes nodes follow members as long as these accept children", func() {
		for seed := range int64(10) {
			s := fastMesh(seed)
			s.run(30 * time.Second)
			node := s.hosts["n1-002"]
			s.withoutQuorum["m1"] = true
			s.blocked = func(a, b *host) bool { return a.member && b.member && (a.id == "m1" || b.id == "m1") }
			s.run(s.now + 5*time.Second)
			s.heal()
			s.run(s.now + time.Minute)
			Expect(node.peer.Status().ParentZone).To(Equal("z1"))
			for _, h := range s.nodes() {
				Expect(h.peer.Status().Depth).To(Equal(1), h.id)
			}
		}
	})

	// Guards against nodes that were redirected to another node while the member limited the rate of joins, and stay there.
	// Each of their parents then sends every version several times over its own link.
	It("makes nodes follow the member of their zone after more joins at once than it accepts", func() {
		for seed := range int64(5) {
			s := newSim(seed)
			for z := range 2 {
				zone := fmt.Sprintf("z%d", z)
				s.add(fmt.Sprintf("m%d", z), zone, true).config = shortIntervals
				for n := range relay.DefaultJoinBurst + 8 {
					h := s.add(fmt.Sprintf("n%d-%03d", z, n), zone, false, "m0", "m1")
					h.config = shortIntervals
					s.schedule(time.Duration(s.rng.Intn(300))*time.Millisecond, func() { s.start(h) })
				}
			}
			for _, m := range s.members {
				s.start(s.hosts[m.ID])
			}
			s.approve(s.stage(bundleOf(1, 20)))
			s.run(20 * time.Second)
			for _, h := range s.nodes() {
				Expect(h.peer.Status().ParentZone).To(Equal(h.zone), h.id)
				Expect(h.peer.Status().Depth).To(Equal(1), h.id)
			}
		}
	})

	// Guards against nodes that lose their parent when they ask a full member, which redirects them to that parent, and
	// against nodes that ask the member again and again.
	It("lets nodes keep their parent while the member of their zone is full", func() {
		const count, followers = 96, 32
		for seed := range int64(3) {
			s := newSim(seed)
			config := func(c *relay.Config) {
				shortIntervals(c)
				c.ZoneFollowers = followers
			}
			member := s.add("m0", "z0", true)
			member.config = config
			for n := range count {
				h := s.add(fmt.Sprintf("n%03d", n), "z0", false, "m0")
				h.config = config
				s.schedule(time.Duration(s.rng.Intn(300))*time.Millisecond, func() { s.start(h) })
			}
			s.start(member)
			s.approve(s.stage(bundleOf(1, 20)))
			s.run(70 * time.Second)

			parentChanges := func() (sum uint64) {
				for _, h := range s.nodes() {
					sum += h.peer.Status().Stats.ParentChanges
				}
				return sum
			}
			before := parentChanges()
			joins, orphans := 0, 0
			s.onSend = func(_, to *host, m relay.Message) {
				if to == member && m.Join != nil {
					joins++
				}
			}
			for range 30 * 20 {
				s.run(s.now + 50*time.Millisecond)
				for _, h := range s.nodes() {
					if h.peer.Status().Parent == "" {
						orphans++
					}
				}
			}
			version := s.approve(s.stage(bundleOf(2, 20)))
			s.await(2*time.Second, s.allInForce(version))
			s.run(s.now + 28*time.Second)
			GinkgoWriter.Println("joins", joins, "parent changes", parentChanges()-before, "samples without a parent", orphans)
			Expect(orphans).To(BeZero())
			Expect(parentChanges()).To(Equal(before))
			Expect(joins).To(BeNumerically("<=", 3*(count-followers)))
		}
	})

	// Guards against many copies of the first version on links between zones after all processes started at once: nodes
	// join any member before the members know each other, and each node would fetch the version from another zone.
	It("makes nodes follow the member of their zone as soon as the members are known", func() {
		for seed := range int64(10) {
			s := newSim(seed)
			var nodes []*host
			for z := range 3 {
				zone := fmt.Sprintf("z%d", z)
				s.add(fmt.Sprintf("m%d", z), zone, true).config = shortIntervals
				for n := range 8 {
					h := s.add(fmt.Sprintf("n%d-%03d", z, n), zone, false, "m0", "m1", "m2")
					h.config = shortIntervals
					nodes = append(nodes, h)
				}
			}
			members := s.members
			s.members = nil
			for _, m := range members {
				s.start(s.hosts[m.ID])
			}
			for _, h := range nodes {
				s.schedule(time.Duration(s.rng.Intn(300))*time.Millisecond, func() { s.start(h) })
			}
			s.run(800 * time.Millisecond)
			s.members = members
			for _, m := range members {
				s.hosts[m.ID].peer.SetMembers(s.localTime(s.hosts[m.ID]), members)
			}
			s.run(s.now + 300*time.Millisecond)
			copies := 0
			s.onSend = func(from, to *host, m relay.Message) {
				if !to.member && m.Parts != nil && from.zone != to.zone {
					copies++
				}
			}
			version := s.approve(s.stage(bundleOf(1, 20)))
			s.await(2*time.Second, s.allInForce(version))
			Expect(copies).To(BeZero())
		}
	})

	// Guards against nodes that search for another parent while no member has a quorum, and then not again for seconds:
	// after a partition of the members, the majority elects a leader a little later than the nodes notice the partition.
	It("makes nodes find the members that regain a quorum soon", func() {
		for seed := range int64(10) {
			s := fastMesh(seed)
			s.run(30 * time.Second)
			for _, m := range s.members {
				s.withoutQuorum[m.ID] = true
			}
			s.blocked = func(a, b *host) bool { return a.member && b.member && (a.id == "m1" || b.id == "m1") }
			s.run(s.now + 1800*time.Millisecond)
			delete(s.withoutQuorum, "m0")
			delete(s.withoutQuorum, "m2")
			version := s.approve(s.stage(bundleOf(2, 20)))
			s.await(2*time.Second, s.allInForce(version))
		}
	})

	// Guards against an old version that comes into force in a node that restarts while its member has no quorum, and
	// against live upstreams that stay removed: other zones remove their records while the zone is cut off, and remember
	// the removal for ten minutes.
	for _, length := range []time.Duration{3 * time.Minute, time.Hour} {
		It(fmt.Sprint("gives a restarted node no version while its zone is cut off, and converges, after ", length), func() {
			s := settledMesh(5, 3, 4)
			s.withoutQuorum["m1"] = true
			s.blocked = func(a, b *host) bool { return (a.zone == "z1") != (b.zone == "z1") }
			second := s.approve(s.stage(bundleOf(2, 20)))
			s.run(s.now + 5*time.Second)
			node := s.hosts["n1-002"]
			s.kill(node)
			s.run(s.now + time.Second)
			s.start(node)
			s.run(s.now + length)
			Expect(node.inForce).To(BeZero())
			Expect(node.peer.Status().Parent).NotTo(BeEmpty())
			Expect(s.hosts["n0-000"].peer.Table().InZone("z1")).To(BeEmpty())
			Expect(s.hosts["n1-001"].inForce).To(BeNumerically("==", 1))
			Expect(s.hosts["n1-001"].peer.Status().Age).To(BeNumerically(">=", length))
			s.heal()
			took := s.await(20*time.Second, s.allInForce(second))
			tables := s.await(30*time.Second, s.sameTables)
			GinkgoWriter.Println("in force after", took, "tables after further", tables)
		})
	}
})

var _ = Describe("Stop", func() {
	// Guards against a stopped version that spreads to more running nodes, and against a rollback of nodes that have it in
	// force.
	It("changes no version in force, and gives the stopped version to nodes without a version", func() {
		s := settledMesh(6, 1, 4)
		late := s.hosts["n0-003"]
		s.isolate(late, 8*time.Second)
		version := s.approve(s.stage(bundleOf(2, 20)))
		s.run(s.now + time.Second)
		s.history[version-1].Stopped = true
		s.hosts["m0"].appliedSource = 0
		s.run(s.now + 20*time.Second)
		Expect(late.inForce).To(BeNumerically("==", 1))
		Expect(s.hosts["n0-001"].inForce).To(Equal(version))
		lagging := s.hosts["m0"].peer.Status().Subtree.Lagging
		Expect(lagging).To(ContainElement(relay.Lag{ID: late.id, Version: 1, Reason: "stopped"}))
		s.kill(late)
		s.start(late)
		s.run(s.now + 10*time.Second)
		Expect(late.inForce).To(Equal(version))
	})
})

var _ = Describe("Refusal", func() {
	lagReasons := func(s *sim) string {
		var all []string
		for _, lag := range s.hosts["m0"].peer.Status().Subtree.Lagging {
			all = append(all, lag.Reason)
		}
		return strings.Join(all, "; ")
	}

	// Guards against an invalid bundle that is applied in part or that blocks later versions.
	It("refuses an invalid bundle as a whole and reports the reason", func() {
		s := settledMesh(7, 1, 3)
		dangling := bundleOf(2, 20)
		dangling.Routes[0].Service = "missing"
		s.approve(s.stage(dangling))
		s.run(s.now + 3*time.Second)
		Expect(s.allInForce(1)()).To(BeTrue())
		Expect(lagReasons(s)).To(ContainSubstring("missing service"))

		for _, h := range s.nodes() {
			h.config = func(c *relay.Config) {
				c.Validate = func(b *bundle.Bundle) error { return errors.New("queue limit") }
			}
		}
		last := s.approve(s.stage(bundleOf(3, 20)))
		s.run(s.now + 3*time.Second)
		Expect(s.allInForce(last)()).To(BeTrue())
		s.kill(s.hosts["n0-000"])
		s.start(s.hosts["n0-000"])
		s.run(s.now + 5*time.Second)
		Expect(s.hosts["n0-000"].inForce).To(BeZero())
		Expect(lagReasons(s)).To(ContainSubstring("validation: queue limit"))
	})

	// Guards against compressed content that uses up a node's memory when it is decompressed.
	It("refuses content that decompresses to more than the limit", func() {
		s := settledMesh(15, 1, 1)
		node := s.hosts["n0-000"]
		data, err := relay.Pack(make([]byte, 64<<20))
		Expect(err).NotTo(HaveOccurred())
		for link := range node.links {
			node.peer.Step(s.localTime(node), link, relay.Message{Parts: &relay.Parts{Target: bundle.Digest{1}, Data: data}})
		}
		Expect(node.peer.Status().Stats.CorruptMessages).To(BeNumerically("==", 1))
	})

	It("neither applies nor forwards an approval with a bad signature", func() {
		s := settledMesh(8, 1, 20)
		s.approve(s.stage(bundleOf(2, 20)))
		s.history[1].Approval.Signature[0] ^= 1
		senders := make(map[string]bool)
		s.onSend = func(from, _ *host, m relay.Message) {
			if m.Approved != nil {
				senders[from.id] = true
			}
		}
		s.run(s.now + 3*time.Second)
		Expect(s.allInForce(1)()).To(BeTrue())
		Expect(lagReasons(s)).To(ContainSubstring("bad signature"))
		Expect(senders).To(Equal(map[string]bool{"m0": true}))
	})
})

var _ = Describe("Endpoints", func() {
	inStateOnAllNodes := func(s *sim, id string, state endpoints.State) func() bool {
		return func() bool {
			return !slices.ContainsFunc(s.nodes(), func(h *host) bool {
				r, ok := h.peer.Table().Get(id)
				return !ok || r.State != state
			})
		}
	}

	// Guards the invariant late_drain_work: an upstream that drains gets no new calls after 3 s.
	It("publishes a draining upstream to all zones within 3 s on lossy links, once per link", func() {
		s := settledMesh(9, 4, 40)
		s.loss = 0.05
		node := s.hosts["n3-039"]
		links := make(map[string]int)
		s.onSend = func(from, to *host, m relay.Message) {
			if m.Endpoints != nil {
				links[from.id+">"+to.id]++
				links[to.id+">"+from.id] += 0
			}
		}
		node.peer.Announce(s.localTime(node), endpoints.Record{State: endpoints.Draining, Service: "rank", Address: node.id})
		took := s.await(3*time.Second, inStateOnAllNodes(s, node.id, endpoints.Draining))
		GinkgoWriter.Println("draining known after", took)
		s.run(s.now + time.Second)
		for link, count := range links {
			Expect(count).To(BeNumerically("<=", 1), link)
		}
		Expect(len(links) / 2).To(Equal(4*40 + 3)) // the links of the trees, and those of the zone's member to the others
	})

	// Guards against upstreams that stay in the table after their rack or zone failed: parents and children fail together,
	// so no parent notices the failure of its children.
	It("removes the nodes of a zone that fails as a whole, and adds them again after their restart", func() {
		s := settledMesh(10, 3, 30)
		var failed []*host
		for _, id := range s.ids {
			if h := s.hosts[id]; h.zone == "z1" {
				s.kill(h)
				failed = append(failed, h)
			}
		}
		took := s.await(2*time.Minute, s.sameTables)
		GinkgoWriter.Println("no record of the zone in use after", took)
		s.run(s.now + 2*time.Minute)
		Expect(s.hosts["n0-000"].peer.Table().Len()).To(Equal(60))
		for _, h := range failed {
			s.start(h)
		}
		took = s.await(30*time.Second, s.sameTables)
		GinkgoWriter.Println("zone back after", took)
	})

	It("delivers a crash report to every node once, also to one that joins later", func() {
		s := settledMesh(11, 3, 10)
		seen := make(map[string]int)
		s.onCrash = func(h *host, reports []relay.CrashReport) { seen[h.id] += len(reports) }
		s.duplicate = 0.2
		source := s.hosts["n2-007"]
		report := relay.CrashReport{Upstream: source.id, Incarnation: 7, Sequence: 1, Payload: []byte("report")}
		source.peer.PublishCrashes(s.localTime(source), []relay.CrashReport{report})
		s.run(s.now + 2*time.Second)
		late := s.add("late", "z0", false, "m0")
		s.start(late)
		s.run(s.now + 5*time.Second)
		for _, h := range s.nodes() {
			Expect(seen[h.id]).To(Equal(map[bool]int{true: 0, false: 1}[h == source]), h.id)
		}
	})
})

var _ = Describe("Zone links", func() {
	// Guards against a rollout that sends more bytes between zones than needed. The content reaches the members in the
	// replicated log, which costs one copy of the compressed change for each zone with a member except the leader's; the
	// relay adds one copy for each zone without a member. The design allows 1.2 times these bytes.
	It("carry a change once per zone", func() {
		const zones, withMember = 4, 3
		s := settledMesh(12, zones, 30, 3)
		clear(s.bytes)
		digest := s.stage(bundleOf(2, 20))
		s.run(s.now + time.Second)
		version := s.approve(digest)
		s.run(s.now + time.Second)
		Expect(s.allInForce(version)()).To(BeTrue())
		store := bundle.NewStore()
		Expect(store.Add(s.staged[0])).To(Succeed())
		Expect(store.Add(s.staged[1])).To(Succeed())
		update, err := store.Update(s.staged[0].Target, s.staged[1].Target)
		Expect(err).NotTo(HaveOccurred())
		packed, err := relay.Pack(update)
		Expect(err).NotTo(HaveOccurred())
		message := relay.Message{Parts: &relay.Parts{Base: update.Base, Target: update.Target, Data: packed}}
		change := encodedSize(message) + encodedSize(relay.Message{Approved: &s.history[1]})
		ideal := change * (zones - 1)
		sent := s.bytes["zone:parts"] + s.bytes["zone:approved"]
		GinkgoWriter.Println("change", change, "bytes; relay between zones", sent, "; in all", s.bytes, "; log", change*(withMember-1))
		Expect(float64(sent + change*(withMember-1))).To(BeNumerically("<=", 1.2*float64(ideal)))
		Expect(sent).To(BeNumerically("<=", change))
	})
})

// lossyPair returns a simulation of one member and one node. Segments between them are lost with the given probability.
func lossyPair(seed int64, loss float64) *sim {
	s := newSim(seed)
	s.start(s.add("m0", "z0", true))
	s.start(s.add("n0", "z0", false, "m0"))
	s.run(10 * time.Second)
	s.loss = loss
	return s
}

var _ = Describe("Failure detector", func() {
	// Checks the rate of false alarms that docs/distribution.md derives. A false alarm needs a poll, or the last of
	// several polls that are delayed together, to be delayed by more than 3 s minus the time since the poll before: at
	// least four losses in a row.
	It("suspects a live node no more often than derived from the rate of losses", func() {
		const loss, polls = 0.2, 40_000
		s := lossyPair(13, loss)
		s.run(s.now + polls*time.Second)
		suspected := s.hosts["m0"].peer.Status().Stats.Suspected
		derived := polls * loss * loss * loss * loss
		GinkgoWriter.Println("suspected", suspected, "derived bound", derived, "parent changes", fmt.Sprint(s.hosts["n0"].peer.Status().Stats.ParentChanges))
		Expect(float64(suspected)).To(BeNumerically("<=", derived+3*math.Sqrt(derived))) // three standard deviations
		Expect(suspected).To(BeNumerically(">", 0))
	})

	It("has no false alarm in ten hours at 1% loss", func() {
		s := lossyPair(14, 0.01)
		s.run(s.now + 10*time.Hour)
		Expect(s.hosts["m0"].peer.Status().Stats.Suspected).To(BeZero())
	})
})

// addMesh adds and starts nodes in a number of zones, and one member in each zone that is not listed in without.
func addMesh(s *sim, zones, nodesPerZone int, without ...int) {
	for z := range zones {
		skip := false
		for _, w := range without {
			skip = skip || w == z
		}
		if !skip {
			s.start(s.add(fmt.Sprintf("m%d", z), fmt.Sprintf("z%d", z), true))
		}
	}
	for _, m := range s.members {
		s.hosts[m.ID].peer.SetMembers(s.localTime(s.hosts[m.ID]), s.members)
	}
	for z := range zones {
		for n := range nodesPerZone {
			h := s.add(fmt.Sprintf("n%d-%03d", z, n), fmt.Sprintf("z%d", z), false, "m0", "m1")
			s.schedule(time.Duration(s.rng.Intn(1000))*time.Millisecond, func() { s.start(h) })
		}
	}
}

var _ = Describe("Rollout", func() {
	It("brings versions into force in all nodes and makes their tables equal", func() {
		s := newSim(1)
		addMesh(s, 3, 40)
		first := s.approve(s.stage(bundleOf(1, 20)))
		s.run(time.Second)
		took := s.await(15*time.Second, s.allInForce(first))
		GinkgoWriter.Println("first version after", took)
		took = s.await(10*time.Second, s.sameTables)
		GinkgoWriter.Println("tables equal after", took)
		digest := s.stage(bundleOf(2, 20))
		s.run(s.now + time.Second)
		second := s.approve(digest)
		took = s.await(5*time.Second, s.allInForce(second))
		GinkgoWriter.Println("second version after", took)
		Expect(took).To(BeNumerically("<=", 200*time.Millisecond))
		s.run(s.now + time.Second)
		Expect(s.hosts["m0"].peer.Status().Total.Versions[0].Nodes).To(Equal(120))
		s.checkTree(0)
	})
})

var _ = Describe("Mass restart", func() {
	// Guards against a reconnect storm at the members after a zone lost power.
	It("lets 1,000 nodes of a zone rejoin with a limited rate of joins at the members", func() {
		s := newSim(2)
		addMesh(s, 3, 4)
		version := s.approve(s.stage(bundleOf(1, 50)))
		var restarted []*host
		for i := range 1000 {
			restarted = append(restarted, s.add(fmt.Sprintf("h%04d", i), "z1", false, "m0", "m1", "m2"))
		}
		s.run(10 * time.Second)
		for _, h := range restarted {
			s.start(h)
		}
		began := s.now
		inForce := s.await(30*time.Second, s.allInForce(version))
		tables := s.await(30*time.Second, s.sameTables)
		perSecond, maxPerSecond, depth := make(map[time.Duration]int), 0, 0
		for _, m := range s.members {
			for _, at := range s.hosts[m.ID].acceptedJoins {
				if at >= began {
					perSecond[at.Truncate(time.Second)]++
					maxPerSecond = max(maxPerSecond, perSecond[at.Truncate(time.Second)])
				}
			}
		}
		for _, h := range s.nodes() {
			depth = max(depth, h.peer.Status().Depth)
		}
		GinkgoWriter.Println("in force after", inForce, "tables after further", tables, "joins/s at members", perSecond, "depth", depth, s.bytes)
		Expect(maxPerSecond).To(BeNumerically("<=", 32)) // DefaultJoinBurst, and DefaultJoinsPerSecond for one second
		Expect(inForce).To(BeNumerically("<=", 10*time.Second))
		s.checkTree(0)
	})
})

var _ = Describe("A control process outside the group", func() {
	// outside adds a control process that knows the given members and is none of them.
	outside := func(s *sim, knows []relay.MemberInfo) {
		members := s.members
		h := s.add("o", "z0", true)
		s.withoutQuorum["o"], s.members = true, knows
		s.start(h)
		s.members = members
	}

	// Guards against nodes that follow such a process, which has nothing to tell them, until its silence shows.
	It("sends nodes that join to the members at once", func() {
		s := fastMesh(1)
		outside(s, s.members)
		node := s.add("n", "z0", false, "o")
		node.config = shortIntervals
		s.start(node)
		const joinJitter = 200 * time.Millisecond // by shortIntervals; as much again for the messages
		s.await(2*joinJitter, func() bool { return node.inForce > 0 })
		Expect(node.peer.Status().Parent).NotTo(Equal("o"))
	})

	// Guards against nodes that stay with such a process when the seeds name no other.
	It("loses the nodes that follow it to the members once it knows them", func() {
		s := settledMesh(1, 3, 2)
		outside(s, nil)
		node := s.add("n", "z0", false, "o")
		s.start(node)
		s.run(s.now + 3*time.Second)
		Expect(node.inForce).To(BeZero())
		s.hosts["o"].peer.SetMembers(s.localTime(s.hosts["o"]), s.members)
		s.await(3*time.Second, func() bool { return node.inForce > 0 })
	})
})
