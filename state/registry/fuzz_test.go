package registry_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// FuzzUpdate guards against an update that causes a panic, is applied although it is invalid, or leaves parts in the
// store when it is refused. The input is compressed by the test, so that the fuzzer reaches the decoder.
func FuzzUpdate(f *testing.F) {
	RegisterTestingT(f)
	for _, update := range []bundle.Update{updateOf(bundleWith(1)), {Base: digestOf(2), Target: digestOf(2)}} {
		data, err := cbor.Marshal(update)
		Expect(err).NotTo(HaveOccurred())
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		RegisterTestingT(t)
		r := registry.New(keyring("ana"))
		Expect(r.Apply(1, stage(1, "ana", 2)).Err()).To(Succeed())
		compressed := compress(data)
		update, err := registry.DecodeUpdate(compressed)
		if err != nil {
			return
		}
		result := r.Apply(2, registry.Command{Stage: &registry.Stage{
			Version: 2, Digest: update.Target, Operator: "ana", Update: compressed,
		}})
		if result.Code != registry.CodeOK {
			Expect(r.State().StoredBundles).To(Equal([]bundle.Digest{digestOf(2)}))
			return
		}
		b, err := r.Store().Bundle(update.Target)
		Expect(err).NotTo(HaveOccurred())
		Expect(bundle.Validate(b)).To(BeEmpty())
		Expect(updateOf(b).Target).To(Equal(update.Target))
	})
}

// FuzzCommand guards against log entries that cause a panic, or that approve or stop a version without a valid
// signature.
func FuzzCommand(f *testing.F) {
	RegisterTestingT(f)
	for _, c := range []registry.Command{stage(1, "ana", 1), approve(1, "eve", 1, 0), stop(1, "eve")} {
		data, err := registry.EncodeCommand(c)
		Expect(err).NotTo(HaveOccurred())
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := registry.DecodeCommand(data)
		if err != nil {
			return
		}
		r := registry.New(keyring("ana"))
		r.Apply(1, c)
		if state := r.State(); state.Latest != nil || len(r.History()) > 0 {
			t.Fatalf("command without a valid signature took effect: %x", data)
		}
	})
}
