package relay

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

var _ = Describe("checkReferences", func() {
	services := []bundle.Service{{Name: "desk"}, {Name: "desk-next"}}
	split := func(second string) *bundle.Bundle {
		return &bundle.Bundle{Services: services, Routes: []bundle.Route{{
			Name: "lookup", Split: []bundle.Share{{Service: "desk", Weight: 9}, {Service: second, Weight: 1}},
		}}}
	}

	// Guards against nodes that refuse a version because one of its routes is split between several services.
	It("accepts a split route", func() { Expect(checkReferences(split("desk-next"))).To(Succeed()) })

	It("rejects a split to a service that the bundle does not contain", func() {
		Expect(checkReferences(split("gone"))).To(MatchError(ErrDanglingReference))
	})
})
