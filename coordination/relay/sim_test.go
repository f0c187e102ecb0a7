package relay_test

import (
	"bytes"
	"container/heap"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

func TestRelay(t *testing.T) {
	// A fixed seed makes every run generate the same cases.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

var _ = BeforeSuite(func() {
	invariant.SetHandler(func(name invariant.Name, message string, values map[string]any) {
		violations = append(violations, fmt.Sprint(name, ": ", message, " ", values))
	})
})

var violations []string

var errLinkLost = errors.New("link lost")

// hashVerifier accepts approvals whose signature is the plain hash that the function signature returns. It stands in
// for the keyring.
type hashVerifier struct{}

func signature(a bundle.Approval) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s %d", a.Version, a.Digest, a.Replaces))
	return slices.Concat(sum[:], sum[:])
}

func (hashVerifier) Verify(a bundle.Approval) error {
	if !bytes.Equal(a.Signature, signature(a)) {
		return errors.New("bad signature")
	}
	return nil
}

// event is an action at a virtual time. order is unique, so that events at the same time run in a fixed order.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// host is one process. It can be stopped and restarted under the same ID with empty memory.
type host struct {
	id, zone      string
	member        bool
	join          []string
	config        func(*relay.Config)
	clockRate     float64 // rate of its clock relative to the virtual time
	started       time.Duration
	clockAtStart  time.Time // its clock at the start of the process
	alive         bool
	peer          *relay.Peer
	links         map[relay.LinkID]*conn
	inbound       relay.LinkID
	store         *bundle.Store
	appliedSource int // identifies the state of the registry that a member was last given

	inForce, highest uint64
	firstInForce     map[uint64]time.Duration // first activation of a version
	lastInForce      map[uint64]time.Duration // time at which a version ceased to be in force
	acceptedJoins    []time.Duration          // times at which it accepted a join
	leaving          []endpoints.UpstreamProcess
	parentChanges    []relay.ParentChanged
	results          []string // the nodes whose results it received
}

// conn is one direction of a link. Its messages arrive in order unless the link ends.
type conn struct {
	from, to    *host
	fromStarted time.Duration
	toStarted   time.Duration
	fromLink    relay.LinkID
	toLink      relay.LinkID
	lastArrival time.Duration
	reverse     *conn
	closed      bool
	undelivered []func()
}

// sim drives real peers over a message queue with virtual time.
type sim struct {
	rng           *rand.Rand
	now           time.Duration
	queue         eventQueue
	scheduled     int
	hosts         map[string]*host
	ids           []string
	epoch         time.Time
	loss          float64 // probability that a segment is lost, which delays the link by a growing retransmission timeout
	duplicate     float64 // probability that a message arrives twice
	corrupt       float64 // probability that a Parts message is corrupted
	omit          float64 // probability that an Endpoints message is dropped
	delay         func(a, b *host) time.Duration
	blocked       func(a, b *host) bool
	history       []relay.Approved
	staged        []bundle.Update
	rollouts      []release.Rollout
	withoutQuorum map[string]bool // members without a quorum
	bytes         map[string]int  // by message kind, with the prefix "zone:" for messages between zones
	members       []relay.MemberInfo
	onSend        func(from, to *host, m relay.Message)
	onCrash       func(h *host, reports []relay.CrashReport)
}

func newSim(seed int64) *sim {
	violations = nil
	s := &sim{
		rng: rand.New(rand.NewSource(seed)), hosts: make(map[string]*host), epoch: time.Unix(1_700_000_000, 0),
		withoutQuorum: make(map[string]bool), bytes: make(map[string]int),
	}
	s.blocked = func(a, b *host) bool { return false }
	s.delay = func(a, b *host) time.Duration {
		if a.zone == b.zone {
			return 300*time.Microsecond + time.Duration(s.rng.Intn(300))*time.Microsecond
		}
		return 4*time.Millisecond + time.Duration(s.rng.Intn(2000))*time.Microsecond
	}
	return s
}

// schedule lets an action run at a virtual time, but not in the past.
func (s *sim) schedule(t time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, event{at: max(t, s.now), order: s.scheduled, run: run})
}

// run executes the events up to a time and fails if an invariant was violated.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
	Expect(violations).To(BeEmpty())
}

// await runs until a condition holds and returns the time that it took. It fails if that is longer than a limit.
func (s *sim) await(limit time.Duration, done func() bool) time.Duration {
	start := s.now
	for s.now < start+limit && !done() {
		s.run(s.now + 50*time.Millisecond)
	}
	ExpectWithOffset(1, done()).To(BeTrue(), "not reached within %v", limit)
	return s.now - start
}

// add adds a host, which is not started yet, and lists it among the members if it is one.
func (s *sim) add(id, zone string, member bool, join ...string) *host {
	h := &host{
		id: id, zone: zone, member: member, join: join, clockRate: 1 + 0.008*(2*s.rng.Float64()-1), config: func(*relay.Config) {},
		firstInForce: make(map[uint64]time.Duration), lastInForce: make(map[uint64]time.Duration),
	}
	s.hosts[id] = h
	s.ids = append(s.ids, id)
	if member {
		s.members = append(s.members, relay.MemberInfo{ID: id, Zone: zone, Address: id})
	}
	return h
}

// localTime returns the time on a host's clock.
func (s *sim) localTime(h *host) time.Time {
	return h.clockAtStart.Add(time.Duration(float64(s.now-h.started) * h.clockRate))
}

// start starts the process of a host with empty memory and a new incarnation.
func (s *sim) start(h *host) {
	h.alive, h.started, h.inForce, h.appliedSource = true, s.now, 0, 0
	h.clockAtStart = s.epoch.Add(time.Duration(s.rng.Intn(1000)) * time.Hour)
	h.links, h.inbound, h.store = make(map[relay.LinkID]*conn), 0, bundle.NewStore()
	c := relay.Config{
		ID: h.id, Zone: h.zone, Address: h.id, Incarnation: uint64(s.now) + 1, Member: h.member, JoinAddresses: h.join,
		Keys: hashVerifier{}, Rand: rand.New(rand.NewSource(s.rng.Int63())),
	}
	h.config(&c)
	h.peer = relay.New(s.localTime(h), c)
	if !h.member {
		h.peer.Announce(s.localTime(h), endpoints.Record{State: endpoints.Serving, Service: "rank", Address: h.id, Slots: 10})
	} else {
		h.peer.SetMembers(s.localTime(h), s.members)
	}
	started := h.started
	var tick func()
	tick = func() {
		if !h.alive || h.started != started {
			return
		}
		if h.member {
			s.updateSource(h)
		}
		h.peer.Tick(s.localTime(h))
		s.handleOutputs(h)
		s.schedule(s.now+50*time.Millisecond, tick)
	}
	s.schedule(s.now+time.Duration(s.rng.Intn(50))*time.Millisecond, tick)
}

// updateSource passes the state of the registry and a confirmation to a member, unless the member has no quorum.
func (s *sim) updateSource(h *host) {
	if s.withoutQuorum[h.id] {
		return
	}
	if len(s.staged) > 0 {
		digests := make([]bundle.Digest, 0, len(s.staged))
		for _, update := range s.staged {
			Expect(h.store.Add(update)).To(Succeed())
			digests = append(digests, update.Target)
		}
		source := relay.Source{Bundles: digests, Rollouts: s.rollouts}
		if n := len(s.history); n > 0 {
			source.Latest, source.Stopped = &s.history[n-1].Approval, s.history[n-1].Stopped
		}
		if key := len(s.history)<<20 + len(s.rollouts)<<10 + len(s.staged); key != h.appliedSource {
			h.appliedSource = key
			h.peer.SetSource(s.localTime(h), source, h.store)
		}
	}
	h.peer.SetConfirmed(s.localTime(h), 20*time.Millisecond)
}

// sortedLinks returns the links in a fixed order, so that every run draws the same random numbers.
func (h *host) sortedLinks() []*conn {
	var conns []*conn
	for _, id := range slices.Sorted(maps.Keys(h.links)) {
		conns = append(conns, h.links[id])
	}
	return conns
}

// kill stops the process of a host at once.
func (s *sim) kill(h *host) {
	h.alive = false
	h.lastInForce[h.inForce] = s.now
	reset := s.rng.Intn(2) == 0 // Otherwise the other sides are not told and only stop receiving messages.
	for _, c := range h.sortedLinks() {
		c.closed = true
		if reset {
			s.breakLink(c)
		} else {
			c.reverse.closed = true
		}
	}
}

// breakLink ends a link and tells the other side.
func (s *sim) breakLink(c *conn) {
	c.closed = true
	s.deliver(c, func() {
		c.reverse.closed = true
		delete(c.to.links, c.toLink)
		c.to.peer.LinkDown(s.localTime(c.to), c.toLink, errLinkLost)
	})
}

// deliver runs an action at the other side of a link after everything that was sent before, delayed by lost segments.
func (s *sim) deliver(c *conn, action func()) {
	delay := s.delay(c.from, c.to)
	for timeout := 200 * time.Millisecond; s.rng.Float64() < s.loss; timeout *= 2 {
		delay += timeout
	}
	c.lastArrival = max(s.now+delay, c.lastArrival)
	c.undelivered = append(c.undelivered, action)
	s.schedule(c.lastArrival, func() { s.arrive(c) })
}

// arrive runs the oldest undelivered action of a link. While the hosts cannot reach each other, it tries again later.
func (s *sim) arrive(c *conn) {
	if c.reverse.closed || !c.to.alive || c.to.started != c.toStarted {
		return
	}
	if s.blocked(c.from, c.to) {
		c.lastArrival = max(c.lastArrival, s.now+200*time.Millisecond)
		s.schedule(c.lastArrival, func() { s.arrive(c) })
		return
	}
	action := c.undelivered[0]
	c.undelivered = c.undelivered[1:]
	action()
	s.handleOutputs(c.to)
}

// handleOutputs carries out the outputs of a host's peer.
func (s *sim) handleOutputs(h *host) {
	for _, output := range h.peer.Outputs() {
		switch o := output.(type) {
		case relay.Send:
			if c, ok := h.links[o.Link]; ok && !c.closed {
				s.send(c, o.Message)
			}
		case relay.Dial:
			s.dial(h, o)
		case relay.Close:
			if c, ok := h.links[o.Link]; ok {
				delete(h.links, o.Link)
				s.breakLink(c)
			}
		case relay.Activate:
			s.activate(h, o)
		case relay.ParentChanged:
			h.parentChanges = append(h.parentChanges, o)
		case relay.UpstreamLeaving:
			h.leaving = append(h.leaving, o.Upstream)
		case relay.CrashesReceived:
			if s.onCrash != nil {
				s.onCrash(h, o.Reports)
			}
		case relay.ResultsReceived:
			for _, results := range o.Reports {
				h.results = append(h.results, results.Node)
			}
		}
	}
}

// activate checks that a bundle is the approved one and no older than the one in force, and puts it into force.
func (s *sim) activate(h *host, o relay.Activate) {
	Expect(o.Approval.Version).To(BeNumerically(">=", h.highest), "%s rolls back", h.id)
	_, manifest, err := bundle.Split(o.Bundle)
	Expect(err).NotTo(HaveOccurred())
	Expect(manifest.Digest()).To(Equal(o.Approval.Digest), "%s applied another bundle than the approved one", h.id)
	h.lastInForce[h.inForce] = s.now
	h.inForce, h.highest = o.Approval.Version, o.Approval.Version
	if _, ok := h.firstInForce[h.inForce]; !ok {
		h.firstInForce[h.inForce] = s.now
	}
	h.peer.Activated(s.localTime(h), o.Approval.Version)
}

func messageKind(m relay.Message) string {
	switch {
	case m.Parts != nil:
		return "parts"
	case m.Approved != nil:
		return "approved"
	case m.Poll != nil, m.PollReply != nil:
		return "poll"
	case m.Endpoints != nil, m.Compare != nil:
		return "endpoints"
	default:
		return "other"
	}
}

func encodedSize(m any) int {
	data, err := cbor.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	return len(data)
}

// send transmits a message and applies the faults that were chosen for its kind.
func (s *sim) send(c *conn, m relay.Message) {
	data, err := cbor.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	s.bytes[messageKind(m)] += len(data)
	if c.from.zone != c.to.zone {
		s.bytes["zone:"+messageKind(m)] += len(data)
	}
	if s.onSend != nil {
		s.onSend(c.from, c.to, m)
	}
	if m.Accept != nil {
		c.from.acceptedJoins = append(c.from.acceptedJoins, s.now)
	}
	if m.Parts != nil && s.rng.Float64() < s.corrupt {
		data[len(data)-1-s.rng.Intn(len(m.Parts.Data))] ^= 1 << s.rng.Intn(8)
	}
	copies := 1
	if s.rng.Float64() < s.duplicate {
		copies = 2
	}
	if m.Endpoints != nil && s.rng.Float64() < s.omit {
		copies = 0
	}
	for range copies {
		s.deliver(c, func() {
			var received relay.Message
			Expect(cbor.Unmarshal(data, &received)).To(Succeed())
			c.to.peer.Step(s.localTime(c.to), c.toLink, received)
		})
	}
}

// dial opens a link. If the target is blocked, nothing happens, as when packets are dropped.
func (s *sim) dial(h *host, o relay.Dial) {
	target, ok := s.hosts[o.Address]
	started := h.started
	current := func() bool { return h.alive && h.started == started }
	s.schedule(s.now+2*s.delay(h, h), func() {
		switch {
		case !current() || ok && s.blocked(h, target):
			return
		case !ok || !target.alive:
			h.peer.LinkDown(s.localTime(h), o.Link, errLinkLost)
			s.handleOutputs(h)
			return
		}
		target.inbound++
		out := &conn{from: h, to: target, fromStarted: started, toStarted: target.started, fromLink: o.Link, toLink: target.inbound}
		in := &conn{from: target, to: h, fromStarted: target.started, toStarted: started, fromLink: target.inbound, toLink: o.Link}
		out.reverse, in.reverse = in, out
		h.links[o.Link], target.links[target.inbound] = out, in
		s.deliver(out, func() { target.peer.LinkUp(s.localTime(target), out.toLink, h.peer.Hello(), false) })
		s.deliver(in, func() { h.peer.LinkUp(s.localTime(h), o.Link, target.peer.Hello(), true) })
	})
}

// bundleOf returns a bundle in which the deadline of one route depends on the version.
func bundleOf(version, services int) *bundle.Bundle {
	b := &bundle.Bundle{}
	for i := range services {
		service := fmt.Sprintf("service-%04d", i)
		deadline := 100 + i%7
		if i == version%services {
			deadline = 1000 + version
		}
		b.Services = append(b.Services, bundle.Service{Name: service, QueueLimit: 10 + i})
		b.Routes = append(b.Routes, bundle.Route{
			Name: "route-" + service, Service: service, Class: bundle.ClassLookup, DeadlineMs: deadline,
			Match: bundle.Match{PathPrefix: "/" + service, Methods: []string{"GET"}},
		})
	}
	return b
}

// stage adds a bundle to the registry before its approval.
func (s *sim) stage(b *bundle.Bundle) bundle.Digest {
	parts, manifest, err := bundle.Split(b)
	Expect(err).NotTo(HaveOccurred())
	digest := manifest.Digest()
	s.staged = append(s.staged, bundle.Update{Target: digest, Delta: bundle.Diff(bundle.Manifest{}, manifest), Parts: parts})
	return digest
}

// approve approves a bundle as the next version and returns the version.
func (s *sim) approve(digest bundle.Digest) uint64 {
	a := bundle.Approval{Version: uint64(len(s.history) + 1), Digest: digest, Operator: "ana"}
	a.Signature = signature(a)
	s.history = append(s.history, relay.Approved{Approval: a})
	return a.Version
}

// nodes returns the live nodes.
func (s *sim) nodes() []*host {
	var nodes []*host
	for _, id := range s.ids {
		if h := s.hosts[id]; !h.member && h.alive {
			nodes = append(nodes, h)
		}
	}
	return nodes
}

func (s *sim) allInForce(version uint64) func() bool {
	return func() bool {
		return !slices.ContainsFunc(s.nodes(), func(h *host) bool { return h.inForce != version })
	}
}

// sameTables reports whether the tables of all live peers list exactly the live nodes, in their present incarnations.
func (s *sim) sameTables() bool {
	nodes := s.nodes()
	for _, id := range s.ids {
		h := s.hosts[id]
		if !h.alive {
			continue
		}
		live := 0
		for _, r := range h.peer.Table().All() {
			if !r.Expiring() {
				live++
			}
		}
		if live != len(nodes) {
			return false
		}
		for _, node := range nodes {
			r, ok := h.peer.Table().Get(node.id)
			if !ok || r.Expiring() || r.Incarnation != uint64(node.started)+1 {
				return false
			}
		}
	}
	return true
}

// checkTree fails if the links to parents form a cycle, or if a member counts more nodes with a version in force than
// had it in force within the given time.
func (s *sim) checkTree(within time.Duration) {
	parents := make(map[string]string)
	for _, h := range s.nodes() {
		// Links to a former process of a restarted host are ignored, since they transfer no messages.
		status := h.peer.Status()
		parent, ok := s.hosts[status.Parent]
		if ok && parent.alive && status.ParentIncarnation == uint64(parent.started)+1 {
			parents[h.id] = parent.id
		}
	}
	for id := range parents {
		steps := 0
		for at := id; parents[at] != ""; at = parents[at] {
			steps++
			Expect(steps).To(BeNumerically("<=", len(parents)), "cycle at %s", id)
		}
	}
	for _, m := range s.members {
		if h := s.hosts[m.ID]; h.alive {
			for _, v := range h.peer.Status().Total.Versions {
				Expect(v.Nodes).To(BeNumerically("<=", s.recentlyInForce(v.Version, within)),
					"%s counts version %d at %v", m.ID, v.Version, s.now)
			}
		}
	}
}

// recentlyInForce counts the nodes that have a version in force or had it in force within the given time.
func (s *sim) recentlyInForce(version uint64, within time.Duration) int {
	count := 0
	for _, id := range s.ids {
		h := s.hosts[id]
		last, known := h.lastInForce[version]
		if !h.member && (h.alive && h.inForce == version || known && s.now-last <= within) {
			count++
		}
	}
	return count
}
