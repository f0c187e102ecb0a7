package bundle_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

func exampleBundle(deadlineMs int) *bundle.Bundle {
	return &bundle.Bundle{
		Services: []bundle.Service{{Name: "promotion"}, {Name: "rank"}},
		Routes: []bundle.Route{
			{Name: "lookup", Service: "rank", Class: bundle.ClassLookup, DeadlineMs: deadlineMs},
			{Name: "promote", Service: "promotion", Class: bundle.ClassIrreversible, DeadlineMs: 2000},
		},
		Access: bundle.AccessOpen,
	}
}

func fullUpdate(b *bundle.Bundle) bundle.Update {
	parts, manifest, err := bundle.Split(b)
	Expect(err).NotTo(HaveOccurred())
	return bundle.Update{Target: manifest.Digest(), Delta: bundle.Diff(bundle.Manifest{}, manifest), Parts: parts}
}

var _ = Describe("Store", func() {
	It("includes only the changed part when one route changes", func() {
		store := bundle.NewStore()
		first, second := fullUpdate(exampleBundle(100)), fullUpdate(exampleBundle(200))
		Expect(store.Add(first)).To(Succeed())
		Expect(store.Add(second)).To(Succeed())
		update, err := store.Update(first.Target, second.Target)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.Parts).To(HaveLen(1))

		other := bundle.NewStore()
		Expect(other.Add(first)).To(Succeed())
		Expect(other.Add(update)).To(Succeed())
		Expect(other.Bundle(second.Target)).To(Equal(exampleBundle(200)))
	})

	It("stores nothing of an update with a corrupt part", func() {
		store := bundle.NewStore()
		update := fullUpdate(exampleBundle(100))
		update.Parts[0].Data[0] ^= 1
		Expect(store.Add(update)).To(MatchError(bundle.ErrCorruptPart))
		Expect(store.Holds(update.Target)).To(BeFalse())
	})

	It("rejects an update whose base it does not have", func() {
		store := bundle.NewStore()
		first, second := fullUpdate(exampleBundle(100)), fullUpdate(exampleBundle(200))
		Expect(store.Add(first)).To(Succeed())
		Expect(store.Add(second)).To(Succeed())
		update, err := store.Update(first.Target, second.Target)
		Expect(err).NotTo(HaveOccurred())
		Expect(bundle.NewStore().Add(update)).To(MatchError(bundle.ErrMissingPart))
	})

	It("drops bundles that are not retained and keeps the parts of the retained one", func() {
		store := bundle.NewStore()
		first, second := fullUpdate(exampleBundle(100)), fullUpdate(exampleBundle(200))
		Expect(store.Add(first)).To(Succeed())
		Expect(store.Add(second)).To(Succeed())
		store.Retain(second.Target)
		Expect(store.Holds(first.Target)).To(BeFalse())
		Expect(store.Bundle(second.Target)).To(Equal(exampleBundle(200)))
	})
})
