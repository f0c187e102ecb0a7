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
	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/disk"
)

// selfManagedGroup is a group that manages itself: five processes, of which the first three form it.
type selfManagedGroup struct {
	addresses []string
	members   []*control.Member
	founders  []control.Founder
}

func listenAt(address string) net.Listener {
	var listener net.Listener
	Eventually(func() (err error) {
		listener, err = net.Listen("tcp", address)
		return err
	}, eventuallyTimeout).Should(Succeed())
	return listener
}

func newSelfManagedGroup() *selfManagedGroup {
	c := &selfManagedGroup{members: make([]*control.Member, 5)}
	for range c.members {
		listener := listenAt("127.0.0.1:0")
		c.addresses = append(c.addresses, listener.Addr().String())
		Expect(listener.Close()).To(Succeed())
	}
	for _, address := range c.addresses[:3] {
		c.founders = append(c.founders, control.Founder{Address: address})
	}
	for i := range c.members {
		c.start(i, c.founders)
	}
	DeferCleanup(func() {
		for _, m := range c.members {
			m.Kill()
		}
	})
	return c
}

// start starts a process with an empty disk. Only founders at the first start form the group.
func (c *selfManagedGroup) start(i int, founders []control.Founder) {
	if i >= 3 {
		founders = nil
	}
	m, err := control.New(control.Options{
		Zone: "a", Mesh: listenAt(c.addresses[i]), Admin: listenAt("127.0.0.1:0"), Founders: founders,
		RegistryFolder: disk.NewFake(rand.New(rand.NewSource(int64(i)))), Keys: bundle.NewKeyring(nil).Trust("ops"),
		Voters: 5, Seeds: func() []string { return c.addresses[:3] },
		ElectionTimeout: 300 * time.Millisecond, HeartbeatInterval: 50 * time.Millisecond,
		Logger: zerolog.New(GinkgoWriter),
	})
	Expect(err).NotTo(HaveOccurred())
	m.Start()
	c.members[i] = m
}

// restartWithEmptyDisk ends a process and starts it again with an empty disk.
func (c *selfManagedGroup) restartWithEmptyDisk(i int) {
	c.members[i].Kill()
	c.start(i, nil)
}

// put brings a version into force through any member.
func (c *selfManagedGroup) put(version, base uint64) {
	EventuallyWithOffset(1, func() error {
		for _, m := range c.members {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := m.Put(ctx, control.PutRequest{Version: version, Base: base, Operator: "ops", Bundle: &bundle.Bundle{
				Services: []bundle.Service{{Name: "desk", QueueLimit: int(version)}},
			}})
			cancel()
			if err == nil {
				return nil
			}
		}
		return operator.ErrNoQuorum
	}, eventuallyTimeout).Should(Succeed())
}

// isRepaired reports whether all processes vote and hold a version that a quorum confirms, and no lost member is left.
func (c *selfManagedGroup) isRepaired(version uint64) func() bool {
	return func() bool {
		var ids []string
		for _, m := range c.members {
			ids = append(ids, m.ID())
		}
		slices.Sort(ids)
		for _, m := range c.members {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			latest, b, err := m.Latest(ctx)
			cancel()
			if err != nil || latest != version || b.Services[0].QueueLimit != int(version) {
				return false
			}
			if !slices.Equal(slices.Sorted(slices.Values(m.Voters())), ids) {
				return false
			}
		}
		return true
	}
}

var _ = Describe("a group that manages itself", func() {
	// Guards against the loss of what was acknowledged when two disks are lost, and two others right after the repair.
	It("repairs the loss of two disks, and then of two others", func() {
		c := newSelfManagedGroup()
		c.put(1, 0)
		Eventually(c.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		c.restartWithEmptyDisk(1)
		c.restartWithEmptyDisk(3)
		Eventually(c.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		c.put(2, 1)
		c.restartWithEmptyDisk(0)
		c.restartWithEmptyDisk(4)
		Eventually(c.isRepaired(2), eventuallyTimeout).Should(BeTrue())
	})

	// Guards against a member that was cut off and answers with an old version.
	It("answers no read beside members that are gone", func() {
		c := newSelfManagedGroup()
		c.put(1, 0)
		Eventually(c.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		for _, m := range c.members[1:4] {
			m.Kill()
		}
		Eventually(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, _, err := c.members[0].Latest(ctx)
			return err
		}, eventuallyTimeout).Should(MatchError(operator.ErrNoQuorum))
	})
})
