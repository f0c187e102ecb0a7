package raft_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/state/disk"
	"sapphiregate.example/sapphiregate/state/wal"
)

const (
	step              = 5 * time.Millisecond // by which the simulated time advances
	compactionEntries = 25                   // applied entries after which a member takes a snapshot
	logCheckSteps     = 20                   // steps between two comparisons of all logs
)

// cluster simulates members with fake disks, clocks that differ in rate and a faulty network. After every step it
// checks the safety properties against what all members together have applied and committed.
type cluster struct {
	rng                   *rand.Rand
	now                   time.Duration
	steps                 int
	members               []*member
	packets               []packet
	loss                  float64
	duplication           float64
	minDelay              time.Duration
	maxExtraDelay         time.Duration
	maxWriteTime          time.Duration
	writeCrashProbability float64                   // of a crash and restart per write
	blockedLinks          map[[2]raft.MemberID]bool // by sender and receiver
	recordedMessages      []raft.Message
	recordMessages        bool

	leaders     map[uint64]raft.MemberID // by term
	states      []uint64                 // states[i] is the application state after entry i
	committedAt []time.Duration          // committedAt[i] is when the first member knew that entry i is committed
	ageChecks   int
}

type member struct {
	id                raft.MemberID
	disk              *disk.Fake
	log               *wal.Log
	node              *raft.Node
	clockRate         float64 // speed of the member's clock relative to the simulated time
	initialMembership raft.Membership
	applied           uint64
	state             uint64      // the application state: a hash over all applied entries
	ready             *raft.Ready // the batch that is being written, or nil
	writeDoneAt       time.Duration
}

type packet struct {
	at      time.Duration
	message raft.Message
}

func voters(ids ...raft.MemberID) raft.Membership {
	var m raft.Membership
	for _, id := range ids {
		m.Members = append(m.Members, raft.Member{ID: id})
	}
	return m
}

// newCluster starts the members of the initial membership, and the others without one, so that they can join later.
func newCluster(seed int64, initial raft.Membership, others ...raft.MemberID) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewSource(seed)), blockedLinks: map[[2]raft.MemberID]bool{}, leaders: map[uint64]raft.MemberID{},
		states: []uint64{0}, committedAt: []time.Duration{0}, minDelay: 4 * time.Millisecond, maxWriteTime: 2 * time.Millisecond,
	}
	for _, m := range initial.Members {
		c.add(m.ID, initial)
	}
	for _, id := range others {
		c.add(id, raft.Membership{})
	}
	return c
}

func (c *cluster) add(id raft.MemberID, start raft.Membership) {
	m := &member{id: id, disk: disk.NewFake(c.rng), clockRate: 0.995 + c.rng.Float64()/100, initialMembership: start}
	m.disk.SetTornWrites(true)
	c.members = append(c.members, m)
	c.restart(m)
}

func must(err error) {
	if err != nil {
		panic(fmt.Sprintf("%+v", err))
	}
}

func (c *cluster) clock(m *member) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(c.now) * m.clockRate))
}

func (c *cluster) restart(m *member) {
	log, recovered, err := wal.OpenWith(m.disk, wal.Options{SegmentBytes: 4000})
	must(err)
	m.log, m.ready = log, nil
	m.restore(recovered.Snapshot)
	m.node, err = raft.New(c.clock(m), raft.Config{
		ID: m.id, MaxAppendBytes: 100, MaxInflightAppends: 4, TrailingEntries: 5, Rand: rand.New(rand.NewSource(c.rng.Int63())),
	}, raft.Restored{
		HardState: recovered.HardState, Snapshot: recovered.Snapshot, Entries: recovered.Entries, Membership: m.initialMembership,
	})
	must(err)
}

// crash stops a member. A write in progress may be lost, torn or complete.
func (c *cluster) crash(m *member) {
	if m.ready != nil && m.ready.MustSync && m.ready.Snapshot == nil && c.rng.Intn(2) == 0 {
		m.disk.FailSyncs(1)
		_ = m.log.Append(m.ready.HardState, m.ready.Entries)
	}
	m.disk.Crash()
	m.node = nil
}

func (m *member) restore(s raft.Snapshot) {
	m.applied, m.state = s.Index, 0
	if len(s.Data) > 0 {
		m.state = binary.BigEndian.Uint64(s.Data)
	}
}

// run advances the simulation.
func (c *cluster) run(duration time.Duration) {
	for end := c.now + duration; c.now < end; c.now += step {
		c.steps++
		c.deliver()
		for _, m := range c.members {
			if m.node == nil {
				continue
			}
			if c.steps%4 == 0 {
				m.node.Tick(c.clock(m))
			}
			c.process(m)
		}
		c.check()
	}
}

func (c *cluster) deliver() {
	due := c.packets
	c.packets = nil
	for _, p := range due {
		if p.at > c.now {
			c.packets = append(c.packets, p)
			continue
		}
		m := c.member(p.message.To)
		if m == nil || m.node == nil || c.blockedLinks[[2]raft.MemberID{p.message.From, m.id}] {
			continue
		}
		must(m.node.Step(c.clock(m), p.message))
		c.process(m)
	}
}

func (c *cluster) member(id raft.MemberID) *member {
	for _, m := range c.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (c *cluster) send(messages []raft.Message) {
	if c.recordMessages {
		c.recordedMessages = append(c.recordedMessages, messages...)
	}
	for _, message := range messages {
		copies := 1
		if c.rng.Float64() < c.duplication {
			copies = 2
		}
		for range copies {
			if c.rng.Float64() >= c.loss {
				c.packets = append(c.packets, packet{c.now + c.minDelay + time.Duration(c.rng.Int63n(int64(c.maxExtraDelay)+1)), message})
			}
		}
	}
}

// process carries out the member's batches of work until there is none or a write is in progress. During a write the
// member processes messages and may crash.
func (c *cluster) process(m *member) {
	for {
		if m.ready == nil {
			if !m.node.HasReady() {
				return
			}
			r := m.node.Ready()
			m.ready, m.writeDoneAt = &r, c.now
			if r.MustSync {
				m.writeDoneAt += time.Duration(c.rng.Int63n(int64(c.maxWriteTime) + 1))
			}
			c.send(r.EarlyMessages)
			if r.MustSync && c.rng.Float64() < c.writeCrashProbability {
				c.crash(m)
				c.restart(m)
				continue
			}
		}
		if c.now < m.writeDoneAt {
			c.send(m.node.TakeEarlyMessages())
			return
		}
		c.finishBatch(m, *m.ready)
		m.ready = nil
	}
}

func (c *cluster) finishBatch(m *member, r raft.Ready) {
	if r.Snapshot != nil {
		must(m.log.SaveSnapshot(*r.Snapshot))
		m.restore(*r.Snapshot)
		c.checkState(m)
	}
	if r.MustSync {
		must(m.log.Append(r.HardState, r.Entries))
	}
	c.send(r.Messages)
	for _, entry := range r.Committed {
		if entry.Index != m.applied+1 {
			panic(fmt.Sprintf("%s applies entry %d after entry %d", m.id, entry.Index, m.applied))
		}
		hash := fnv.New64a()
		fmt.Fprint(hash, m.state, entry.Term, entry.Kind, entry.Data)
		m.applied, m.state = entry.Index, hash.Sum64()
		c.checkState(m)
	}
	m.node.Advance(r)
	if status := m.node.Status(); status.Applied >= status.SnapshotIndex+compactionEntries {
		c.compact(m)
	}
}

func (c *cluster) compact(m *member) {
	s, err := m.node.NewSnapshot(m.applied, binary.BigEndian.AppendUint64(nil, m.state))
	must(err)
	must(m.log.SaveSnapshot(s))
	must(m.node.Compact(s))
}

// checkState checks that all members apply the same entries. The state is a hash over all applied entries.
func (c *cluster) checkState(m *member) {
	if m.applied == uint64(len(c.states)) {
		c.states = append(c.states, m.state)
	}
	if m.applied >= uint64(len(c.states)) || c.states[m.applied] != m.state {
		panic(fmt.Sprintf("%s applied entries that differ from those of other members, up to %d", m.id, m.applied))
	}
}

// check verifies the properties that must hold at all times.
func (c *cluster) check() {
	for _, m := range c.members {
		if m.node == nil {
			continue
		}
		s := m.node.Status()
		if s.Role == raft.RoleLeader {
			if other, ok := c.leaders[s.Term]; ok && other != m.id {
				panic(fmt.Sprintf("%s and %s lead term %d", other, m.id, s.Term))
			}
			c.leaders[s.Term] = m.id
		}
		for uint64(len(c.committedAt)) <= s.Commit {
			c.committedAt = append(c.committedAt, c.now)
		}
	}
	for _, m := range c.members {
		if m.node != nil {
			c.checkAge(m)
		}
	}
	if c.steps%logCheckSteps == 0 {
		c.checkLogs()
	}
}

// checkAge compares the confirmed age with the time since the oldest committed entry that the member lacks.
func (c *cluster) checkAge(m *member) {
	age, ok := m.node.ConfirmedAge(c.clock(m))
	missing := m.node.Status().Applied + 1
	if !ok || missing >= uint64(len(c.committedAt)) {
		return
	}
	c.ageChecks++
	if trueAge := c.now - c.committedAt[missing]; age < trueAge {
		panic(fmt.Sprintf("%s claims age %v, but lacks an entry committed %v ago", m.id, age, trueAge))
	}
}

// checkLogs verifies that two logs with the same entry are the same up to it.
func (c *cluster) checkLogs() {
	for i, a := range c.members {
		for _, b := range c.members[:i] {
			if a.node != nil && b.node != nil {
				compareLogs(a.node.Entries(), b.node.Entries())
			}
		}
	}
}

func compareLogs(a, b []raft.Entry) {
	matched := false
	for i := len(a) - 1; i >= 0 && len(b) > 0 && a[i].Index >= b[0].Index; i-- {
		at := int(a[i].Index - b[0].Index)
		if at >= len(b) {
			continue
		}
		same := a[i].Term == b[at].Term
		if same && string(a[i].Data) != string(b[at].Data) || matched && !same {
			panic(fmt.Sprintf("logs differ at index %d, before an entry that they share", a[i].Index))
		}
		matched = same
	}
}

// leader returns the leader with the highest term, or nil.
func (c *cluster) leader() *member {
	var found *member
	for _, m := range c.members {
		if m.node == nil || m.node.Status().Role != raft.RoleLeader {
			continue
		}
		if found == nil || m.node.Status().Term > found.node.Status().Term {
			found = m
		}
	}
	return found
}

// awaitLeader runs until a leader has committed an entry of its term.
func (c *cluster) awaitLeader() *member {
	for range 2000 {
		c.run(step)
		m := c.leader()
		if m != nil && m.node.Status().Commit == m.node.Status().LastIndex {
			return m
		}
	}
	panic("no leader within 10 s")
}

func (c *cluster) propose(m *member, count int) error {
	var data [][]byte
	for range count {
		data = append(data, binary.BigEndian.AppendUint64(nil, c.rng.Uint64()))
	}
	_, _, err := m.node.Propose(c.clock(m), data...)
	c.process(m)
	return err
}

func (c *cluster) change(m *member, kind raft.ChangeKind, id raft.MemberID) error {
	_, _, err := m.node.ProposeMembership(c.clock(m), raft.MembershipChange{Kind: kind, Member: raft.Member{ID: id}})
	c.process(m)
	return err
}

// isolate cuts both directions between members and all others.
func (c *cluster) isolate(ids ...raft.MemberID) {
	for _, a := range c.members {
		for _, b := range c.members {
			if slices.Contains(ids, a.id) != slices.Contains(ids, b.id) {
				c.blockedLinks[[2]raft.MemberID{a.id, b.id}] = true
			}
		}
	}
}

func (c *cluster) heal() { clear(c.blockedLinks) }
