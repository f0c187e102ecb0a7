package registry

import (
	"slices"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

// Action is the kind of a history record.
type Action string

const (
	ActionApproved  Action = "approved"
	ActionStopped   Action = "stopped"
	ActionWithdrawn Action = "withdrawn"
)

// HistoryRecord is an approval, stop or withdrawal that took effect.
type HistoryRecord struct {
	Index    uint64        `json:"index" cbor:"1,keyasint"`
	Action   Action        `json:"action" cbor:"2,keyasint"`
	Version  uint64        `json:"version" cbor:"3,keyasint"`
	Digest   bundle.Digest `json:"digest,omitzero" cbor:"4,keyasint"`
	Operator string        `json:"operator" cbor:"5,keyasint"`
	// Approval is set for ActionApproved.
	Approval *bundle.Approval `json:"approval,omitempty" cbor:"6,keyasint,omitempty"`
}

// Staged describes a staged bundle. Index is the log index of the command that staged it.
type Staged struct {
	Version  uint64        `json:"version" cbor:"1,keyasint"`
	Digest   bundle.Digest `json:"digest" cbor:"2,keyasint"`
	Operator string        `json:"operator" cbor:"3,keyasint"`
	Index    uint64        `json:"index" cbor:"4,keyasint"`
}

// State is the part of the registry's state that members distribute to nodes.
type State struct {
	// Latest is the approval with the greatest version, or nil before the first approval.
	Latest *bundle.Approval
	// Stopped reports whether the rollout of Latest was stopped.
	Stopped bool
	// StoredBundles lists the digests of the bundles in the store: those of the latest approved versions, oldest first,
	// and then the staged ones.
	StoredBundles []bundle.Digest
	// Rollouts lists the latest rollout of a release of each service.
	Rollouts []release.Rollout
	// Index is the log index of the last applied command.
	Index uint64
}

// Bounds of the state.
const (
	// retainedApproved is the number of the latest approved versions whose parts are kept, so that nodes that missed a
	// few versions still get a small update.
	retainedApproved = 16
	// MaxStaged bounds the staged bundles. Staging one more drops the oldest, so that forgotten bundles never block a new
	// one.
	MaxStaged = 16
	// MaxHistory is two days of records at the design rate of 8,600 changes a day. An older approval that is sent again
	// gets ErrVersionOld instead of its first result.
	MaxHistory = 2 * 8600
	// maxWithdrawn bounds the withdrawn versions above the latest approved one.
	maxWithdrawn = 256
	// maxResults bounds the results that are kept for commands that are sent again.
	maxResults = 1024
	// maxProblems bounds the problems in a result, as results are part of snapshots.
	maxProblems = 32
	// maxRequestID is the greatest length of a request identifier, in bytes.
	maxRequestID = 64
)

// Registry is the replicated state machine. It is not safe for concurrent use.
type Registry struct {
	keyring *bundle.Keyring
	store   *bundle.Store
	index   uint64 // log index of the last applied command
	// latest is the record of the approval with the greatest version.
	latest  *HistoryRecord
	stopped bool
	// recentApproved lists the digests of the latest approved versions, oldest first.
	recentApproved []bundle.Digest
	staged         []Staged
	// withdrawn maps versions above the latest approved one to the log index of their withdrawal.
	withdrawn map[uint64]uint64
	// withdrawnUpTo is the greatest version that was dropped from withdrawn; versions up to it cannot be approved.
	withdrawnUpTo uint64
	history       []*HistoryRecord
	// approvals and stops index the records in history by their version.
	approvals map[uint64]*HistoryRecord
	stops     map[uint64]*HistoryRecord
	results   resultCache
	// rollouts holds the latest rollout of a release of each service.
	rollouts map[string]release.Rollout
}

// New returns an empty registry that verifies signatures with a keyring.
func New(keyring *bundle.Keyring) *Registry {
	return &Registry{
		keyring:   keyring,
		store:     bundle.NewStore(),
		withdrawn: make(map[uint64]uint64),
		approvals: make(map[uint64]*HistoryRecord),
		stops:     make(map[uint64]*HistoryRecord),
		results:   newResultCache(),
		rollouts:  make(map[string]release.Rollout),
	}
}

// State returns the part of the state that members distribute to nodes.
func (r *Registry) State() State {
	state := State{Stopped: r.stopped, Index: r.index, StoredBundles: r.storedDigests(), Rollouts: r.Rollouts()}
	if r.latest != nil {
		approval := *r.latest.Approval
		state.Latest = &approval
	}
	return state
}

// storedDigests lists the digests of the retained approved bundles and of the staged ones, each digest once.
func (r *Registry) storedDigests() []bundle.Digest {
	seen := make(map[bundle.Digest]bool)
	var list []bundle.Digest
	add := func(digest bundle.Digest) {
		if !seen[digest] {
			seen[digest] = true
			list = append(list, digest)
		}
	}
	for _, digest := range r.recentApproved {
		add(digest)
	}
	for _, staged := range r.staged {
		add(staged.Digest)
	}
	return list
}

// Store returns the store of the retained approved and the staged bundles. The caller must not change it.
func (r *Registry) Store() *bundle.Store { return r.store }

// Staged lists the staged bundles in log order.
func (r *Registry) Staged() []Staged { return slices.Clone(r.staged) }

// History lists the records, oldest first.
func (r *Registry) History() []HistoryRecord {
	list := make([]HistoryRecord, 0, len(r.history))
	for _, record := range r.history {
		list = append(list, *record)
	}
	return list
}

// addRecord appends a record to the history and drops the oldest one if the history is full.
func (r *Registry) addRecord(h HistoryRecord) *HistoryRecord {
	entry := &h
	r.history = append(r.history, entry)
	r.indexRecord(entry)
	if len(r.history) > MaxHistory {
		r.unindexRecord(r.history[0])
		r.history = r.history[1:]
	}
	return entry
}

func (r *Registry) indexRecord(entry *HistoryRecord) {
	switch entry.Action {
	case ActionApproved:
		r.approvals[entry.Version] = entry
	case ActionStopped:
		r.stops[entry.Version] = entry
	}
}

func (r *Registry) unindexRecord(entry *HistoryRecord) {
	switch entry.Action {
	case ActionApproved:
		delete(r.approvals, entry.Version)
	case ActionStopped:
		delete(r.stops, entry.Version)
	}
}
