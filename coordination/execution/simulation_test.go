package execution_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"sapphiregate.example/sapphiregate/coordination/execution"
	"sapphiregate.example/sapphiregate/state/ledger"
)

// injectedFaults selects faults of the system under test that the checks of the simulation must detect.
type injectedFaults struct {
	// runOnClaimed makes executors run calls whose claim belongs to another attempt.
	runOnClaimed bool
	// notRunOnDeadline makes executors report a call as not run if it was written and its deadline then passed.
	notRunOnDeadline bool
	// staleReplica makes the ledger serve some commands from a second copy of the state that lacks other commands.
	staleReplica bool
}

const (
	simNodes    = 3
	simKeys     = 2
	simAttempts = 4 // per key
	simDuration = 5 * time.Second
)

type scheduledEvent struct {
	at time.Duration
	do func()
}

// node is an executor. A crash is a new incarnation, which does not continue the calls of the earlier one.
type node struct {
	id          string
	incarnation uint64
	clock       time.Duration // offset of the node's clock from the time of the simulation
	attempts    uint64
}

// call is one attempt of a caller at a node.
type call struct {
	*execution.StateMachine
	node        *node
	incarnation uint64
	claim       ledger.Claim
	reply       *execution.Reply
	slotsFreed  int
	admitted    bool
	ranUpstream bool // the upstream ran the call
	noResponse  bool // the request was written to the upstream, which failed without a response
}

// nodeRunning reports whether the node has not crashed since the call arrived.
func (c *call) nodeRunning() bool { return c.incarnation == c.node.incarnation }

// simulation runs callers, executors and upstreams against a ledger service that loses, repeats and delays messages.
type simulation struct {
	rng         *rand.Rand
	faults      injectedFaults
	now         time.Duration
	queue       []scheduledEvent // sorted by time, the earliest last
	ledger      *ledger.Ledger
	staleLedger *ledger.Ledger
	nodes       []*node
	calls       []*call
	runs        map[string]int
	history     []porcupine.Operation
	lossy       bool
}

var epoch = time.Unix(1_800_000_000, 0)

func newSimulation(seed uint64, f injectedFaults) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), faults: f, runs: make(map[string]int), lossy: true,
		ledger: ledger.New(ledger.Config{}), staleLedger: ledger.New(ledger.Config{}),
	}
	for i := range simNodes {
		skew := time.Duration(s.rng.IntN(4000)-2000) * time.Second
		s.nodes = append(s.nodes, &node{id: fmt.Sprintf("node-%d", i), incarnation: 1, clock: skew})
	}
	for key := range simKeys {
		for range simAttempts {
			s.after(s.random(2*time.Second), func() { s.submit(fmt.Sprintf("key-%d", key)) })
		}
	}
	for range s.rng.IntN(4) {
		s.after(s.random(3*time.Second), func() { s.nodes[s.rng.IntN(simNodes)].incarnation++ })
	}
	return s
}

func (s *simulation) run() {
	s.after(simDuration, func() { s.lossy = false })
	for len(s.queue) > 0 {
		next := s.queue[len(s.queue)-1]
		s.queue = s.queue[:len(s.queue)-1]
		s.now = next.at
		next.do()
	}
}

func (s *simulation) random(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *simulation) chance(percent int) bool { return s.lossy && s.rng.IntN(100) < percent }

func (s *simulation) after(delay time.Duration, do func()) {
	e := scheduledEvent{at: s.now + delay, do: do}
	i, _ := slices.BinarySearchFunc(s.queue, e, func(a, b scheduledEvent) int { return cmp.Compare(b.at, a.at) })
	s.queue = slices.Insert(s.queue, i, e)
}

func (s *simulation) submit(key string) {
	n := s.nodes[s.rng.IntN(simNodes)]
	n.attempts++
	c := &call{node: n, incarnation: n.incarnation, claim: ledger.Claim{
		Key: key, Route: "promote", RequestDigest: [32]byte{1},
		Executor: n.id, Incarnation: n.incarnation, Attempt: n.attempts,
	}}
	deadline := s.clock(n).Add(200*time.Millisecond + s.random(2*time.Second))
	c.StateMachine = execution.New(execution.Config{Claim: c.claim, Deadline: deadline})
	s.calls = append(s.calls, c)
	s.after(s.random(100*time.Millisecond), func() {
		c.admitted = true
		s.input(c, func() []execution.Output { return c.Admitted(s.clock(n)) })
	})
	if s.rng.IntN(5) == 0 {
		s.after(s.random(time.Second), func() {
			s.input(c, func() []execution.Output { return c.CallerGone(s.clock(n)) })
		})
	}
}

func (s *simulation) clock(n *node) time.Time { return epoch.Add(s.now + n.clock) }

// input passes an input to the state machine of a call and carries out the outputs, unless the node has crashed.
func (s *simulation) input(c *call, feed func() []execution.Output) {
	if !c.nodeRunning() {
		return
	}
	for _, output := range feed() {
		s.carryOut(c, output)
	}
	if wake, ok := c.Wake(); ok {
		s.after(max(0, wake.Sub(s.clock(c.node))), func() {
			if due, ok := c.Wake(); ok && !due.After(s.clock(c.node)) {
				s.input(c, func() []execution.Output { return c.Tick(s.clock(c.node)) })
			}
		})
	}
}

func (s *simulation) carryOut(c *call, output execution.Output) {
	now := func() time.Time { return s.clock(c.node) }
	switch o := output.(type) {
	case execution.SendClaim:
		if s.chance(10) {
			s.input(c, func() []execution.Output { return c.ClaimRefused(now()) })
			return
		}
		s.send(c, ledger.Command{Claim: &o.Claim}, func(r ledger.Result) []execution.Output {
			if s.faults.runOnClaimed && r.Status == ledger.Claimed {
				r.Status = ledger.Granted
			}
			return c.ClaimResult(now(), r)
		})
	case execution.SendQuery:
		s.send(c, ledger.Command{Query: &o.Query}, func(r ledger.Result) []execution.Output { return c.QueryResult(now(), r) })
	case execution.SendRecord:
		s.send(c, ledger.Command{Record: &o.Record}, func(r ledger.Result) []execution.Output { return c.RecordAck(now(), r) })
	case execution.SendRelease:
		s.send(c, ledger.Command{Release: &o.Release}, func(r ledger.Result) []execution.Output { return c.ReleaseAck(now(), r) })
	case execution.RunUpstream:
		s.after(s.random(50*time.Millisecond), func() { s.upstream(c) })
	case execution.Reply:
		if s.faults.notRunOnDeadline && o.Reason == execution.ReasonDeadline {
			o.Outcome = execution.OutcomeNotRun
		}
		c.reply = &o
	case execution.FreeSlot:
		c.slotsFreed++
	}
}

// upstream writes the call to the upstream, which may run it, refuse it or fail. A crash of the node does not stop the
// upstream.
func (s *simulation) upstream(c *call) {
	now := func() time.Time { return s.clock(c.node) }
	failed := func() []execution.Output { return c.UpstreamFailed(now()) }
	if !c.nodeRunning() {
		return
	}
	if s.rng.IntN(10) == 0 || !c.BeginWrite(now()) {
		s.input(c, failed)
		return
	}
	delay := s.random(time.Second)
	switch kind := s.rng.IntN(10); kind {
	case 0:
		s.after(delay, func() { s.input(c, func() []execution.Output { return c.UpstreamRefused(now()) }) })
	case 1, 2:
		c.noResponse = true
		if kind == 1 {
			s.recordRun(c)
		}
		s.after(delay, func() { s.input(c, failed) })
	default:
		s.recordRun(c)
		response := ledger.Response{Status: 201, Body: []byte(fmt.Sprint(c.claim.Executor, c.claim.Incarnation, c.claim.Attempt))}
		s.after(delay, func() {
			s.input(c, func() []execution.Output { return c.UpstreamResponse(now(), response) })
		})
	}
}

func (s *simulation) recordRun(c *call) {
	c.ranUpstream = true
	s.runs[c.claim.Key]++
}

// send sends one or two copies of a command to the ledger and delivers at most one result.
func (s *simulation) send(c *call, command ledger.Command, deliver func(ledger.Result) []execution.Output) {
	s.transmit(command, func(r ledger.Result, returned func()) {
		s.after(s.random(200*time.Millisecond), func() {
			if c.nodeRunning() {
				returned()
				s.input(c, func() []execution.Output { return deliver(r) })
			}
		})
	})
	if s.chance(10) {
		s.transmit(command, func(ledger.Result, func()) {})
	}
}

// transmit applies one copy of a command, unless it is lost, and records it in the history. A copy whose result is not
// delivered has no end in the history, so that it may take effect at any later time.
func (s *simulation) transmit(command ledger.Command, receive func(r ledger.Result, returned func())) {
	index := len(s.history)
	s.history = append(s.history, porcupine.Operation{
		ClientId: index, Input: command, Call: int64(s.now), Output: ledger.Result{Status: unknownStatus}, Return: 1 << 62,
	})
	if s.chance(15) {
		return
	}
	s.after(s.random(300*time.Millisecond), func() {
		// The leaders' clocks differ by up to 20 minutes.
		command.NowMs = epoch.Add(s.now).UnixMilli() + int64(s.rng.IntN(3)-1)*20*60_000
		result := s.ledger.Apply(command)
		if s.faults.staleReplica && s.rng.IntN(3) == 0 {
			result = s.staleLedger.Apply(command)
		}
		if s.chance(15) {
			return
		}
		receive(result, func() { s.history[index].Output, s.history[index].Return = result, int64(s.now) })
	})
}
