package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// execute runs the command on a fake and returns its standard output.
func execute(wrong misbehaviour, args ...string) (string, error) {
	var out, remarks bytes.Buffer
	command := NewCommandWith(fakeFactory(wrong))
	command.SetOut(&out)
	command.SetErr(&remarks)
	command.SetArgs(args)
	err := command.ExecuteContext(context.Background())
	return out.String(), err
}

var _ = ginkgo.Describe("NewCommand", func() {
	// Guards against output that scripts cannot read, and against plots that cannot read the output.
	ginkgo.It("writes a JSON report that can be plotted", func() {
		out, err := execute("", "--scenario", "rollout", "--duration", "500ms", "--output", "json")
		Expect(err).NotTo(HaveOccurred())
		var report Report
		Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
		Expect(report.Scenario).To(Equal("rollout"))
		folder := ginkgo.GinkgoT().TempDir()
		file := filepath.Join(folder, "report.json")
		Expect(os.WriteFile(file, []byte(out+out), 0o600)).To(Succeed())
		written, err := execute("", "plot", "--prefix", filepath.Join(folder, "out"), file)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(written)).To(HaveLen(8))
		for _, name := range strings.Fields(written) {
			Expect(name).To(BeARegularFile())
		}
	})

	// Guards against a violation that does not reach the exit code.
	ginkgo.It("fails after a violation and still prints the table of all seeds", func() {
		out, err := execute(runTwice, "seeds", "--scenario", "rollout,steady", "--count", "1", "--duration", "500ms")
		Expect(err).To(MatchError(ErrViolated))
		Expect(strings.Split(strings.TrimSpace(out), "\n")).To(HaveLen(3))
	})

	// Guards against runs with settings that were not meant.
	ginkgo.DescribeTable("refuses unknown names and values", func(args ...string) {
		_, err := execute("", args...)
		Expect(err).To(HaveOccurred())
	},
		ginkgo.Entry(nil, "--profile", "nobody"),
		ginkgo.Entry(nil, "--scenario", "nothing"),
		ginkgo.Entry(nil, "--output", "xml"),
		ginkgo.Entry(nil, "--nodes", "1001"),
		ginkgo.Entry(nil, "seeds", "--scenario", "steady,nothing"),
	)

	ginkgo.It("lists every profile and scenario", func() {
		out, err := execute("", "list")
		Expect(err).NotTo(HaveOccurred())
		for _, name := range append(profileNames(), scenarioNames()...) {
			Expect(out).To(ContainSubstring(name))
		}
	})
})
