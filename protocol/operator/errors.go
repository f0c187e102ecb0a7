package operator

import (
	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// Errors of the API. Callers test for them with errors.Is and read details with errors.As and *Error.
var (
	// ErrVersionTaken reports a version that is approved with another digest; Error.Winner names the approval.
	ErrVersionTaken = errors.New("operator: version is already approved with another digest")
	// ErrVersionOld reports a version below the latest approved one; Error.Winner names the latest.
	ErrVersionOld = errors.New("operator: a greater version is already approved")
	// ErrWithdrawn reports a version that was withdrawn by a stop.
	ErrWithdrawn = errors.New("operator: version was withdrawn")
	// ErrNotLatest reports a stop or replace of a version that is not the latest; Error.Winner names the latest.
	ErrNotLatest = errors.New("operator: version is not the latest approved one")
	// ErrUnknownVersion reports a stop of a version that is neither staged nor approved.
	ErrUnknownVersion = errors.New("operator: version is neither staged nor approved")
	// ErrNotStaged reports an approval of a bundle whose parts are not in the registry.
	ErrNotStaged = errors.New("operator: bundle is not staged")
	// ErrInvalidBundle reports a bundle that fails validation; Error.Problems lists the reasons.
	ErrInvalidBundle = errors.New("operator: bundle does not validate")
	// ErrUnauthorized reports an unknown operator or an invalid signature.
	ErrUnauthorized = errors.New("operator: operator is unknown or the signature does not verify")
	// ErrBadRequest reports a request that cannot be decoded or lacks a field.
	ErrBadRequest = errors.New("operator: malformed request")
	// ErrRolloutBusy reports an order for a service whose rollout of another release is in progress.
	ErrRolloutBusy = errors.New("operator: another rollout of the service is in progress")
	// ErrMaybeCopy reports an order that cannot be told apart yet from a copy of the service's latest order. It has not taken
	// effect, and can be sent again.
	ErrMaybeCopy = errors.New("operator: the order may be a copy of the latest one")
	// ErrRolloutEnded reports a change of a rollout that has ended or changed meanwhile.
	ErrRolloutEnded = errors.New("operator: rollout has ended")
	// ErrUnknownService reports a service that the latest bundle does not declare.
	ErrUnknownService = errors.New("operator: service is not in the latest bundle")
	// ErrNotFound reports a member, fingerprint or rollout that does not exist.
	ErrNotFound = errors.New("operator: not found")
	// ErrMembershipBusy reports that another membership change is in progress.
	ErrMembershipBusy = errors.New("operator: another membership change is in progress")
	// ErrNotLeader reports a member that is not the leader; Error.Leader is the address of the leader's API if known.
	ErrNotLeader = errors.New("operator: this member is not the leader")
	// ErrNoQuorum reports that the request was not accepted because no quorum is reachable.
	ErrNoQuorum = errors.New("operator: no quorum is reachable")
	// ErrOutcomeUnknown reports a change that may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("operator: outcome is unknown")
	// ErrUnreachable reports that no address sent a response.
	ErrUnreachable = errors.New("operator: no control member responded")
	// ErrInternal reports an internal error of the member.
	ErrInternal = errors.New("operator: internal error")
)

// Error is an error of the API with its details.
type Error struct {
	// Kind is one of the errors above.
	Kind    error
	Message string
	// Leader is the address of the leader's API.
	Leader string
	// Winner is the approval that conflicts with the request.
	Winner *bundle.Approval
	// Problems lists the reasons why a bundle is invalid.
	Problems bundle.Problems
}

// Error returns the kind and the message.
func (e *Error) Error() string {
	if e.Message == "" {
		return e.Kind.Error()
	}
	return e.Kind.Error() + ": " + e.Message
}

// Unwrap returns the kind.
func (e *Error) Unwrap() error { return e.Kind }

// resultKinds maps the result codes of the registry to errors of this package.
var resultKinds = map[registry.Code]error{
	registry.CodeVersionTaken:   ErrVersionTaken,
	registry.CodeVersionOld:     ErrVersionOld,
	registry.CodeWithdrawn:      ErrWithdrawn,
	registry.CodeNotLatest:      ErrNotLatest,
	registry.CodeUnknownVersion: ErrUnknownVersion,
	registry.CodeMissingParts:   ErrNotStaged,
	registry.CodeInvalid:        ErrInvalidBundle,
	registry.CodeUnauthorized:   ErrUnauthorized,
	registry.CodeMalformed:      ErrBadRequest,
	registry.CodeRolloutRunning: ErrRolloutBusy,
	registry.CodeRolloutChanged: ErrRolloutEnded,
	registry.CodeUnknownService: ErrUnknownService,
	registry.CodeUnknownRollout: ErrNotFound,
	registry.CodeMaybeCopy:      ErrMaybeCopy,
}

// DecisionFromResult converts a result of the registry to the result of a Backend method.
func DecisionFromResult(r registry.Result) (Decision, error) {
	if r.Code == registry.CodeOK {
		return Decision{Effect: r.Effect, Index: r.Index, Approval: r.Approval}, nil
	}
	kind, ok := resultKinds[r.Code]
	if !ok {
		kind = ErrInternal
	}
	return Decision{}, &Error{Kind: kind, Message: r.Message, Winner: r.Winner, Problems: r.Problems}
}
