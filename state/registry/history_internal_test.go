package registry

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

var _ = Describe("History", func() {
	It("is bounded together with its indexes, so that a long-lived member does not grow", func() {
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
