package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// staleCountWindow is the time for which counts may still include a node that has stopped: one link timeout per level.
const staleCountWindow = 24 * time.Second

// fault is one fault to inject after a pause. pause and length are in milliseconds, host is an index into sim.ids.
type fault struct{ kind, host, pause, length int }

// scheduleFaults injects faults one after the other until next returns no more.
func (s *sim) scheduleFaults(next func() (fault, bool)) {
	f, more := next()
	if !more {
		return
	}
	s.schedule(s.now+time.Duration(f.pause)*time.Millisecond, func() {
		s.inject(f)
		s.checkTree(staleCountWindow)
		s.scheduleFaults(next)
	})
}

// randomFaults returns a source of random faults that ends at a time.
func (s *sim) randomFaults(until time.Duration) func() (fault, bool) {
	return func() (fault, bool) {
		f := fault{kind: s.rng.Intn(6), host: s.rng.Intn(len(s.ids)), pause: 100 + s.rng.Intn(1500), length: s.rng.Intn(10_000)}
		return f, s.now < until
	}
}

func (s *sim) inject(f fault) {
	h := s.hosts[s.ids[f.host]]
	length := time.Duration(f.length) * time.Millisecond
	switch f.kind {
	case 0, 1:
		s.restart(h, length/2)
	case 2:
		for _, c := range h.sortedLinks() {
			s.breakLink(c)
		}
	case 3:
		s.isolate(h, length)
	case 4:
		s.withoutQuorum[h.id] = true
		s.schedule(s.now+2*length, func() { delete(s.withoutQuorum, h.id) })
	case 5:
		digest := s.stage(bundleOf(len(s.staged)+1, 12))
		s.schedule(s.now+length/10, func() { s.approve(digest) })
	}
}

func (s *sim) restart(h *host, pause time.Duration) {
	if !h.alive {
		return
	}
	s.kill(h)
	s.schedule(s.now+pause, func() { s.start(h) })
}

// isolate blocks all messages from and to a host for a time, without closing its links. Only one host is isolated at a
// time.
func (s *sim) isolate(h *host, duration time.Duration) {
	s.blocked = func(a, b *host) bool { return a == h || b == h }
	s.schedule(s.now+duration, func() { s.blocked = func(a, b *host) bool { return false } })
}

// heal ends all faults of the network and gives all members a quorum.
func (s *sim) heal() {
	s.blocked = func(a, b *host) bool { return false }
	clear(s.withoutQuorum)
	s.loss, s.duplicate, s.corrupt, s.omit = 0, 0, 0, 0
}

// faultyMesh returns a mesh of three zones, one of them without a member, whose links lose, repeat and corrupt
// messages.
func faultyMesh(seed int64, nodesPerZone int) *sim {
	s := newSim(seed)
	addMesh(s, 3, nodesPerZone, 2)
	s.approve(s.stage(bundleOf(1, 12)))
	s.run(5 * time.Second)
	s.loss, s.duplicate, s.corrupt, s.omit = 0.02, 0.02, 0.05, 0.05
	return s
}

// expectRecovery ends the faults and checks that a new version comes into force, that the tables become equal and that
// the counts become correct.
func (s *sim) expectRecovery() {
	s.heal()
	last := s.approve(s.stage(bundleOf(1000, 12)))
	inForce := s.await(15*time.Second, s.allInForce(last))
	tables := s.await(60*time.Second, s.sameTables)
	// A node whose parent is in another zone finds one in its own zone within 45 s. Its counts are suppressed after that.
	s.run(s.now + 100*time.Second)
	s.checkTree(0)
	Expect(s.hosts["m0"].peer.Status().Total.Versions).To(HaveLen(1))
	Expect(s.hosts["m0"].peer.Status().Total.Versions[0].Nodes).To(Equal(len(s.nodes())))
	Expect(s.hosts["m1"].peer.Table().Digest()).To(Equal(s.hosts["n2-003"].peer.Table().Digest()))
	GinkgoWriter.Println("in force after", inForce, "tables after further", tables, s.bytes)
}

// Guards against rollbacks, cycles, wrong counts and tables that stay different after combined faults.
var _ = Describe("Faults", func() {
	for seed := range int64(12) {
		It(fmt.Sprint("leave no wrong state behind, seed ", seed), func() {
			s := faultyMesh(100+seed, 12)
			s.scheduleFaults(s.randomFaults(60 * time.Second))
			s.run(70 * time.Second)
			s.expectRecovery()
		})
	}

	// If a schedule fails, rapid reduces it to a smaller one that fails.
	It("leave no wrong state behind in generated schedules", func() {
		defer RegisterFailHandler(Fail)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			RegisterFailHandler(func(message string, _ ...int) { t.Fatal(message) })
			s := faultyMesh(rapid.Int64().Draw(t, "seed"), 5)
			schedule := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
				return fault{
					kind:   rapid.IntRange(0, 5).Draw(t, "kind"),
					host:   rapid.IntRange(0, len(s.ids)-1).Draw(t, "host"),
					pause:  rapid.IntRange(0, 2000).Draw(t, "pause"),
					length: rapid.IntRange(0, 10_000).Draw(t, "length"),
				}
			}), 1, 30).Draw(t, "schedule")
			s.scheduleFaults(func() (fault, bool) {
				if len(schedule) == 0 {
					return fault{}, false
				}
				next := schedule[0]
				schedule = schedule[1:]
				return next, true
			})
			s.run(s.now + 70*time.Second)
			s.expectRecovery()
		})
	})
})
