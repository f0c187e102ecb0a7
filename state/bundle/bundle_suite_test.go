package bundle_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// seed makes every run execute the specs in the same order; rapid.seed below does the same for generated cases.
const seed = 20261204

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestBundle(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = seed
	RunSpecs(t, "bundle", suite, reporter)
}
