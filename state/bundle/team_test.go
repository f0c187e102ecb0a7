package bundle_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/state/bundle"
)

var _ = Describe("teams", func() {
	// Guards against a key in an error message, which ends in the logs of pipelines and terminals.
	DescribeTable("are refused with errors that name the field and show no key", func(teams, field string) {
		b, problems := bundle.Parse("t.json", []byte(`{"services":[{"name":"s"}],"teams":[`+teams+`]}`))
		problems = append(problems, bundle.Validate(b)...)
		var fields []string
		for _, problem := range problems {
			fields = append(fields, problem.Field)
		}
		Expect(fields).To(ContainElement(field))
		Expect(problems.Err()).NotTo(MatchError(ContainSubstring("secret")))
	},
		Entry("a key of two teams", `{"name":"a","keys":["secret"]},{"name":"b","keys":["k","secret"]}`, "teams[1].keys[1]"),
		Entry("a key twice", `{"name":"a","keys":["secret","secret"]}`, "teams[0].keys[1]"),
		Entry("an empty key", `{"name":"a","keys":[""]}`, "teams[0].keys[0]"),
		Entry("a key with a space", `{"name":"a","keys":["secret one"]}`, "teams[0].keys[0]"),
		Entry("a key with a control character", `{"name":"a","keys":["secret\u0007"]}`, "teams[0].keys[0]"),
		Entry("a key that is too long", `{"name":"a","keys":["`+strings.Repeat("secret", 100)+`"]}`, "teams[0].keys[0]"),
		Entry("a key instead of a list", `{"name":"a","keys":"secret"}`, "teams[0].keys"),
		Entry("an object instead of a list", `{"name":"a","keys":{"secret":1,"secret":2}}`, "teams[0].keys"),
		Entry("a list instead of a key", `{"name":"a","keys":[{"secret":1,"secret":2}]}`, "teams[0].keys[0]"),
		Entry("an unknown field", `{"name":"a","keys":[],"kes":["secret"]}`, "teams[0].kes"),
		Entry("two teams of one name", `{"name":"a","keys":["secret"]},{"name":"a","keys":[]}`, "teams[1].name"),
		Entry("a priority out of range", `{"name":"a","keys":["secret"],"priority":17}`, "teams[0].priority"),
		Entry("a negative quota", `{"name":"a","keys":["secret"],"requests_per_second":-1}`, "teams[0].requests_per_second"),
	)

	It("are listed in changes without their keys", func() {
		from := &bundle.Bundle{Teams: []bundle.Team{{Name: "a", Keys: []string{"secret-1"}}}}
		to := &bundle.Bundle{Teams: []bundle.Team{{Name: "a", Keys: []string{"secret-2"}}, {Name: "b", Keys: []string{"secret-1"}}}}
		changes := bundle.Changes(from, to)
		Expect(changes).To(HaveLen(2))
		for _, change := range changes {
			Expect(change.String()).To(And(ContainSubstring("sha256:"), Not(ContainSubstring("secret"))))
		}
	})
})

// Guards against a team, key or public route that is lost or changed between the operator's bundle and a node's.
func TestTeamsSurviveDistribution(t *testing.T) {
	draw := func(t *rapid.T, label string) *bundle.Bundle {
		b := &bundle.Bundle{Services: []bundle.Service{{Name: "s"}}}
		names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(t, label)
		for i, name := range names {
			b.Routes = append(b.Routes, bundle.Route{
				Name: name, Service: "s", Class: bundle.ClassUpload, DeadlineMs: 1, Public: rapid.Bool().Draw(t, "public"),
				Match: bundle.Match{PathPrefix: "/" + name},
			})
			team := bundle.Team{Name: name, Priority: i, RequestsPerSecond: rapid.Float64Range(0, 100).Draw(t, "rate")}
			for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"1", "2"}), 0, 2, rapid.ID).Draw(t, "keys") {
				team.Keys = append(team.Keys, name+key)
			}
			b.Teams = append(b.Teams, team)
		}
		bundle.Canonicalize(b)
		return b
	}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		from, to := draw(t, "from"), draw(t, "to")
		g.Expect(bundle.Validate(to)).To(BeEmpty())
		fromParts, base, err := bundle.Split(from)
		g.Expect(err).NotTo(HaveOccurred())
		toParts, target, err := bundle.Split(to)
		g.Expect(err).NotTo(HaveOccurred())
		applied, err := base.Apply(bundle.Diff(base, target), target.Digest())
		g.Expect(err).NotTo(HaveOccurred())
		content := make(map[bundle.Digest][]byte)
		for _, part := range append(fromParts, toParts...) {
			content[part.Digest] = part.Data
		}
		assembled, err := bundle.Assemble(applied, func(d bundle.Digest) ([]byte, bool) { data, ok := content[d]; return data, ok })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(assembled.Teams).To(BeComparableTo(to.Teams))
		g.Expect(assembled.Routes).To(Equal(to.Routes))
		text, err := bundle.Format(assembled)
		g.Expect(err).NotTo(HaveOccurred())
		parsed, problems := bundle.Parse("again.json", text)
		g.Expect(problems).To(BeEmpty())
		_, again, err := bundle.Split(parsed)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Digest()).To(Equal(target.Digest()))
	})
}
