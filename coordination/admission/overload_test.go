package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/state/bundle"
)

const (
	simSlots    = 10
	simDuration = 60 * time.Second
)

// stream is a Poisson process of calls with exponential service times. share is the offered part of the slots.
type stream struct {
	class    bundle.Class
	share    float64
	service  time.Duration
	deadline time.Duration
}

type simCall struct {
	stream  int
	service time.Duration
	expires time.Time
	counted bool // arrived early enough that its outcome falls into the run
}

type simEvent struct {
	at   time.Time
	kind byte // 'a' arrival, 'f' finish, 'e' expiry
	id   uint64
}

// server is what the simulation compares: the queue under test or the baseline.
type server interface {
	Offer(now time.Time, t admission.Ticket) admission.Verdict
	Finish(now time.Time, id uint64, service time.Duration) []admission.Decision
	Expire(now time.Time) []admission.Decision
	NextExpiry() (time.Time, bool)
}

// fifo is the baseline: one unbounded queue in order of arrival, without classes and deadlines.
type fifo struct {
	running int
	queue   []uint64
}

func (f *fifo) Offer(_ time.Time, t admission.Ticket) admission.Verdict {
	if f.running < simSlots {
		f.running++
		return admission.Verdict{Action: admission.Run}
	}
	f.queue = append(f.queue, t.ID)
	return admission.Verdict{Action: admission.Wait}
}

func (f *fifo) Finish(time.Time, uint64, time.Duration) []admission.Decision {
	if len(f.queue) == 0 {
		f.running--
		return nil
	}
	next := f.queue[0]
	f.queue = f.queue[1:]
	return []admission.Decision{{ID: next}}
}

func (f *fifo) Expire(time.Time) []admission.Decision { return nil }
func (f *fifo) NextExpiry() (time.Time, bool)         { return time.Time{}, false }

// figures are the result of one run: goodput by class as a share of the offered calls, and useful work as a share of
// the slots.
type figures struct {
	goodput map[bundle.Class]float64
	useful  float64
}

func (f figures) String() string {
	return fmt.Sprintf("irreversible %.3f  lookup %.3f  report %.3f  useful work %.3f",
		f.goodput[bundle.ClassIrreversible], f.goodput[bundle.ClassLookup], f.goodput[bundle.ClassReport], f.useful)
}

// simulate offers the streams to a server. A call that is still running at its deadline is cut off there, so the work
// on it is lost; the baseline knows no deadlines and runs it to its end.
func simulate(seed uint64, s server, streams []stream, cut bool) figures {
	rng := rand.New(rand.NewPCG(seed, 7))
	begin := time.Unix(1_000_000, 0)
	end := begin.Add(simDuration)
	calls := make(map[uint64]*simCall)
	offered, good := make([]int, len(streams)), make([]int, len(streams))
	var events []simEvent // the next one is the last
	push := func(at time.Time, kind byte, id uint64) {
		e := simEvent{at, kind, id}
		i, _ := slices.BinarySearchFunc(events, e, func(a, b simEvent) int { return b.at.Compare(a.at) })
		events = slices.Insert(events, i, e)
	}
	var useful time.Duration
	var nextID uint64
	var armed time.Time // time of the next expiry event
	arrive := func(stream int, now time.Time) {
		rate := streams[stream].share * simSlots / streams[stream].service.Seconds()
		nextID++
		at := now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		service := time.Duration(rng.ExpFloat64() * float64(streams[stream].service))
		calls[nextID] = &simCall{stream: stream, service: service, expires: at.Add(streams[stream].deadline)}
		push(at, 'a', nextID)
	}
	run := func(id uint64, now time.Time) {
		finish := now.Add(calls[id].service)
		if cut && finish.After(calls[id].expires) {
			finish = calls[id].expires
		}
		push(finish, 'f', id)
	}
	for i := range streams {
		arrive(i, begin)
	}
	for events[len(events)-1].at.Before(end) {
		event := events[len(events)-1]
		events = events[:len(events)-1]
		now := event.at
		var decisions []admission.Decision
		switch event.kind {
		case 'a':
			c := calls[event.id]
			arrive(c.stream, now)
			if c.counted = c.expires.Before(end); c.counted {
				offered[c.stream]++
			}
			ticket := admission.Ticket{ID: event.id, Class: streams[c.stream].class, Deadline: c.expires}
			if s.Offer(now, ticket).Action == admission.Run {
				run(event.id, now)
			}
			if at, ok := s.NextExpiry(); ok && (at.Before(armed) || !armed.After(now)) {
				armed = later(at, now)
				push(armed, 'e', 0)
			}
		case 'f':
			c := calls[event.id]
			if now.Before(c.expires) {
				useful += c.service
				if c.counted {
					good[c.stream]++
				}
			}
			delete(calls, event.id)
			decisions = s.Finish(now, event.id, c.service)
		case 'e':
			decisions = s.Expire(now)
		}
		for _, d := range decisions {
			if d.Verdict.Action == admission.Run {
				run(d.ID, now)
			}
		}
	}
	result := figures{goodput: make(map[bundle.Class]float64)}
	for i, stream := range streams {
		result.goodput[stream.class] = float64(good[i]) / float64(offered[i])
	}
	result.useful = useful.Seconds() / (simDuration.Seconds() * simSlots)
	return result
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// load offers shares of the slots. Deadlines are a multiple of the mean service time.
func load(irreversible, lookup, report float64, deadline time.Duration) []stream {
	of := func(class bundle.Class, share float64, service time.Duration) stream {
		return stream{class, share, service, deadline * service}
	}
	return []stream{
		of(bundle.ClassIrreversible, irreversible, 20*time.Millisecond),
		of(bundle.ClassLookup, lookup, 10*time.Millisecond),
		of(bundle.ClassReport, report, 40*time.Millisecond),
	}
}

var _ = Describe("Overload", func() {
	// The targets of the design page: goodput of the first two classes and useful work of at least 0.95.
	const target = 0.95

	DescribeTable("keeps goodput where plain FIFO loses it", func(streams []stream, lookups bool) {
		for seed := range uint64(5) {
			queue, baseline := compare(seed, streams)
			Expect(queue.goodput[bundle.ClassIrreversible]).To(BeNumerically(">=", target))
			if lookups {
				Expect(queue.goodput[bundle.ClassLookup]).To(BeNumerically(">=", target))
			}
			Expect(queue.useful).To(BeNumerically(">=", target))
			Expect(baseline.useful).To(BeNumerically("<", 0.5), "the load must be one that needs admission control")
		}
	},
		Entry("lookups and irreversible calls 0.9, reports 1.1", load(0.15, 0.75, 1.1, 25), true),
		Entry("lookups alone doubled, 0.375 to 0.75, reports 0.55", load(0.1, 0.75, 0.55, 25), true),
		// The lookups alone exceed the slots, so only the useful work can meet the target.
		Entry("lookups alone doubled, 0.75 to 1.5", load(0.15, 1.5, 0.1, 25), false),
		Entry("the first load with deadlines of 12 service times", load(0.15, 0.75, 1.1, 12), true),
		Entry("the first load with deadlines of 8 service times", load(0.15, 0.75, 1.1, 8), true),
	)

	It("loses calls but does not collapse with deadlines of 5 service times", func() {
		queue, baseline := compare(0, load(0.15, 0.75, 1.1, 5))
		Expect(queue.useful).To(BeNumerically(">", 10*baseline.useful))
		Expect(queue.goodput[bundle.ClassIrreversible]).To(BeNumerically(">=", target))
	})
})

func compare(seed uint64, streams []stream) (queue, baseline figures) {
	queue = simulate(seed, admission.New(admission.Config{Slots: simSlots}), streams, true)
	baseline = simulate(seed, &fifo{}, streams, false)
	GinkgoWriter.Printf("seed %d  queue: %v\n        fifo:  %v\n", seed, queue, baseline)
	return queue, baseline
}
