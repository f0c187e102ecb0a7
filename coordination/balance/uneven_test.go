package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/speed"
)

// timeline runs functions in the order of their times.
type timeline struct {
	now    time.Duration
	events eventHeap
}

type event struct {
	at time.Duration
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (t *timeline) after(delay time.Duration, do func()) {
	heap.Push(&t.events, event{t.now + delay, do})
}

func (t *timeline) run() {
	for len(t.events) > 0 {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.do()
	}
}

// unevenFleet is a service whose upstreams differ in speed, with an ingress beside each of them.
type unevenFleet struct {
	upstreams int
	slots     int
	load      float64                               // offered load as a share of the summed speed
	change    func(i int, at time.Duration) float64 // factor on the speed of an upstream; nil if it does not change
	lie       func(i int) int                       // speed in percent that an upstream's node reports; nil if it reports the measured one
	silentAt  time.Duration                         // time from which on load reports stop; 0 if they do not
	calls     int
}

// unevenSpeeds are the speeds of the upstreams, in turn.
var unevenSpeeds = []float64{0.6, 1, 1.6}

const (
	unevenService = 200 * time.Millisecond
	unevenDelay   = 500 * time.Microsecond
)

type unevenUpstream struct {
	index, running int
	queue          []func()
	meter          speed.Meter
	latency        time.Duration // running mean, as in package admission
}

// unevenResult holds the waiting times, sorted, and the calls that each upstream served.
type unevenResult struct {
	waits  []time.Duration
	served []int
}

func (r unevenResult) p99() time.Duration { return r.waits[len(r.waits)*99/100] }

func (f unevenFleet) speedOf(i int, at time.Duration) float64 {
	s := unevenSpeeds[i%len(unevenSpeeds)]
	if f.change != nil {
		s *= f.change(i, at)
	}
	return s
}

// arrivals calls the function for each call at its time.
func (f unevenFleet) arrivals(t *timeline, random *rand.Rand, call func()) {
	sum := 0.0
	for i := range f.upstreams {
		sum += f.speedOf(i, 0) * float64(f.slots)
	}
	rate := f.load * sum / unevenService.Seconds()
	started := 0
	var arrive func()
	arrive = func() {
		call()
		if started++; started < f.calls {
			t.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	arrive()
	t.run()
}

// sharedQueue returns the waiting times if all upstreams took their calls from one queue.
func (f unevenFleet) sharedQueue() unevenResult {
	t, random := &timeline{}, rand.New(rand.NewPCG(5, 6))
	var queue []func(i int)
	free := make([]int, f.upstreams)
	result := unevenResult{served: make([]int, f.upstreams)}
	for i := range free {
		free[i] = f.slots
	}
	fastestFree := func() int {
		best := -1
		for i := range free {
			if free[i] > 0 && (best < 0 || f.speedOf(i, t.now) > f.speedOf(best, t.now)) {
				best = i
			}
		}
		return best
	}
	f.arrivals(t, random, func() {
		arrived := t.now
		start := func(i int) {
			result.waits = append(result.waits, t.now-arrived)
			result.served[i]++
			free[i]--
			t.after(time.Duration(random.ExpFloat64()*float64(unevenService)/f.speedOf(i, t.now)), func() {
				free[i]++
				if len(queue) > 0 {
					next := queue[0]
					queue = queue[1:]
					next(i)
				}
			})
		}
		if i := fastestFree(); i >= 0 {
			start(i)
			return
		}
		queue = append(queue, start)
	})
	slices.Sort(result.waits)
	return result
}

// balanced returns the waiting times if each ingress places its calls by its own balancer.
func (f unevenFleet) balanced() unevenResult {
	t, random := &timeline{}, rand.New(rand.NewPCG(5, 6))
	result := unevenResult{served: make([]int, f.upstreams)}
	upstreams := make(map[string]*unevenUpstream)
	var table []balance.Endpoint
	for i := range f.upstreams {
		id := fmt.Sprintf("u-%d", i)
		upstreams[id] = &unevenUpstream{index: i, latency: unevenService}
		table = append(table, balance.Endpoint{ID: id, Zone: "a", Service: "rank", Slots: f.slots})
	}
	var balancers []*balance.Balancer
	for i := range f.upstreams {
		b := balance.New(balance.Config{ID: table[i].ID, Zone: "a"})
		b.Update(start, table, nil)
		balancers = append(balancers, b)
	}
	at := func() time.Time { return start.Add(t.now) }
	f.arrivals(t, random, func() {
		arrived, b := t.now, balancers[random.IntN(len(balancers))]
		request := balance.Request{Service: "rank", Route: "lookup", TargetRemaining: 4 * unevenService, Rand: random}
		var returnedBy []balance.Candidate
		finish := func(u *unevenUpstream, target balance.Target, took time.Duration, outcome balance.Outcome) balance.Load {
			load := balance.Load{InFlight: u.running, Queued: len(u.queue), Slots: f.slots, LatencyMicros: u.latency.Microseconds()}
			load.Speed = int(100 * u.meter.Speed())
			if f.lie != nil {
				load.Speed = f.lie(u.index)
			}
			report := balance.Report{Outcome: outcome, Route: "lookup", ServiceTime: took, Latency: took, Load: &load}
			if f.silentAt > 0 && t.now >= f.silentAt {
				report.Load = nil
			}
			t.after(unevenDelay, func() { b.Done(at(), target, report) })
			return load
		}
		mayReturn := b.MayReturn(request)
		var send func(target balance.Target)
		send = func(target balance.Target) {
			t.after(unevenDelay, func() {
				u := upstreams[target.ID]
				busy := u.running >= f.slots
				if len(returnedBy) > 0 && mayReturn {
					b.ReturnEnded("rank", !busy)
				}
				if busy && mayReturn {
					load := finish(u, target, 0, balance.Refused)
					t.after(2*unevenDelay, func() {
						returnedBy = append(returnedBy, balance.Candidate{Target: target, Load: load})
						request.Exclude = append(request.Exclude, target.ID)
						next, asked := b.PickNext(at(), request, returnedBy, len(returnedBy) < 2)
						mayReturn = len(returnedBy) < 2 && !asked
						send(next)
					})
					return
				}
				run := func() {
					u.running++
					result.waits = append(result.waits, t.now-arrived)
					result.served[u.index]++
					took := time.Duration(random.ExpFloat64() * float64(unevenService) / f.speedOf(u.index, t.now))
					t.after(took, func() {
						u.running--
						u.latency += (took - u.latency) / 8
						u.meter.Observe(balancers[u.index].RouteServiceTime("rank", "lookup"), took)
						finish(u, target, took, balance.Completed)
						if len(u.queue) > 0 {
							next := u.queue[0]
							u.queue = u.queue[1:]
							next()
						}
					})
				}
				if busy {
					u.queue = append(u.queue, run)
					return
				}
				run()
			})
		}
		target, err := b.Pick(at(), request)
		Expect(err).NotTo(HaveOccurred())
		send(target)
	})
	slices.Sort(result.waits)
	return result
}

var _ = Describe("Uneven upstreams", func() {
	// Replays machines of one service that differ in speed by almost 3, at 0.8 of their summed speed.
	It("wait at p99 at most 1.5 times as long as with one queue for all", func() {
		fleet := unevenFleet{upstreams: 6, slots: 4, load: 0.8, calls: 30_000}
		shared, balanced := fleet.sharedQueue(), fleet.balanced()
		GinkgoWriter.Printf("p99 of the wait: one queue %v, balanced %v; served %v\n", shared.p99(), balanced.p99(), balanced.served)
		Expect(balanced.p99()).To(BeNumerically("<=", shared.p99()*3/2))
	})

	It("get work in proportion to their speed", func() {
		fleet := unevenFleet{upstreams: 12, slots: 9, load: 0.8, calls: 30_000}
		served := fleet.balanced().served
		GinkgoWriter.Printf("served %v\n", served)
		for i := range served {
			share := float64(served[i]) / float64(fleet.calls) * float64(len(served))
			Expect(share).To(BeNumerically("~", unevenSpeeds[i%3]/(3.2/3), 0.25), "upstream %d of %v", i, served)
		}
	})

	// Replays an upstream that slows down to a third within a second: calls must not pile up there.
	It("do not collect calls at one whose speed falls to a third", func() {
		fleet := unevenFleet{upstreams: 12, slots: 9, load: 0.7, calls: 30_000, change: func(i int, at time.Duration) float64 {
			if i == 2 && at > 5*time.Second {
				return 1.0 / 3
			}
			return 1
		}}
		Expect(fleet.balanced().p99()).To(BeNumerically("<", unevenService))
	})

	// Replays a node that reports ten times or a tenth of the speed of its upstream.
	DescribeTable("neither gain all nor lose all calls by a wrong report", func(percent int) {
		fleet := unevenFleet{upstreams: 12, slots: 9, load: 0.7, calls: 20_000, lie: func(i int) int {
			if i == 1 {
				return percent
			}
			return 100
		}}
		result := fleet.balanced()
		mean := float64(fleet.calls) / float64(fleet.upstreams)
		Expect(float64(result.served[1])).To(BeNumerically(">", mean/10))
		Expect(float64(result.served[1])).To(BeNumerically("<", 3*mean))
	}, Entry("far too fast", 1000), Entry("far too slow", 10))

	// Replays nodes whose load reports stop, while calls still end.
	It("keep the shares of their last known speeds when reports stop", func() {
		fleet := unevenFleet{upstreams: 12, slots: 9, load: 0.7, calls: 30_000, silentAt: 10 * time.Second}
		served := fleet.balanced().served
		Expect(served[2]).To(BeNumerically(">", 3*served[0]/2), "of %v", served)
	})
})

// Guards against giving a slow upstream the share of a fast one because the node beside it has restarted.
var _ = It("keeps the speed of an upstream whose node has restarted until that has measured anew", func() {
	h := newHarness(balance.ChoiceOfTwo, endpointsIn("a", 2))
	h.runCalls(40, func(t balance.Target) balance.Report {
		return balance.Report{Latency: 5 * time.Millisecond, Load: &balance.Load{Slots: 10, Speed: map[string]int{"a-0": 50, "a-1": 150}[t.ID]}}
	})
	table := endpointsIn("a", 2)
	table[0].Incarnation = 2
	h.Update(h.now, table, nil)
	Expect(h.Status(h.now)[0].Speed).To(Equal(0.5))
})

// Guards against a release under judgement that gets more than its share because busy upstreams of the older one return calls.
var _ = It("sends no returned call to a release that is being rolled out", func() {
	table := endpointsIn("a", 4)
	for i := range table {
		table[i].Release = map[bool]string{true: "v2", false: "v1"}[i >= 2]
	}
	h := newHarness(balance.ChoiceOfTwo, nil)
	h.SetReleaseRules(map[string]balance.ReleaseRule{"rank": {Release: "v2", Share: 0.1}})
	h.Update(h.now, table, nil)
	for range 50 {
		request := h.request
		first := h.pick()
		request.Exclude = []string{first.ID}
		returned := []balance.Candidate{{Target: first, Load: balance.Load{InFlight: 10, Slots: 10}}}
		next, _ := h.PickNext(h.now, request, returned, true)
		Expect(next.ID).To(Or(Equal("a-0"), Equal("a-1")))
	}
})
