package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/retry"
)

var _ = Describe("Returns", func() {
	const patience = 1500 * time.Millisecond
	var (
		now     time.Time
		returns *retry.Returns
	)
	BeforeEach(func() { now, returns = time.Unix(1_000_000, 0), &retry.Returns{} })

	It("tells for how long a caller who comes back has been trying", func() {
		for range 20 {
			Expect(returns.Elapsed(now, patience)).To(BeZero())
		}
		Expect(returns.Elapsed(now, patience-400*time.Millisecond)).To(Equal(400 * time.Millisecond))
	})

	It("takes requests that lost a few milliseconds on their way for new ones", func() {
		for range 20 {
			returns.Elapsed(now, patience)
		}
		Expect(returns.Elapsed(now, patience-20*time.Millisecond)).To(BeZero())
	})

	It("tells nothing where callers differ in their patience", func() {
		for i := range 200 {
			given := patience * time.Duration(1+i%50) / 50
			elapsed := returns.Elapsed(now, given)
			if i > 100 {
				Expect(elapsed).To(BeZero())
			}
		}
	})

	It("still recognises them while two of three requests come back", func() {
		for i := range 300 {
			elapsed := returns.Elapsed(now, patience-time.Duration(i%3)*300*time.Millisecond)
			if i > 100 {
				Expect(elapsed).To(Equal(time.Duration(i%3) * 300 * time.Millisecond))
			}
		}
	})

	It("forgets a patience that callers no longer have", func() {
		returns.Elapsed(now, 10*patience)
		for range 100 {
			now = now.Add(250 * time.Millisecond)
			returns.Elapsed(now, patience)
		}
		Expect(returns.Elapsed(now, patience)).To(BeZero())
		Expect(returns.Elapsed(now, patience/2)).To(Equal(patience / 2))
	})
})
