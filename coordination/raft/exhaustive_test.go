package raft_test

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"sapphiregate.example/sapphiregate/coordination/raft"
)

// The exhaustive check runs every schedule that differs from a default schedule in a limited number of steps. The
// default schedule finishes writes first, then delivers messages in order, then follows the script. A deviation
// delivers another message, loses or duplicates one, crashes a member (which loses its unfinished write), starts an
// election or takes the next step of the script early.
const (
	maxScheduleSteps  = 42
	defaultDeviations = 2
	// deviationsVariable is the environment variable that sets a higher number of deviations for runs outside of CI.
	deviationsVariable = "SAPPHIREGATE_RAFT_DEVIATIONS"
)

// operation is one step of a schedule.
type operation struct {
	// kind is 'e' start an election, 'p' propose, 'h' start a heartbeat round, 'w' finish a write, 'd' deliver a message,
	// 'x' lose a message, '2' deliver a message and keep a duplicate, or 'c' crash and restart a member.
	kind   byte
	target int // the index of the member, or of the message in the network
}

var script = []operation{{'e', 0}, {'p', 0}, {'e', 1}, {'p', 0}, {'h', 0}, {'e', 2}, {'p', 0}, {'h', 0}}

// simulation is a group of three members whose messages and writes wait until an operation of the schedule runs them.
type simulation struct {
	now            time.Time
	nodes          [3]*raft.Node
	disks          [3]raft.Restored
	pendingWrites  [3]*raft.Ready
	applied        [3]uint64
	network        []raft.Message
	scriptPosition int
	proposed       byte
	leaders        map[uint64]int
	history        []raft.Entry
	schedule       []operation
}

var ids = []raft.MemberID{"a", "b", "c"}

func newSimulation() *simulation {
	sim := &simulation{now: time.Unix(1000, 0), leaders: map[uint64]int{}}
	for i := range sim.nodes {
		sim.disks[i].Membership = voters(ids...)
		sim.start(i)
	}
	// The first election and the commit of its first entry follow the default schedule. Deviations start afterwards.
	for sim.scriptPosition == 0 || len(sim.network) > 0 {
		sim.apply(sim.possibleOperations()[0])
	}
	sim.schedule = nil
	return sim
}

func (sim *simulation) clone() *simulation {
	c := *sim
	for i, node := range sim.nodes {
		c.nodes[i] = node.Clone()
	}
	c.network = slices.Clone(sim.network)
	c.leaders = maps.Clone(sim.leaders)
	c.history = slices.Clone(sim.history)
	c.schedule = slices.Clone(sim.schedule)
	return &c
}

// zeroSource is a source of random numbers that returns only zero, since randomness affects only timeouts here. Seeding
// a real source took a fifth of the run.
type zeroSource struct{}

func (zeroSource) Int63() int64 { return 0 }
func (zeroSource) Seed(int64)   {}

func (sim *simulation) start(i int) {
	node, err := raft.New(sim.now, raft.Config{ID: ids[i], Rand: rand.New(zeroSource{})}, sim.disks[i])
	must(err)
	sim.nodes[i], sim.pendingWrites[i], sim.applied[i] = node, nil, 0
}

// possibleOperations lists the operations that are possible; the first one is the default.
func (sim *simulation) possibleOperations() []operation {
	var list []operation
	for i, r := range sim.pendingWrites {
		if r != nil {
			list = append(list, operation{'w', i})
		}
	}
	for i := range min(len(sim.network), 5) {
		list = append(list, operation{'d', i})
	}
	if sim.scriptPosition < len(script) {
		list = append(list, script[sim.scriptPosition])
	}
	if len(list) == 0 {
		return nil
	}
	if len(sim.network) > 0 {
		list = append(list, operation{'x', 0}, operation{'2', 0})
	}
	for i := range ids {
		list = append(list, operation{'c', i}, operation{'e', i})
	}
	return list
}

func (sim *simulation) apply(o operation) {
	sim.schedule = append(sim.schedule, o)
	defer func() {
		if failure := recover(); failure != nil {
			panic(fmt.Sprintf("%v\nschedule: %v", failure, sim.schedule))
		}
	}()
	if sim.scriptPosition < len(script) && o == script[sim.scriptPosition] {
		sim.scriptPosition++
	}
	switch o.kind {
	case 'w':
		r := *sim.pendingWrites[o.target]
		sim.pendingWrites[o.target] = nil
		sim.persist(o.target, r)
	case 'd', '2':
		m := sim.network[o.target]
		if o.kind == 'd' {
			sim.network = slices.Delete(sim.network, o.target, o.target+1)
		}
		must(sim.nodes[m.To[0]-'a'].Step(sim.now, m))
	case 'x':
		sim.network = sim.network[1:]
	case 'c':
		sim.start(o.target)
	case 'e':
		// All election timeouts pass, but only one member runs its timers.
		sim.now = sim.now.Add(2 * time.Second)
		sim.nodes[o.target].Tick(sim.now)
	case 'p', 'h':
		sim.actAsLeaders(o.kind)
	}
	for i := range sim.nodes {
		sim.processReady(i)
	}
	sim.check()
}

// actAsLeaders proposes at every leader, or makes it start a heartbeat round.
func (sim *simulation) actAsLeaders(kind byte) {
	sim.now = sim.now.Add(200 * time.Millisecond)
	for _, node := range sim.nodes {
		if node.Status().Role != raft.RoleLeader {
			continue
		}
		if kind == 'h' {
			node.Tick(sim.now)
			continue
		}
		sim.proposed++
		_, _, err := node.Propose(sim.now, []byte{sim.proposed})
		must(err)
	}
}

// processReady carries out the member's batches of work until there is none or a write must be finished first.
func (sim *simulation) processReady(i int) {
	for sim.pendingWrites[i] == nil && sim.nodes[i].HasReady() {
		r := sim.nodes[i].Ready()
		sim.network = append(sim.network, r.EarlyMessages...)
		if r.MustSync {
			sim.pendingWrites[i] = &r
			break
		}
		sim.persist(i, r)
	}
	sim.network = append(sim.network, sim.nodes[i].TakeEarlyMessages()...)
}

func (sim *simulation) persist(i int, r raft.Ready) {
	d := &sim.disks[i]
	if r.MustSync {
		d.HardState = r.HardState
		if len(r.Entries) > 0 {
			d.Entries = append(append([]raft.Entry(nil), d.Entries[:r.Entries[0].Index-1]...), r.Entries...)
		}
	}
	sim.network = append(sim.network, r.Messages...)
	for _, entry := range r.Committed {
		sim.applied[i]++
		if entry.Index == uint64(len(sim.history)+1) {
			sim.history = append(sim.history, entry)
		}
		expected := sim.history[entry.Index-1]
		if entry.Index != sim.applied[i] || expected.Term != entry.Term || string(expected.Data) != string(entry.Data) {
			panic(fmt.Sprintf("%s applies %v, where the first member applied %v", ids[i], entry, expected))
		}
	}
	sim.nodes[i].Advance(r)
}

func (sim *simulation) check() {
	for i, node := range sim.nodes {
		s := node.Status()
		if s.Role == raft.RoleLeader {
			if other, ok := sim.leaders[s.Term]; ok && other != i {
				panic(fmt.Sprintf("%s and %s lead term %d", ids[other], ids[i], s.Term))
			}
			sim.leaders[s.Term] = i
		}
		compareLogs(node.Entries(), sim.nodes[(i+1)%3].Entries())
	}
}

// fingerprint identifies the state, so that schedules that lead to the same state are continued only once. It covers
// everything on which the continuation depends, so that the order in which goroutines reach a state does not matter.
func (sim *simulation) fingerprint(deviationsLeft int) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, deviationsLeft, len(sim.schedule), sim.now, sim.scriptPosition, sim.leaders, sim.history)
	for i, node := range sim.nodes {
		fmt.Fprint(hash, node.Fingerprint(), sim.disks[i], sim.pendingWrites[i])
	}
	for _, m := range sim.network {
		fmt.Fprint(hash, m)
	}
	return hash.Sum64()
}

// search runs schedules. It is safe for concurrent use.
type search struct {
	mutex     sync.Mutex
	visited   map[uint64]bool
	schedules int
	committed int
}

// explore follows the default schedule from a state, and tries each deviation at each step.
func (s *search) explore(sim *simulation, deviationsLeft int) {
	for len(sim.schedule) < maxScheduleSteps {
		operations := sim.possibleOperations()
		if len(operations) == 0 {
			break
		}
		if deviationsLeft > 0 {
			s.deviate(sim, operations[1:], deviationsLeft-1)
		}
		sim.apply(operations[0])
	}
	s.mutex.Lock()
	s.schedules++
	s.committed += len(sim.history)
	s.mutex.Unlock()
}

func (s *search) deviate(sim *simulation, operations []operation, deviationsLeft int) {
	var group sync.WaitGroup
	for _, o := range operations {
		next := sim.clone()
		try := func() {
			next.apply(o)
			if s.markVisited(next.fingerprint(deviationsLeft)) {
				s.explore(next, deviationsLeft)
			}
		}
		if deviationsLeft < defaultDeviations-1 {
			try()
			continue
		}
		group.Go(try)
	}
	group.Wait()
}

func (s *search) markVisited(state uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.visited[state] {
		return false
	}
	s.visited[state] = true
	return true
}

// Guards against orders of messages, writes, crashes and elections that break safety and that random schedules miss.
func TestExhaustiveSchedules(t *testing.T) {
	deviations := defaultDeviations
	if text := os.Getenv(deviationsVariable); text != "" {
		var err error
		if deviations, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	s := &search{visited: map[uint64]bool{}}
	s.explore(newSimulation(), deviations)
	t.Logf("%d schedules with up to %d deviations, %d entries committed", s.schedules, deviations, s.committed)
	if s.schedules < 1000 || s.committed < s.schedules {
		t.Error("too few schedules or committed entries: the schedules hardly exercise the group")
	}
}
