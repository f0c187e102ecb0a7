package experiment

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// The operators of every experiment. Mallory's key is not in the keyring.
const (
	operatorA       = "operator-a"
	operatorB       = "operator-b"
	unknownOperator = "mallory"
)

const (
	// approveTimeout bounds one attempt to approve through one member.
	approveTimeout = time.Second
	// approvePause is the wait before the next attempt through another member.
	approvePause = 50 * time.Millisecond
)

// operatorKeys returns keys that depend on the seed only.
func operatorKeys(seed int64) map[string]ed25519.PrivateKey {
	keys := make(map[string]ed25519.PrivateKey)
	for i, name := range []string{operatorA, operatorB} {
		rng := rand.New(rand.NewPCG(uint64(seed), uint64(i)))
		raw := make([]byte, ed25519.SeedSize)
		for j := range raw {
			raw[j] = byte(rng.Uint32())
		}
		keys[name] = ed25519.NewKeyFromSeed(raw)
	}
	return keys
}

// operators signs bundles and submits them through members. It is safe for concurrent use.
type operators struct {
	profile    Profile
	deployment Deployment
	versions   *versionLog

	// turn keeps versions in order: an operator waits for the verdict before signing the next version.
	turn     sync.Mutex
	mu       sync.Mutex
	rng      *rand.Rand
	version  uint64
	previous *bundle.Bundle
	// changes are the compressed sizes of all accepted changes.
	changes int64
}

// next returns the profile's bundle under the next version, without a signature.
func (o *operators) next(operator string) (Signed, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	return signedBundle(o.profile.Bundle(o.version), o.version, operator)
}

func signedBundle(b *bundle.Bundle, version uint64, operator string) (Signed, error) {
	digest, err := digestOf(b)
	if err != nil {
		return Signed{}, err
	}
	return Signed{Bundle: b, Approval: bundle.Approval{Version: version, Digest: digest, Operator: operator}}, nil
}

// rollout approves the next version. It tries other members until one gives a verdict or the context ends.
func (o *operators) rollout(ctx context.Context) error {
	o.turn.Lock()
	defer o.turn.Unlock()
	s, err := o.next(operatorA)
	if err != nil {
		return err
	}
	// Convergence counts from the sign-off; the parts are sent ahead of it.
	if _, err := o.anyMember(ctx, s, o.deployment.Stage); err != nil {
		return err
	}
	o.versions.submit(s, true)
	verdict, err := o.anyMember(ctx, s, o.deployment.Approve)
	if err != nil {
		return err
	}
	return o.record(s, verdict)
}

// record notes a positive verdict and the size of the change.
func (o *operators) record(s Signed, verdict Verdict) error {
	if !verdict.Accepted {
		return errors.Newf("experiment: version %d was refused: %s", s.Approval.Version, verdict.Reason)
	}
	o.versions.accept(s)
	o.mu.Lock()
	defer o.mu.Unlock()
	size, err := changeBytes(o.previous, s)
	if err != nil {
		return err
	}
	o.changes += size
	o.previous = s.Bundle
	return nil
}

// approve stages a bundle and submits its approval.
func (o *operators) approve(ctx context.Context, s Signed) (Verdict, error) {
	staged, err := o.anyMember(ctx, s, o.deployment.Stage)
	if err != nil || !staged.Accepted {
		return staged, err
	}
	return o.anyMember(ctx, s, o.deployment.Approve)
}

// anyMember tries members in a random order until one gives a verdict.
func (o *operators) anyMember(
	ctx context.Context, s Signed, submit func(context.Context, string, Signed) (Verdict, error),
) (Verdict, error) {
	var last error
	for ctx.Err() == nil {
		for _, member := range o.shuffledMembers() {
			attempt, cancel := context.WithTimeout(ctx, approveTimeout)
			verdict, err := submit(attempt, member, s)
			cancel()
			if err == nil {
				return verdict, nil
			}
			last = err
			if !pause(ctx, approvePause) {
				break
			}
		}
	}
	return Verdict{}, errors.Wrapf(errors.CombineErrors(ctx.Err(), last), "experiment: submit version %d", s.Approval.Version)
}

func (o *operators) shuffledMembers() []string {
	members := o.deployment.Members()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

// race submits two bundles under one version through different members at once. Each operator resends, as after a
// lost answer, until it has a verdict.
func (o *operators) race(ctx context.Context) error {
	o.turn.Lock()
	defer o.turn.Unlock()
	a, err := o.next(operatorA)
	if err != nil {
		return err
	}
	other := o.profile.Bundle(a.Approval.Version)
	other.Resources[0].Headers["Experiment-Operator"] = operatorB
	b, err := signedBundle(other, a.Approval.Version, operatorB)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	errs := make([]error, 2)
	for i, s := range []Signed{a, b} {
		o.versions.submit(s, true)
		group.Go(func() { errs[i] = o.contend(ctx, s) })
	}
	group.Wait()
	return errors.CombineErrors(errs[0], errs[1])
}

// contend submits a bundle twice, because the answer to a resend must not differ from the first.
func (o *operators) contend(ctx context.Context, s Signed) error {
	first, err := o.approve(ctx, s)
	if err != nil {
		return err
	}
	second, err := o.approve(ctx, s)
	if err != nil {
		return err
	}
	if first.Accepted != second.Accepted {
		o.versions.violations.add(invariant.RevertedBundle,
			fmt.Sprintf("version %d: a resend got another verdict", s.Approval.Version))
	}
	if first.Accepted {
		return o.record(s, first)
	}
	return nil
}

// submitBad submits bundles that must not come into force: one with a dangling route, one that no known operator
// signed, and an older version with new content.
func (o *operators) submitBad(ctx context.Context) error {
	o.turn.Lock()
	defer o.turn.Unlock()
	for _, build := range []func() (Signed, error){o.danglingBundle, o.unsignedBundle, o.oldBundle} {
		s, err := build()
		if err != nil {
			return err
		}
		o.versions.submit(s, false)
		verdict, err := o.approve(ctx, s)
		if err != nil {
			return err
		}
		if verdict.Accepted {
			return errors.Newf("experiment: bad bundle under version %d was accepted", s.Approval.Version)
		}
	}
	return nil
}

func (o *operators) danglingBundle() (Signed, error) {
	s, err := o.next(operatorA)
	if err != nil {
		return Signed{}, err
	}
	s.Bundle.Services = s.Bundle.Services[1:]
	return signedBundle(s.Bundle, s.Approval.Version, operatorA)
}

func (o *operators) unsignedBundle() (Signed, error) {
	s, err := o.next(unknownOperator)
	s.Approval.Signature = make([]byte, ed25519.SignatureSize)
	return s, err
}

func (o *operators) oldBundle() (Signed, error) {
	b := o.profile.Bundle(0)
	b.Resources[0].Headers["Experiment-Operator"] = operatorB
	return signedBundle(b, 1, operatorB)
}

// pause returns false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
