// Package shape gives loopback connections the properties of links between availability zones: delay, jitter, loss,
// and partitions without an error on either side. It also counts the transferred bytes. Only the dialing side of a
// connection is wrapped; it shapes both directions.
package shape

import (
	"cmp"
	"context"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind labels the traffic of a connection in the byte counts.
type Kind string

// The kinds of traffic.
const (
	// KindControl is configuration, consensus and announcement traffic.
	KindControl Kind = "control"
	// KindCall is calls between nodes.
	KindCall Kind = "call"
	// KindCaller is calls from callers to nodes.
	KindCaller Kind = "caller"
)

// Endpoint is one end of a connection.
type Endpoint struct {
	Zone    string
	Process string
}

// Link describes one direction between two zones. The zero value adds nothing.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Jitter is the upper bound of an additional delay that is drawn uniformly for each write.
	Jitter time.Duration
	// Loss is the probability, from 0 to 1, that a segment is lost. A loss appears as a retransmission delay.
	Loss float64
	// Retransmit is the delay of the first retransmission; 0 means four times Delay, but at least 20 ms. It doubles
	// for each further loss of the same segment.
	Retransmit time.Duration
}

// CutMode selects what a partition does with data.
type CutMode uint8

const (
	// CutHold keeps the data until the partition heals, as TCP retransmission does after a short partition.
	CutHold CutMode = iota + 1
	// CutDrop discards the data. A connection that lost data delivers nothing more, even after the partition heals.
	CutDrop
)

// Count is the traffic of one kind from one zone to another.
type Count struct {
	From, To string
	Kind     Kind
	Bytes    int64
}

type zonePair struct{ from, to string }

type countKey struct {
	zonePair
	kind Kind
}

// conditions holds the properties of all links and all partitions. It is immutable, so connections read it without a
// lock.
type conditions struct {
	links        map[zonePair]Link
	extraByZone  map[string]Link
	cutZones     map[string]CutMode
	cutProcesses map[string]CutMode
}

// link returns the current properties of one direction.
func (s *conditions) link(from, to Endpoint) Link {
	l := s.links[zonePair{from.Zone, to.Zone}]
	if from.Zone == to.Zone {
		return l
	}
	return l.Add(s.extraByZone[from.Zone]).Add(s.extraByZone[to.Zone])
}

// cutMode returns the mode of the partition between two endpoints, or zero.
func (s *conditions) cutMode(a, b Endpoint) CutMode {
	var mode CutMode
	if a.Zone != b.Zone {
		mode = max(s.cutZones[a.Zone], s.cutZones[b.Zone])
	}
	if a.Process != b.Process {
		mode = max(mode, s.cutProcesses[a.Process], s.cutProcesses[b.Process])
	}
	return mode
}

// Add returns a link with the properties of both.
func (l Link) Add(other Link) Link {
	return Link{
		Delay:      l.Delay + other.Delay,
		Jitter:     l.Jitter + other.Jitter,
		Loss:       1 - (1-l.Loss)*(1-other.Loss),
		Retransmit: max(l.Retransmit, other.Retransmit),
	}
}

// Network holds the links, partitions and counts that all connections of one emulated deployment share. It is safe
// for concurrent use, and all settings apply to open connections at once.
type Network struct {
	seed       int64
	scheduler  *scheduler
	conditions atomic.Pointer[conditions]

	mu        sync.Mutex
	addresses map[string]Endpoint
	counts    map[countKey]*atomic.Int64
	conns     map[*conn]struct{}
	opened    map[Endpoint]int64
	healed    chan struct{}
	closed    bool
}

// NewNetwork returns a network without delays or partitions. The seed determines jitter and losses. Close stops its
// goroutine.
func NewNetwork(seed int64) *Network { return newNetwork(seed, newPreciseWaker()) }

func newNetwork(seed int64, a waker) *Network {
	n := &Network{
		seed:      seed,
		scheduler: newScheduler(a),
		addresses: make(map[string]Endpoint),
		counts:    make(map[countKey]*atomic.Int64),
		conns:     make(map[*conn]struct{}),
		opened:    make(map[Endpoint]int64),
		healed:    make(chan struct{}),
	}
	n.conditions.Store(&conditions{})
	return n
}

// Close closes all shaped connections and stops the network.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	for _, c := range n.openConns() {
		c.destroy()
	}
	n.scheduler.close()
}

// openConns returns the open connections.
func (n *Network) openConns() []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.conns))
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// updateConditions replaces the conditions by a changed copy.
func (n *Network) updateConditions(edit func(s *conditions)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.conditions.Load()
	next := &conditions{
		links:        cloneOrMake(old.links),
		extraByZone:  cloneOrMake(old.extraByZone),
		cutZones:     cloneOrMake(old.cutZones),
		cutProcesses: cloneOrMake(old.cutProcesses),
	}
	edit(next)
	n.conditions.Store(next)
}

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// releaseHeld wakes the dials and connections that wait for a partition to heal.
func (n *Network) releaseHeld() {
	n.mu.Lock()
	close(n.healed)
	n.healed = make(chan struct{})
	n.mu.Unlock()
	for _, c := range n.openConns() {
		c.resume()
	}
}

// Register records which endpoint listens on an address, so that dialers find the link to it.
func (n *Network) Register(address string, e Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addresses[address] = e
}

// Listen opens a TCP listener and registers its address.
func (n *Network) Listen(address string, e Endpoint) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n.Register(listener.Addr().String(), e)
	return listener, nil
}

// SetLink sets the link of both directions between two zones.
func (n *Network) SetLink(a, b string, l Link) {
	n.updateConditions(func(s *conditions) {
		s.links[zonePair{a, b}] = l
		s.links[zonePair{b, a}] = l
	})
}

// SetDirection sets the link of one direction between two zones.
func (n *Network) SetDirection(from, to string, l Link) {
	n.updateConditions(func(s *conditions) { s.links[zonePair{from, to}] = l })
}

// SlowZone adds the properties of a link to all traffic between a zone and other zones. A zero Link removes them.
func (n *Network) SlowZone(zone string, add Link) {
	n.updateConditions(func(s *conditions) { s.extraByZone[zone] = add })
}

// CutZone partitions a zone from all other zones without an error on either side.
func (n *Network) CutZone(zone string, mode CutMode) {
	n.updateConditions(func(s *conditions) { s.cutZones[zone] = mode })
}

// HealZone ends the partition of a zone.
func (n *Network) HealZone(zone string) {
	n.updateConditions(func(s *conditions) { delete(s.cutZones, zone) })
	n.releaseHeld()
}

// CutProcess partitions one process from all others without an error on either side.
func (n *Network) CutProcess(process string, mode CutMode) {
	n.updateConditions(func(s *conditions) { s.cutProcesses[process] = mode })
}

// HealProcess ends the partition of a process.
func (n *Network) HealProcess(process string) {
	n.updateConditions(func(s *conditions) { delete(s.cutProcesses, process) })
	n.releaseHeld()
}

// Abort closes all connections that a process dialed with a TCP reset, as the kernel does when a process crashes.
func (n *Network) Abort(process string) {
	for _, c := range n.openConns() {
		if c.local.Process == process {
			c.abort()
		}
	}
}

// Counts returns the bytes that were sent, sorted by zone pair and kind. Bytes are counted when they enter the link,
// also if a partition drops them later.
func (n *Network) Counts() []Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := make([]Count, 0, len(n.counts))
	for key, value := range n.counts {
		counts = append(counts, Count{From: key.from, To: key.to, Kind: key.kind, Bytes: value.Load()})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To), cmp.Compare(a.Kind, b.Kind))
	})
	return counts
}

// DialFunc has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function for one process and kind of traffic. Opening a connection takes one round trip. A
// dial into a partition waits for the partition to heal or the context to end.
func (n *Network) Dialer(local Endpoint, kind Kind) DialFunc {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		remote := n.endpoint(address)
		if err := n.handshake(ctx, local, remote); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.Wrap(raw, local, remote, kind), nil
	}
}

// Wrap shapes both directions of a connection that the local endpoint opened.
func (n *Network) Wrap(raw net.Conn, local, remote Endpoint, kind Kind) net.Conn {
	c := newConn(n, raw, local, remote)
	n.mu.Lock()
	n.opened[local]++
	ordinal := n.opened[local]
	c.outbound = &direction{from: local, to: remote, sentBytes: n.counter(local, remote, kind)}
	c.inbound = &direction{from: remote, to: local, sentBytes: n.counter(remote, local, kind)}
	n.mu.Unlock()
	// Many connections may be opened at once, so the generators are created without the lock.
	c.outbound.rng = n.newRand(c.outbound, ordinal)
	c.inbound.rng = n.newRand(c.inbound, ordinal)
	n.mu.Lock()
	n.conns[c] = struct{}{}
	closed := n.closed
	n.mu.Unlock()
	if closed {
		_ = raw.Close()
	}
	go c.receiveLoop()
	return c
}

// counter returns the byte counter of a zone pair and kind. The caller holds the mutex.
func (n *Network) counter(from, to Endpoint, kind Kind) *atomic.Int64 {
	key := countKey{zonePair{from.Zone, to.Zone}, kind}
	if n.counts[key] == nil {
		n.counts[key] = new(atomic.Int64)
	}
	return n.counts[key]
}

// newRand returns the random generator of one direction. It depends on the seed, the two endpoints and how many
// connections the local endpoint has opened, so connections of other processes do not change it.
func (n *Network) newRand(l *direction, ordinal int64) *rand.Rand {
	hash := fnv.New64a()
	for _, text := range []string{l.from.Zone, l.from.Process, l.to.Zone, l.to.Process} {
		_, _ = io.WriteString(hash, text)
		_, _ = hash.Write([]byte{0})
	}
	return rand.New(rand.NewPCG(uint64(n.seed), hash.Sum64()+uint64(ordinal)))
}

// endpoint returns the endpoint that is registered for an address. An unknown address is an endpoint without a zone.
func (n *Network) endpoint(address string) Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e, ok := n.addresses[address]; ok {
		return e
	}
	return Endpoint{Process: address}
}

// handshake waits for the end of a partition, if there is one, and then for one round trip.
func (n *Network) handshake(ctx context.Context, local, remote Endpoint) error {
	for {
		n.mu.Lock()
		healed := n.healed
		n.mu.Unlock()
		s := n.conditions.Load()
		if s.cutMode(local, remote) == 0 {
			return sleepContext(ctx, s.link(local, remote).Delay+s.link(remote, local).Delay)
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sleepContext(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
