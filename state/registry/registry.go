package registry

import (
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Action is the kind of a history record.
type Action string

// The actions.
const (
	ActionApproved  Action = "approved"
	ActionStopped   Action = "stopped"
	ActionWithdrawn Action = "withdrawn"
)

// HistoryRecord is one decision of an operator that took effect.
type HistoryRecord struct {
	Index    uint64        `json:"index" cbor:"1,keyasint"`
	Action   Action        `json:"action" cbor:"2,keyasint"`
	Version  uint64        `json:"version" cbor:"3,keyasint"`
	Digest   bundle.Digest `json:"digest,omitzero" cbor:"4,keyasint"`
	Operator string        `json:"operator" cbor:"5,keyasint"`
	// Approval is set for ActionApproved.
	Approval *bundle.Approval `json:"approval,omitempty" cbor:"6,keyasint,omitempty"`
}

// Staged describes a staged bundle.
type Staged struct {
	Version  uint64        `json:"version" cbor:"1,keyasint"`
	Digest   bundle.Digest `json:"digest" cbor:"2,keyasint"`
	Operator string        `json:"operator" cbor:"3,keyasint"`
	Index    uint64        `json:"index" cbor:"4,keyasint"`
}

// State is what members distribute to nodes.
type State struct {
	// Latest is the approval with the greatest version, or nil before the first approval.
	Latest *bundle.Approval
	// Stopped reports whether the rollout of Latest was stopped.
	Stopped bool
	// Held lists the digests of the staged and the retained approved bundles, in log order.
	Held []bundle.Digest
	// Index is the log index of the last applied command.
	Index uint64
}

// Registry is the state machine. It is not safe for concurrent use.
type Registry struct {
	keys  *bundle.Keyring
	store *bundle.Store
}

// New returns an empty registry that verifies signatures with the given keys.
func New(keys *bundle.Keyring) *Registry {
	return &Registry{keys: keys, store: bundle.NewStore()}
}

// Apply executes the command at a log index. Indexes must increase.
func (r *Registry) Apply(index uint64, c Command) Result { return Result{Index: index} }

// State returns what members distribute to nodes.
func (r *Registry) State() State { return State{} }

// Store returns the bundles that the registry holds. The caller must not change it.
func (r *Registry) Store() *bundle.Store { return r.store }

// Staged lists the staged bundles in log order.
func (r *Registry) Staged() []Staged { return nil }

// History lists the decisions that took effect, oldest first.
func (r *Registry) History() []HistoryRecord { return nil }

// Shrink returns the stage with an update that carries only what the registry does not hold, as a change to the latest
// approved bundle. The leader calls it before it proposes a stage.
func (r *Registry) Shrink(s Stage) (Stage, error) { return s, nil }

// Snapshot returns the encoded state.
func (r *Registry) Snapshot() ([]byte, error) { return nil, nil }

// Restore returns the registry whose state a snapshot holds.
func Restore(keys *bundle.Keyring, data []byte) (*Registry, error) { return New(keys), nil }
