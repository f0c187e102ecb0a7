package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/retry"
)

var _ = Describe("After", func() {
	full := balance.Load{InFlight: 9, Queued: 17, Slots: 9, LatencyMicros: 90_000}

	// Guards against callers of one burst that all return at one moment.
	It("tells the callers of a full queue to return when it is empty, spread around that time", func() {
		Expect(retry.After(retry.CauseOverload, full, 0)).To(Equal(135 * time.Millisecond))
		Expect(retry.After(retry.CauseOverload, full, 0.5)).To(Equal(180 * time.Millisecond))
		Expect(retry.After(retry.CauseOverload, full, 1)).To(Equal(225 * time.Millisecond))
	})

	// Guards against callers that wait although the next try may succeed at once, and against waits beyond their deadline.
	It("bounds the wait", func() {
		Expect(retry.After(retry.CauseTransient, full, 0.5)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(retry.After(retry.CauseOverload, balance.Load{}, 0.5)).To(BeNumerically(">", 0))
		full.Queued = 10_000
		Expect(retry.After(retry.CauseOverload, full, 0.5)).To(BeNumerically("<=", time.Second))
	})
})
