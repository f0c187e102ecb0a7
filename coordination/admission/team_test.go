package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/state/bundle"
)

var _ = Describe("Queue with full slots", func() {
	const (
		slots   = 4
		service = 80 * time.Millisecond
	)
	var (
		now  time.Time
		q    *admission.Queue
		next uint64
	)
	offer := func(team string, untilTarget time.Duration) (uint64, admission.Verdict) {
		next++
		return next, q.Offer(now, admission.Ticket{
			ID: next, Class: bundle.ClassLookup, Route: "view", Team: team, Deadline: now.Add(5 * time.Second), TargetTime: now.Add(untilTarget),
		})
	}
	// serve runs calls of teams one after another, each for its service time.
	serve := func(count int, every time.Duration, team func(int) string) {
		for i := range count {
			now = now.Add(every)
			id, verdict := offer(team(i), time.Second)
			if verdict.Action == admission.Run {
				q.Finish(now, id, service)
			}
		}
	}
	// fill occupies all slots with calls of a team.
	fill := func(team string) {
		for range slots {
			_, verdict := offer(team, time.Second)
			Expect(verdict.Action).To(Equal(admission.Run))
		}
	}
	BeforeEach(func() {
		now, next = time.Unix(1_000, 0), 0
		q = admission.New(admission.Config{Slots: slots})
	})

	Describe("and teams", func() {
		// A minute in which ten teams send alike, and a second in which one of them sends most.
		peak := func() {
			serve(600, 100*time.Millisecond, func(i int) string { return fmt.Sprint("team-", i%10) })
			serve(100, 10*time.Millisecond, func(i int) string {
				if i%10 == 0 {
					return "team-1"
				}
				return "team-0"
			})
		}

		It("refuses a team with many times its usual while few slots are free, and serves others", func() {
			peak()
			_, verdict := offer("team-0", time.Second)
			Expect(verdict.Action).To(Equal(admission.Run), "all slots are free")
			for range slots - 2 {
				offer("team-2", time.Second)
			}
			_, verdict = offer("team-0", time.Second)
			Expect(verdict).To(Equal(admission.Verdict{Action: admission.Shed, Reason: admission.ReasonShare}))
			_, verdict = offer("team-3", time.Second)
			Expect(verdict.Action).To(Equal(admission.Run))
			_, verdict = offer("team-4", time.Second)
			Expect(verdict.Action).To(Equal(admission.Wait))
		})

		It("lets calls wait while no team sends more than its usual", func() {
			serve(600, 100*time.Millisecond, func(i int) string { return fmt.Sprint("team-", i%10) })
			fill("team-2")
			_, verdict := offer("team-0", time.Second)
			Expect(verdict.Action).To(Equal(admission.Wait))
		})
	})

	Describe("and calls that are late on arrival", func() {
		It("refuses them at once while timely calls take all slots", func() {
			serve(100, 15*time.Millisecond, func(int) string { return "" })
			fill("")
			_, verdict := offer("", time.Millisecond)
			Expect(verdict).To(Equal(admission.Verdict{Action: admission.Shed, Reason: admission.ReasonTarget}))
		})

		It("lets them wait while timely calls leave slots", func() {
			serve(100, 100*time.Millisecond, func(int) string { return "" })
			for range slots {
				_, verdict := offer("", time.Millisecond)
				Expect(verdict.Action).To(Equal(admission.Run))
			}
			_, verdict := offer("", time.Millisecond)
			Expect(verdict.Action).To(Equal(admission.Wait))
		})

		It("counts those that cannot be served within their target as late", func() {
			serve(100, 15*time.Millisecond, func(int) string { return "" })
			fill("")
			_, verdict := offer("", service/2)
			Expect(verdict).To(Equal(admission.Verdict{Action: admission.Shed, Reason: admission.ReasonTarget}))
		})

		// Guards against a service whose upstreams are all too slow for the target: nothing would be served.
		It("lets calls wait where none can meet its target", func() {
			serve(100, 15*time.Millisecond, func(int) string { return "" })
			for range 400 {
				now = now.Add(15 * time.Millisecond)
				if id, verdict := offer("", service/2); verdict.Action == admission.Run {
					q.Finish(now, id, service)
				}
			}
			for range slots {
				_, verdict := offer("", service/2)
				Expect(verdict.Action).To(Equal(admission.Run))
			}
			_, verdict := offer("", service/2)
			Expect(verdict.Action).To(Equal(admission.Wait))
		})
	})
})
