package speed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/speed"
)

func TestSpeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "speed")
}

const mean = 100 * time.Millisecond

// observe adds calls of two routes with exponential service times to a meter.
func observe(m *speed.Meter, random *rand.Rand, calls int, actual float64) {
	for i := range calls {
		expected := mean * time.Duration(1+3*(i%2))
		m.Observe(expected, time.Duration(random.ExpFloat64()*float64(expected)/actual))
	}
}

var _ = Describe("Meter", func() {
	// Replays machines that differ in speed by almost 3, with calls of a short and a long route.
	DescribeTable("finds the speed of an upstream", func(actual float64) {
		var m speed.Meter
		random := rand.New(rand.NewPCG(1, 2))
		observe(&m, random, 400, actual)
		Expect(m.Speed()).To(BeNumerically("~", actual, actual*0.2))
	}, Entry("slow", 0.6), Entry("mean", 1.0), Entry("fast", 1.6))

	// Replays an upstream that becomes three times slower within a second.
	It("follows a change of the speed", func() {
		var m speed.Meter
		random := rand.New(rand.NewPCG(1, 2))
		observe(&m, random, 400, 1)
		observe(&m, random, 400, 1.0/3)
		Expect(m.Speed()).To(BeNumerically("<", 0.45))
	})

	It("assumes the mean speed without calls, and of calls that cannot be compared", func() {
		var m speed.Meter
		m.Observe(0, mean)
		Expect(m.Speed()).To(Equal(1.0))
		Expect(m.Calls()).To(BeZero())
	})
})

var _ = Describe("Moment", func() {
	now := time.Unix(1_000_000, 0)

	// Replays an instance that is 2.5 times slower for some tenths of a second at a time.
	It("is slow while the upstream states so, and no longer than the statement is true", func() {
		var m speed.Moment
		for range 20 {
			m.Observe(now, 100)
		}
		m.Observe(now, 250)
		Expect(m.Slow(now.Add(100 * time.Millisecond))).To(BeTrue())
		Expect(m.Slow(now.Add(time.Second))).To(BeFalse())
		m.Observe(now.Add(time.Second), 100)
		Expect(m.Slow(now.Add(time.Second))).To(BeFalse())
	})

	// Replays an upstream that always states a figure that is far too high or too low.
	DescribeTable("gains and loses nothing by a false figure", func(percent int) {
		var m speed.Moment
		for range 20 {
			m.Observe(now, percent)
		}
		Expect(m.Slow(now)).To(BeFalse())
		Expect(m.Slowdown(now)).To(BeNumerically("~", 1, 0.01))
	}, Entry("high", 100_000), Entry("low", 1), Entry("none", 0))
})
