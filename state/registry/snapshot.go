package registry

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// snapshot is the content of a snapshot. Each bundle is stored as an update relative to the one before it, so that
// parts in common are stored once.
type snapshot struct {
	Format         uint64            `cbor:"1,keyasint"`
	Index          uint64            `cbor:"2,keyasint"`
	Latest         *HistoryRecord    `cbor:"3,keyasint,omitempty"`
	Stopped        bool              `cbor:"4,keyasint,omitempty"`
	RecentApproved []bundle.Digest   `cbor:"5,keyasint,omitempty"`
	Staged         []Staged          `cbor:"6,keyasint,omitempty"`
	Withdrawn      []withdrawal      `cbor:"7,keyasint,omitempty"`
	WithdrawnUpTo  uint64            `cbor:"8,keyasint,omitempty"`
	History        []*HistoryRecord  `cbor:"9,keyasint,omitempty"`
	Results        []cachedResult    `cbor:"10,keyasint,omitempty"`
	Updates        []bundle.Update   `cbor:"11,keyasint,omitempty"`
	Rollouts       []release.Rollout `cbor:"12,keyasint,omitempty"`
}

type withdrawal struct {
	Version uint64 `cbor:"1,keyasint"`
	Index   uint64 `cbor:"2,keyasint"`
}

// Snapshot returns the compressed encoding of the state.
func (r *Registry) Snapshot() ([]byte, error) {
	s := snapshot{
		Format: snapshotFormat, Index: r.index, Latest: r.latest, Stopped: r.stopped, RecentApproved: r.recentApproved,
		Staged: r.staged, WithdrawnUpTo: r.withdrawnUpTo, History: r.history, Results: r.results.list(),
		Rollouts: r.Rollouts(),
	}
	for _, version := range sortedVersions(r.withdrawn) {
		s.Withdrawn = append(s.Withdrawn, withdrawal{Version: version, Index: r.withdrawn[version]})
	}
	var base bundle.Digest
	for _, digest := range r.storedDigests() {
		update, err := r.store.Update(base, digest)
		if err != nil {
			return nil, errors.Wrap(err, "registry: snapshot")
		}
		s.Updates = append(s.Updates, update)
		base = digest
	}
	data, err := encoding.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "registry: encode snapshot")
	}
	return snapshotCompressor.EncodeAll(data, nil), nil
}

// Restore returns a registry with the state of a snapshot. It returns ErrMalformed if the snapshot is damaged.
func Restore(keyring *bundle.Keyring, data []byte) (*Registry, error) {
	plain, err := snapshotDecompressor.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decompress snapshot: %v", err)
	}
	var s snapshot
	if err := decoding.Unmarshal(plain, &s); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode snapshot: %v", err)
	}
	if s.Format != snapshotFormat {
		return nil, errors.Wrapf(ErrMalformed, "snapshot format %d, want %d", s.Format, snapshotFormat)
	}
	r := New(keyring)
	r.index, r.latest, r.stopped, r.recentApproved = s.Index, s.Latest, s.Stopped, s.RecentApproved
	r.staged, r.withdrawnUpTo, r.history = s.Staged, s.WithdrawnUpTo, s.History
	for _, entry := range s.Withdrawn {
		r.withdrawn[entry.Version] = entry.Index
	}
	for _, record := range r.history {
		r.indexRecord(record)
	}
	for _, entry := range s.Results {
		r.results.put(entry.Key, entry.Result)
	}
	for _, rollout := range s.Rollouts {
		r.rollouts[rollout.Service] = rollout
	}
	for _, update := range s.Updates {
		if err := r.store.Add(update); err != nil {
			return nil, errors.Wrapf(ErrMalformed, "snapshot: %v", err)
		}
	}
	return r, r.checkStored()
}

// checkStored returns ErrMalformed unless the store has all retained approved and staged bundles.
func (r *Registry) checkStored() error {
	for _, digest := range r.storedDigests() {
		if !r.store.Holds(digest) {
			return errors.Wrapf(ErrMalformed, "snapshot lacks bundle %s", digest.Short())
		}
	}
	return nil
}

func sortedVersions(withdrawn map[uint64]uint64) []uint64 { return slices.Sorted(maps.Keys(withdrawn)) }

// cachedResult is the kept result of a command with the key of the command.
type cachedResult struct {
	Key    bundle.Digest `cbor:"1,keyasint"`
	Result Result        `cbor:"2,keyasint"`
}

// resultCache keeps the results of the latest commands, so that a command that is sent again gets its first result.
type resultCache struct {
	byKey map[bundle.Digest]Result
	order []bundle.Digest
}

func newResultCache() resultCache { return resultCache{byKey: make(map[bundle.Digest]Result)} }

func (c *resultCache) get(key bundle.Digest) (Result, bool) {
	result, ok := c.byKey[key]
	return result, ok
}

func (c *resultCache) put(key bundle.Digest, result Result) {
	c.byKey[key] = result
	c.order = append(c.order, key)
	if len(c.order) > maxResults {
		delete(c.byKey, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *resultCache) list() []cachedResult {
	list := make([]cachedResult, 0, len(c.order))
	for _, key := range c.order {
		list = append(list, cachedResult{Key: key, Result: c.byKey[key]})
	}
	return list
}
