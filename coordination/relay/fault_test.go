package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// countWindow is the time for which counts may include a node that has died: one silence limit per level.
const countWindow = 24 * time.Second

// faults disturbs a mesh at random until a time.
func (s *sim) faults(until time.Duration) {
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		s.disturb()
		s.checkTree(countWindow)
		s.at(s.now+time.Duration(100+s.rng.Intn(1500))*time.Millisecond, next)
	}
	s.at(s.now, next)
}

func (s *sim) disturb() {
	h := s.hosts[s.ids[s.rng.Intn(len(s.ids))]]
	switch s.rng.Intn(6) {
	case 0, 1:
		s.restart(h)
	case 2:
		for _, c := range h.links {
			s.breakLink(c)
		}
	case 3:
		s.isolate(h, time.Duration(s.rng.Intn(10000))*time.Millisecond)
	case 4:
		s.detached[h.id] = true
		s.at(s.now+time.Duration(s.rng.Intn(20))*time.Second, func() { delete(s.detached, h.id) })
	case 5:
		digest := s.stage(bundleOf(len(s.history)+1, 12))
		s.at(s.now+time.Duration(s.rng.Intn(1000))*time.Millisecond, func() { s.approve(digest) })
	}
}

func (s *sim) restart(h *host) {
	if !h.alive {
		return
	}
	s.kill(h)
	s.at(s.now+time.Duration(100+s.rng.Intn(4000))*time.Millisecond, func() { s.start(h) })
}

// isolate cuts a host off silently. Only one host is cut off at a time.
func (s *sim) isolate(h *host, duration time.Duration) {
	s.blocked = func(a, b *host) bool { return a == h || b == h }
	s.at(s.now+duration, func() { s.blocked = func(a, b *host) bool { return false } })
}

func (s *sim) heal() {
	s.blocked = func(a, b *host) bool { return false }
	clear(s.detached)
	s.loss, s.dup, s.corrupt, s.omit = 0, 0, 0, 0
}

var _ = Describe("Faults", func() {
	// Guards against rollback, cycles, false counts and lasting divergence under combined faults.
	for seed := range int64(12) {
		It(fmt.Sprint("converges after random faults, seed ", seed), func() {
			s := newSim(100 + seed)
			mesh(s, 3, 12, 2)
			s.approve(s.stage(bundleOf(1, 12)))
			s.run(5 * time.Second)
			s.loss, s.dup, s.corrupt, s.omit = 0.02, 0.02, 0.05, 0.05
			s.faults(60 * time.Second)
			s.run(65 * time.Second)
			s.heal()
			last := s.approve(s.stage(bundleOf(1000, 12)))
			inForce := s.runUntil(15*time.Second, s.allInForce(last))
			Expect(s.allInForce(last)()).To(BeTrue())
			tables := s.runUntil(60*time.Second, s.sameTables)
			Expect(s.sameTables()).To(BeTrue())
			s.run(s.now + 100*time.Second) // A node that follows another zone returns within 45 s; then its counts are held.
			s.checkTree(0)
			Expect(s.hosts["m0"].peer.Status().Total.Versions).To(HaveLen(1))
			Expect(s.hosts["m0"].peer.Status().Total.Versions[0].Nodes).To(Equal(36))
			Expect(s.hosts["m1"].peer.Table().Digest()).To(Equal(s.hosts["n2-003"].peer.Table().Digest()))
			GinkgoWriter.Println("in force after", inForce, "tables after further", tables, s.bytes)
		})
	}
})
