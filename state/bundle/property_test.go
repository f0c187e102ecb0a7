package bundle_test

import (
	"crypto/sha256"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// drawManifest draws a manifest from a small set of names and digests, so that two manifests often share entries.
func drawManifest(t *rapid.T, label string) bundle.Manifest {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 0, 5, rapid.ID).
		Draw(t, label)
	b := &bundle.Bundle{}
	for _, name := range names {
		b.Services = append(b.Services, bundle.Service{Name: name, QueueLimit: rapid.IntRange(0, 2).Draw(t, "limit")})
	}
	_, manifest, err := bundle.Split(b)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return manifest
}

// Guards against a delta that does not produce the target manifest, and against one that is accepted on a wrong base
// although the result is not the target.
func TestDiffApplyProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		from, to, other := drawManifest(t, "from"), drawManifest(t, "to"), drawManifest(t, "other")
		delta := bundle.Diff(from, to)
		applied, err := from.Apply(delta, to.Digest())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(applied.Digest()).To(Equal(to.Digest()))
		if applied, err := other.Apply(delta, to.Digest()); err == nil {
			g.Expect(applied.Digest()).To(Equal(to.Digest()))
		} else {
			g.Expect(err).To(MatchError(bundle.ErrDigestMismatch))
		}
	})
}

// Guards against bundles that pass validation but cannot be distributed. The digest of a valid bundle must be the same
// after the bundle was split into parts, assembled, formatted as JSON and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"services":[{"name":"a"}]}`))
	f.Add([]byte(`{"services":[{"name":"a"}],"teams":[{"name":"t"},{"name":"u","keys":["k"],"burst":1.5}]}`))
	f.Add([]byte(`{"services":[{"name":"a"}],"teams":[],"access":"keys"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, problems := bundle.Parse("fuzz.json", data)
		if len(problems)+len(bundle.Validate(b)) > 0 {
			return
		}
		g := NewWithT(t)
		bundle.Canonicalize(b)
		parts, manifest, err := bundle.Split(b)
		g.Expect(err).NotTo(HaveOccurred())
		store := bundle.NewStore()
		delta := bundle.Diff(bundle.Manifest{}, manifest)
		update := bundle.Update{Target: manifest.Digest(), Delta: delta, Parts: parts}
		g.Expect(store.Add(update)).To(Succeed())
		assembled, err := store.Bundle(manifest.Digest())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := bundle.Format(assembled)
		g.Expect(err).NotTo(HaveOccurred())
		reparsed, problems := bundle.Parse("again.json", text)
		g.Expect(append(problems, bundle.Validate(reparsed)...)).To(BeEmpty())
		_, second, err := bundle.Split(reparsed)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second.Digest()).To(Equal(manifest.Digest()), "digest changed through JSON: %s", text)
	})
}

// Guards against a part that is accepted although it is not the canonical encoding of its value, and against panics of
// the decoder.
func FuzzPart(f *testing.F) {
	f.Add(byte(bundle.KindService), "a", []byte{0xa1, 0x01, 0x61, 'a'})
	f.Add(byte(bundle.KindAccess), "access", []byte("\xa2\x01\x66access\x02\x64keys"))
	f.Fuzz(func(t *testing.T, kind byte, name string, data []byte) {
		digest := bundle.Digest(sha256.Sum256(data))
		manifest := bundle.Manifest{Entries: []bundle.Entry{
			{ID: bundle.PartID{Kind: bundle.Kind(kind), Name: name}, Digest: digest},
		}}
		b, err := bundle.Assemble(manifest, func(bundle.Digest) ([]byte, bool) { return data, true })
		if err != nil {
			return
		}
		bundle.Validate(b)
		_, reencoded, err := bundle.Split(b)
		if err != nil || reencoded.Digest() != manifest.Digest() {
			t.Fatalf("part %x of %q decodes but encodes to %v (%v)", data, name, reencoded, err)
		}
	})
}
