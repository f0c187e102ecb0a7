package routing_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/routing"
	"sapphiregate.example/sapphiregate/state/bundle"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

func route(name, host, prefix string, methods ...string) bundle.Route {
	return bundle.Route{Name: name, Service: "rank", Match: bundle.Match{Host: host, PathPrefix: prefix, Methods: methods}}
}

var _ = Describe("Table", func() {
	var table *routing.Table

	BeforeEach(func() {
		tournament := route("tournament", "", "/ranks")
		tournament.Match.Headers = map[string]string{"X-Desk": "tournament"}
		var err error
		table, err = routing.New(&bundle.Bundle{
			Services: []bundle.Service{{Name: "rank"}},
			Routes: []bundle.Route{
				route("root", "", "/"),
				route("ranks", "", "/ranks"),
				route("ranks-write", "", "/ranks", "POST"),
				route("belts", "", "/ranks/belts"),
				route("hosted", "ranks.example", "/"),
				tournament,
			},
		})
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("chooses the most specific route",
		func(request routing.Request, want string) {
			found, err := table.Match(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(found.Name).To(Equal(want))
		},
		Entry("longest prefix", routing.Request{Path: "/ranks/belts/7"}, "belts"),
		Entry("whole segments only, so that /ranksheet is not /ranks", routing.Request{Path: "/ranksheet"}, "root"),
		Entry("method before no method", routing.Request{Path: "/ranks", Method: "POST"}, "ranks-write"),
		Entry("method does not hide the others", routing.Request{Path: "/ranks", Method: "GET"}, "ranks"),
		Entry("host before any host", routing.Request{Host: "Ranks.Example:80", Path: "/ranks"}, "hosted"),
		Entry("header before method", routing.Request{
			Path: "/ranks", Method: "POST", Header: func(string) string { return "tournament" },
		}, "tournament"),
	)

	It("refuses a route whose service is missing", func() {
		_, err := routing.New(&bundle.Bundle{Routes: []bundle.Route{route("lost", "", "/")}})
		Expect(err).To(MatchError(routing.ErrDangling))
	})
})

// BenchmarkMatch shows that the time of a match does not grow with the number of routes.
func BenchmarkMatch(b *testing.B) {
	for _, count := range []int{10, 1000, 10000} {
		definition := &bundle.Bundle{Services: []bundle.Service{{Name: "rank"}}}
		for i := range count {
			definition.Routes = append(definition.Routes, route(fmt.Sprint(i), "", fmt.Sprintf("/service%d/items", i)))
		}
		table, err := routing.New(definition)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Match(routing.Request{Path: "/service7/items/12", Method: "GET"}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
