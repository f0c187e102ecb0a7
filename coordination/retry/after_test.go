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

	overload := func(load balance.Load) retry.Refusal { return retry.Refusal{Cause: retry.CauseOverload, Load: load} }

	// Guards against the callers of one burst retrying all at the same moment.
	It("returns the time until a slot is free, spread around it", func() {
		Expect(retry.After(overload(full), 0)).To(Equal(75 * time.Millisecond))
		Expect(retry.After(overload(full), 0.5)).To(Equal(100 * time.Millisecond))
		Expect(retry.After(overload(full), 1)).To(Equal(125 * time.Millisecond))
	})

	// Guards against callers that wait although a retry may succeed at once, and against times beyond their deadline.
	It("bounds the time", func() {
		Expect(retry.After(retry.Refusal{Cause: retry.CauseTransient, Load: full}, 0.5)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(retry.After(overload(balance.Load{}), 0.5)).To(BeNumerically(">", 0))
		full.LatencyMicros = 1_000_000_000
		Expect(retry.After(overload(full), 0.5)).To(BeNumerically("<=", time.Second))
	})

	// Guards against late callers who come back at once and take the slots of those who can still be served in time.
	It("sends a caller who will be late away for up to a third of the time that it waits", func() {
		refusal := overload(balance.Load{InFlight: 9, Queued: 17, Slots: 9, LatencyMicros: 900_000})
		refusal.UntilTarget, refusal.Patience = -10*time.Millisecond, 3*time.Second
		Expect(retry.After(refusal, 0)).To(Equal(time.Second))
		Expect(retry.After(refusal, 1)).To(Equal(600 * time.Millisecond))
		refusal.UntilTarget = 2 * time.Second
		Expect(retry.After(refusal, 0.5)).To(Equal(100 * time.Millisecond))
	})
})
