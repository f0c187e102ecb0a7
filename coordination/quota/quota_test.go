package quota_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/quota"
	"sapphiregate.example/sapphiregate/internal/fixedseed"
)

func TestQuota(t *testing.T) {
	fixedseed.Set(t)
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

// The times of the simulation. A message takes one step, about the time between two zones.
const (
	step = 5 * time.Millisecond
	// maxWait is how long a request waits for the owner, and askTimeout how long a node does.
	maxWait     = 200 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	askInterval = 20 * time.Millisecond
	// confirmation is how long an owner that has lost contact with the other members goes on to lend, and election the
	// time until there is another leader.
	confirmation = 750 * time.Millisecond
	election     = time.Second
	// served is the least share of the requests below the limit that are let in.
	served = 0.95
)

var (
	begin  = time.Unix(1_000_000, 0)
	bounds = quota.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Allowance: 20}
)

// team is a team with its load: the requests per second that reach each node at a time.
type team struct {
	limit quota.Limit
	load  func(at time.Duration, node int) float64
}

// evenly spreads a rate over all nodes.
func evenly(rate float64, nodes int) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return rate / float64(nodes) }
}

type simulatedNode struct {
	holder  *quota.Holder
	waiting map[string][]time.Duration
	// request is in flight since sent; grants arrive at replyAt.
	request         *quota.Request
	sent, replyAt   time.Duration
	grants          []quota.Grant
	cut, frozenTill time.Duration
}

// simulation replays the load of teams on nodes that ask one owner, in steps.
type simulation struct {
	random *rand.Rand
	nodes  []*simulatedNode
	teams  map[string]*team
	now    time.Duration
	// owner lends; former still does for a while after another member was elected.
	owner, former         *quota.Book
	ownerFrom, formerTill time.Duration
	// credited is when an owner last opened its accounts with credit.
	credited       time.Duration
	asked, allowed map[string]int
	runs           map[string][]time.Duration
	asks           int
}

func newSimulation(seed int64, nodes int, teams map[string]*team) *simulation {
	s := &simulation{
		random: rand.New(rand.NewSource(seed)), teams: teams, asked: make(map[string]int), allowed: make(map[string]int),
		runs: make(map[string][]time.Duration),
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &simulatedNode{})
		s.restart(i)
	}
	s.owner = s.newOwner()
	// Idle since long before the load begins: as full as they get.
	s.owner.Open(begin.Add(-time.Minute), false)
	return s
}

func (s *simulation) time() time.Time { return begin.Add(s.now) }

func (s *simulation) limits() map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	for name, t := range s.teams {
		limits[name] = t.limit
	}
	return limits
}

func (s *simulation) newOwner() *quota.Book {
	book := quota.NewBook(bounds)
	book.SetLimits(s.time(), s.limits())
	book.Open(s.time(), s.now-s.credited >= bounds.Window)
	if s.now-s.credited >= bounds.Window {
		s.credited = s.now
	}
	return book
}

// restart replaces the process of a node.
func (s *simulation) restart(i int) {
	s.nodes[i].holder = quota.NewHolder(s.time(), bounds, fmt.Sprint("node-", i))
	s.nodes[i].holder.SetLimits(s.limits())
	s.nodes[i].holder.SetNodes(len(s.nodes))
	s.nodes[i].request, s.nodes[i].waiting = nil, make(map[string][]time.Duration)
}

// setLimit changes a team's limit at the owner and at the nodes that are in touch.
func (s *simulation) setLimit(name string, limit quota.Limit) {
	s.teams[name].limit = limit
	s.owner.SetLimits(s.time(), s.limits())
	for _, n := range s.nodes {
		if s.now >= n.cut {
			n.holder.SetLimits(s.limits())
		}
	}
}

// loseOwner lets another member take over. The former owner is either dead or goes on until its confirmation is too old.
func (s *simulation) loseOwner(alive bool) {
	s.former, s.formerTill = nil, 0
	if alive {
		s.former, s.formerTill = s.owner, s.now+election+confirmation
	}
	s.owner, s.ownerFrom = nil, s.now+election+confirmation
}

func (s *simulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; s.now += step {
		if s.owner == nil && s.now >= s.ownerFrom {
			s.owner = s.newOwner()
		}
		for i, n := range s.nodes {
			if s.now >= n.frozenTill {
				s.arrivals(i, n)
				s.exchange(n)
			}
		}
	}
}

func (s *simulation) arrivals(i int, n *simulatedNode) {
	for _, name := range slices.Sorted(mapKeys(s.teams)) {
		// Each arrival is drawn on its own: a load has a random number of requests in each step.
		for expected := s.teams[name].load(s.now, i) * step.Seconds(); expected > 0; expected-- {
			if s.random.Float64() >= expected {
				continue
			}
			s.asked[name]++
			switch n.holder.Take(s.time(), name).Verdict {
			case quota.Allowed:
				s.letIn(name)
			case quota.NeedsLease:
				n.waiting[name] = append(n.waiting[name], s.now)
			}
		}
	}
}

// isOwnerless reports whether the node reaches members that know of no owner.
func (s *simulation) isOwnerless(n *simulatedNode) bool {
	return s.now >= n.cut && s.owner == nil && (s.former == nil || s.now >= s.formerTill)
}

func (s *simulation) letIn(name string) {
	s.allowed[name]++
	s.runs[name] = append(s.runs[name], s.now)
}

// exchange delivers a reply, settles the requests that wait and sends the next request.
func (s *simulation) exchange(n *simulatedNode) {
	if n.request != nil && n.grants != nil && s.now >= n.replyAt && s.now >= n.cut {
		n.holder.Receive(s.time(), begin.Add(n.sent), n.grants)
		n.request = nil
	}
	if n.request != nil && s.now-n.sent > askTimeout {
		n.request = nil
	}
	counts := make(map[string]int)
	for _, name := range slices.Sorted(mapKeys(n.waiting)) {
		n.waiting[name] = slices.DeleteFunc(n.waiting[name], func(since time.Duration) bool {
			verdict := n.holder.Retake(s.time(), name).Verdict
			late := s.now-since > maxWait
			if verdict == quota.Allowed || verdict == quota.NeedsLease && late && n.holder.TakeReserve(s.time(), name, s.isOwnerless(n)) {
				s.letIn(name)
				return true
			}
			return verdict == quota.OverQuota || late
		})
		if len(n.waiting[name]) > 0 {
			counts[name] = len(n.waiting[name])
		}
	}
	if n.request != nil || len(counts) == 0 || s.now-n.sent < askInterval {
		return
	}
	request, _ := n.holder.Request(s.time(), counts)
	n.request, n.sent, n.grants, n.replyAt = request, s.now, nil, s.now+2*step
	s.asks++
	if s.now < n.cut {
		return
	}
	switch {
	case s.former != nil && s.now < s.formerTill:
		n.grants = s.former.Lend(s.time(), begin.Add(s.formerTill), request)
	case s.owner != nil:
		n.grants = s.owner.Lend(s.time(), s.time().Add(confirmation), request)
	}
}

// most returns the greatest number of a team's runs in a window that begins at from or later.
func (s *simulation) most(name string, from time.Duration) int {
	most, first := 0, 0
	runs := slices.DeleteFunc(slices.Clone(s.runs[name]), func(at time.Duration) bool { return at < from })
	for last, at := range runs {
		for at-runs[first] > bounds.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// share returns the share of a team's requests that were let in, of those that no longer wait.
func (s *simulation) share(name string) float64 {
	decided := s.asked[name]
	for _, n := range s.nodes {
		decided -= len(n.waiting[name])
	}
	return float64(s.allowed[name]) / float64(max(decided, 1))
}

func (s *simulation) expectWithin(name string, limit quota.Limit, from time.Duration) {
	GinkgoHelper()
	Expect(float64(s.most(name, from))).To(BeNumerically("<=", bounds.Most(limit)), "team %s", name)
}

func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

func limitOf(rate float64) quota.Limit { return quota.Limit{Rate: rate, Burst: rate} }

var _ = Describe("Quotas over all nodes", func() {
	const nodes = 65

	It("hold one team that sends 15 times its limit and refuse nobody else", func() {
		teams := map[string]*team{"hot": {limitOf(100), evenly(1500, nodes)}}
		for i, rate := range []float64{6, 20, 60, 200, 1000} {
			teams[fmt.Sprint("steady-", i)] = &team{limitOf(rate), evenly(0.9*rate, nodes)}
		}
		s := newSimulation(1, nodes, teams)
		s.run(15 * time.Second)
		for name, t := range teams {
			s.expectWithin(name, t.limit, 0)
			if name != "hot" {
				Expect(s.share(name)).To(BeNumerically(">=", served), name)
			}
		}
		Expect(float64(s.allowed["hot"])).To(BeNumerically(">=", served*100*15), "what the hot team may send is let in")
	})

	It("follow demand that moves from one zone to another within a second", func() {
		zoned := func(at time.Duration, node int) float64 {
			if int(at/time.Second)%4 != node%4 {
				return 0
			}
			return 0.9 * 100 / (nodes / 4)
		}
		s := newSimulation(2, nodes, map[string]*team{"moving": {limitOf(100), zoned}})
		s.run(15 * time.Second)
		s.expectWithin("moving", limitOf(100), 0)
		Expect(s.share("moving")).To(BeNumerically(">=", served))
	})

	It("hold while a quarter of the nodes is cut off for 8 s and the limit falls to a third", func() {
		s := newSimulation(3, nodes, map[string]*team{"hot": {limitOf(600), evenly(2400, nodes)}})
		s.run(6 * time.Second)
		for _, n := range s.nodes[:nodes/4] {
			n.cut = s.now + 8*time.Second
		}
		s.run(time.Second)
		s.setLimit("hot", limitOf(200))
		fell := s.now
		s.run(7 * time.Second)
		s.setLimit("hot", limitOf(200))
		s.run(8 * time.Second)
		s.expectWithin("hot", limitOf(600), 0)
		s.expectWithin("hot", limitOf(200), fell+bounds.Window)
	})

	It("hold in herds that restart", func() {
		s := newSimulation(4, nodes, map[string]*team{"hot": {limitOf(300), evenly(3000, nodes)}})
		for range 6 {
			s.run(1500 * time.Millisecond)
			for i := range nodes * 3 / 5 {
				s.restart(i)
			}
		}
		s.expectWithin("hot", limitOf(300), 0)
	})

	DescribeTable("hold when the owner is lost while it lends", func(alive bool) {
		s := newSimulation(5, nodes, map[string]*team{"hot": {limitOf(600), evenly(3000, nodes)}})
		s.run(7 * time.Second)
		s.loseOwner(alive)
		s.run(12 * time.Second)
		s.expectWithin("hot", limitOf(600), 0)
		Expect(len(slices.DeleteFunc(s.runs["hot"], func(at time.Duration) bool { return at < 9*time.Second }))).To(
			BeNumerically(">=", served*600*10), "the next owner lends all that may be sent")
	}, Entry("killed", false), Entry("cut off from the other members, but not from the nodes", true))

	It("hold when a node wakes from 5 s of suspension with a lease in its hand", func() {
		s := newSimulation(6, 4, map[string]*team{"hot": {limitOf(600), evenly(500, 4)}})
		s.run(2 * time.Second)
		s.nodes[0].frozenTill = s.now + 5*time.Second
		held := s.nodes[0].holder.Status(s.time())[0].InHand
		Expect(held).To(BeNumerically(">", 0))
		s.run(5 * time.Second)
		Expect(s.nodes[0].holder.Status(s.time())[0].InHand).To(BeZero())
		s.run(5 * time.Second)
		s.expectWithin("hot", limitOf(600), 0)
	})

	// Load: an election of 2 s at a usual load; a node that is cut off meanwhile has no word that nobody lends.
	DescribeTable("let a node go on at its former pace while there is no owner", func(ownerless bool, atLeast, atMost int) {
		holder := quota.NewHolder(begin, bounds, "a")
		holder.SetLimits(map[string]quota.Limit{"team": limitOf(1000)})
		holder.SetNodes(nodes)
		now := begin
		for range 50 {
			now = now.Add(100 * time.Millisecond)
			holder.Receive(now, now, []quota.Grant{{Team: "team", Lease: 1, Tokens: 2, Lifetime: time.Second}})
			Expect(holder.Take(now, "team").Verdict).To(Equal(quota.Allowed))
			Expect(holder.Take(now, "team").Verdict).To(Equal(quota.Allowed))
		}
		now = now.Add(time.Second)
		letIn := 0
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			if holder.TakeReserve(now, "team", ownerless) {
				letIn++
			}
		}
		Expect(letIn).To(And(BeNumerically(">=", atLeast), BeNumerically("<=", atMost)))
	},
		// 20 requests a second for 2 s; a reserve of 1.2 requests.
		Entry("if a member says so", true, 15, 26),
		Entry("not if it is cut off", false, 0, 1),
	)

	It("hold for drawn sequences of all of these", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(2, 24).Draw(t, "nodes")
			old := limitOf(rapid.Float64Range(1, 400).Draw(t, "rate"))
			old.Burst *= rapid.Float64Range(0, 2).Draw(t, "burst")
			load := old.Rate * rapid.Float64Range(0.2, 15).Draw(t, "load")
			s := newSimulation(rapid.Int64().Draw(t, "seed"), count, map[string]*team{"a": {old, evenly(load, count)}})
			limit, fell := old, time.Duration(0)
			for range rapid.IntRange(1, 8).Draw(t, "events") {
				s.run(time.Duration(rapid.IntRange(50, 3000).Draw(t, "pause_ms")) * time.Millisecond)
				node := rapid.IntRange(0, count-1).Draw(t, "node")
				switch rapid.IntRange(0, 5).Draw(t, "event") {
				case 0:
					s.restart(node)
				case 1:
					s.nodes[node].cut = s.now + 8*time.Second
				case 2:
					s.nodes[node].frozenTill = s.now + 5*time.Second
				case 3:
					s.loseOwner(rapid.Bool().Draw(t, "alive"))
				case 4:
					for i := range count * 3 / 5 {
						s.restart(i)
					}
				case 5:
					if s.owner != nil && fell == 0 {
						limit, fell = quota.Limit{Rate: old.Rate / 3, Burst: old.Burst / 3}, s.now
						s.setLimit("a", limit)
					}
				}
			}
			s.run(3 * time.Second)
			if most := float64(s.most("a", 0)); most > bounds.Most(old) {
				t.Fatalf("%g requests in a window, bound %g", most, bounds.Most(old))
			}
			// Nodes that were cut off for up to 8 s get the lower limit after that.
			if most := float64(s.most("a", fell+8*time.Second+bounds.Window)); fell > 0 && most > bounds.Most(limit) {
				t.Fatalf("%g requests in a window, lower bound %g", most, bounds.Most(limit))
			}
		})
	})

	It("let in at least 0.95 of what drawn teams ask below their limits while nothing fails", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(2, 65).Draw(t, "nodes")
			teams := make(map[string]*team)
			for i := range rapid.IntRange(1, 4).Draw(t, "teams") {
				limit := limitOf(rapid.Float64Range(5, 500).Draw(t, "rate"))
				load := limit.Rate * rapid.Float64Range(0.1, 0.95).Draw(t, "load")
				// All callers may be at a few of the nodes, and change them.
				wide := rapid.IntRange(1, count).Draw(t, "wide")
				moves := time.Duration(rapid.IntRange(300, 5000).Draw(t, "moves_ms")) * time.Millisecond
				teams[fmt.Sprint(i)] = &team{limit, func(at time.Duration, node int) float64 {
					if (node+int(at/moves)*wide)%count < wide {
						return load / float64(wide)
					}
					return 0
				}}
			}
			s := newSimulation(rapid.Int64().Draw(t, "seed"), count, teams)
			s.run(8 * time.Second)
			for name := range teams {
				if s.allowed[name] > 0 && s.share(name) < served {
					t.Fatalf("team %s: %d of %d let in", name, s.allowed[name], s.asked[name])
				}
			}
		})
	})
})
