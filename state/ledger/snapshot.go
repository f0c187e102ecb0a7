package ledger

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrCorruptSnapshot reports a snapshot that cannot be restored.
var ErrCorruptSnapshot = errors.New("ledger: corrupt snapshot")

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// snapshot is the content of a snapshot. Keys are in ascending order, executors in the order of their names, so that
// equal states have equal encodings.
type snapshot struct {
	Format    uint               `cbor:"1,keyasint"`
	NowMs     int64              `cbor:"2,keyasint"`
	Executors []string           `cbor:"3,keyasint"`
	Keys      []snapshotKey      `cbor:"4,keyasint"`
	Responses []snapshotResponse `cbor:"5,keyasint"`
}

type snapshotKey struct {
	_              struct{} `cbor:",toarray"`
	Key            keyHash
	Request        requestHash
	Status         Status
	ResponseStatus uint16
	ExpiresMs      int64
	Holder         snapshotHolder
	Voided         []snapshotHolder
}

type snapshotHolder struct {
	_           struct{} `cbor:",toarray"`
	Executor    uint32
	Incarnation uint64
	Attempt     uint64
}

type snapshotResponse struct {
	_         struct{} `cbor:",toarray"`
	Key       keyHash
	ExpiresMs int64
	Response  Response
}

var encoding = mustEncMode(cbor.CoreDetEncOptions())

func mustEncMode(options cbor.EncOptions) cbor.EncMode {
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decoding allows the longest arrays, as the default limit is below the number of keys that a ledger may have.
var decoding = mustDecMode(cbor.DecOptions{MaxArrayElements: 1<<31 - 1})

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Snapshot returns the canonical encoding of the state: equal states have equal snapshots.
func (l *Ledger) Snapshot() ([]byte, error) {
	executors, numbers := l.usedExecutors()
	s := snapshot{Format: snapshotFormat, NowMs: l.nowMs, Executors: executors}
	convert := func(h holder) snapshotHolder {
		return snapshotHolder{Executor: numbers[h.executor], Incarnation: h.incarnation, Attempt: h.attempt}
	}
	for key, e := range l.entries {
		converted := snapshotKey{
			Key: key, Request: e.request, Status: e.status, ResponseStatus: e.responseStatus, ExpiresMs: e.expiresMs,
			Holder: convert(e.holder),
		}
		for _, h := range l.voided[key] {
			converted.Voided = append(converted.Voided, convert(h))
		}
		s.Keys = append(s.Keys, converted)
	}
	slices.SortFunc(s.Keys, func(a, b snapshotKey) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	for _, stored := range l.responses.queue {
		s.Responses = append(s.Responses, snapshotResponse{Key: stored.key, ExpiresMs: stored.expiresMs, Response: *stored.response})
	}
	data, err := encoding.Marshal(s)
	return data, errors.Wrap(err, "ledger: encode snapshot")
}

// usedExecutors returns the sorted names of the executors that entries refer to, and maps their numbers in l.executors
// to their positions in that list.
func (l *Ledger) usedExecutors() ([]string, map[uint32]uint32) {
	numbers := make(map[uint32]uint32)
	for key, e := range l.entries {
		numbers[e.holder.executor] = 0
		for _, h := range l.voided[key] {
			numbers[h.executor] = 0
		}
	}
	var list []string
	for old := range numbers {
		list = append(list, l.executors.names[old])
	}
	slices.Sort(list)
	for i, name := range list {
		numbers[l.executors.numbers[name]] = uint32(i)
	}
	return list, numbers
}

// Restore returns a ledger with the state of a snapshot, or ErrCorruptSnapshot.
func Restore(c Config, data []byte) (*Ledger, error) {
	var s snapshot
	if err := decoding.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrapf(ErrCorruptSnapshot, "decode: %v", err)
	}
	if s.Format != snapshotFormat {
		return nil, errors.Wrapf(ErrCorruptSnapshot, "format %d, want %d", s.Format, snapshotFormat)
	}
	l := New(c)
	l.nowMs = s.NowMs
	l.keys.nextBucket = s.NowMs / bucketMs
	for _, name := range s.Executors {
		l.executors.numberOf(name)
	}
	for _, key := range s.Keys {
		if err := l.restoreKey(key); err != nil {
			return nil, err
		}
	}
	for _, stored := range s.Responses {
		l.responses.add(stored.Key, stored.Response, stored.ExpiresMs)
	}
	return l, nil
}

// restoreKey adds a key with its voided attempts.
func (l *Ledger) restoreKey(s snapshotKey) error {
	for _, h := range append([]snapshotHolder{s.Holder}, s.Voided...) {
		if int(h.Executor) >= len(l.executors.names) {
			return errors.Wrapf(ErrCorruptSnapshot, "executor %d of %d", h.Executor, len(l.executors.names))
		}
	}
	l.store(s.Key, entry{
		request: s.Request, status: s.Status, responseStatus: s.ResponseStatus, expiresMs: s.ExpiresMs, holder: s.Holder.restore(),
	})
	for _, h := range s.Voided {
		l.void(s.Key, h.restore())
	}
	return nil
}

func (h snapshotHolder) restore() holder {
	return holder{executor: h.Executor, incarnation: h.Incarnation, attempt: h.Attempt}
}
