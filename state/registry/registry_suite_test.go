package registry_test

import (
	"crypto/ed25519"
	"flag"
	"testing"

	"github.com/klauspost/compress/zstd"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// seed is fixed so that every run draws the same cases.
const seed = 20261204

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = seed
	RunSpecs(t, "registry", suite, reporter)
}

func keyOf(operator string) ed25519.PrivateKey {
	material := make([]byte, ed25519.SeedSize)
	copy(material, operator)
	return ed25519.NewKeyFromSeed(material)
}

func keyring(operators ...string) *bundle.Keyring {
	keys := make(map[string][]ed25519.PublicKey)
	for _, operator := range operators {
		keys[operator] = []ed25519.PublicKey{keyOf(operator).Public().(ed25519.PublicKey)}
	}
	return bundle.NewKeyring(keys)
}

// bundleWith returns a valid bundle whose content depends on a number.
func bundleWith(number int) *bundle.Bundle {
	return &bundle.Bundle{
		Services: []bundle.Service{{Name: "ledger"}, {Name: "rank", QueueLimit: number}},
		Routes: []bundle.Route{{Name: "lookup", Service: "rank", Class: bundle.ClassLookup, DeadlineMs: 100,
			Match: bundle.Match{PathPrefix: "/rank"}}},
		Access: bundle.AccessOpen,
	}
}

func updateOf(b *bundle.Bundle) bundle.Update {
	parts, manifest, err := bundle.Split(b)
	Expect(err).NotTo(HaveOccurred())
	return bundle.Update{Target: manifest.Digest(), Delta: bundle.Diff(bundle.Manifest{}, manifest), Parts: parts}
}

func encode(u bundle.Update) []byte {
	data, err := registry.EncodeUpdate(u)
	Expect(err).NotTo(HaveOccurred())
	return data
}

func digestOf(number int) bundle.Digest { return updateOf(bundleWith(number)).Target }

// replicaPair applies each command to two registries and checks that they agree. The second one is restored from its
// snapshot before each command.
type replicaPair struct {
	first, second *registry.Registry
	index         uint64
}

func newReplicaPair() *replicaPair {
	return &replicaPair{first: registry.New(keyring("ana", "ben")), second: registry.New(keyring("ana", "ben"))}
}

func (g *replicaPair) apply(c registry.Command) registry.Result {
	g.index++
	snapshot, err := g.second.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	g.second, err = registry.Restore(keyring("ana", "ben"), snapshot)
	Expect(err).NotTo(HaveOccurred())
	data, err := registry.EncodeCommand(c)
	Expect(err).NotTo(HaveOccurred())
	decoded, err := registry.DecodeCommand(data)
	Expect(err).NotTo(HaveOccurred())
	result := g.first.Apply(g.index, c)
	Expect(g.second.Apply(g.index, decoded)).To(Equal(result))
	Expect(g.second.State()).To(Equal(g.first.State()))
	Expect(g.second.History()).To(Equal(g.first.History()))
	return result
}

func stage(version uint64, operator string, number int) registry.Command {
	update := updateOf(bundleWith(number))
	return registry.Command{Stage: &registry.Stage{
		Version: version, Digest: update.Target, Operator: operator, Update: encode(update),
	}}
}

func approve(version uint64, operator string, number int, replaces uint64) registry.Command {
	a := bundle.Sign(keyOf(operator), bundle.Approval{
		Version: version, Digest: digestOf(number), Operator: operator, Replaces: replaces,
	})
	return registry.Command{Approve: &a}
}

func stop(version uint64, operator string) registry.Command {
	s := registry.SignStop(keyOf(operator), registry.Stop{Version: version, Operator: operator})
	return registry.Command{Stop: &s}
}

// stageAndApprove stages and approves a bundle with two commands, which must succeed.
func (g *replicaPair) stageAndApprove(version uint64, number int) {
	GinkgoHelper()
	Expect(g.apply(stage(version, "ana", number)).Err()).To(Succeed())
	Expect(g.apply(approve(version, "ana", number, 0)).Err()).To(Succeed())
}

var compressor, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))

func compress(data []byte) []byte { return compressor.EncodeAll(data, nil) }
