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

// stream is a Poisson process of calls of one class with exponential service times.
type stream struct {
	class    bundle.Class
	share    float64       // offered load as a share of the slots
	service  time.Duration // mean service time
	deadline time.Duration // after arrival
}

type simCall struct {
	stream  int
	service time.Duration
	expires time.Time
	counted bool // its deadline lies within the run
}

type simEvent struct {
	at   time.Time
	kind byte // 'a' for arrival, 'f' for finish, 'e' for expiry
	id   uint64
}

// server is the admission control that is simulated: the queue under test or the baseline.
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

// figures are the result of one run.
type figures struct {
	goodput map[bundle.Class]float64 // calls finished before their deadline, as a share of the offered calls
	useful  float64                  // time spent on such calls, as a share of the time of all slots
}

func (f figures) String() string {
	return fmt.Sprintf("irreversible %.3f  lookup %.3f  report %.3f  useful work %.3f",
		f.goodput[bundle.ClassIrreversible], f.goodput[bundle.ClassLookup], f.goodput[bundle.ClassReport], f.useful)
}

// simulate offers the streams to a server. With stopAtDeadline, a call that still runs at its deadline is stopped, and
// the work on it is lost; otherwise it runs to its end.
func simulate(seed uint64, s server, streams []stream, stopAtDeadline bool) figures {
	rng := rand.New(rand.NewPCG(seed, 7))
	begin := time.Unix(1_000_000, 0)
	end := begin.Add(simDuration)
	calls := make(map[uint64]*simCall)
	offered, good := make([]int, len(streams)), make([]int, len(streams))
	var events []simEvent // latest first: the last element is the next event
	push := func(at time.Time, kind byte, id uint64) {
		e := simEvent{at, kind, id}
		i, _ := slices.BinarySearchFunc(events, e, func(a, b simEvent) int { return b.at.Compare(a.at) })
		events = slices.Insert(events, i, e)
	}
	var useful time.Duration
	var nextID uint64
	var nextExpiry time.Time // time of the next expiry event
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
		if stopAtDeadline && finish.After(calls[id].expires) {
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
			if at, ok := s.NextExpiry(); ok && (at.Before(nextExpiry) || !nextExpiry.After(now)) {
				nextExpiry = later(at, now)
				push(nextExpiry, 'e', 0)
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

// load returns a stream for each class. The loads are shares of the slots; deadlineFactor is the ratio of the deadline
// to the mean service time.
func load(irreversible, lookup, report float64, deadlineFactor time.Duration) []stream {
	newStream := func(class bundle.Class, share float64, service time.Duration) stream {
		return stream{class, share, service, deadlineFactor * service}
	}
	return []stream{
		newStream(bundle.ClassIrreversible, irreversible, 20*time.Millisecond),
		newStream(bundle.ClassLookup, lookup, 10*time.Millisecond),
		newStream(bundle.ClassReport, report, 40*time.Millisecond),
	}
}

var _ = Describe("Overload", func() {
	// Goodput of irreversible calls and lookups, and useful work, must reach this share.
	const target = 0.95

	// Guards against overload collapse: a plain FIFO queue makes every call wait until near its deadline, so that most
	// of the work is on calls that finish late.
	DescribeTable("keeps goodput under a load that collapses plain FIFO", func(streams []stream, lookupsFit bool) {
		for seed := range uint64(5) {
			queue, baseline := compare(seed, streams)
			Expect(queue.goodput[bundle.ClassIrreversible]).To(BeNumerically(">=", target))
			if lookupsFit {
				Expect(queue.goodput[bundle.ClassLookup]).To(BeNumerically(">=", target))
			}
			Expect(queue.useful).To(BeNumerically(">=", target))
			Expect(baseline.useful).To(BeNumerically("<", 0.5), "the load must be too much for plain FIFO")
		}
	},
		Entry("lookups and irreversible calls 0.9, reports 1.1", load(0.15, 0.75, 1.1, 25), true),
		Entry("lookups doubled from 0.375 to 0.75, reports 0.55", load(0.1, 0.75, 0.55, 25), true),
		// The lookups alone exceed the slots, so their goodput cannot reach the target.
		Entry("lookups doubled from 0.75 to 1.5", load(0.15, 1.5, 0.1, 25), false),
		Entry("the first load with deadlines of 12 service times", load(0.15, 0.75, 1.1, 12), true),
		Entry("the first load with deadlines of 8 service times", load(0.15, 0.75, 1.1, 8), true),
	)

	It("loses calls but does not collapse with deadlines of 5 service times", func() {
		queue, baseline := compare(0, load(0.15, 0.75, 1.1, 5))
		Expect(queue.useful).To(BeNumerically(">", 10*baseline.useful))
		Expect(queue.goodput[bundle.ClassIrreversible]).To(BeNumerically(">=", target))
	})
})

// compare simulates the queue under test and the FIFO baseline with the same calls.
func compare(seed uint64, streams []stream) (queue, baseline figures) {
	queue = simulate(seed, admission.New(admission.Config{Slots: simSlots}), streams, true)
	baseline = simulate(seed, &fifo{}, streams, false)
	GinkgoWriter.Printf("seed %d  queue: %v\n        fifo:  %v\n", seed, queue, baseline)
	return queue, baseline
}
