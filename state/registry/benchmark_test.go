package registry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// scaleBundle returns a bundle at the design scale: 1,700 services with two routes each.
func scaleBundle(deadlineMs int) *bundle.Bundle {
	b := &bundle.Bundle{}
	for i := range 1700 {
		service := fmt.Sprintf("service-%d", i)
		b.Services = append(b.Services, bundle.Service{Name: service, MaxConcurrency: 10})
		for j, class := range []bundle.Class{bundle.ClassLookup, bundle.ClassIrreversible} {
			b.Routes = append(b.Routes, bundle.Route{
				Name: fmt.Sprintf("route-%d-%d", i, j), Service: service, Class: class, DeadlineMs: 500,
				Match: bundle.Match{PathPrefix: fmt.Sprintf("/%s/%d", service, j), Methods: []string{"GET", "HEAD"}},
			})
		}
	}
	b.Routes[0].DeadlineMs = deadlineMs
	bundle.Canonicalize(b)
	return b
}

// BenchmarkChange measures the change of one route at the design scale: the stage is shrunk and applied, then the
// approval is applied. The approval is also measured alone, as it delays the moment at which the version comes into
// force.
func BenchmarkChange(b *testing.B) {
	RegisterTestingT(b)
	r := registry.New(keyring("ana"))
	version := uint64(0)
	var approving time.Duration
	for b.Loop() {
		b.StopTimer()
		version++
		update := updateOf(scaleBundle(int(version)))
		full := registry.Stage{Version: version, Digest: update.Target, Operator: "ana", Update: encode(update)}
		a := bundle.Sign(keyOf("ana"), bundle.Approval{Version: version, Digest: update.Target, Operator: "ana"})
		b.StartTimer()
		small, err := r.Shrink(full)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Apply(2*version, registry.Command{Stage: &small}).Err()).To(Succeed())
		start := time.Now()
		Expect(r.Apply(2*version+1, registry.Command{Approve: &a}).Err()).To(Succeed())
		approving += time.Since(start)
		b.ReportMetric(float64(len(small.Update)), "update-B")
		b.ReportMetric(float64(len(full.Update)), "full-B")
	}
	b.ReportMetric(float64(approving.Nanoseconds())/float64(version), "approve-ns")
}

// BenchmarkSnapshot measures how long it takes to take and to restore a snapshot of a full registry: 16 approved
// bundles that differ by one route, and a full history.
func BenchmarkSnapshot(b *testing.B) {
	RegisterTestingT(b)
	r := registry.New(keyring("ana"))
	index, version := uint64(0), uint64(0)
	digests := []bundle.Digest{}
	for i := range 16 {
		update := updateOf(scaleBundle(i + 1))
		digests = append(digests, update.Target)
		index++
		Expect(r.Apply(index, registry.Command{Stage: &registry.Stage{Version: registry.MaxHistory + 100, Digest: update.Target,
			Operator: "ana", Update: encode(update)}}).Err()).To(Succeed())
	}
	for range registry.MaxHistory {
		index++
		version++
		a := bundle.Sign(keyOf("ana"), bundle.Approval{Version: version, Digest: digests[version%16], Operator: "ana"})
		Expect(r.Apply(index, registry.Command{Approve: &a}).Err()).To(Succeed())
	}
	var snapshot []byte
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			snapshot, _ = r.Snapshot()
		}
		b.ReportMetric(float64(len(snapshot)), "snapshot-B")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			_, err := registry.Restore(keyring("ana"), snapshot)
			Expect(err).NotTo(HaveOccurred())
		}
	})
}
