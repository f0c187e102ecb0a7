package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// readRetryDelay is the time between two checks of whether the state is confirmed; heartbeats of the log confirm it.
const readRetryDelay = 20 * time.Millisecond

// maxConfirmationAge is the longest time since a quorum confirmed this member's state for which the member answers reads
// and says who belongs to the group: one that was cut off or suspended must not show an older version, or tell a member
// that it was removed.
func (m *Member) maxConfirmationAge() time.Duration { return m.options.ApplyWithin / 2 }

// PutRequest asks for a bundle to come into force if the version that it is based on is still the latest.
type PutRequest struct {
	Version uint64
	// Base is the version that must be the latest; 0 means that no version may be approved yet.
	Base     uint64
	Operator string
	Bundle   *bundle.Bundle
}

// Put stages and approves a bundle in one step. It is for operators that the keyring trusts without a signature. A
// request that is sent again gets the result of the first one.
func (m *Member) Put(ctx context.Context, put PutRequest) (operator.Decision, error) {
	bundle.Canonicalize(put.Bundle)
	update, err := bundle.FullUpdate(put.Bundle)
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

// Latest returns the latest approved version and its bundle; they are 0 and nil if none is approved. It waits until a
// quorum has confirmed this member's state, and fails with operator.ErrNoQuorum if the context ends first.
func (m *Member) Latest(ctx context.Context) (uint64, *bundle.Bundle, error) {
	var version uint64
	var latest *bundle.Bundle
	var readErr error
	err := m.readConfirmed(ctx, func(time.Time) {
		if approval := m.registryState.registry.State().Latest; approval != nil {
			version = approval.Version
			latest, readErr = m.registryState.registry.Store().Bundle(approval.Digest)
		}
	})
	if err != nil {
		return 0, nil, err
	}
	return version, latest, errors.Wrap(readErr, "control: read the latest bundle")
}

// readConfirmed runs a read of the registry on the control goroutine once a quorum has confirmed this member's state. It
// fails with operator.ErrNoQuorum if the context ends first.
func (m *Member) readConfirmed(ctx context.Context, read func(now time.Time)) error {
	started := time.Now()
	for {
		fresh := false
		err := operatorBackend{member: m}.query(ctx, func(now time.Time) {
			age, confirmed := m.replicas[registryGroup].raft.ConfirmedAge(now)
			if fresh = confirmed && age < m.maxConfirmationAge(); fresh {
				read(now)
			}
		})
		switch {
		case err != nil || ctx.Err() != nil:
			return &operator.Error{Kind: operator.ErrNoQuorum, Message: "the state is not confirmed by a quorum"}
		case fresh:
			m.metrics.readTime.Observe(time.Since(started).Seconds())
			return nil
		}
		sleep(ctx, readRetryDelay)
	}
}
