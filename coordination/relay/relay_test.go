package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// mesh adds members and nodes: one member per zone unless the zone is named in without.
func mesh(s *sim, zones, nodesPerZone int, without ...int) {
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
		s.hosts[m.ID].peer.SetMembers(s.local(s.hosts[m.ID]), s.members)
	}
	for z := range zones {
		for n := range nodesPerZone {
			h := s.add(fmt.Sprintf("n%d-%03d", z, n), fmt.Sprintf("z%d", z), false, "m0", "m1")
			s.at(time.Duration(s.rng.Intn(1000))*time.Millisecond, func() { s.start(h) })
		}
	}
}

var _ = Describe("Rollout", func() {
	It("brings versions into force on all nodes and tables to equality", func() {
		s := newSim(1)
		mesh(s, 3, 40)
		first := s.approve(s.stage(bundleOf(1, 20)))
		s.run(time.Second)
		took := s.runUntil(15*time.Second, s.allInForce(first))
		GinkgoWriter.Println("first version after", took)
		Expect(s.allInForce(first)()).To(BeTrue())
		took = s.runUntil(10*time.Second, s.sameTables)
		GinkgoWriter.Println("tables equal after", took)
		Expect(s.sameTables()).To(BeTrue())
		digest := s.stage(bundleOf(2, 20))
		s.run(s.now + time.Second)
		second := s.approve(digest)
		took = s.runUntil(5*time.Second, s.allInForce(second))
		GinkgoWriter.Println("second version after", took)
		Expect(took).To(BeNumerically("<=", 200*time.Millisecond))
		s.run(s.now + time.Second)
		Expect(s.hosts["m0"].peer.Status().Total.Versions[0].Nodes).To(Equal(120))
		s.checkTree(0)
	})
})
