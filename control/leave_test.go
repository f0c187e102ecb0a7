package control_test

import (
	"context"
	"math/rand"
	"net"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/control"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/disk"
)

// leaveWithin is the time that a member has to stop.
const leaveWithin = 4 * time.Second

// addSuccessors starts processes with an empty disk, which ask to join, and waits until the leader knows them.
func (g *selfManagedGroup) addSuccessors(count int) {
	for _, address := range unusedAddresses(count) {
		g.addresses = append(g.addresses, address)
		g.members = append(g.members, nil)
		g.start(len(g.members)-1, nil)
	}
	time.Sleep(time.Second)
}

// leave stops members in turn, as planned, with a pause between two of them, and takes them out of the group of the test
// once they have ended. It returns the longest time that a stop took.
func (g *selfManagedGroup) leave(pause time.Duration, leaving ...*control.Member) time.Duration {
	type stop struct {
		took time.Duration
		err  error
	}
	stops := make(chan stop, len(leaving))
	for i, m := range leaving {
		if i > 0 {
			time.Sleep(pause)
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
			defer cancel()
			began := time.Now()
			err := m.Stop(ctx)
			stops <- stop{time.Since(began), err}
		}()
	}
	longest := time.Duration(0)
	for range leaving {
		s := <-stops
		Expect(s.err).NotTo(HaveOccurred())
		longest = max(longest, s.took)
	}
	g.members = slices.DeleteFunc(slices.Clone(g.members), func(m *control.Member) bool { return slices.Contains(leaving, m) })
	return longest
}

var _ = Describe("a group whose members leave as planned", func() {
	var g *selfManagedGroup
	BeforeEach(func() {
		g = newSelfManagedGroup()
		g.put(1, 0)
		Eventually(g.isRepaired(1), eventuallyTimeout).Should(BeTrue())
	})

	// Guards against members that take their votes with them although processes wait to take their place: the third one
	// leaves two voters of five, which can neither confirm a read nor accept a change, for good.
	DescribeTable("hands their votes to the processes that wait for them", func(count int, pause time.Duration) {
		g.addSuccessors(count)
		took := g.leave(pause, g.members[5-count:5]...)
		Expect(took).To(BeNumerically("<", leaveWithin), "a member left without its successor")
		// The other members learn of the last change within a heartbeat or two.
		Eventually(g.isRepaired(1), time.Second).Should(BeTrue(), "the successors vote when the last member has left")
		g.put(2, 1)
	},
		Entry("three of five, one after the other", 3, 1300*time.Millisecond),
		Entry("three of five at once", 3, time.Duration(0)),
		Entry("all five, one after the other", 5, 300*time.Millisecond),
		Entry("all five at once", 5, time.Duration(0)),
	)

	// Guards against the same loss of the quorum beside failures: a member that has left counts as a lost one until its
	// successor votes.
	It("bears the loss of two disks right after a member has left", func() {
		g.addSuccessors(1)
		g.leave(0, g.members[4])
		g.put(2, 1)
		g.restartWithEmptyDisk(0)
		g.restartWithEmptyDisk(1)
		Eventually(g.isRepaired(2), eventuallyTimeout).Should(BeTrue())
	})

	// Guards against a handover that only the leader knows of that was asked first.
	It("bears the loss of its leader while two members leave", func() {
		g.addSuccessors(3)
		leads := func(m *control.Member) bool { _, leads := m.Leads(); return leads }
		leader := slices.IndexFunc(g.members, leads)
		lost := g.members[leader]
		g.members = slices.Delete(g.members, leader, leader+1)
		time.AfterFunc(50*time.Millisecond, lost.Kill)
		g.leave(0, g.members[:2]...)
		Eventually(g.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		lost.Kill()
	})

	// Guards against stops for a restart that wait for successors that will not come, and against one that takes the quorum
	// away before its time is over.
	It("lets a member end at once that the quorum does not need, and holds the others", func() {
		Expect(g.leave(0, g.members[3:]...)).To(BeNumerically("<", 2*time.Second))
		remaining := g.members
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
			defer cancel()
			_ = remaining[2].Stop(ctx)
		}()
		Consistently(stopped, leaveWithin/2).ShouldNot(BeClosed())
		g.put(2, 1)
		Eventually(stopped, leaveWithin).Should(BeClosed())
	})
})

var _ = Describe("a member whose group has not formed", func() {
	// Guards against a stop that waits for its release although there is nobody to give it.
	It("stops at once", func() {
		address := net.JoinHostPort(ownLoopbackHost(), "0")
		m, err := control.New(control.Options{
			Zone: "a", MeshListener: listenAt(address), AdminListener: listenAt(address),
			Founders:       []control.Founder{{Address: "127.0.0.1:9"}, {Address: "127.0.0.1:10"}},
			RegistryFolder: disk.NewFake(rand.New(rand.NewSource(1))), Keys: bundle.NewKeyring(nil), Voters: 5,
			Seeds: func() []string { return nil }, Logger: zerolog.New(GinkgoWriter),
		})
		Expect(err).NotTo(HaveOccurred())
		m.Start()
		ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
		defer cancel()
		began := time.Now()
		Expect(m.Stop(ctx)).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically("<", leaveWithin/2))
	})
})
