package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/state/bundle"
)

var _ = Describe("a queue whose calls have a target", func() {
	const (
		slots   = 9
		service = 90 * time.Millisecond
		target  = 300 * time.Millisecond
	)

	// replay offers calls of one route at 1.7 times what the slots serve, for three seconds, and returns how many were
	// answered within their target and how many at all.
	replay := func(aimed bool) (inTime, answered int) {
		q := admission.New(admission.Config{Slots: slots, QueueLimit: 1000})
		now := time.Unix(1_000, 0)
		arrived := make(map[uint64]time.Time)
		ends := make(map[uint64]time.Time)
		begin := func(id uint64) { ends[id] = now.Add(service) }
		decide := func(decisions []admission.Decision) {
			for _, d := range decisions {
				if d.Verdict.Action == admission.Run {
					begin(d.ID)
				}
			}
		}
		next := uint64(0)
		credit := 0.0
		for range 6000 {
			now = now.Add(time.Millisecond)
			for id, end := range ends {
				if !end.After(now) {
					delete(ends, id)
					answered++
					if now.Sub(arrived[id]) <= target {
						inTime++
					}
					decide(q.Finish(now, id, service))
				}
			}
			if next < 510 {
				credit += 1.7 * slots / float64(service.Milliseconds())
			}
			for ; credit >= 1; credit-- {
				next++
				ticket := admission.Ticket{ID: next, Class: bundle.ClassLookup, Route: "rank", Deadline: now.Add(2 * time.Second)}
				if aimed {
					ticket.TargetTime = now.Add(target)
				}
				arrived[next] = now
				if q.Offer(now, ticket).Action == admission.Run {
					begin(next)
				}
			}
			decide(q.Expire(now))
		}
		return inTime, answered
	}

	// Guards against a burst in which every call waits a little too long, so that all slots work on late answers.
	It("serves most of what the slots can serve in time during a burst", func() {
		aimed, _ := replay(true)
		unaimed, answered := replay(false)
		GinkgoWriter.Println("in time with a target", aimed, "without", unaimed, "of", answered)
		Expect(aimed).To(BeNumerically(">", 290), "the slots serve 300 calls in 3 s")
		Expect(unaimed).To(BeNumerically("<", aimed/2))
	})

	// Guards against short calls that are refused behind long ones of the same rank: each of them lets a call on another
	// upstream fail, whose repeat calls again (a fresh day of kalasag-belts served 0.53 of its lookups for this).
	It("serves short calls that others wait for while long calls fill the slots", func() {
		q := admission.New(admission.Config{Slots: slots, QueueLimit: 100})
		now := time.Unix(1_000, 0)
		lengths := map[string]time.Duration{"entry": 120 * time.Millisecond, "check": 22 * time.Millisecond}
		targets := map[string]time.Duration{"entry": 400 * time.Millisecond, "check": 120 * time.Millisecond}
		type run struct {
			end   time.Time
			route string
		}
		runs, routes := make(map[uint64]run), make(map[uint64]string)
		offered, served := make(map[string]int), make(map[string]int)
		begin := func(id uint64) { runs[id] = run{now.Add(lengths[routes[id]]), routes[id]} }
		decide := func(decisions []admission.Decision) {
			for _, d := range decisions {
				if d.Verdict.Action == admission.Run {
					begin(d.ID)
				}
			}
		}
		next := uint64(0)
		for tick := range 6000 {
			now = now.Add(time.Millisecond)
			for id, r := range runs {
				if !r.end.After(now) {
					delete(runs, id)
					served[r.route]++
					decide(q.Finish(now, id, lengths[r.route]))
				}
			}
			arrivals := map[string]bool{"entry": tick%10 == 0, "check": tick%25 == 0} // 1.4 times the slots
			for route, arrives := range arrivals {
				if !arrives {
					continue
				}
				next++
				routes[next] = route
				offered[route]++
				ticket := admission.Ticket{
					ID: next, Class: bundle.ClassLookup, Route: route, Deadline: now.Add(time.Second), TargetTime: now.Add(targets[route]),
				}
				if q.Offer(now, ticket).Action == admission.Run {
					begin(next)
				}
			}
			decide(q.Expire(now))
		}
		GinkgoWriter.Println("offered", offered, "served", served)
		Expect(served["check"]).To(BeNumerically(">=", offered["check"]*95/100))
		Expect(served["entry"]).To(BeNumerically(">=", 350), "the slots serve 400 entries beside the checks")
	})

	// Guards against a slow upstream that would refuse every call because none can be in time.
	It("judges calls that are too long for their target by their deadline", func() {
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 10})
		now := time.Unix(1_000, 0)
		ticket := admission.Ticket{ID: 1, Class: bundle.ClassLookup, Route: "rank", Deadline: now.Add(10 * time.Second)}
		Expect(q.Offer(now, ticket).Action).To(Equal(admission.Run))
		now = now.Add(450 * time.Millisecond)
		q.Finish(now, 1, 450*time.Millisecond)
		for id := uint64(2); id < 5; id++ {
			ticket.ID, ticket.TargetTime = id, now.Add(target)
			Expect(q.Offer(now, ticket).Action).NotTo(Equal(admission.Shed))
		}
	})

	// Guards against short calls that are judged by the time of long calls of another route.
	It("estimates each route by itself", func() {
		q := admission.New(admission.Config{Slots: 1, QueueLimit: 10})
		now := time.Unix(1_000, 0)
		long := admission.Ticket{ID: 1, Class: bundle.ClassLookup, Route: "report", Deadline: now.Add(10 * time.Second)}
		q.Offer(now, long)
		now = now.Add(400 * time.Millisecond)
		q.Finish(now, 1, 400*time.Millisecond)
		short := admission.Ticket{ID: 2, Class: bundle.ClassLookup, Route: "peek", Deadline: now.Add(250 * time.Millisecond)}
		Expect(q.Offer(now, short).Action).To(Equal(admission.Run))
	})
})
