package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Herd", func() {
	// Guards against a reconnect storm at the members after a zone loses power.
	It("takes back 1,000 nodes of a zone with bounded joins at the members", func() {
		s := newSim(2)
		mesh(s, 3, 4)
		version := s.approve(s.stage(bundleOf(1, 50)))
		var herd []*host
		for i := range 1000 {
			herd = append(herd, s.add(fmt.Sprintf("h%04d", i), "z1", false, "m0", "m1", "m2"))
		}
		s.run(10 * time.Second)
		for _, h := range herd {
			s.start(h)
		}
		began := s.now
		inForce := s.runUntil(30*time.Second, s.allInForce(version))
		Expect(s.allInForce(version)()).To(BeTrue())
		tables := s.runUntil(30*time.Second, s.sameTables)
		Expect(s.sameTables()).To(BeTrue())
		perSecond, most, depth := make(map[time.Duration]int), 0, 0
		for _, m := range s.members {
			for _, at := range s.hosts[m.ID].joins {
				if at >= began {
					perSecond[at.Truncate(time.Second)]++
					most = max(most, perSecond[at.Truncate(time.Second)])
				}
			}
		}
		for _, h := range s.nodes() {
			depth = max(depth, h.peer.Status().Depth)
		}
		GinkgoWriter.Println("in force after", inForce, "tables after further", tables, "joins/s at members", perSecond, "depth", depth, s.bytes)
		Expect(most).To(BeNumerically("<=", 32)) // burst and one second of the rate
		Expect(inForce).To(BeNumerically("<=", 10*time.Second))
		s.checkTree(0)
	})
})
