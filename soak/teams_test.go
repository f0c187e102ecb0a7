package soak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the check of keys", func() {
	// probed returns what probes report of a node that answers with a status to each key. Version 20 was acknowledged
	// before the promise about keys, and is the newest one.
	steady := []time.Duration{2800 * time.Millisecond, 2100 * time.Millisecond, 1400 * time.Millisecond, 700 * time.Millisecond, 0}
	probed := func(steady []time.Duration, status func(key string) int, works ...*work) func() []string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			w.WriteHeader(status(strings.TrimPrefix(request.Header.Get(headerKey), "Bearer ")))
		}))
		DeferCleanup(server.Close)
		r := &seedRun{recorder: newRecorder()}
		r.recorder.members["member-0"] = true
		r.recorder.works = works
		r.newest.Store(20)
		r.acknowledgements = []acknowledgement{{version: 20, at: time.Now().Add(-revokeWithin - time.Second)}}
		for _, age := range steady {
			r.acknowledgements = append(r.acknowledgements, acknowledgement{version: 20, at: time.Now().Add(-age)})
		}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go r.probeKeys(ctx, &process{name: "node-0", callerAddress: server.Listener.Addr().String()})
		return func() []string {
			r.recorder.checkVersions()
			return slices.DeleteFunc(slices.Clone(r.recorder.violations), func(text string) bool { return strings.HasPrefix(text, "request") })
		}
	}
	valid := func(key string) bool { return key == rotatingKey(20) }
	correct := func(key string) int {
		if valid(key) {
			return http.StatusServiceUnavailable
		}
		return http.StatusUnauthorized
	}

	It("reports nothing if the removed key gets 401 and the new one does not", func() {
		Consistently(probed(steady, correct), "500ms").Should(BeEmpty())
	})

	It("reports a removed key that is accepted, also if the node refuses the request for another reason", func() {
		for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			Eventually(probed(steady, func(string) int { return status })).Should(ContainElement(ContainSubstring("to the removed key of version 20")))
		}
	})

	It("does not report a node that cannot judge keys while the group acknowledges nothing", func() {
		for _, former := range [][]time.Duration{nil, {3 * time.Second, 0}, {3500 * time.Millisecond, 2800 * time.Millisecond, 700 * time.Millisecond, 0}} {
			Consistently(probed(former, func(string) int { return http.StatusServiceUnavailable }), "300ms").Should(BeEmpty())
		}
		Eventually(probed(nil, func(string) int { return http.StatusOK })).ShouldNot(BeEmpty())
	})

	It("reports a new key that is unknown", func() {
		Eventually(probed(steady, func(string) int { return http.StatusUnauthorized })).Should(ContainElement(ContainSubstring("did not know the key of version 20")))
	})

	It("does not report a node or a core that is disturbed", func() {
		for _, process := range []string{"node-0", "member-0"} {
			Consistently(probed(steady, func(string) int { return http.StatusOK }, &work{kind: workFault, process: process, started: time.Now()}), "500ms").
				Should(BeEmpty())
		}
	})

	It("finds the node that is wrong after all faults", func() {
		var refuse atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			if refuse.Load() || !strings.HasSuffix(request.Header.Get(headerKey), rotatingKey(20)) {
				w.WriteHeader(http.StatusUnauthorized)
			}
		}))
		DeferCleanup(server.Close)
		r := &seedRun{recorder: newRecorder(), approved: 20, deployment: &deployment{
			nodes: []*process{{name: "node-0", callerAddress: server.Listener.Addr().String()}},
		}}
		Expect(r.wrongKeys(context.Background())).To(BeEmpty())
		refuse.Store(true)
		Expect(r.wrongKeys(context.Background())).To(Equal("node-0 answers 401 to the newest key"))
	})

	It("reports an upstream that gets a key, no team or another team", func() {
		r := newRecorder()
		r.checkTeam("t-rotating-node-0-1", http.Header{headerTeam: {teamRotating}})
		r.checkTeam("l-1", http.Header{})
		Expect(r.violations).To(BeEmpty())
		r.checkTeam("t-rotating-node-0-2", http.Header{headerTeam: {teamRotating}, "X-Other": {"Bearer " + rotatingKey(3)}})
		r.checkTeam("t-rotating-node-0-3", http.Header{})
		r.checkTeam("t-rotating-node-0-4", http.Header{headerTeam: {"forged"}})
		r.checkTeam("t-rotating-node-0-5", http.Header{headerTeam: {teamRotating, "forged"}})
		Expect(r.violations).To(HaveLen(4))
	})
})

var _ = Describe("the check of a quota", func() {
	It("reports a window with one request more than the bound, wherever it begins", func() {
		r := newRecorder()
		arrive := func(team string, n int, at time.Duration) {
			attempt := teamAttempt(team, "node-0", n)
			r.runs[attempt] = append(r.runs[attempt], run{started: r.started.Add(at)})
		}
		for n := range int(quotaBound) {
			arrive(teamLimited, n, 3*time.Second+time.Duration(n)*time.Millisecond)
			arrive(teamRotating, n, 3*time.Second)
		}
		arrive(teamLimited, 0, 3*time.Second+quotaWindow+time.Millisecond)
		Expect(r.checkQuota()).To(Equal(int(quotaBound)))
		Expect(r.violations).To(BeEmpty())
		arrive(teamLimited, 1, 4*time.Second) // A further run of a request counts.
		Expect(r.checkQuota()).To(Equal(int(quotaBound) + 1))
		Expect(r.violations).To(ConsistOf(ContainSubstring("requests of team limited ran in 5s")))
	})
})
