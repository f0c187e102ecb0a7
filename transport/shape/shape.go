// Package shape gives loopback connections the properties of links between availability zones: delay, jitter, loss,
// silent partitions and byte counts. Only the dialing side is wrapped; it shapes both directions.
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
	// Jitter is the upper bound of an extra delay, drawn evenly for each write.
	Jitter time.Duration
	// Loss is the probability that a segment is lost. TCP hides a loss as a retransmission delay.
	Loss float64
	// Retransmit is the delay of the first retransmission; 0 takes four times Delay, but at least 20 ms. It doubles
	// for each further loss of the same segment.
	Retransmit time.Duration
}

// CutMode tells what happens to data that meets a partition.
type CutMode uint8

const (
	// CutHold keeps the data until the partition heals, as TCP retransmission does after a short cut.
	CutHold CutMode = iota + 1
	// CutDrop discards the data. A connection that lost data stays silent after the partition heals.
	CutDrop
)

// Count is the traffic of one kind from one zone to another.
type Count struct {
	From, To string
	Kind     Kind
	Bytes    int64
}

type pair struct{ from, to string }

type countKey struct {
	pair
	kind Kind
}

// settings is an immutable view, so that the data path reads it without a lock.
type settings struct {
	links     map[pair]Link
	extra     map[string]Link
	zones     map[string]CutMode
	processes map[string]CutMode
}

// link returns the current properties of one direction.
func (s *settings) link(from, to Endpoint) Link {
	l := s.links[pair{from.Zone, to.Zone}]
	if from.Zone == to.Zone {
		return l
	}
	return l.Plus(s.extra[from.Zone]).Plus(s.extra[to.Zone])
}

// cut returns the mode of the partition between two endpoints, or zero.
func (s *settings) cut(a, b Endpoint) CutMode {
	var mode CutMode
	if a.Zone != b.Zone {
		mode = max(s.zones[a.Zone], s.zones[b.Zone])
	}
	if a.Process != b.Process {
		mode = max(mode, s.processes[a.Process], s.processes[b.Process])
	}
	return mode
}

// Plus returns a link with the properties of both.
func (l Link) Plus(other Link) Link {
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
	seed     int64
	clock    *dispatcher
	settings atomic.Pointer[settings]

	mu        sync.Mutex
	addresses map[string]Endpoint
	counts    map[countKey]*atomic.Int64
	conns     map[*conn]struct{}
	sequence  map[Endpoint]int64
	healed    chan struct{}
	closed    bool
}

// NewNetwork returns a network without delays. Close releases its goroutine.
func NewNetwork(seed int64) *Network { return newNetwork(seed, newPreciseAlarm()) }

func newNetwork(seed int64, a alarm) *Network {
	n := &Network{
		seed:      seed,
		clock:     newDispatcher(a),
		addresses: make(map[string]Endpoint),
		counts:    make(map[countKey]*atomic.Int64),
		conns:     make(map[*conn]struct{}),
		sequence:  make(map[Endpoint]int64),
		healed:    make(chan struct{}),
	}
	n.settings.Store(&settings{})
	return n
}

// Close closes all shaped connections and stops the network.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	for _, c := range n.open() {
		c.destroy()
	}
	n.clock.close()
}

func (n *Network) open() []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.conns))
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// change replaces the settings by a changed copy.
func (n *Network) change(edit func(s *settings)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.settings.Load()
	next := &settings{
		links:     cloneOrMake(old.links),
		extra:     cloneOrMake(old.extra),
		zones:     cloneOrMake(old.zones),
		processes: cloneOrMake(old.processes),
	}
	edit(next)
	n.settings.Store(next)
}

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// resume releases what waits for a partition to heal.
func (n *Network) resume() {
	n.mu.Lock()
	close(n.healed)
	n.healed = make(chan struct{})
	n.mu.Unlock()
	for _, c := range n.open() {
		c.resume()
	}
}

// Register names the endpoint that listens on an address, so that dialers find the link to it.
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

// SetLink sets both directions between two zones.
func (n *Network) SetLink(a, b string, l Link) {
	n.change(func(s *settings) {
		s.links[pair{a, b}] = l
		s.links[pair{b, a}] = l
	})
}

// SetDirection sets one direction between two zones.
func (n *Network) SetDirection(from, to string, l Link) {
	n.change(func(s *settings) { s.links[pair{from, to}] = l })
}

// SlowZone adds a link's properties to every direction into and out of a zone. A zero Link ends it.
func (n *Network) SlowZone(zone string, add Link) {
	n.change(func(s *settings) { s.extra[zone] = add })
}

// CutZone partitions a zone from all other zones without an error on either side.
func (n *Network) CutZone(zone string, mode CutMode) {
	n.change(func(s *settings) { s.zones[zone] = mode })
}

// HealZone ends the partition of a zone.
func (n *Network) HealZone(zone string) {
	n.change(func(s *settings) { delete(s.zones, zone) })
	n.resume()
}

// CutProcess partitions one process from all others without an error on either side.
func (n *Network) CutProcess(process string, mode CutMode) {
	n.change(func(s *settings) { s.processes[process] = mode })
}

// HealProcess ends the partition of a process.
func (n *Network) HealProcess(process string) {
	n.change(func(s *settings) { delete(s.processes, process) })
	n.resume()
}

// Abort closes all connections that a process dialed, as the kernel does when a process dies.
func (n *Network) Abort(process string) {
	for _, c := range n.open() {
		if c.local.Process == process {
			c.abort()
		}
	}
}

// Counts returns the bytes that were sent, sorted by zone pair and kind. Bytes count when they are handed to the link.
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
	n.sequence[local]++
	ordinal := n.sequence[local]
	c.out = &lane{from: local, to: remote, count: n.counter(local, remote, kind)}
	c.in = &lane{from: remote, to: local, count: n.counter(remote, local, kind)}
	n.mu.Unlock()
	// Many connections open at once, so that this work is kept out of the lock.
	c.out.rng = n.laneRand(c.out, ordinal)
	c.in.rng = n.laneRand(c.in, ordinal)
	n.mu.Lock()
	n.conns[c] = struct{}{}
	closed := n.closed
	n.mu.Unlock()
	if closed {
		_ = raw.Close()
	}
	go c.receive()
	return c
}

func (n *Network) counter(from, to Endpoint, kind Kind) *atomic.Int64 {
	key := countKey{pair{from.Zone, to.Zone}, kind}
	if n.counts[key] == nil {
		n.counts[key] = new(atomic.Int64)
	}
	return n.counts[key]
}

// laneRand returns the generator of one direction. It depends on the ordinal among the connections of the process that
// opened it only, so that connections elsewhere do not change it.
func (n *Network) laneRand(l *lane, ordinal int64) *rand.Rand {
	hash := fnv.New64a()
	for _, text := range []string{l.from.Zone, l.from.Process, l.to.Zone, l.to.Process} {
		_, _ = io.WriteString(hash, text)
		_, _ = hash.Write([]byte{0})
	}
	return rand.New(rand.NewPCG(uint64(n.seed), hash.Sum64()+uint64(ordinal)))
}

func (n *Network) endpoint(address string) Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e, ok := n.addresses[address]; ok {
		return e
	}
	return Endpoint{Process: address}
}

// handshake waits for one round trip, and for the end of a partition.
func (n *Network) handshake(ctx context.Context, local, remote Endpoint) error {
	for {
		n.mu.Lock()
		healed := n.healed
		n.mu.Unlock()
		s := n.settings.Load()
		if s.cut(local, remote) == 0 {
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
