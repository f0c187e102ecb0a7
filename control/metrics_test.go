package control_test

import (
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/control"
)

var _ = Describe("metrics of a member", func() {
	// Guards against a scrape that fails or lacks the leader, the age of the confirmed state or the proposals.
	It("show the log, the age of the confirmed state and the time of proposals", func() {
		g := formGroup("a", "b", "c")
		var text []byte
		version := uint64(0)
		// On a busy machine another member may lead before the scrape, which then shows nothing about the leader.
		Eventually(func() bool {
			before, _ := g.leader()
			version++
			g.approve(before, version, config("desk"))
			response, err := http.Get("http://" + g.admin[before] + control.PathMetrics)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			text, err = io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK), string(text))
			after, _ := g.leader()
			return after == before
		}, eventuallyTimeout).Should(BeTrue())
		Expect(text).To(MatchRegexp(`(?m)^sapphiregate_log_leader\{group="0"\} 1$`))
		Expect(text).To(MatchRegexp(`(?m)^sapphiregate_confirmed_age_seconds [0-9.e-]+$`))
		Expect(text).To(MatchRegexp(`(?m)^sapphiregate_proposal_seconds_count\{result="applied"\} [1-9]`))
		Expect(text).To(ContainSubstring(`sapphiregate_violations_total{invariant="internal"} 0`))
	})
})
