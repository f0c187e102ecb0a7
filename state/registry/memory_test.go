package registry_test

import (
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/registry"
)

var _ = Describe("EncodeUpdate", func() {
	// Guards against a compressor whose tables are many times as large as the largest update: every member that has
	// encoded an update keeps them.
	It("takes no more memory for a small update than twice the largest one", func() {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := registry.EncodeUpdate(updateOf(bundleWith(1)))
		Expect(err).NotTo(HaveOccurred())
		runtime.ReadMemStats(&after)
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<=", 2*registry.MaxUpdateBytes))
	})
})
