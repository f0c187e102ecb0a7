package protocol_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/protocol"
)

var _ = Describe("Dialect.RequestLimit", func() {
	read := func(text string) (float64, error) {
		header := http.Header{}
		if text != "" {
			header.Set(protocol.HeaderUpstreamLimit, text)
		}
		return protocol.DefaultDialect.RequestLimit(header)
	}

	DescribeTable("reads requests per second", func(text string, want float64) {
		Expect(read(text)).To(Equal(want))
	},
		Entry("none", "", 0.0), Entry("a decimal number", "8.6", 8.6), Entry("a whole number", "20", 20.0),
		Entry("nothing at all: an upstream without requests could not say that it takes more", "0", protocol.MinRequestLimit),
	)

	DescribeTable("returns ErrMalformed for what is no rate", func(text string) {
		_, err := read(text)
		Expect(err).To(MatchError(protocol.ErrMalformed))
	}, Entry("text", "many"), Entry("negative", "-1"), Entry("not a number", "NaN"), Entry("infinite", "Inf"), Entry("two", "1, 2"))

	It("reads nothing if the dialect has no such field", func() {
		Expect((&protocol.Dialect{}).RequestLimit(http.Header{"": {"8"}})).To(BeZero())
	})
})

var _ = Describe("Dialect.Load", func() {
	dialect := protocol.Dialect{UpstreamLoad: "X-Load"}
	read := func(text string) (protocol.UpstreamLoad, bool, error) {
		return dialect.Load(http.Header{"X-Load": {text}})
	}

	DescribeTable("reads the load of an upstream", func(text string, want protocol.UpstreamLoad) {
		load, told, err := read(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(told).To(BeTrue())
		Expect(load).To(Equal(want))
	},
		Entry("three figures", "3,0,8", protocol.UpstreamLoad{Running: 3, Slots: 8}),
		Entry("four figures", "3, 1, 8, 250", protocol.UpstreamLoad{Running: 3, Waiting: 1, Slots: 8, Slowdown: 250}),
	)

	DescribeTable("returns ErrMalformed for what is no load", func(text string) {
		_, told, err := read(text)
		Expect(err).To(MatchError(protocol.ErrMalformed))
		Expect(told).To(BeFalse())
	}, Entry("too few", "3,0"), Entry("too many", "1,2,3,4,5"), Entry("text", "a,b,c"), Entry("negative", "1,-1,8"),
		Entry("not whole", "1,2,8,1.5"), Entry("empty figure", "1,,8"), Entry("huge", "1,2,99999999999999999999"))

	It("reads nothing if there is none", func() {
		_, told, err := dialect.Load(http.Header{})
		Expect(err).NotTo(HaveOccurred())
		Expect(told).To(BeFalse())
	})
})
