package bundle_test

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// legacyUpdate has the encoding of an update in the logs of earlier releases.
type legacyUpdate struct {
	Base   bundle.Digest `cbor:"1,keyasint"`
	Target bundle.Digest `cbor:"2,keyasint"`
	Delta  bundle.Delta  `cbor:"3,keyasint"`
	Parts  []bundle.Part `cbor:"4,keyasint,omitempty"`
}

var _ = Describe("Update", func() {
	var store *bundle.Store
	addBundle := func(count int) bundle.Digest {
		b := &bundle.Bundle{Services: []bundle.Service{{Name: "desk"}}}
		for i := range count {
			b.Routes = append(b.Routes, bundle.Route{
				Name: fmt.Sprintf("route-%d", i), Match: bundle.Match{PathPrefix: fmt.Sprintf("/p%d", i)}, Service: "desk",
				Class: bundle.ClassLookup, DeadlineMs: 1000,
			})
		}
		bundle.Canonicalize(b)
		parts, manifest, err := bundle.Split(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Add(bundle.Update{
			Target: manifest.Digest(), Delta: bundle.Diff(bundle.Manifest{}, manifest), Parts: parts,
		})).To(Succeed())
		return manifest.Digest()
	}
	encode := func(value any) []byte {
		data, err := cbor.Marshal(value)
		Expect(err).NotTo(HaveOccurred())
		return data
	}
	BeforeEach(func() { store = bundle.NewStore() })

	// Guards against sending digests that the receiver can compute. They cannot be compressed: with 32 bytes for each
	// route they were two thirds of a bundle of 1000 routes, which took 0.3 s on a link of 1.4 Mbit/s.
	It("omits the digests of the parts that it contains", func() {
		target := addBundle(50)
		update, err := store.Update(bundle.Digest{}, target)
		Expect(err).NotTo(HaveOccurred())
		data := encode(update)
		for _, part := range update.Parts {
			Expect(data).NotTo(ContainSubstring(string(part.Digest[:])))
		}
		var decoded bundle.Update
		Expect(cbor.Unmarshal(data, &decoded)).To(Succeed())
		Expect(decoded).To(Equal(update))
	})

	It("decodes to an equal update if the receiver already has the base or the parts", func() {
		base, target := addBundle(50), addBundle(40)
		update, err := store.Update(base, target)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.Delta.Removed).To(HaveLen(10))
		var decoded bundle.Update
		Expect(cbor.Unmarshal(encode(update), &decoded)).To(Succeed())
		Expect(decoded).To(Equal(update))
		// An entry whose part is not included refers to it by its digest.
		update.Parts = nil
		update.Delta = bundle.Diff(bundle.Manifest{}, mustManifest(store, target))
		decoded = bundle.Update{}
		Expect(cbor.Unmarshal(encode(update), &decoded)).To(Succeed())
		Expect(decoded).To(Equal(update))
	})

	It("decodes updates from logs of earlier releases", func() {
		update, err := store.Update(bundle.Digest{}, addBundle(3))
		Expect(err).NotTo(HaveOccurred())
		old := encode(legacyUpdate{update.Base, update.Target, update.Delta, update.Parts})
		var decoded bundle.Update
		Expect(cbor.Unmarshal(old, &decoded)).To(Succeed())
		Expect(decoded).To(Equal(update))
	})

	It("rejects an entry whose content number is out of range", func() {
		for _, contentNumber := range []int{-1, 2} {
			data := encode(map[int]any{
				1: make([]byte, 32), 2: make([]byte, 32), 7: [][]byte{{1}},
				5: []any{map[int]any{1: map[int]any{1: 2, 2: "route"}, 2: contentNumber}},
			})
			Expect(cbor.Unmarshal(data, new(bundle.Update))).To(MatchError(bundle.ErrMissingPart))
		}
	})
})

func mustManifest(store *bundle.Store, digest bundle.Digest) bundle.Manifest {
	manifest, ok := store.Manifest(digest)
	Expect(ok).To(BeTrue())
	return manifest
}
