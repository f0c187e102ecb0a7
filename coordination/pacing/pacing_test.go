package pacing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/pacing"
)

func TestPacing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pacing")
}

var _ = Describe("Link", func() {
	const chunk, size = 16 << 10, 90 << 10
	start := time.Unix(1000, 0)

	// Replays exports of 90 KB at 1.5 times the rate of a link of 15 Mbit/s for 10 s. Without pacing, the queue of the link
	// grows by half a second each second, and every other response waits in it.
	It("carries as many downloads as its share allows, in time, and never queues more than a chunk of each", func() {
		link := pacing.NewLink(15)
		const within = 600 * time.Millisecond
		sent, refused := 0, 0
		lastEnd := start
		for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(32 * time.Millisecond) {
			response, ok := link.Admit(at, size, within)
			if !ok {
				refused++
				continue
			}
			now := at
			for left := size; left > 0; left -= chunk {
				bytes := min(left, chunk)
				now = now.Add(response.Schedule(now, bytes))
				lastEnd = now.Add(time.Duration(bytes) * time.Second / (15e6 / 8))
			}
			response.Done()
			Expect(lastEnd.Sub(at)).To(BeNumerically("<=", within+50*time.Millisecond))
			sent++
		}
		carried := float64(sent*size) / lastEnd.Sub(start).Seconds()
		Expect(carried).To(BeNumerically("<=", 0.81*15e6/8), "the rest of the link is for short responses")
		Expect(carried).To(BeNumerically(">=", 0.75*15e6/8))
		Expect(refused).To(BeNumerically(">", 0))
	})

	// Guards against a link so slow that it cannot send one download within the target: all of them would be refused.
	It("admits one response at a time on a link that is too slow for the target", func() {
		link := pacing.NewLink(0.5)
		response, ok := link.Admit(start, size, 100*time.Millisecond)
		Expect(ok).To(BeTrue())
		_, ok = link.Admit(start, size, 100*time.Millisecond)
		Expect(ok).To(BeFalse())
		response.Done()
		_, ok = link.Admit(start, size, 100*time.Millisecond)
		Expect(ok).To(BeTrue())
	})

	It("forgets a response that ends early", func() {
		link := pacing.NewLink(15)
		for range 1000 {
			response, ok := link.Admit(start, size, time.Second)
			Expect(ok).To(BeTrue())
			response.Done()
			response.Done()
		}
	})

	It("sets no limit without a rate", func() {
		link := pacing.NewLink(0)
		response, ok := link.Admit(start, 1<<40, time.Nanosecond)
		Expect(ok).To(BeTrue())
		Expect(response.Schedule(start, 1<<30)).To(BeZero())
	})
})
