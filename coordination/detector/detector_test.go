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
			recordChange(d.EndProbe(now, true), at)
		case probe >= 0 && at-probe >= timeout:
			probe = -1
			recordChange(d.EndProbe(now, false), at)
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
		Expect(d.EndProbe(now.Add(700*time.Millisecond), false)).To(Equal(detector.Unchanged))
		Expect(d.Failed()).To(BeFalse())
	})

	It("stops probing an instance that stays failed", func() {
		start := time.Unix(1, 0)
		var d detector.Detector
		d.CallSent(start, 1)
		var last time.Duration
		for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
			if d.StartProbe(start.Add(at)) {
				last = at
				d.EndProbe(start.Add(at), false)
				d.CallEnded(1)
			}
		}
		Expect(last).To(BeNumerically("~", 20*time.Second, time.Second))
		Expect(d.Idle()).To(BeTrue())
	})
})
