package shutdown_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/shutdown"
)

func TestShutdown(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shutdown")
}

var _ = Describe("Schedule", func() {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }

	// Guards against a stop that gives up requests 5.2 s after the signal although the instance allows 10 s.
	DescribeTable("uses the time that the process is given", func(grace time.Duration) {
		s := shutdown.NewSchedule(start, shutdown.Budget{Grace: grace, Notice: 2500 * time.Millisecond})
		Expect(s.LastDeadline).To(BeTemporally(">=", at(grace*5/6)), "requests are given up in the last sixth only")
		Expect(s.GiveUp).To(BeTemporally(">", s.LastDeadline))
		Expect(s.End).To(BeTemporally(">", s.GiveUp))
		Expect(s.End).To(BeTemporally("<=", at(grace-min(grace/20, 400*time.Millisecond))), "the process needs time to exit")
		Expect(s.NoticeEnd).To(BeTemporally("<", s.LastDeadline))
		Expect(s.Exit).To(BeTemporally(">", s.End))
		Expect(s.Exit).To(BeTemporally("<", at(grace)))
	},
		Entry("2 s", 2*time.Second), Entry("3 s", 3*time.Second), Entry("6 s", 6*time.Second),
		Entry("10 s", 10*time.Second), Entry("18 s", 18*time.Second),
	)

	It("reserves no more than a second of a long grace period", func() {
		s := shutdown.NewSchedule(start, shutdown.Budget{Grace: 30 * time.Second})
		Expect(s.LastDeadline).To(BeTemporally(">=", at(29*time.Second)))
		Expect(s.End).To(BeTemporally("<", at(30*time.Second)))
	})

	It("has no limit without a grace period", func() {
		s := shutdown.NewSchedule(start, shutdown.Budget{Notice: time.Second})
		Expect(s.GiveUp.IsZero()).To(BeTrue())
		Expect(s.Exit.IsZero()).To(BeTrue())
		Expect(s.CallDeadline(at(time.Hour))).To(Equal(at(time.Hour)))
		Expect(s.Accepts(shutdown.Request{Arrived: at(time.Minute), Deadline: at(time.Hour), Target: at(time.Hour)})).To(BeTrue())
	})

	It("takes during its notice what can meet its target, and afterwards what ends by its own deadline", func() {
		s := shutdown.NewSchedule(start, shutdown.Budget{Grace: 6 * time.Second, Notice: 2 * time.Second})
		request := func(arrived, target, deadline time.Duration) shutdown.Request {
			return shutdown.Request{Arrived: at(arrived), Target: at(arrived + target), Deadline: at(arrived + deadline)}
		}
		Expect(s.Accepts(request(time.Second, time.Second, time.Hour))).To(BeTrue())
		Expect(s.Accepts(request(time.Second, 5*time.Second, time.Hour))).To(BeFalse())
		Expect(s.Accepts(request(3*time.Second, time.Second, time.Hour))).To(BeFalse())
		Expect(s.Accepts(request(3*time.Second, time.Second, 2*time.Second))).To(BeTrue())
	})

	It("sends no call that can outlast the requests", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			grace := time.Duration(rapid.Int64Range(int64(time.Second), int64(10*time.Minute)).Draw(t, "grace"))
			notice := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "notice"))
			deadline := at(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "deadline")))
			s := shutdown.NewSchedule(start, shutdown.Budget{Grace: grace, Notice: notice})
			if got := s.CallDeadline(deadline); got.After(deadline) || !got.Before(s.GiveUp) {
				t.Fatalf("a call gets the deadline %v; the request's is %v, and it is given up at %v", got, deadline, s.GiveUp)
			}
			if !s.NoticeEnd.Before(s.LastDeadline) || !s.End.Before(at(grace)) || s.GiveUp.Before(at(grace*5/6)) {
				t.Fatalf("grace %v, notice %v: %+v", grace, notice, s)
			}
		})
	})
})
