package control_test

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/control"
	"sapphiregate.example/sapphiregate/coordination/membership"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/disk"
)

// selfManagedGroup is a group whose leader replaces lost members: five processes, of which the first three form it.
type selfManagedGroup struct {
	addresses []string
	members   []*control.Member
	founders  []control.Founder
	network   hangingNetwork
	// services are part of all versions.
	services []bundle.Service
	disks    []*disk.Fake
	// zones holds the zone of each process; empty if all are in one.
	zones     []string
	voters    int
	placement membership.Placement
	// seeds holds the addresses that all processes know at their start; those of the first three processes if it is empty.
	seeds []string

	electionTimeout   time.Duration
	heartbeatInterval time.Duration
}

// hangingNetwork opens connections that hang, rather than break, once their remote instance has lost power.
type hangingNetwork struct {
	mu          sync.Mutex
	connections map[string][]*hangingConnection // by remote address
}

type hangingConnection struct {
	net.Conn
	hangs  atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (n *hangingNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &hangingConnection{Conn: conn, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.connections == nil {
		n.connections = make(map[string][]*hangingConnection)
	}
	n.connections[address] = append(n.connections[address], c)
	return c, nil
}

// losePower makes the open connections to an address hang.
func (n *hangingNetwork) losePower(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.connections[address] {
		c.hangs.Store(true)
	}
}

func (c *hangingConnection) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	if c.hangs.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return count, err
}

func (c *hangingConnection) Write(p []byte) (int, error) {
	if c.hangs.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *hangingConnection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func listenAt(address string) net.Listener {
	var listener net.Listener
	Eventually(func() (err error) {
		listener, err = net.Listen("tcp", address)
		return err
	}, eventuallyTimeout).Should(Succeed())
	return listener
}

// ownLoopbackHost returns a loopback address that no other test process uses. A port that is free there stays free
// although other processes take ports of 127.0.0.1, so that a member can be restarted at its address.
func ownLoopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
}

// unusedAddresses returns addresses on which nobody listens. All listeners are open until the last port is known: a port that
// is free again could be given out twice.
func unusedAddresses(count int) (addresses []string) {
	var listeners []net.Listener
	for range count {
		listener := listenAt(net.JoinHostPort(ownLoopbackHost(), "0"))
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	for _, listener := range listeners {
		Expect(listener.Close()).To(Succeed())
	}
	return addresses
}

func newSelfManagedGroup() *selfManagedGroup {
	return newSelfManagedGroupWith(300*time.Millisecond, 50*time.Millisecond)
}

func newSelfManagedGroupWith(electionTimeout, heartbeatInterval time.Duration) *selfManagedGroup {
	g := &selfManagedGroup{voters: 5, electionTimeout: electionTimeout, heartbeatInterval: heartbeatInterval}
	g.form()
	return g
}

// form starts five processes, of which the first three form the group.
func (g *selfManagedGroup) form() {
	g.members, g.disks = make([]*control.Member, 5), make([]*disk.Fake, 5)
	g.addresses = unusedAddresses(len(g.members))
	for _, address := range g.addresses[:3] {
		g.founders = append(g.founders, control.Founder{Address: address})
	}
	for i := range g.members {
		g.start(i, g.founders)
	}
	DeferCleanup(func() {
		for _, m := range g.members {
			m.Kill()
		}
	})
}

// start starts process i with an empty disk. Only the first three processes use the founders, to form the group.
func (g *selfManagedGroup) start(i int, founders []control.Founder) {
	for len(g.disks) <= i {
		g.disks = append(g.disks, nil)
	}
	g.disks[i] = disk.NewFake(rand.New(rand.NewSource(int64(i))))
	if i >= 3 {
		founders = nil
	}
	g.run(i, founders)
}

// run starts process i with the disk that it has.
func (g *selfManagedGroup) run(i int, founders []control.Founder) {
	zone := "a"
	if len(g.zones) > 0 {
		zone = g.zones[i]
	}
	m, err := control.New(control.Options{
		Zone: zone, MeshListener: listenAt(g.addresses[i]), AdminListener: listenAt("127.0.0.1:0"), Founders: founders,
		RegistryFolder: g.disks[i], Keys: bundle.NewKeyring(nil).WithTrustedOperators("ops"),
		Voters: g.voters, Placement: g.placement, Seeds: g.seedAddresses,
		ElectionTimeout: g.electionTimeout, HeartbeatInterval: g.heartbeatInterval, Dialer: g.network.dial,
		Logger: zerolog.New(GinkgoWriter),
	})
	Expect(err).NotTo(HaveOccurred())
	m.Start()
	g.members[i] = m
}

func (g *selfManagedGroup) seedAddresses() []string {
	if len(g.seeds) > 0 {
		return g.seeds
	}
	return g.addresses[:3]
}

// restartWithEmptyDisk kills process i and starts it again with an empty disk.
func (g *selfManagedGroup) restartWithEmptyDisk(i int) {
	g.members[i].Kill()
	g.start(i, nil)
}

// put puts a version into force through any member that accepts it.
func (g *selfManagedGroup) put(version, base uint64) {
	EventuallyWithOffset(1, func() error {
		for _, m := range g.members {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := m.Put(ctx, control.PutRequest{Version: version, Base: base, Operator: "ops", Bundle: &bundle.Bundle{
				Services: append([]bundle.Service{{Name: "desk", QueueLimit: int(version)}}, g.services...),
			}})
			cancel()
			if err == nil {
				return nil
			}
		}
		return operator.ErrNoQuorum
	}, eventuallyTimeout).Should(Succeed())
}

// isRepaired reports whether all members have the version, confirmed by a quorum, and the voters are exactly the
// present processes.
func (g *selfManagedGroup) isRepaired(version uint64) func() bool {
	return func() bool {
		var ids []string
		for _, m := range g.members {
			ids = append(ids, m.ID())
		}
		slices.Sort(ids)
		for _, m := range g.members {
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

var _ = Describe("a group that replaces its lost members", func() {
	// Guards against the loss of acknowledged versions when two of five disks are lost, and two others after the repair.
	It("recovers from the loss of two disks, and then of two others", func() {
		g := newSelfManagedGroup()
		g.put(1, 0)
		Eventually(g.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		g.restartWithEmptyDisk(1)
		g.restartWithEmptyDisk(3)
		Eventually(g.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		g.put(2, 1)
		g.restartWithEmptyDisk(0)
		g.restartWithEmptyDisk(4)
		Eventually(g.isRepaired(2), eventuallyTimeout).Should(BeTrue())
	})

	// Guards against a version that is acknowledged while only three processes vote: two of them may hold the only copies.
	It("keeps a version that was acknowledged while the group formed when two disks are lost", func() {
		g := newSelfManagedGroup()
		g.put(1, 0)
		g.restartWithEmptyDisk(0)
		g.restartWithEmptyDisk(1)
		Eventually(g.isRepaired(1), eventuallyTimeout).Should(BeTrue())
	})

	// Guards against a repair that sends nothing to a member before the next heartbeat, because the first messages to it
	// are dropped.
	It("adds members without waiting for a heartbeat", func() {
		const heartbeatInterval = 3 * time.Second
		g := newSelfManagedGroupWith(7*time.Second, heartbeatInterval)
		hasLeader := func() bool {
			return slices.ContainsFunc(g.members, func(m *control.Member) bool { _, leads := m.Leads(); return leads })
		}
		Eventually(hasLeader, eventuallyTimeout).Should(BeTrue())
		voters := func() int {
			most := 0
			for _, m := range g.members {
				most = max(most, len(m.Voters()))
			}
			return most
		}
		Eventually(voters, heartbeatInterval).Should(Equal(5))
	})

	// Guards against a repair that waits until the connection to a process that lost power times out (15 s): the new
	// process at that address gets nothing before.
	It("repairs a member that lost power and its disk although the connection to its former process hangs", func() {
		g := newSelfManagedGroup()
		g.put(1, 0)
		Eventually(g.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		g.network.losePower(g.addresses[3])
		g.restartWithEmptyDisk(3)
		Eventually(g.isRepaired(1), 5*time.Second).Should(BeTrue())
	})

	// Guards against a group that has no leader until keepalive probes end connections that have gone silent (15 s).
	It("accepts versions soon after all open connections have gone silent", func() {
		const contactTime, acknowledgeWithin = 3 * time.Second, 4 * time.Second
		g := newSelfManagedGroup()
		g.put(1, 0)
		Eventually(g.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		for _, address := range g.addresses {
			g.network.losePower(address)
		}
		silentSince := time.Now()
		g.put(2, 1)
		Expect(time.Since(silentSince)).To(BeNumerically("<=", contactTime+acknowledgeWithin))
	})

	// Guards against a restart, or a repair, that applies all versions of a day one by one: the group has no leader, or the
	// new member is not a voter, for as long.
	It("takes a snapshot when applying the log again would take long", func() {
		g := newSelfManagedGroup()
		for i := range 1000 {
			g.services = append(g.services, bundle.Service{Name: fmt.Sprintf("service-%d", i)})
		}
		snapshotIndex := func() uint64 { return g.members[0].Snapshot() }
		for version := uint64(1); version <= 200 && snapshotIndex() <= 1; version++ {
			g.put(version, version-1)
		}
		Expect(snapshotIndex()).To(BeNumerically(">", 1))
	})

	// Guards against a group that adds an identity again while the process that had it discards its state: the copy that
	// the leader counts on is gone.
	It("does not add a replaced member that still takes itself for one", func() {
		g := newSelfManagedGroup()
		g.put(1, 0)
		Eventually(g.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		g.members[4].Kill()
		former := listenAt("127.0.0.1:0")
		defer former.Close()
		isAdded := func(isMember bool) func() bool {
			return func() bool {
				for _, m := range g.members[:4] {
					_, err := m.Identify(context.Background(), &protocol.IdentifyRequest{
						ID: "former", Address: former.Addr().String(), Zone: "a", IsMember: isMember,
					})
					Expect(err).NotTo(HaveOccurred())
				}
				return slices.ContainsFunc(g.members[:4], func(m *control.Member) bool { return m.Lists("former") })
			}
		}
		Consistently(isAdded(true), membership.NewPolicy(1, 4*time.Second).ReplaceAfter+time.Second, 50*time.Millisecond).Should(BeFalse())
		Eventually(isAdded(false), eventuallyTimeout, 50*time.Millisecond).Should(BeTrue())
	})

	// Guards against a member that is cut off and answers reads with an old version.
	It("answers no read after the quorum is lost", func() {
		g := newSelfManagedGroup()
		g.put(1, 0)
		Eventually(g.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		for _, m := range g.members[1:4] {
			m.Kill()
		}
		Eventually(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, _, err := g.members[0].Latest(ctx)
			return err
		}, eventuallyTimeout).Should(MatchError(operator.ErrNoQuorum))
	})

	// Guards against a member that is suspended in the middle of a batch and answers the reads that arrive afterwards by the
	// time before: it takes its last confirmation for a recent one.
	It("answers no read from before a suspension that ended after the read arrived", func() {
		const applyWithin = 2 * time.Second
		g := newSelfManagedGroup()
		g.put(1, 0)
		Eventually(g.isRepaired(1), eventuallyTimeout).Should(BeTrue())
		follower := slices.IndexFunc(g.members, func(m *control.Member) bool { _, leads := m.Leads(); return !leads })
		suspended := g.members[follower]
		suspended.Suspend(applyWithin + time.Second)
		g.members = slices.Delete(g.members, follower, follower+1)
		DeferCleanup(suspended.Kill)
		g.put(2, 1)
		time.Sleep(applyWithin)
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		version, _, err := suspended.Latest(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(BeEquivalentTo(2))
	})
})

var _ = Describe("a group that has to bear the loss of a zone", func() {
	// Guards against two voters of three in one zone after an outage of the third one: the loss of that zone's disks takes the
	// latest version with it, and the group for good.
	It("keeps the latest version when a zone loses its disks, some time after another zone was down", func() {
		const repairWithin = 4 * time.Second
		g := &selfManagedGroup{
			voters: 3, zones: []string{"a", "b", "c", "a", "b"}, placement: membership.Placement{Tolerance: membership.Tolerance{Zones: 1}},
			electionTimeout: 300 * time.Millisecond, heartbeatInterval: 50 * time.Millisecond,
		}
		g.form()
		g.put(1, 0)
		g.members[2].Kill()
		time.Sleep(repairWithin + time.Second)
		g.run(2, nil)
		time.Sleep(repairWithin)
		g.put(2, 1)
		for _, i := range []int{0, 3} {
			g.members[i].Kill()
		}
		for _, i := range []int{0, 3} {
			g.start(i, nil)
		}
		latest := func() uint64 {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			version, _, _ := g.members[2].Latest(ctx)
			return version
		}
		Eventually(latest, eventuallyTimeout).Should(BeEquivalentTo(2))
	})
})
