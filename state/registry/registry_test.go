package registry_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

var _ = Describe("Registry", func() {
	var g *replicaPair
	BeforeEach(func() { g = newReplicaPair() })

	It("refuses a second approval of a version and names the winner", func() {
		Expect(g.apply(stage(1, "ana", 1)).Err()).To(Succeed())
		Expect(g.apply(stage(1, "ben", 2)).Err()).To(Succeed())
		Expect(g.apply(approve(1, "ben", 2, 0)).Err()).To(Succeed())
		lost := g.apply(approve(1, "ana", 1, 0))
		Expect(lost.Err()).To(MatchError(registry.ErrVersionTaken))
		Expect(lost.Winner.Operator).To(Equal("ben"))
		Expect(lost.Winner.Digest).To(Equal(digestOf(2)))
		Expect(g.apply(stage(1, "ana", 1)).Err()).To(MatchError(registry.ErrVersionTaken))
	})

	It("gives an approval that is sent again its first result, also after later versions", func() {
		Expect(g.apply(stage(1, "ana", 1)).Err()).To(Succeed())
		first := g.apply(approve(1, "ana", 1, 0))
		g.stageAndApprove(2, 2)
		again := g.apply(approve(1, "ana", 1, 0))
		Expect(again).To(Equal(first))
		Expect(g.first.State().Latest.Version).To(Equal(uint64(2)))
		Expect(g.apply(approve(1, "ana", 3, 0)).Err()).To(MatchError(registry.ErrVersionTaken))
		g.stageAndApprove(9, 3)
		Expect(g.apply(approve(5, "ana", 1, 0)).Err()).To(MatchError(registry.ErrVersionOld))
	})

	It("gives a command with a request identifier its first result when it is sent again, even a refusal", func() {
		premature := approve(1, "ana", 1, 0)
		premature.RequestID = "r1"
		Expect(g.apply(premature).Err()).To(MatchError(registry.ErrMissingParts))
		Expect(g.apply(stage(1, "ana", 1)).Err()).To(Succeed())
		Expect(g.apply(premature).Err()).To(MatchError(registry.ErrMissingParts))
		premature.RequestID = "r2"
		Expect(g.apply(premature).Err()).To(Succeed())
		other := stop(1, "ana")
		other.RequestID = "r2"
		Expect(g.apply(other).Effect).To(Equal(registry.EffectStopped), "another command under the same identifier has its own result")
	})

	It("refuses commands that no known operator has signed", func() {
		Expect(g.apply(stage(1, "eve", 1)).Err()).To(MatchError(registry.ErrUnauthorized))
		Expect(g.apply(stage(1, "ana", 1)).Err()).To(Succeed())
		Expect(g.apply(approve(1, "eve", 1, 0)).Err()).To(MatchError(registry.ErrUnauthorized))
		forged := approve(1, "ben", 1, 0)
		forged.Approve.Operator = "ana"
		Expect(g.apply(forged).Err()).To(MatchError(registry.ErrUnauthorized))
		altered := approve(1, "ana", 1, 0)
		altered.Approve.Version = 2
		Expect(g.apply(altered).Err()).To(MatchError(registry.ErrUnauthorized))
		alteredStop := stop(7, "ana")
		alteredStop.Stop.Version = 1
		Expect(g.apply(alteredStop).Err()).To(MatchError(registry.ErrUnauthorized))
		Expect(g.first.State().Latest).To(BeNil())
	})

	It("refuses a bundle with a route to a missing service and stores no part of it", func() {
		b := bundleWith(1)
		b.Routes[0].Service = "gone"
		update := updateOf(b)
		result := g.apply(registry.Command{Stage: &registry.Stage{
			Version: 1, Digest: update.Target, Operator: "ana", Update: encode(update),
		}})
		Expect(result.Err()).To(MatchError(registry.ErrInvalid))
		Expect(result.Problems[0].Field).To(Equal("routes[0].service"))
		Expect(g.first.Store().Holds(update.Target)).To(BeFalse())
		Expect(g.first.Store().HoldsPart(update.Parts[0].Digest)).To(BeFalse())
	})

	DescribeTable("refuses an altered bundle",
		func(alter func(u *bundle.Update), want error) {
			update := updateOf(bundleWith(1))
			alter(&update)
			result := g.apply(registry.Command{Stage: &registry.Stage{
				Version: 1, Digest: digestOf(1), Operator: "ana", Update: encode(update),
			}})
			Expect(result.Err()).To(MatchError(want))
			Expect(g.first.State().StoredBundles).To(BeEmpty())
		},
		Entry("content of a part", func(u *bundle.Update) { u.Parts[0].Data[1] ^= 1 }, registry.ErrInvalid),
		Entry("entry left out", func(u *bundle.Update) { u.Delta.Set = u.Delta.Set[1:] }, registry.ErrInvalid),
		Entry("part left out", func(u *bundle.Update) { u.Parts = u.Parts[1:] }, registry.ErrMissingParts),
		Entry("other target", func(u *bundle.Update) { u.Target[0] ^= 1 }, registry.ErrMalformed),
		Entry("unknown base", func(u *bundle.Update) { u.Base[0] = 1 }, registry.ErrMissingParts),
	)

	It("refuses a bundle outside canonical form, so that one configuration has one digest", func() {
		b := bundleWith(1)
		b.Routes[0].Match.Methods = []string{"PUT", "GET"}
		update := updateOf(b)
		result := g.apply(registry.Command{Stage: &registry.Stage{
			Version: 1, Digest: update.Target, Operator: "ana", Update: encode(update),
		}})
		Expect(result.Err()).To(MatchError(registry.ErrInvalid))
	})

	It("refuses an update that is larger than the bound when decompressed", func() {
		_, err := registry.EncodeUpdate(bundle.Update{Parts: []bundle.Part{{Data: make([]byte, registry.MaxUpdateBytes)}}})
		Expect(err).To(HaveOccurred())
		_, err = registry.DecodeUpdate(compress(make([]byte, 8*registry.MaxUpdateBytes)))
		Expect(err).To(MatchError(ContainSubstring("decompress")))
	})

	It("withdraws a staged version, and stops the rollout of the latest version only", func() {
		Expect(g.apply(stop(1, "ana")).Err()).To(MatchError(registry.ErrUnknownVersion))
		g.stageAndApprove(1, 1)
		// A staged version is withdrawn for good: approving it and staging it again are refused.
		Expect(g.apply(stage(2, "ana", 2)).Err()).To(Succeed())
		withdrawn := g.apply(stop(2, "ben"))
		Expect(withdrawn.Effect).To(Equal(registry.EffectWithdrawn))
		Expect(g.apply(stop(2, "ben"))).To(Equal(withdrawn))
		Expect(g.apply(approve(2, "ana", 1, 0)).Err()).To(MatchError(registry.ErrWithdrawn))
		Expect(g.apply(stage(2, "ana", 3)).Err()).To(MatchError(registry.ErrWithdrawn))
		Expect(g.first.State().StoredBundles).To(Equal([]bundle.Digest{digestOf(1)}))
		// The rollout of an approved version stops, and the version stays the latest.
		g.stageAndApprove(3, 3)
		stopped := g.apply(stop(3, "ben"))
		Expect(stopped.Effect).To(Equal(registry.EffectStopped))
		Expect(g.apply(stop(3, "ben"))).To(Equal(stopped))
		Expect(g.first.State().Stopped).To(BeTrue())
		Expect(g.first.State().Latest.Version).To(Equal(uint64(3)))
		Expect(g.apply(approve(3, "ana", 3, 0)).Err()).To(Succeed(), "an approval that is sent again does not resume the rollout")
		Expect(g.first.State().Stopped).To(BeTrue())
		// The next version is not stopped, and a stop of the earlier version that is sent again does not stop it.
		g.stageAndApprove(4, 1)
		Expect(g.first.State().Stopped).To(BeFalse())
		Expect(g.apply(stop(3, "ben"))).To(Equal(stopped))
		Expect(g.first.State().Stopped).To(BeFalse())
		Expect(g.apply(stop(1, "ben")).Err()).To(MatchError(registry.ErrNotLatest))
		var actions []registry.Action
		for _, record := range g.first.History() {
			actions = append(actions, record.Action)
		}
		Expect(actions).To(Equal([]registry.Action{registry.ActionApproved, registry.ActionWithdrawn,
			registry.ActionApproved, registry.ActionStopped, registry.ActionApproved}))
	})

	It("refuses a withdrawn version for good, however many were withdrawn", func() {
		const many = 260
		for version := uint64(10); version < 10+many; version++ {
			Expect(g.apply(stage(version, "ana", 1)).Err()).To(Succeed())
			Expect(g.apply(stop(version, "ana")).Err()).To(Succeed())
		}
		for _, version := range []uint64{10, 13, 14, 9 + many} {
			Expect(g.apply(stage(version, "ana", 1)).Err()).To(MatchError(registry.ErrWithdrawn))
		}
		g.stageAndApprove(10+many, 1)
	})

	It("gives a stage that is sent again its first result, also if the leader shrinks it differently", func() {
		g.stageAndApprove(1, 1)
		full := stage(2, "ana", 2)
		full.RequestID = "r"
		first := g.apply(full)
		Expect(first.Effect).To(Equal(registry.EffectStaged))
		Expect(g.apply(stop(2, "ana")).Err()).To(Succeed())
		small, err := g.first.Shrink(*full.Stage)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.apply(registry.Command{Stage: &small, RequestID: "r"})).To(Equal(first))
	})

	It("replaces a version only while it is the latest", func() {
		Expect(g.apply(stage(2, "ana", 2)).Err()).To(Succeed())
		Expect(g.apply(approve(2, "ana", 2, 1)).Err()).To(MatchError(registry.ErrNotLatest))
		g.stageAndApprove(1, 1)
		Expect(g.apply(stop(1, "ana")).Err()).To(Succeed())
		Expect(g.apply(stage(2, "ana", 2)).Err()).To(Succeed())
		replaced := g.apply(approve(2, "ana", 2, 1))
		Expect(replaced.Err()).To(Succeed(), "a stopped version can be replaced")
		Expect(g.first.State().Stopped).To(BeFalse())
		Expect(g.apply(stage(3, "ben", 3)).Err()).To(Succeed())
		lost := g.apply(approve(3, "ben", 3, 1))
		Expect(lost.Err()).To(MatchError(registry.ErrNotLatest))
		Expect(lost.Winner.Version).To(Equal(uint64(2)))
		Expect(g.apply(approve(2, "ana", 2, 1))).To(Equal(replaced))
	})

	It("keeps the latest approved bundles and a bounded number of staged ones", func() {
		for version := uint64(1); version <= 20; version++ {
			g.stageAndApprove(version, int(version))
		}
		for version := uint64(100); version <= 100+registry.MaxStaged; version++ {
			Expect(g.apply(stage(version, "ana", int(version))).Err()).To(Succeed())
		}
		store := g.first.Store()
		Expect(g.first.State().StoredBundles).To(HaveLen(16 + registry.MaxStaged))
		Expect(store.Holds(digestOf(4))).To(BeFalse())
		Expect(store.Holds(digestOf(5))).To(BeTrue())
		Expect(store.Holds(digestOf(100))).To(BeFalse(), "the oldest staged bundle is dropped")
		Expect(g.apply(approve(101, "ana", 101, 0)).Err()).To(Succeed())
		g.stageAndApprove(200, 5)
		Expect(g.first.Staged()).To(BeEmpty())
	})

	It("shrinks a stage to the parts that the registry lacks", func() {
		g.stageAndApprove(1, 1)
		full := stage(2, "ana", 2)
		small, err := g.first.Shrink(*full.Stage)
		Expect(err).NotTo(HaveOccurred())
		update, err := registry.DecodeUpdate(small.Update)
		Expect(err).NotTo(HaveOccurred())
		Expect(update.Base).To(Equal(digestOf(1)))
		Expect(update.Parts).To(HaveLen(1))
		Expect(update.Delta.Set).To(HaveLen(1))
		Expect(len(small.Update)).To(BeNumerically("<", len(full.Stage.Update)))
		Expect(g.apply(registry.Command{Stage: &small}).Err()).To(Succeed())
		Expect(g.first.Store().Bundle(small.Digest)).To(Equal(bundleWith(2)))
		again, err := g.first.Shrink(*full.Stage)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.apply(registry.Command{Stage: &again}).Err()).To(Succeed())
	})

	// Guards against an access that is lost between two versions, in the log, or in a snapshot, which stores differences.
	It("keeps the access of bundles with and without teams", func() {
		for version, access := range []bundle.Access{
			bundle.AccessKeys, bundle.AccessOpen, bundle.AccessKeys, "team", bundle.AccessKeys, "team", bundle.AccessOpen,
		} {
			b := bundleWith(1)
			if b.Access = access; access == "team" {
				b.Access, b.Teams = bundle.AccessKeys, []bundle.Team{{Name: "t", Keys: []string{"k"}}}
			}
			update := updateOf(b)
			Expect(g.apply(registry.Command{Stage: &registry.Stage{
				Version: uint64(version + 1), Digest: update.Target, Operator: "ana", Update: encode(update),
			}}).Err()).To(Succeed())
			a := bundle.Sign(keyOf("ana"), bundle.Approval{Version: uint64(version + 1), Digest: update.Target, Operator: "ana"})
			Expect(g.apply(registry.Command{Approve: &a}).Err()).To(Succeed())
			for _, r := range []*registry.Registry{g.first, g.second} {
				Expect(r.Store().Bundle(r.State().Latest.Digest)).To(Equal(b))
			}
		}
	})

	It("refuses a damaged snapshot", func() {
		g.stageAndApprove(1, 1)
		snapshot, err := g.first.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		_, err = registry.Restore(keyring("ana"), snapshot[:len(snapshot)-3])
		Expect(err).To(MatchError(registry.ErrMalformed))
	})
})

// Guards against replicas that diverge, a latest version that decreases, and two bundles approved under one version. It
// draws random sequences of commands and restores a snapshot before each.
func TestCommandOrderProperty(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		g := newReplicaPair()
		winners := make(map[uint64]bundle.Digest)
		latest := uint64(0)
		for range rapid.IntRange(1, 15).Draw(t, "commands") {
			version := rapid.Uint64Range(0, 4).Draw(t, "version")
			operator := rapid.SampledFrom([]string{"ana", "ben"}).Draw(t, "operator")
			number := rapid.IntRange(1, 3).Draw(t, "content")
			var c registry.Command
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				c = stage(version, operator, number)
			case 2, 3:
				c = approve(version, operator, number, rapid.Uint64Range(0, 3).Draw(t, "replaces"))
			default:
				c = stop(version, operator)
			}
			c.RequestID = rapid.SampledFrom([]string{"", "a"}).Draw(t, "request")
			result := g.apply(c)
			if c.Approve != nil && result.Code == registry.CodeOK {
				if winner, ok := winners[version]; ok && winner != c.Approve.Digest {
					t.Fatalf("version %d has two winners", version)
				}
				winners[version] = c.Approve.Digest
			}
			if state := g.first.State(); state.Latest != nil {
				if state.Latest.Version < latest {
					t.Fatalf("latest moved from %d to %d", latest, state.Latest.Version)
				}
				latest = state.Latest.Version
			}
		}
	})
}
