package bundle_test

import (
	"bytes"
	"crypto/ed25519"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

func writeFile(folder, name, content string) {
	path := filepath.Join(folder, name)
	Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(Succeed())
	Expect(os.WriteFile(path, []byte(content), 0o644)).To(Succeed())
}

var _ = Describe("Load", func() {
	It("gives equal content the same digest, however it is split into files, ordered and spelled", func() {
		firstFolder, secondFolder := GinkgoT().TempDir(), GinkgoT().TempDir()
		writeFile(firstFolder, "a.json", `{"services":[{"name":"rank"},{"name":"ledger"}],"routes":[
			{"name":"r","service":"rank","class":"lookup","deadline_ms":5,
			 "match":{"host":"Rank.Example","path_prefix":"/rank","methods":["HEAD","GET"],"headers":{"x-a":"1"}},
			 "resources":["l","h"]}],"resources":[{"name":"h","kind":"headers","headers":{"x-b":"1"}},
			{"name":"l","kind":"call-limit","call_limit":{"calls_per_second":1,"burst":1}}]}`)
		writeFile(secondFolder, "z/routes.json", `{"routes":[{"match":{"headers":{"X-A":"1"},"methods":["GET","HEAD"],
			"path_prefix":"/rank","host":"rank.example"},"deadline_ms":5,"class":"lookup","service":"rank","name":"r",
			"resources":["h","l"]}]}`)
		writeFile(secondFolder, "b.json", `{"services":[{"name":"ledger"}]}`)
		writeFile(secondFolder, "c.json", `{"services":[{"name":"rank"}],"resources":[
			{"name":"l","kind":"call-limit","call_limit":{"burst":1,"calls_per_second":1}},
			{"name":"h","kind":"headers","headers":{"X-B":"1"}}]}`)
		writeFile(secondFolder, "notes.txt", `not JSON`)
		first, err := bundle.Load(firstFolder)
		Expect(err).NotTo(HaveOccurred())
		second, err := bundle.Load(secondFolder)
		Expect(err).NotTo(HaveOccurred())
		Expect(fullUpdate(second).Target).To(Equal(fullUpdate(first).Target))
	})

	It("reports all problems of all files at once, with file, field, value and allowed values", func() {
		folder := GinkgoT().TempDir()
		writeFile(folder, "a.json", `{"services":[{"name":"rank","slots":3},{"name":"rank"}],"extra":1,"extra":2}`)
		writeFile(folder, "b/c.json", `{"routes":[
			{"name":"ok","service":"rank","class":"lookup","deadline_ms":10,"match":{"path_prefix":"/"}},
			{"name":"r","service":"rang","class":"fast","deadline_ms":0,"match":{"path_prefix":"rank"},
			 "resources":["limit"],"retry":{"max_attempts":9},"max_body_bytes":"1"}]}`)
		writeFile(folder, "d.json", "{\n \"routes\": [,]}")
		_, err := bundle.Load(folder)
		Expect(err).To(BeAssignableToTypeOf(bundle.Problems{}))
		lines := strings.Split(err.Error(), "\n")
		Expect(lines).To(Equal([]string{
			"bundle: 12 problems",
			`a.json: extra: got duplicate key, allowed: each key once`,
			`a.json: services[0].slots: got unknown field, allowed: one of name, max_concurrency, queue_limit, slow_start_ms, ` +
				`health_path, max_connections, protocol, tls`,
			`a.json: extra: got unknown field, allowed: one of services, routes, resources, teams, access`,
			`b/c.json: routes[1].max_body_bytes: got "1", allowed: an integer of 64 bits`,
			`d.json: line 2, column 13: got invalid character ',' looking for beginning of value, allowed: valid JSON`,
			`a.json: services[1].name: got "rank", allowed: a name that no other entry of the list has`,
			`b/c.json: routes[1].match.path_prefix: got "rank", allowed: / or a path of at most 512 characters such as ` +
				`/a/b or /a/b/, without empty or dot segments, %, ? or #`,
			`b/c.json: routes[1].service: got "rang", allowed: a declared service (rank)`,
			`b/c.json: routes[1].class: got "fast", allowed: one of "irreversible", "lookup", "report", "download", "upload"`,
			`b/c.json: routes[1].deadline_ms: got 0, allowed: 1 to 600000`,
			`b/c.json: routes[1].retry.max_attempts: got 9, allowed: 0 to 8`,
			`b/c.json: routes[1].resources[0]: got "limit", allowed: a declared resource (there is none)`,
		}))
	})

	It("rejects a folder without services, so that a mistyped path does not load as an empty bundle", func() {
		_, err := bundle.Load(GinkgoT().TempDir())
		Expect(err).To(MatchError(ContainSubstring("at least one service")))
	})
})

var _ = Describe("Validate", func() {
	route := func(name string, match bundle.Match) bundle.Route {
		return bundle.Route{Name: name, Service: "rank", Class: bundle.ClassLookup, DeadlineMs: 10, Match: match}
	}
	problemFields := func(b bundle.Bundle) []string {
		b.Services = append(b.Services, bundle.Service{Name: "rank"})
		var list []string
		for _, problem := range bundle.Validate(&b) {
			list = append(list, problem.Field)
		}
		return list
	}

	DescribeTable("reports exactly the overlapping matches of equal precedence",
		func(a, b bundle.Match, ambiguous bool) {
			found := problemFields(bundle.Bundle{Routes: []bundle.Route{route("a", a), route("b", b)}})
			if ambiguous {
				Expect(found).To(Equal([]string{"routes[1].match"}))
			} else {
				Expect(found).To(BeEmpty())
			}
		},
		Entry("equal", bundle.Match{PathPrefix: "/a"}, bundle.Match{PathPrefix: "/a"}, true),
		Entry("equal hosts in different case", bundle.Match{Host: "A.example", PathPrefix: "/a"},
			bundle.Match{Host: "a.example", PathPrefix: "/a"}, true),
		Entry("common method", bundle.Match{PathPrefix: "/a", Methods: []string{"GET", "PUT"}},
			bundle.Match{PathPrefix: "/a", Methods: []string{"PUT"}}, true),
		Entry("conditions on different headers", bundle.Match{PathPrefix: "/a", Headers: map[string]string{"X": "1"}},
			bundle.Match{PathPrefix: "/a", Headers: map[string]string{"Y": "1"}}, true),
		Entry("disjoint methods", bundle.Match{PathPrefix: "/a", Methods: []string{"GET"}},
			bundle.Match{PathPrefix: "/a", Methods: []string{"PUT"}}, false),
		Entry("different values of one header", bundle.Match{PathPrefix: "/a", Headers: map[string]string{"X": "1"}},
			bundle.Match{PathPrefix: "/a", Headers: map[string]string{"x": "2"}}, false),
		Entry("longer path", bundle.Match{PathPrefix: "/a"}, bundle.Match{PathPrefix: "/a/b"}, false),
		Entry("a host in one match only", bundle.Match{PathPrefix: "/a"}, bundle.Match{Host: "h", PathPrefix: "/a"}, false),
	)

	It("rejects numbers out of bounds and conflicting resources", func() {
		b := bundle.Bundle{
			Services: []bundle.Service{{Name: "s", MaxConcurrency: -1, QueueLimit: 1 << 40, SlowStartMs: -1}},
			Resources: []bundle.Resource{
				{Name: "h1", Kind: bundle.ResourceHeaders, Headers: map[string]string{"X-A": "1", "Sapphire-Depth": "1"}},
				{Name: "h2", Kind: bundle.ResourceHeaders, Headers: map[string]string{"x-a": "2\n"}},
				{Name: "l1", Kind: bundle.ResourceCallLimit, CallLimit: &bundle.CallLimit{CallsPerSecond: 0, Burst: 1}},
				{Name: "l2", Kind: bundle.ResourceCallLimit},
			},
			Routes: []bundle.Route{{Name: "r", Service: "rank", Class: bundle.ClassReport, DeadlineMs: 1 << 40,
				MaxBodyBytes: -1, Zone: "far", Retry: bundle.Retry{BudgetPercent: 101},
				Match: bundle.Match{PathPrefix: "/a//", Methods: []string{"get"}}, Resources: []string{"h1", "h2", "l1", "l2"}}},
		}
		Expect(problemFields(b)).To(Equal([]string{
			"services[0].max_concurrency", "services[0].queue_limit", "services[0].slow_start_ms",
			"resources[0].headers.Sapphire-Depth", "resources[1].headers.x-a", "resources[2].call_limit.calls_per_second",
			"resources[3].call_limit", "routes[0].match.path_prefix", "routes[0].match.methods[0]", "routes[0].zone",
			"routes[0].deadline_ms", "routes[0].retry.budget_percent", "routes[0].max_body_bytes",
			"routes[0].resources[1]", "routes[0].resources[3]",
		}))
	})
})

var _ = Describe("Match", func() {
	It("matches whole path segments, so that /rank does not match /ranking", func() {
		match := bundle.Match{PathPrefix: "/rank", Host: "a.example", Headers: map[string]string{"X": "1"}}
		header := func(string) string { return "1" }
		Expect(match.Matches("A.example", "GET", "/rank/7", header)).To(BeTrue())
		Expect(match.Matches("a.example", "GET", "/ranking", header)).To(BeFalse())
		Expect(match.Matches("b.example", "GET", "/rank", header)).To(BeFalse())
		Expect(match.Matches("a.example", "GET", "/rank", func(string) string { return "" })).To(BeFalse())
	})
})

var _ = Describe("Changes", func() {
	It("lists the changed fields of each part, for the operator who reviews a bundle", func() {
		from, to := exampleBundle(100), exampleBundle(200)
		to.Services = to.Services[1:]
		to.Resources = []bundle.Resource{{Name: "h", Kind: bundle.ResourceHeaders, Headers: map[string]string{"X": "1"}}}
		var lines []string
		for _, change := range bundle.Changes(from, to) {
			lines = append(lines, change.String())
		}
		Expect(lines).To(Equal([]string{
			"- service promotion",
			"~ route lookup\n    deadline_ms: 100 -> 200",
			"+ resource h\n    headers.X: \"1\"\n    kind: \"headers\"",
		}))
	})
})

var _ = Describe("Keyring", func() {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public := key.Public().(ed25519.PublicKey)
	other := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize)).Public().(ed25519.PublicKey)
	keyring := bundle.NewKeyring(map[string][]ed25519.PublicKey{"ana": {other, public}, "ben": {other}})
	signed := bundle.Sign(key, bundle.Approval{Version: 3, Digest: bundle.Digest{1}, Operator: "ana", Replaces: 2})

	DescribeTable("rejects an approval that was altered after it was signed",
		func(alter func(a *bundle.Approval), want error) {
			altered := signed
			alter(&altered)
			Expect(keyring.Verify(signed)).To(Succeed())
			Expect(keyring.Verify(altered)).To(MatchError(want))
		},
		Entry("version", func(a *bundle.Approval) { a.Version++ }, bundle.ErrBadSignature),
		Entry("digest", func(a *bundle.Approval) { a.Digest[0]++ }, bundle.ErrBadSignature),
		Entry("condition", func(a *bundle.Approval) { a.Replaces = 0 }, bundle.ErrBadSignature),
		Entry("operator", func(a *bundle.Approval) { a.Operator = "ben" }, bundle.ErrBadSignature),
		Entry("unknown operator", func(a *bundle.Approval) { a.Operator = "eve" }, bundle.ErrUnknownOperator),
		Entry("no signature", func(a *bundle.Approval) { a.Signature = nil }, bundle.ErrBadSignature),
	)

	It("accepts a signature only for the purpose it was made for", func() {
		signature := bundle.SignMessage(key, "one", []byte("m"))
		Expect(keyring.VerifyMessage("ana", "one", []byte("m"), signature)).To(Succeed())
		Expect(keyring.VerifyMessage("ana", "two", []byte("m"), signature)).To(MatchError(bundle.ErrBadSignature))
	})

	It("loads the key files that it saves, and rejects a private key that other users can read", func() {
		private := filepath.Join(GinkgoT().TempDir(), "ana.key")
		generated := bundle.PrivateKey{Operator: "ana", Key: key}
		Expect(generated.Save(private)).To(Succeed())
		Expect(generated.Save(private)).To(MatchError(os.ErrExist))
		Expect(generated.SavePublic(private + ".pub")).To(Succeed())
		Expect(bundle.LoadKey(private)).To(Equal(generated))
		loaded, err := bundle.LoadKeyring(private + ".pub")
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Verify(signed)).To(Succeed())
		Expect(os.Chmod(private, 0o640)).To(Succeed())
		_, err = bundle.LoadKey(private)
		Expect(err).To(MatchError(bundle.ErrKeyFile))
	})
})

var _ = Describe("Bundle format page", func() {
	It("documents every field, so that the page stays up to date", func() {
		data, err := os.ReadFile("../../docs/bundle-format.md")
		Expect(err).NotTo(HaveOccurred())
		visit := func(t reflect.Type, prefix string) {
			for i := range t.NumField() {
				name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
				if t.Field(i).Type.Kind() != reflect.Pointer {
					Expect(string(data)).To(ContainSubstring("`" + prefix + name + "`"))
				}
			}
		}
		visit(reflect.TypeFor[bundle.Service](), "")
		visit(reflect.TypeFor[bundle.Match](), "match.")
		visit(reflect.TypeFor[bundle.Retry](), "retry.")
		visit(reflect.TypeFor[bundle.Resource](), "")
		visit(reflect.TypeFor[bundle.Team](), "")
		visit(reflect.TypeFor[bundle.CallLimit](), "call_limit.")
		for _, field := range []string{"match", "service", "class", "public", "deadline_ms", "zone", "max_body_bytes", "resources"} {
			Expect(string(data)).To(ContainSubstring("`" + field + "`"))
		}
	})

	DescribeTable("has examples that load and contain routes of every class",
		func(name string, services ...string) {
			b, err := bundle.Load("../../examples/" + name)
			Expect(err).NotTo(HaveOccurred())
			classes, used := map[bundle.Class]bool{}, map[string]bool{}
			for _, route := range b.Routes {
				classes[route.Class] = true
				used[route.Service] = true
			}
			Expect(classes).To(HaveLen(4))
			for _, service := range services {
				Expect(used).To(HaveKey(service))
			}
		},
		Entry(nil, "kalasag", "rank-lookup", "promotion-ledger", "instructor-lineage", "examination-archive"),
		Entry(nil, "kartuli", "public-lookup", "isbn-assignment", "prefix-registry", "catalogue-reporting"),
	)
})
