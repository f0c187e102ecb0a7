package silence_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/silence"
)

func TestSilence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "silence")
}

// play sends a call every interval to an instance that answers each after the given time, but nothing while it is down.
// It returns the questions, and the changes with the times at which they were seen.
func play(length, interval, answer time.Duration, down func(time.Duration) bool) (asked int, lost, returned []time.Duration) {
	const step, timeout = 10 * time.Millisecond, 300 * time.Millisecond
	start := time.Unix(1_000, 0)
	var w silence.Watch
	answers := make(map[uint64]time.Duration)
	var question time.Duration = -1
	note := func(change silence.Change, at time.Duration) {
		switch change {
		case silence.Lost:
			lost = append(lost, at)
		case silence.Returned:
			returned = append(returned, at)
		}
	}
	var call uint64
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if at%interval == 0 && !w.Silent() {
			call++
			w.Sent(now, call)
			answers[call] = at + answer
		}
		for id, due := range answers {
			if at >= due && !down(at) && !down(due) {
				delete(answers, id)
				w.Ended(id)
				note(w.Heard(now), at)
			}
		}
		switch {
		case question >= 0 && !down(at):
			question = -1
			note(w.Answered(now, true), at)
		case question >= 0 && at-question >= timeout:
			question = -1
			note(w.Answered(now, false), at)
		}
		if w.Ask(now) {
			asked++
			question = at
		}
	}
	return asked, lost, returned
}

func never(time.Duration) bool { return false }

var _ = Describe("Watch", func() {
	// Guards against calls that go to an instance without power until their deadlines have passed.
	It("finds an instance silent within 0.8 s of its loss, and back within 0.4 s of its return", func() {
		_, lost, returned := play(10*time.Second, 20*time.Millisecond, 50*time.Millisecond, func(at time.Duration) bool {
			return at >= 3*time.Second && at < 5*time.Second
		})
		Expect(lost).To(HaveLen(1))
		Expect(lost[0]).To(BeNumerically("~", 3400*time.Millisecond, 400*time.Millisecond))
		Expect(returned).To(HaveLen(1))
		Expect(returned[0]).To(BeNumerically("<=", 5400*time.Millisecond))
	})

	// Guards against questions under normal load: each costs as much as a small call.
	It("asks nothing while answers come", func() {
		asked, lost, _ := play(10*time.Second, 20*time.Millisecond, 300*time.Millisecond, never)
		Expect(asked).To(BeZero())
		Expect(lost).To(BeEmpty())
	})

	// Guards against a healthy instance that loses its calls since they take long.
	It("asks a few times during long calls and finds nothing wrong", func() {
		asked, lost, _ := play(10*time.Second, 10*time.Second, 8*time.Second, never)
		Expect(asked).To(BeNumerically("<=", 7))
		Expect(lost).To(BeEmpty())
	})

	It("asks nothing when no call waits", func() {
		var w silence.Watch
		w.Sent(time.Unix(1, 0), 1)
		w.Ended(1)
		_, due := w.Next()
		Expect(due).To(BeFalse())
		Expect(w.Idle()).To(BeTrue())
	})

	// Guards against an instance that is taken for silent although it answered a call while it was asked.
	It("prefers the answer to a call to a question that timed out", func() {
		now := time.Unix(1, 0)
		var w silence.Watch
		w.Sent(now, 1)
		Expect(w.Ask(now.Add(400 * time.Millisecond))).To(BeTrue())
		w.Heard(now.Add(500 * time.Millisecond))
		Expect(w.Answered(now.Add(700*time.Millisecond), false)).To(Equal(silence.None))
		Expect(w.Silent()).To(BeFalse())
	})

	It("gives an instance up that stays silent", func() {
		start := time.Unix(1, 0)
		var w silence.Watch
		w.Sent(start, 1)
		var last time.Duration
		for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
			if w.Ask(start.Add(at)) {
				last = at
				w.Answered(start.Add(at), false)
				w.Ended(1)
			}
		}
		Expect(last).To(BeNumerically("~", 20*time.Second, time.Second))
		Expect(w.Idle()).To(BeTrue())
	})
})
