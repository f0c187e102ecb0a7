package release_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/release"
)

func TestRelease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "release")
}

var _ = Describe("the results of a route", func() {
	It("count times in buckets, two for each doubling", func() {
		for _, d := range []time.Duration{math.MinInt64, -1, 0, time.Millisecond} {
			Expect(release.TimeBucket(d)).To(Equal(0))
		}
		for d := 2 * time.Millisecond; d < time.Minute; d *= 2 {
			Expect(release.TimeBucket(2*d) - release.TimeBucket(d)).To(Equal(2))
		}
		Expect(release.TimeBucket(math.MaxInt64)).To(Equal(release.TimeBuckets - 1))
		var r release.RouteResults
		r.AddTime(3 * time.Millisecond)
		r.AddTime(time.Millisecond)
		Expect(r.Timed).To(Equal(uint64(2)))
		Expect(r.TimeMicros).To(Equal(uint64(4000)))
		Expect(r.Times).To(HaveLen(release.TimeBucket(3*time.Millisecond) + 1))
	})
})
