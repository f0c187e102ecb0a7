package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/pace"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pace")
}

const (
	slots    = 9
	expected = 100 * time.Millisecond
	warmup   = 3 * time.Second
	step     = 10 * time.Millisecond
)

// replay keeps an upstream under full load, and returns the limit after each step. serviceTime returns the time of a call
// that starts the given time after the start of the upstream, beside the given number of calls.
func replay(p *pace.Pacer, length time.Duration, serviceTime func(since time.Duration, running int) time.Duration) []int {
	start := time.Unix(1_000_000, 0)
	p.Begin(start, slots, warmup)
	type call struct{ began, ends time.Duration }
	var running []call
	var limits []int
	for at := time.Duration(0); at < length; at += step {
		var rest []call
		for _, c := range running {
			if c.ends > at {
				rest = append(rest, c)
				continue
			}
			p.Observe(start.Add(at), start.Add(c.began), expected, c.ends-c.began)
		}
		for running = rest; len(running) < p.Limit(slots); {
			running = append(running, call{at, at + serviceTime(at, len(running)+1)})
		}
		limits = append(limits, p.Limit(slots))
	}
	return limits
}

// reached returns the time after which the limit has the given value.
func reached(limits []int, limit int) time.Duration {
	for i, l := range limits {
		if l >= limit {
			return time.Duration(i) * step
		}
	}
	return time.Hour
}

var _ = Describe("Pacer", func() {
	var pacer *pace.Pacer
	BeforeEach(func() { pacer = &pace.Pacer{} })

	// Replays a start in which each call takes twice as long, whatever runs beside it: fewer calls would not be faster.
	It("gives an upstream that is only slow its slots within a second, and ends when it is warm", func() {
		limits := replay(pacer, warmup-500*time.Millisecond, func(time.Duration, int) time.Duration { return 2 * expected })
		Expect(limits[0]).To(Equal(slots / 3))
		Expect(reached(limits, slots)).To(BeNumerically("<=", time.Second))
		Expect(pacer.Active()).To(BeTrue(), "it is still slow")
		Expect(pacer.Speed()).To(BeNumerically("~", 0.5, 0.05))
		replay(pacer, time.Second, func(time.Duration, int) time.Duration { return expected })
		Expect(pacer.Active()).To(BeFalse(), "it responds as the others do, before the time that it announced")
	})

	// Replays a cold upstream that slows down with each call beside the first three, until it is warm.
	It("holds back an upstream that its calls slow down, and lets it grow once it is warm", func() {
		limits := replay(pacer, 5*time.Second, func(since time.Duration, running int) time.Duration {
			if since >= warmup {
				return expected
			}
			return 2*expected + time.Duration(max(0, running-3))*expected
		})
		held := 0
		for _, l := range limits[:int(warmup/step)] {
			if l < slots {
				held++
			}
		}
		Expect(held).To(BeNumerically(">", int(warmup/step)*2/3), "fewer calls than slots for most of the warm-up")
		Expect(limits[len(limits)-1]).To(Equal(slots))
		Expect(pacer.Active()).To(BeFalse())
	})

	// Replays an upstream that announces a warm-up and is warm, as after a restart that kept its caches.
	It("ends the pace of a warm upstream after a few rounds", func() {
		limits := replay(pacer, time.Second, func(time.Duration, int) time.Duration { return expected })
		Expect(reached(limits, slots)).To(BeNumerically("<=", 500*time.Millisecond))
		Expect(pacer.Active()).To(BeFalse())
	})

	// Replays a machine of half the speed, which never gets as fast as its peers.
	It("ends the pace of an upstream that stays slow at twice the announced time", func() {
		replay(pacer, 2*warmup+time.Second, func(time.Duration, int) time.Duration { return 2 * expected })
		Expect(pacer.Active()).To(BeFalse())
	})

	It("does not limit an upstream that has announced no warm-up", func() {
		Expect(pacer.Limit(slots)).To(Equal(slots))
		Expect(pacer.Observe(time.Unix(1, 0), time.Unix(1, 0), expected, expected)).To(BeFalse())
	})
})

// Guards against a slow start of a warm upstream because the node beside it has started anew.
var _ = DescribeTable("Warm", func(started time.Duration, warm bool) {
	now := time.Unix(1_000_000, 0)
	begun := time.Time{}
	if started > 0 {
		begun = now.Add(-started)
	}
	Expect(pace.Warm(now, begun)).To(Equal(warm))
},
	Entry("the upstream has run for long", time.Minute, true),
	Entry("it has just started", time.Second, false),
	Entry("its start is not known", time.Duration(0), false),
)
