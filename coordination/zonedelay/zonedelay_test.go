package zonedelay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/zonedelay"
)

func TestZoneDelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "zonedelay")
}

var _ = Describe("Estimator", func() {
	start := time.Unix(1000, 0)
	var random *rand.Rand

	// observe replays calls for a time: the link has the given delay with jitter, and every other call waits at its
	// executor.
	observe := func(e *zonedelay.Estimator, from time.Time, length, delay time.Duration) (changes int) {
		for at := from; at.Before(from.Add(length)); at = at.Add(50 * time.Millisecond) {
			jitter := time.Duration(random.Int64N(int64(delay)/3 + 1))
			wait := time.Duration(random.IntN(2)) * time.Duration(random.Int64N(int64(80*time.Millisecond)))
			if e.Observe(at, "b", 2*delay+jitter+wait+60*time.Millisecond, 60*time.Millisecond) {
				changes++
			}
		}
		return changes
	}

	BeforeEach(func() { random = rand.New(rand.NewPCG(1, 2)) })

	DescribeTable("finds the delay of a link from calls that also wait", func(delay time.Duration) {
		e := zonedelay.New(func(string) time.Duration { return 4 * time.Millisecond })
		observe(e, start, 5*time.Second, delay)
		Expect(e.Delay("b")).To(BeNumerically("~", delay, delay/10))
		Expect(e.Delay("c")).To(Equal(4*time.Millisecond), "a zone without a reply keeps its initial delay")
	},
		Entry("1 ms", time.Millisecond), Entry("5.4 ms", 5400*time.Microsecond), Entry("12 ms", 12*time.Millisecond),
	)

	It("follows a delay that grows, within two windows", func() {
		e := zonedelay.New(nil)
		observe(e, start, 30*time.Second, 4*time.Millisecond)
		observe(e, start.Add(30*time.Second), 21*time.Second, 10*time.Millisecond)
		Expect(e.Delay("b")).To(BeNumerically("~", 10*time.Millisecond, time.Millisecond))
	})

	It("reports few changes, so that the balancer is seldom updated", func() {
		e := zonedelay.New(nil)
		Expect(observe(e, start, time.Minute, 5*time.Millisecond)).To(BeNumerically("<=", 4))
	})
})
