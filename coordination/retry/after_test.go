package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/retry"
)

var _ = Describe("After", func() {
	full := balance.Load{InFlight: 9, Queued: 17, Slots: 9, LatencyMicros: 900_000}

	// Guards against the callers of one burst retrying all at the same moment.
	It("returns the time until a slot is free, spread around it", func() {
		Expect(retry.After(retry.CauseOverload, full, 0)).To(Equal(75 * time.Millisecond))
		Expect(retry.After(retry.CauseOverload, full, 0.5)).To(Equal(100 * time.Millisecond))
		Expect(retry.After(retry.CauseOverload, full, 1)).To(Equal(125 * time.Millisecond))
	})

	// Guards against callers that wait although a retry may succeed at once, and against times beyond their deadline.
	It("bounds the time", func() {
		Expect(retry.After(retry.CauseTransient, full, 0.5)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(retry.After(retry.CauseOverload, balance.Load{}, 0.5)).To(BeNumerically(">", 0))
		full.LatencyMicros = 1_000_000_000
		Expect(retry.After(retry.CauseOverload, full, 0.5)).To(BeNumerically("<=", time.Second))
	})
})
