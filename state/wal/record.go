package wal

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"sapphiregate.example/sapphiregate/coordination/raft"
)

const (
	// maxRecordEntries and targetRecordBytes are the limits at which a batch is split into several records.
	maxRecordEntries  = 4096
	targetRecordBytes = 1 << 20
	// entryOverheadBytes is an upper bound on the encoded size of an entry without its data.
	entryOverheadBytes = 32
)

// record is the body of a frame in a segment. Each record repeats the hard state, so that removing an old segment drops
// only entries.
type record struct {
	HardState raft.HardState `cbor:"1,keyasint"`
	Entries   []raft.Entry   `cbor:"2,keyasint,omitempty"`
	// Reset, if not 0, drops all earlier entries: the log continues after this index, up to which a snapshot covers it.
	Reset uint64 `cbor:"3,keyasint,omitempty"`
}

var encoding = mustEncMode(cbor.CoreDetEncOptions())

// decoding rejects unknown fields, so that the fields of a newer version are not silently ignored.
var decoding = mustDecMode(cbor.DecOptions{
	DupMapKey:         cbor.DupMapKeyEnforcedAPF,
	ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
})

func mustEncMode(options cbor.EncOptions) cbor.EncMode {
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(value any) ([]byte, error) {
	body, err := encoding.Marshal(value)
	return body, errors.Wrap(err, "wal: encode")
}

// decode decodes a body whose checksum is correct. A body that cannot be decoded is reported as ErrCorrupt.
func decode(body []byte, value any) error {
	if err := decoding.Unmarshal(body, value); err != nil {
		return errors.Wrapf(ErrCorrupt, "decode: %v", err)
	}
	return nil
}

// splitBatch divides a batch into records. The commit index of each record is at most its last entry, so that any
// prefix of the records is a consistent log.
func splitBatch(hs raft.HardState, entries []raft.Entry) []record {
	var records []record
	for len(entries) > 0 {
		count, size := 0, 0
		for count < len(entries) && count < maxRecordEntries && (count == 0 || size < targetRecordBytes) {
			size += len(entries[count].Data) + entryOverheadBytes
			count++
		}
		partial := hs
		partial.Commit = min(hs.Commit, entries[count-1].Index)
		records = append(records, record{HardState: partial, Entries: entries[:count]})
		entries = entries[count:]
	}
	if len(records) == 0 {
		records = append(records, record{HardState: hs})
	}
	return records
}

// replayState is the state after the records that were applied so far.
type replayState struct {
	hardState raft.HardState
	entries   []raft.Entry
	reset     uint64
}

// apply applies the next record.
func (r *replayState) apply(next record) error {
	if next.HardState.Term < r.hardState.Term {
		return errors.Wrapf(ErrCorrupt, "term %d follows term %d", next.HardState.Term, r.hardState.Term)
	}
	r.hardState = next.HardState
	if next.Reset != 0 {
		r.entries = nil
		r.reset = next.Reset
	}
	for _, entry := range next.Entries {
		if err := r.addEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

// addEntry appends an entry, which replaces all entries from its index on. The entry may have a lower index than the
// first one, because the segment with the entries before the first one may have been removed.
func (r *replayState) addEntry(entry raft.Entry) error {
	if len(r.entries) > 0 {
		first, last := r.entries[0].Index, r.entries[len(r.entries)-1].Index
		if entry.Index > last+1 {
			return errors.Wrapf(ErrCorrupt, "entry %d follows entries %d to %d", entry.Index, first, last)
		}
		r.entries = r.entries[:max(entry.Index, first)-first]
	}
	r.entries = append(r.entries, entry)
	return nil
}

// reconcile drops the entries that the snapshot covers or contradicts. needsReset reports whether the log must be reset
// to start after the snapshot, because a crash came between saving a snapshot that contradicts the log and resetting
// it.
func (r *replayState) reconcile(s raft.Snapshot) (needsReset bool, err error) {
	if r.reset > s.Index {
		return false, errors.Wrapf(ErrCorrupt, "the log continues after %d, the snapshot ends at %d", r.reset, s.Index)
	}
	if len(r.entries) > 0 {
		if needsReset, err = r.dropCovered(s); err != nil {
			return false, err
		}
	}
	last := s.Index
	if len(r.entries) > 0 {
		last = r.entries[len(r.entries)-1].Index
	}
	if r.hardState.Commit > last {
		return false, errors.Wrapf(ErrCorrupt, "commit index %d is after the last entry %d", r.hardState.Commit, last)
	}
	r.hardState.Commit = max(r.hardState.Commit, s.Index)
	return needsReset, nil
}

// dropCovered drops the entries up to the snapshot, or all entries if the log does not have the last entry of the
// snapshot; needsReset reports the latter.
func (r *replayState) dropCovered(s raft.Snapshot) (needsReset bool, err error) {
	first, last := r.entries[0].Index, r.entries[len(r.entries)-1].Index
	if first > s.Index+1 {
		return false, errors.Wrapf(ErrCorrupt, "entries %d to %d are missing", s.Index+1, first-1)
	}
	if first == s.Index+1 {
		return false, nil
	}
	if last < s.Index || r.entries[s.Index-first].Term != s.Term {
		r.entries = nil
		return true, nil
	}
	r.entries = r.entries[s.Index-first+1:]
	return false, nil
}
