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

// The exhaustive check runs every schedule that differs from a default schedule in at most a number of steps. The
// default finishes writes first, then delivers messages in order, then follows the script. A deviation delivers another
// message, loses or duplicates one, crashes a member (which loses its unfinished write), starts an election or takes the
// next step of the script early.
const (
	maxScheduleSteps  = 42
	defaultDeviations = 2
	// deviationsVariable raises the number of deviations, for runs outside of CI.
	deviationsVariable = "SAPPHIREGATE_RAFT_DEVIATIONS"
)

type operation struct {
	kind   byte // 'e' election, 'p' propose, 'h' heartbeat, 'w' finish write, 'd' deliver, 'x' lose, '2' duplicate, 'c' crash
	target int  // member, or position in the network
}

var script = []operation{{'e', 0}, {'p', 0}, {'e', 1}, {'p', 0}, {'h', 0}, {'e', 2}, {'p', 0}, {'h', 0}}

type world struct {
	now      time.Time
	nodes    [3]*raft.Node
	disks    [3]raft.Restored
	writing  [3]*raft.Ready
	applied  [3]uint64
	network  []raft.Message
	position int
	proposed byte
	leaders  map[uint64]int
	history  []raft.Entry
	path     []operation
}

var ids = []raft.MemberID{"a", "b", "c"}

func newWorld() *world {
	w := &world{now: time.Unix(1000, 0), leaders: map[uint64]int{}}
	for i := range w.nodes {
		w.disks[i].Membership = voters(ids...)
		w.start(i)
	}
	// The first election and the entry that it commits have no deviations; the later elections have.
	for w.position == 0 || len(w.network) > 0 {
		w.apply(w.options()[0])
	}
	w.path = nil
	return w
}

func (w *world) clone() *world {
	c := *w
	for i, node := range w.nodes {
		c.nodes[i] = node.Clone()
	}
	c.network = slices.Clone(w.network)
	c.leaders = maps.Clone(w.leaders)
	c.history = slices.Clone(w.history)
	c.path = slices.Clone(w.path)
	return &c
}

// zeros replaces randomness, which only affects timeouts here. Seeding a real source took a fifth of the run.
type zeros struct{}

func (zeros) Int63() int64 { return 0 }
func (zeros) Seed(int64)   {}

func (w *world) start(i int) {
	node, err := raft.New(w.now, raft.Config{ID: ids[i], Rand: rand.New(zeros{})}, w.disks[i])
	must(err)
	w.nodes[i], w.writing[i], w.applied[i] = node, nil, 0
}

// options lists the operations that are possible; the first one is the default.
func (w *world) options() []operation {
	var list []operation
	for i, r := range w.writing {
		if r != nil {
			list = append(list, operation{'w', i})
		}
	}
	for i := range min(len(w.network), 5) {
		list = append(list, operation{'d', i})
	}
	if w.position < len(script) {
		list = append(list, script[w.position])
	}
	if len(list) == 0 {
		return nil
	}
	if len(w.network) > 0 {
		list = append(list, operation{'x', 0}, operation{'2', 0})
	}
	for i := range ids {
		list = append(list, operation{'c', i}, operation{'e', i})
	}
	return list
}

func (w *world) apply(o operation) {
	w.path = append(w.path, o)
	defer func() {
		if failure := recover(); failure != nil {
			panic(fmt.Sprintf("%v\nschedule: %v", failure, w.path))
		}
	}()
	if w.position < len(script) && o == script[w.position] {
		w.position++
	}
	switch o.kind {
	case 'w':
		r := *w.writing[o.target]
		w.writing[o.target] = nil
		w.persist(o.target, r)
	case 'd', '2':
		m := w.network[o.target]
		if o.kind == 'd' {
			w.network = slices.Delete(w.network, o.target, o.target+1)
		}
		must(w.nodes[m.To[0]-'a'].Step(w.now, m))
	case 'x':
		w.network = w.network[1:]
	case 'c':
		w.start(o.target)
	case 'e':
		// All leases lapse, but only one member notices.
		w.now = w.now.Add(2 * time.Second)
		w.nodes[o.target].Tick(w.now)
	case 'p', 'h':
		w.lead(o.kind)
	}
	for i := range w.nodes {
		w.settle(i)
	}
	w.check()
}

// lead proposes at every leader, or makes it start a heartbeat round.
func (w *world) lead(kind byte) {
	w.now = w.now.Add(200 * time.Millisecond)
	for _, node := range w.nodes {
		if node.Status().Role != raft.RoleLeader {
			continue
		}
		if kind == 'h' {
			node.Tick(w.now)
			continue
		}
		w.proposed++
		_, _, err := node.Propose(w.now, []byte{w.proposed})
		must(err)
	}
}

// settle takes Ready until a write is outstanding.
func (w *world) settle(i int) {
	for w.writing[i] == nil && w.nodes[i].HasReady() {
		r := w.nodes[i].Ready()
		w.network = append(w.network, r.EarlyMessages...)
		if r.MustSync {
			w.writing[i] = &r
			break
		}
		w.persist(i, r)
	}
	w.network = append(w.network, w.nodes[i].TakeEarlyMessages()...)
}

func (w *world) persist(i int, r raft.Ready) {
	d := &w.disks[i]
	if r.MustSync {
		d.HardState = r.HardState
		if len(r.Entries) > 0 {
			d.Entries = append(append([]raft.Entry(nil), d.Entries[:r.Entries[0].Index-1]...), r.Entries...)
		}
	}
	w.network = append(w.network, r.Messages...)
	for _, entry := range r.Committed {
		w.applied[i]++
		if entry.Index == uint64(len(w.history)+1) {
			w.history = append(w.history, entry)
		}
		held := w.history[entry.Index-1]
		if entry.Index != w.applied[i] || held.Term != entry.Term || string(held.Data) != string(entry.Data) {
			panic(fmt.Sprintf("%s applies %v after %v", ids[i], entry, held))
		}
	}
	w.nodes[i].Advance(r)
}

func (w *world) check() {
	for i, node := range w.nodes {
		s := node.Status()
		if s.Role == raft.RoleLeader {
			if other, ok := w.leaders[s.Term]; ok && other != i {
				panic(fmt.Sprintf("%s and %s lead term %d", ids[other], ids[i], s.Term))
			}
			w.leaders[s.Term] = i
		}
		compareLogs(node.Entries(), w.nodes[(i+1)%3].Entries())
	}
}

// fingerprint identifies the state, so that schedules that meet in it are continued once. It covers everything that
// decides the continuation, so that the order in which goroutines find a state does not matter.
func (w *world) fingerprint(left int) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, left, len(w.path), w.now, w.position, w.leaders, w.history)
	for i, node := range w.nodes {
		fmt.Fprint(hash, node.Fingerprint(), w.disks[i], w.writing[i])
	}
	for _, m := range w.network {
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

// explore follows the default from a state, and tries each deviation on the way.
func (s *search) explore(w *world, left int) {
	for len(w.path) < maxScheduleSteps {
		options := w.options()
		if len(options) == 0 {
			break
		}
		if left > 0 {
			s.deviate(w, options[1:], left-1)
		}
		w.apply(options[0])
	}
	s.mutex.Lock()
	s.schedules++
	s.committed += len(w.history)
	s.mutex.Unlock()
}

func (s *search) deviate(w *world, options []operation, left int) {
	var group sync.WaitGroup
	for _, o := range options {
		next := w.clone()
		try := func() {
			next.apply(o)
			if s.visit(next.fingerprint(left)) {
				s.explore(next, left)
			}
		}
		if left < defaultDeviations-1 {
			try()
			continue
		}
		group.Go(try)
	}
	group.Wait()
}

func (s *search) visit(state uint64) bool {
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
	s.explore(newWorld(), deviations)
	t.Logf("%d schedules with up to %d deviations, %d entries committed", s.schedules, deviations, s.committed)
	if s.schedules < 1000 || s.committed < s.schedules {
		t.Error("the schedules hardly exercise the group")
	}
}
