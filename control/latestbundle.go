package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

const (
	// maxReadConfirmationAge is how old the confirmation of a member's state may be when it answers a read. It is half of the 2 s
	// within which an approved version comes into force everywhere.
	maxReadConfirmationAge = time.Second
	// readRetryDelay is the time between two looks at a state that is not confirmed yet; heartbeats confirm it.
	readRetryDelay = 20 * time.Millisecond
)

// PutRequest is a bundle that comes into force if the version it builds on is still the latest.
type PutRequest struct {
	Version uint64
	// Base is the version that must be the latest; 0 means that none is approved yet.
	Base     uint64
	Operator string
	Bundle   *bundle.Bundle
}

// Put stages and approves a bundle in one step. It is for operators that the keyring trusts without a signature. The
// same put sent again has the result of the first one.
func (m *Member) Put(ctx context.Context, put PutRequest) (operator.Decision, error) {
	bundle.Canonicalize(put.Bundle)
	update, err := bundle.Complete(put.Bundle)
	if err != nil {
		return operator.Decision{}, &operator.Error{Kind: operator.ErrInvalidBundle, Message: err.Error()}
	}
	encoded, err := registry.EncodeUpdate(update)
	if err != nil {
		return operator.Decision{}, &operator.Error{Kind: operator.ErrBadRequest, Message: err.Error()}
	}
	stage := registry.Stage{Version: put.Version, Digest: update.Target, Operator: put.Operator, Update: encoded}
	approval := bundle.Approval{
		Version: put.Version, Digest: update.Target, Operator: put.Operator, Replaces: put.Base, First: put.Base == 0,
	}
	return operatorBackend{member: m}.stage(ctx, registry.Command{Stage: &stage, Approve: &approval})
}

// Latest returns the latest approved bundle. It waits until a quorum has confirmed this member's state, and fails with
// operator.ErrNoQuorum when the context ends before.
func (m *Member) Latest(ctx context.Context) (uint64, *bundle.Bundle, error) {
	b := operatorBackend{member: m}
	started := time.Now()
	for {
		var version uint64
		var latest *bundle.Bundle
		var found error
		fresh := false
		err := b.query(ctx, func(now time.Time) {
			age, confirmed := m.replicas[registryGroup].raft.ConfirmedAge(now)
			if fresh = confirmed && age < maxReadConfirmationAge; !fresh {
				return
			}
			if approval := m.registry.registry.State().Latest; approval != nil {
				version = approval.Version
				latest, found = m.registry.registry.Store().Bundle(approval.Digest)
			}
		})
		switch {
		case err != nil || ctx.Err() != nil:
			return 0, nil, &operator.Error{Kind: operator.ErrNoQuorum, Message: "the state is not confirmed by a quorum"}
		case fresh:
			m.metrics.readTime.Observe(time.Since(started).Seconds())
			return version, latest, errors.Wrap(found, "control: read the latest bundle")
		}
		sleep(ctx, readRetryDelay)
	}
}
