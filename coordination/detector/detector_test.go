package detector_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/detector"
)

func TestDetector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "detector")
}

// simulate sends a call every interval to an instance that responds to each after the given latency, but does not
// respond while down returns true. It returns the number of probes and the times of detected failures and recoveries.
func simulate(length, interval, latency time.Duration, down func(time.Duration) bool) (probes int, failed, recovered []time.Duration) {
	const step, timeout = 10 * time.Millisecond, 300 * time.Millisecond
	start := time.Unix(1_000, 0)
	var d detector.Detector
	responses := make(map[uint64]time.Duration)
	var probe time.Duration = -1
	recordChange := func(change detector.Change, at time.Duration) {
		switch change {
		case detector.Failed:
			failed = append(failed, at)
		case detector.Recovered:
			recovered = append(recovered, at)
		}
	}
	var call uint64
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if at%interval == 0 && !d.Failed() {
			call++
			d.CallSent(now, call)
			responses[call] = at + latency
		}
		for id, due := range responses {
			if at >= due && !down(at) && !down(due) {
				delete(responses, id)
				d.CallEnded(id)
				recordChange(d.ResponseReceived(now), at)
			}
		}
		switch {
		case probe >= 0 && !down(at):
			probe = -1
			recordChange(d.EndProbe(now, timeout, true), at)
		case probe >= 0 && at-probe >= timeout:
			probe = -1
			recordChange(d.EndProbe(now, timeout, false), at)
		}
		if d.StartProbe(now) {
			probes++
			probe = at
		}
	}
	return probes, failed, recovered
}

func never(time.Duration) bool { return false }

var _ = Describe("Detector", func() {
	// Guards against sending calls to an instance that lost power: each would wait until its deadline.
	It("detects a failure within 0.8 s and the recovery within 0.4 s", func() {
		_, failed, recovered := simulate(10*time.Second, 20*time.Millisecond, 50*time.Millisecond, func(at time.Duration) bool {
			return at >= 3*time.Second && at < 5*time.Second
		})
		Expect(failed).To(HaveLen(1))
		Expect(failed[0]).To(BeNumerically("~", 3400*time.Millisecond, 400*time.Millisecond))
		Expect(recovered).To(HaveLen(1))
		Expect(recovered[0]).To(BeNumerically("<=", 5400*time.Millisecond))
	})

	// Guards against probes under normal load: each costs as much as a small call.
	It("does not probe while responses arrive", func() {
		probes, failed, _ := simulate(10*time.Second, 20*time.Millisecond, 300*time.Millisecond, never)
		Expect(probes).To(BeZero())
		Expect(failed).To(BeEmpty())
	})

	// Guards against taking a healthy instance for failed because its calls take long.
	It("probes a few times during long calls and detects no failure", func() {
		probes, failed, _ := simulate(10*time.Second, 10*time.Second, 8*time.Second, never)
		Expect(probes).To(BeNumerically("<=", 7))
		Expect(failed).To(BeEmpty())
	})

	It("does not probe when no call waits", func() {
		var d detector.Detector
		d.CallSent(time.Unix(1, 0), 1)
		d.CallEnded(1)
		_, due := d.NextProbe()
		Expect(due).To(BeFalse())
		Expect(d.Idle()).To(BeTrue())
	})

	// Guards against taking an instance for failed although it responded to a call during the probe.
	It("ignores a probe that timed out if a call was answered meanwhile", func() {
		now := time.Unix(1, 0)
		var d detector.Detector
		d.CallSent(now, 1)
		Expect(d.StartProbe(now.Add(400 * time.Millisecond))).To(BeTrue())
		d.ResponseReceived(now.Add(500 * time.Millisecond))
		Expect(d.EndProbe(now.Add(700*time.Millisecond), 300*time.Millisecond, false)).To(Equal(detector.Unchanged))
		Expect(d.Failed()).To(BeFalse())
	})

	// A process that did not run for some time handles its timers before the replies that have arrived meanwhile.
	Describe("in a process that stalls", func() {
		const timeout, stall = time.Second, 300 * time.Millisecond
		var d *detector.Detector
		var started time.Time

		// startProbe starts a probe at once, as the first one or after one that showed nothing.
		startProbe := func(now time.Time) {
			next, due := d.NextProbe()
			Expect(due).To(BeTrue())
			Expect(next).NotTo(BeTemporally(">", now))
			Expect(d.StartProbe(now)).To(BeTrue())
			started = now
		}

		BeforeEach(func() {
			now := time.Unix(1, 0)
			d = &detector.Detector{}
			d.CallSent(now, 1)
			startProbe(now.Add(400 * time.Millisecond))
		})

		// Guards against calls that are taken away from sound instances and run twice, from all instances at once.
		It("takes no instance for failed because a probe ended late", func() {
			late := started.Add(timeout + stall)
			Expect(d.EndProbe(late, timeout, false)).To(Equal(detector.Unchanged))
			Expect(d.Failed()).To(BeFalse())
			startProbe(late)
			Expect(d.EndProbe(late.Add(5*time.Millisecond), timeout, true)).To(Equal(detector.Unchanged))
			next, due := d.NextProbe()
			Expect(due).To(BeTrue())
			Expect(next).To(BeTemporally(">=", late.Add(400*time.Millisecond)))
		})

		It("needs no further probe after a late one if a call is answered first", func() {
			late := started.Add(timeout + stall)
			Expect(d.EndProbe(late, timeout, false)).To(Equal(detector.Unchanged))
			Expect(d.ResponseReceived(late.Add(time.Millisecond))).To(Equal(detector.Unchanged))
			d.CallEnded(1)
			Expect(d.StartProbe(late.Add(2 * time.Millisecond))).To(BeFalse())
			Expect(d.Idle()).To(BeTrue())
		})

		// Guards against a failed instance that is forgotten because its waiting calls ended during the stall.
		It("probes again after a late probe although no call waits any more", func() {
			late := started.Add(timeout + stall)
			d.CallEnded(1)
			Expect(d.EndProbe(late, timeout, false)).To(Equal(detector.Unchanged))
			Expect(d.Idle()).To(BeFalse())
			startProbe(late)
			Expect(d.EndProbe(late.Add(timeout), timeout, false)).To(Equal(detector.Failed))
		})

		// Guards against a failed instance that keeps its calls as long as the process stalls.
		It("detects a failure after a few late probes", func() {
			now, probes := started, 1
			for {
				now = now.Add(timeout + stall)
				if d.EndProbe(now, timeout, false) == detector.Failed {
					break
				}
				startProbe(now)
				probes++
				Expect(probes).To(BeNumerically("<=", 3))
			}
			Expect(d.Failed()).To(BeTrue())
		})

		// Guards against a slower detection in a process that runs: timers are always a little late.
		It("detects a failure with one probe that ended a few milliseconds late", func() {
			now := started.Add(timeout + 10*time.Millisecond)
			Expect(d.EndProbe(now, timeout, false)).To(Equal(detector.Failed))
		})

		It("detects a failure with one probe that failed before its timeout", func() {
			now := started.Add(timeout / 2)
			Expect(d.EndProbe(now, timeout, false)).To(Equal(detector.Failed))
		})
	})

	Describe("with calls to a failed instance", func() {
		const timeout = time.Second
		var d *detector.Detector
		var failedAt time.Time
		probe := func(at time.Time, responded bool) detector.Change {
			Expect(d.StartProbe(at)).To(BeTrue())
			return d.EndProbe(at.Add(timeout), timeout, responded)
		}
		BeforeEach(func() {
			d = &detector.Detector{}
			d.CallSent(time.Unix(1, 0), 1)
			failedAt = time.Unix(1, 0).Add(1400 * time.Millisecond)
			Expect(probe(failedAt.Add(-timeout), false)).To(Equal(detector.Failed))
		})

		// Guards against giving up calls that run at an instance which is short of processor time for a second or two.
		It("has lost them only after three seconds without a response", func() {
			Expect(probe(failedAt, false)).To(Equal(detector.Unchanged))
			Expect(probe(failedAt.Add(timeout), false)).To(Equal(detector.Lost))
			Expect(probe(failedAt.Add(2*timeout), false)).To(Equal(detector.Unchanged), "reported once")
		})

		It("keeps them if it responds again, and counts anew", func() {
			Expect(probe(failedAt, true)).To(Equal(detector.Recovered))
			again := failedAt.Add(time.Minute)
			Expect(probe(again, false)).To(Equal(detector.Failed))
			Expect(probe(again.Add(timeout), false)).To(Equal(detector.Unchanged))
		})

		// Guards against calls that wait until their deadline for a process that is known to be gone.
		It("has lost them once another process answers in its place", func() {
			Expect(d.StartProbe(failedAt)).To(BeTrue())
			Expect(d.Replaced(failedAt.Add(time.Millisecond))).To(Equal(detector.Lost))
			Expect(d.Failed()).To(BeTrue())
		})

		It("has not lost them by a probe that ended late", func() {
			Expect(probe(failedAt, false)).To(Equal(detector.Unchanged))
			Expect(d.StartProbe(failedAt.Add(timeout))).To(BeTrue())
			Expect(d.EndProbe(failedAt.Add(3*timeout), timeout, false)).To(Equal(detector.Unchanged))
		})
	})

	It("stops probing an instance that stays failed", func() {
		start := time.Unix(1, 0)
		var d detector.Detector
		d.CallSent(start, 1)
		var last time.Duration
		for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
			if d.StartProbe(start.Add(at)) {
				last = at
				d.EndProbe(start.Add(at), 0, false)
				d.CallEnded(1)
			}
		}
		Expect(last).To(BeNumerically("~", 20*time.Second, time.Second))
		Expect(d.Idle()).To(BeTrue())
	})
})
