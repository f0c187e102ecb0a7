package rollout_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/rollout"
	"sapphiregate.example/sapphiregate/state/release"
)

func TestRollout(t *testing.T) {
	// A fixed seed makes every run generate the same cases.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

const (
	tick     = 50 * time.Millisecond
	reports  = 400 * time.Millisecond
	duration = 16 * time.Second
	joined   = 3 * time.Second // when the upstreams of the release begin to serve
	// transit is the time from a decision until all nodes follow it.
	transit = 200 * time.Millisecond
)

// call is one call that an upstream runs.
type call struct {
	upstream int
	newer    bool
	route    string
	at       time.Duration
	// load is the load of the upstream in relation to the mean of the older ones without a rollout.
	load float64
}

// replay runs a rollout against a service whose calls behave as a function says, without a network.
type replay struct {
	upstreams int // of each release
	perSecond float64
	rate      func(at time.Duration) float64 // factor of perSecond; nil means 1
	behave    func(c call, random *rand.Rand) (failed bool, factor float64)
	// leaderChanges are the times at which another member becomes the leader; silent reports whether no report arrives.
	leaderChanges []time.Duration
	silent        func(at time.Duration) bool
	noUpstreams   bool

	random          *rand.Rand
	started         time.Time
	judges          []*rollout.Judge
	leader          int
	state           release.Rollout
	pending         []release.Rollout
	pendingAt       []time.Duration
	counted         map[string]*release.Results
	newer, all, bad float64
	afterEnd        float64
	endedAt         time.Duration
}

func (r *replay) run(seed int64) {
	r.random = rand.New(rand.NewSource(seed))
	r.started = time.Unix(1_000_000, 0)
	r.state = release.Rollout{
		Service: "desk", Release: "v2", State: release.Running, DurationMs: duration.Milliseconds(), Started: 1, Revision: 1,
	}
	r.counted = make(map[string]*release.Results)
	for range 3 {
		r.judges = append(r.judges, rollout.New(rollout.Config{}))
	}
	visible := r.state // what the nodes follow
	for at := time.Duration(0); at < duration; at += tick {
		for len(r.pending) > 0 && at >= r.pendingAt[0] {
			visible, r.pending, r.pendingAt = r.pending[0], r.pending[1:], r.pendingAt[1:]
		}
		r.serve(at, visible)
		for len(r.leaderChanges) > 0 && at >= r.leaderChanges[0] {
			r.leader, r.leaderChanges = (r.leader+1)%len(r.judges), r.leaderChanges[1:]
		}
		r.decide(at)
	}
}

// serve runs the calls of one tick and delivers the reports that are due.
func (r *replay) serve(at time.Duration, visible release.Rollout) {
	perTick := r.perSecond * tick.Seconds()
	if r.rate != nil {
		perTick *= r.rate(at)
	}
	share := float64(visible.Share) / release.FullShare
	focused := r.upstreams
	if share < 1 {
		focused = min(max(int(math.Ceil(share/(1-share)*float64(r.upstreams)-0.25)), 1), r.upstreams)
	}
	for range int(perTick + r.random.Float64()) {
		c := call{at: at, route: []string{"lookup", "lookup", "lookup", "entry"}[r.random.Intn(4)], upstream: r.random.Intn(r.upstreams), load: 1 - share}
		if c.newer = r.random.Float64() < share; c.newer {
			c.upstream = (visible.Focus*focused + r.random.Intn(focused)) % r.upstreams
			c.load = share * float64(r.upstreams) / float64(focused)
		}
		r.count(c)
	}
	if at%reports != 0 || r.silent != nil && r.silent(at) {
		return
	}
	for i := range r.upstreams {
		r.report(at, i, false)
		if at >= joined && !r.noUpstreams {
			r.report(at, i, true)
		}
	}
}

func (r *replay) results(i int, newer bool) *release.Results {
	name := map[bool]string{false: "v1", true: "v2"}[newer]
	node := fmt.Sprint(name, "-", i)
	if r.counted[node] == nil {
		r.counted[node] = &release.Results{
			Node: node, Incarnation: 1, Service: "desk", Release: name,
			Routes: []release.RouteResults{{Route: "lookup"}, {Route: "entry"}},
		}
	}
	return r.counted[node]
}

func (r *replay) count(c call) {
	failed, factor := r.behave(c, r.random)
	results := r.results(c.upstream, c.newer)
	route := &results.Routes[map[string]int{"lookup": 0, "entry": 1}[c.route]]
	r.all++
	route.Calls++
	if c.newer {
		r.newer++
		if r.state.State == release.RolledBack {
			r.afterEnd++
		}
	}
	if failed {
		route.Failures++
		if c.newer {
			r.bad++
		}
		return
	}
	base := map[string]float64{"lookup": 80_000, "entry": 20_000}[c.route]
	route.AddTime(time.Duration(base*factor*(0.5+r.random.Float64())) * time.Microsecond)
}

func (r *replay) report(at time.Duration, i int, newer bool) {
	results := r.results(i, newer)
	results.Sequence++
	sent := *results
	sent.Routes = slices.Clone(results.Routes)
	for i := range sent.Routes {
		sent.Routes[i].Times = slices.Clone(sent.Routes[i].Times)
	}
	for _, judge := range r.judges {
		judge.Observe(r.started.Add(at), sent)
	}
}

func (r *replay) decide(at time.Duration) {
	now := r.started.Add(at)
	for i, judge := range r.judges {
		judge.Retain(now, []release.Rollout{r.state})
		s := rollout.Situation{Rollout: r.state, Elapsed: at, Older: r.upstreams}
		if at >= joined && !r.noUpstreams {
			s.Newer = r.upstreams
		}
		d, ok := judge.Decide(now, s)
		if !ok || i != r.leader || r.state.State != release.Running {
			continue
		}
		r.state.State, r.state.Share, r.state.Focus, r.state.Reason = d.State, d.Share, d.Focus, d.Reason
		r.state.Revision++
		r.pending, r.pendingAt = append(r.pending, r.state), append(r.pendingAt, at+transit)
		if d.State != release.Running {
			r.endedAt = at
		}
	}
}

// exposure returns the calls that the release got beyond 10% of all, without the allowance of 50.
func (r *replay) exposure() float64 { return r.newer - 0.1*r.all }

func sound(call, *rand.Rand) (bool, float64) { return false, 1 }

var seeds = []int64{1, 2, 3, 4, 5}

var _ = Describe("a judge", func() {
	// Guards against each kind of bad release, and against exposing callers to it for longer than promised.
	DescribeTable("rolls a bad release back", func(behave func(c call, random *rand.Rand) (bool, float64)) {
		for _, seed := range seeds {
			r := &replay{upstreams: 10, perSecond: 600, behave: behave}
			r.run(seed)
			Expect(r.state.State).To(Equal(release.RolledBack), "seed %d: %s", seed, r.state.Reason)
			Expect(r.exposure()).To(BeNumerically("<=", 50), "seed %d", seed)
			Expect(r.endedAt).To(BeNumerically("<", duration))
			Expect(r.afterEnd).To(BeNumerically("<=", 200), "only during the transit of the verdict")
		}
	},
		Entry("that fails half of its calls", func(c call, random *rand.Rand) (bool, float64) {
			return c.newer && random.Float64() < 0.5, 1
		}),
		Entry("that fails a third of its calls while all fail some", func(c call, random *rand.Rand) (bool, float64) {
			return random.Float64() < 0.05 || c.newer && random.Float64() < 0.33, 1
		}),
		Entry("that is slow", func(c call, _ *rand.Rand) (bool, float64) {
			if c.newer {
				return false, 8
			}
			return false, 1
		}),
		Entry("that is three times slower for half of its calls", func(c call, random *rand.Rand) (bool, float64) {
			if c.newer && random.Float64() < 0.5 {
				return false, 3
			}
			return false, 1
		}),
		Entry("that fails on one route only", func(c call, random *rand.Rand) (bool, float64) {
			return c.newer && c.route == "entry" && random.Float64() < 0.4, 1
		}),
		Entry("that turns bad late", func(c call, random *rand.Rand) (bool, float64) {
			return c.newer && c.at > joined+3200*time.Millisecond && random.Float64() < 0.4, 1
		}),
		Entry("that fails under the usual load", func(c call, random *rand.Rand) (bool, float64) {
			return c.newer && c.load > 0.7 && random.Float64() < 0.5, 1
		}),
	)

	// Guards against taking for a fault of the release what befalls the whole service, or one upstream.
	DescribeTable("completes a good release", func(behave func(c call, random *rand.Rand) (bool, float64), rate func(time.Duration) float64) {
		for _, seed := range seeds {
			r := &replay{upstreams: 10, perSecond: 600, behave: behave, rate: rate}
			r.run(seed)
			Expect(r.state.State).To(Equal(release.Completed), "seed %d: %s", seed, r.state.Reason)
			Expect(r.endedAt).To(BeNumerically("<", 15*time.Second))
		}
	},
		Entry("on a quiet day", sound, nil),
		Entry("beside a burst that fails many calls of both", func(c call, random *rand.Rand) (bool, float64) {
			return c.at > 5*time.Second && c.at < 9*time.Second && random.Float64() < 0.4, 1
		}, func(at time.Duration) float64 {
			if at > 5*time.Second && at < 9*time.Second {
				return 3
			}
			return 1
		}),
		Entry("beside an overload under which its few upstreams fail more than the others", func(c call, random *rand.Rand) (bool, float64) {
			if c.at < 5*time.Second || c.at > 9*time.Second {
				return false, 1
			}
			return random.Float64() < 0.44 || c.newer && random.Float64() < 0.35, 1
		}, nil),
		Entry("in a slow time of both", func(c call, _ *rand.Rand) (bool, float64) {
			if c.at > 4*time.Second && c.at < 12*time.Second {
				return false, 6
			}
			return false, 1
		}, nil),
		Entry("with an upstream that fails half of its calls", func(c call, random *rand.Rand) (bool, float64) {
			return c.newer && c.upstream == 1 && random.Float64() < 0.5, 1
		}, nil),
		Entry("that takes a third longer while it has its first share", func(c call, _ *rand.Rand) (bool, float64) {
			if c.newer && c.at < 9*time.Second {
				return false, 1.35
			}
			return false, 1
		}, nil),
		Entry("with few calls", sound, func(time.Duration) float64 { return 0.05 }),
	)

	// Guards against a new leader that forgets what the former one knew, and decides without evidence.
	It("decides the same under leaders that change at each step", func() {
		for _, at := range []time.Duration{0, 3100, 4700, 6000, 8900, 10200, 11500, 12000} {
			changes := []time.Duration{at * time.Millisecond, at*time.Millisecond + 500*time.Millisecond}
			good := &replay{upstreams: 6, perSecond: 400, behave: sound, leaderChanges: changes}
			good.run(int64(at))
			Expect(good.state.State).To(Equal(release.Completed), "change at %d ms: %s", at, good.state.Reason)
			bad := &replay{upstreams: 6, perSecond: 400, leaderChanges: changes, behave: func(c call, random *rand.Rand) (bool, float64) {
				return c.newer && c.at > 6*time.Second && random.Float64() < 0.5, 1
			}}
			bad.run(int64(at))
			Expect(bad.state.State).To(Equal(release.RolledBack), "change at %d ms: %s", at, bad.state.Reason)
			Expect(bad.exposure()).To(BeNumerically("<=", 50))
		}
	})

	// Guards against a member that ends because of one node's report.
	It("survives reports that make no sense", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			judge, now := rollout.New(rollout.Config{}), time.Unix(1000, 0)
			state := release.Rollout{Service: "desk", Release: "v2", State: release.Running, Started: 1, DurationMs: 16000}
			judge.Retain(now, []release.Rollout{state})
			for range 30 {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passed")) * time.Millisecond)
				judge.Observe(now, release.Results{
					Node: rapid.SampledFrom([]string{"", "n1", "n2"}).Draw(t, "node"), Service: "desk",
					Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence"),
					Release: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "release"), InFlight: rapid.Int().Draw(t, "in flight"),
					Routes: []release.RouteResults{{
						Calls: rapid.Uint64().Draw(t, "calls"), Failures: rapid.Uint64().Draw(t, "failures"),
						Timed: rapid.Uint64().Draw(t, "timed"), Times: rapid.SliceOfN(rapid.Uint64(), 0, 50).Draw(t, "times"),
					}},
				})
				state.Share = rapid.IntRange(0, release.FullShare).Draw(t, "share")
				judge.Decide(now, rollout.Situation{Rollout: state, Elapsed: 9 * time.Second, Newer: 2, Older: 2})
				judge.Evidence(now, "desk")
			}
		})
	})

	DescribeTable("never completes a release without evidence", func(r *replay) {
		r.upstreams, r.behave = 4, sound
		r.run(1)
		Expect(r.state.State).To(Equal(release.RolledBack))
		Expect(strings.Contains(r.state.Reason, "not enough evidence")).To(BeTrue(), r.state.Reason)
		Expect(r.endedAt).To(BeNumerically("<", duration))
	},
		Entry("whose upstreams never come", &replay{perSecond: 200, noUpstreams: true}),
		Entry("whose service gets no calls", &replay{perSecond: 0}),
		Entry("of which no report arrives", &replay{perSecond: 200, silent: func(time.Duration) bool { return true }}),
	)
})
