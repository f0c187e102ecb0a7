package strictjson_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/internal/strictjson"
)

func TestStrictJSON(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 20261204
	RunSpecs(t, "strictjson", suite, reporter)
}

type inner struct {
	Flag bool   `json:"flag"`
	Big  uint64 `json:"big"`
}

type outer struct {
	Name  string            `json:"name"`
	Count int               `json:"count"`
	List  []inner           `json:"list"`
	Map   map[string]string `json:"map"`
	Ptr   *inner            `json:"ptr"`
}

var _ = Describe("Decode", func() {
	DescribeTable("reports all faults, including those that encoding/json accepts",
		func(text string, want ...strictjson.Problem) {
			Expect(strictjson.Decode([]byte(text), &outer{})).To(Equal(want))
		},
		Entry("key in another case", `{"Name":"a"}`,
			strictjson.Problem{Path: "Name", Value: "unknown field", Allowed: "one of name, count, list, map, ptr"}),
		Entry("duplicate key in a map", `{"map":{"a":"1","a":"2"}}`,
			strictjson.Problem{Path: "map.a", Value: "duplicate key", Allowed: "each key once"}),
		Entry("null and wrong types at once", `{"name":null,"count":1.5,"list":[{"flag":0},{"big":-1}],"map":[],"ptr":[]}`,
			strictjson.Problem{Path: "name", Value: "null", Allowed: "a string"},
			strictjson.Problem{Path: "count", Value: "1.5", Allowed: "an integer of 64 bits"},
			strictjson.Problem{Path: "list[0].flag", Value: "0", Allowed: "true or false"},
			strictjson.Problem{Path: "list[1].big", Value: "-1", Allowed: "an unsigned integer of 64 bits"},
			strictjson.Problem{Path: "map", Value: "a list", Allowed: "an object"},
			strictjson.Problem{Path: "ptr", Value: "a list", Allowed: "an object"}),
		Entry("integer beyond 64 bits", `{"count":9223372036854775808}`,
			strictjson.Problem{Path: "count", Value: "9223372036854775808", Allowed: "an integer of 64 bits"}),
		Entry("another type at the top", `[]`,
			strictjson.Problem{Path: "(file)", Value: "a list", Allowed: "an object"}),
		Entry("text after the value", "{}\n{}", strictjson.Problem{Path: "line 2, column 1",
			Value: "invalid character '{' after top-level value", Allowed: "valid JSON"}),
		Entry("empty file", "", strictjson.Problem{Path: "line 1, column 0",
			Value: "unexpected end of JSON input", Allowed: "valid JSON"}),
		Entry("invalid UTF-8", "{\"name\":\"\xff\"}",
			strictjson.Problem{Path: "(file)", Value: "invalid UTF-8", Allowed: "JSON in UTF-8"}),
	)

	It("decodes valid JSON and keeps the values of absent fields", func() {
		value := outer{Name: "default", Ptr: &inner{Big: 7}}
		Expect(strictjson.Decode([]byte(`{"list":[{"flag":true}],"ptr":{"flag":true}}`), &value)).To(BeEmpty())
		Expect(value).To(Equal(outer{Name: "default", List: []inner{{Flag: true}}, Ptr: &inner{Flag: true, Big: 7}}))
	})
})
