package registry

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

var _ = Describe("History", func() {
	// Guards against memory that grows with the number of versions that were ever approved.
	It("is bounded, and so are its indexes", func() {
		r := New(bundle.NewKeyring(nil))
		for version := uint64(1); version <= MaxHistory+2; version++ {
			r.latest = r.addRecord(HistoryRecord{Action: ActionApproved, Version: version, Approval: &bundle.Approval{}})
		}
		Expect(r.history).To(HaveLen(MaxHistory))
		Expect(r.approvals).To(HaveLen(MaxHistory))
		result, decided := r.checkVersion(1, bundle.Digest{})
		Expect(decided).To(BeTrue())
		Expect(result.Err()).To(MatchError(ErrVersionOld))
	})
})
