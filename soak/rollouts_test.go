package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/release"
)

// Guards against a check of rollouts that misses calls on the wrong release. Times are in seconds; the end of the rollout of
// r1, whose upstream is beside node-1, is read at 10.
var _ = DescribeTable("the check of releases", func(state release.State, ranOn string, at float64, works []work, wrong bool) {
	r := newRecorder()
	second := func(s float64) time.Time { return r.started.Add(time.Duration(s * float64(time.Second))) }
	for _, w := range works {
		r.members["member-0"] = true
		w.started, w.ended = second(float64(w.started.Unix())), second(float64(w.ended.Unix()))
		r.works = append(r.works, &w)
	}
	r.rolloutEnded(endedRollout{release: "r1", state: state, at: second(10), nodes: []string{"node-1"}}, "")
	r.runs[teamAttempt(teamLimited, "node-0", 1)] = []run{{node: "node-1", release: ranOn, started: second(at)}}
	r.checkRollouts()
	if wrong {
		Expect(r.violations).To(ConsistOf(ContainSubstring("after the rollout of r1")))
	} else {
		Expect(r.violations).To(BeEmpty())
	}
},
	Entry("the release after it was rolled back", release.RolledBack, "r1", 12.1, nil, true),
	Entry("the release just after it was rolled back", release.RolledBack, "r1", 11.9, nil, false),
	Entry("the former release after the other one was rolled back", release.RolledBack, "r0", 12.1, nil, false),
	Entry("the release beside a node that is disturbed", release.RolledBack, "r1", 12.1, []work{disturbance("node-1", 9, 11)}, false),
	Entry("the release beside a node that is cut off, in spite of the objective", release.RolledBack, "r1", 15.1,
		[]work{disturbance("node-1", 9, 16)}, true),
	Entry("the former release after the other one was completed", release.Completed, "r0", 10.1, nil, true),
	Entry("the former release before the other one was completed", release.Completed, "r0", 9.9, nil, false),
	Entry("the release after it was completed", release.Completed, "r1", 10.1, nil, false),
	Entry("the former release, called through a node that is disturbed", release.Completed, "r0", 10.1,
		[]work{disturbance("node-0", 8, 9)}, false),
	Entry("the former release while that of all other upstreams is disturbed", release.Completed, "r0", 10.1,
		[]work{disturbance("node-1", 8, 9)}, false),
	Entry("the former release while the core is disturbed", release.Completed, "r0", 10.1, []work{disturbance("member-0", 8, 9)}, false),
	Entry("the former release long after the core was disturbed", release.Completed, "r0", 15.1,
		[]work{disturbance("member-0", 8, 14)}, true),
)

var _ = Describe("the check of what is read of rollouts", func() {
	read := func(started, revision uint64, state release.State) release.Rollout {
		return release.Rollout{Release: "r1", Started: started, Revision: revision, State: state}
	}

	It("reports a revision that goes back and an end that changes", func() {
		r := newRecorder()
		for _, kept := range []release.Rollout{read(3, 3, release.Running), read(3, 5, release.RolledBack), read(9, 9, release.Running)} {
			r.rolloutRead(kept)
		}
		Expect(r.violations).To(BeEmpty())
		r.rolloutRead(read(3, 5, release.RolledBack))
		Expect(r.violations).To(HaveLen(1))
		r.rolloutRead(read(3, 6, release.Completed))
		Expect(r.violations).To(HaveLen(2))
	})
})
