package bundle_test

import (
	"strconv"
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

// Guards against a team, key, access or public route that is lost or changed between the operator's bundle and a node's.
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
		if len(names) == 0 {
			b.Access = rapid.SampledFrom([]bundle.Access{"", bundle.AccessOpen, bundle.AccessKeys}).Draw(t, "access")
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
		g.Expect(assembled.Access).To(Equal(to.Access))
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

var _ = Describe("access", func() {
	// Guards against a mesh that is open to every caller once the last team has been removed, and against one that is closed,
	// or has another digest, because it has never had a team.
	DescribeTable("follows from what a bundle states, never from the number of its teams", func(want bundle.Access, files ...string) {
		folder := GinkgoT().TempDir()
		writeFile(folder, "0.json", `{"services":[{"name":"s"}]}`)
		for i, content := range files {
			writeFile(folder, strconv.Itoa(i+1)+".json", content)
		}
		b, err := bundle.Load(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Access).To(Equal(want))
		text, err := bundle.Format(b)
		Expect(err).NotTo(HaveOccurred())
		writeFile(folder, "0.json", string(text))
		for i := range files {
			writeFile(folder, strconv.Itoa(i+1)+".json", "{}")
		}
		again, err := bundle.Load(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Access).To(Equal(want))
		Expect(fullUpdate(again).Target).To(Equal(fullUpdate(b).Target))
	},
		Entry("no list of teams", bundle.AccessOpen),
		Entry("open, without a list", bundle.AccessOpen, `{"access":"open"}`),
		Entry("an empty list", bundle.AccessKeys, `{"teams":[]}`),
		Entry("an empty list beside files without one", bundle.AccessKeys, `{"routes":[]}`, `{"teams":[]}`, `{}`),
		Entry("keys, without a list", bundle.AccessKeys, `{"access":"keys"}`),
		Entry("keys in two files", bundle.AccessKeys, `{"access":"keys"}`, `{"access":"keys","teams":[]}`),
		Entry("a team without keys", bundle.AccessKeys, `{"teams":[{"name":"t"}]}`),
		Entry("a team with an empty list of keys", bundle.AccessKeys, `{"teams":[{"name":"t","keys":[]}]}`),
		Entry("a team with a key", bundle.AccessKeys, `{"access":"keys"}`, `{"teams":[{"name":"t","keys":["k"]}]}`),
	)

	DescribeTable("that cannot be told is refused", func(line string, files ...string) {
		folder := GinkgoT().TempDir()
		writeFile(folder, "0.json", `{"services":[{"name":"s"}]}`)
		for i, content := range files {
			writeFile(folder, strconv.Itoa(i+1)+".json", content)
		}
		_, err := bundle.Load(folder)
		Expect(err).To(MatchError(ContainSubstring(line)))
	},
		Entry("null", `1.json: teams: got null, allowed: a list`, `{"teams":null}`),
		Entry("null as access", `1.json: access: got null`, `{"access":null}`),
		Entry("another access", `1.json: access: got "key", allowed: one of "open", "keys", or no value`, `{"access":"key"}`),
		Entry("open beside a team", `1.json: access: got "open", allowed: one of "keys", or no value, beside teams`,
			`{"access":"open","teams":[{"name":"t","keys":["k"]}]}`),
		Entry("open beside an empty list of another file", `1.json: access: got "open"`, `{"access":"open"}`, `{"teams":[]}`),
		Entry("two that differ", `2.json: access: got "open", allowed: "keys" as in 1.json, or no value`, `{"access":"keys"}`, `{"access":"open"}`),
	)

	// Guards against an empty list of teams that is distributed as none because the bundle was not put into canonical form.
	It("is encoded also before it is settled", func() {
		store := bundle.NewStore()
		update := fullUpdate(&bundle.Bundle{Services: []bundle.Service{{Name: "s"}}, Teams: []bundle.Team{}})
		Expect(store.Add(update)).To(Succeed())
		b, err := store.Bundle(update.Target)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Access).To(Equal(bundle.AccessKeys))
	})

	It("is named first among the changes", func() {
		team := &bundle.Bundle{Teams: []bundle.Team{{Name: "t", Keys: []string{"k"}}}}
		none := &bundle.Bundle{}
		bundle.Canonicalize(team)
		bundle.Canonicalize(none)
		changes := bundle.Changes(team, none)
		Expect(changes).To(HaveLen(2))
		Expect(changes[0].String()).To(Equal(
			"~ access of callers\n    access: keys (callers need a key of a team) -> open (callers need no key)"))
		Expect(bundle.Changes(team, &bundle.Bundle{Access: bundle.AccessKeys})).To(HaveLen(1), "the team alone")
	})

	// Guards against bundles of former releases that get another meaning or digest, and against nodes of these releases that
	// take a bundle for an open one because they do not see its access.
	It("changes no encoding of a bundle that former releases can tell", func() {
		digest := func(b *bundle.Bundle) string {
			bundle.Canonicalize(b)
			return fullUpdate(b).Target.Short()
		}
		services := []bundle.Service{{Name: "s"}}
		team := []bundle.Team{{Name: "t", Keys: []string{"k"}}}
		Expect(digest(&bundle.Bundle{Services: services})).To(Equal("b1600873ea9a"))
		Expect(digest(&bundle.Bundle{Services: services, Teams: team})).To(Equal("2d163c09ac99"))
		Expect(digest(&bundle.Bundle{Services: services, Teams: team, Access: bundle.AccessKeys})).To(Equal("2d163c09ac99"))
		closed := &bundle.Bundle{Services: services, Access: bundle.AccessKeys}
		parts, manifest, err := bundle.Split(closed)
		Expect(err).NotTo(HaveOccurred())
		Expect(manifest.Entries[1].ID.Kind).To(Equal(bundle.KindAccess), "a kind that these releases refuse")
		text, err := bundle.Format(closed)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring(`"access": "keys"`), "a field that these releases refuse")

		// A second encoding of one access would be a second digest.
		withTeam, teamManifest, err := bundle.Split(&bundle.Bundle{Services: services, Teams: team})
		Expect(err).NotTo(HaveOccurred())
		content := make(map[bundle.Digest][]byte)
		for _, part := range append(parts, withTeam...) {
			content[part.Digest] = part.Data
		}
		both := bundle.Manifest{Entries: append(teamManifest.Entries, manifest.Entries[1])}
		_, err = bundle.Assemble(both, func(d bundle.Digest) ([]byte, bool) { data, ok := content[d]; return data, ok })
		Expect(err).To(MatchError(bundle.ErrNotCanonical))
	})
})
