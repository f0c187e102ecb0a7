// Package wal stores the durable state of a Raft member in one folder: its identity, a write-ahead log of checksummed
// records in segment files, and snapshots.
//
// A crash can leave the last write incomplete (torn). Recovery truncates it, as it was never acknowledged. Any other
// damage is reported as ErrCorrupt: dropping an acknowledged record could lose an entry that a quorum has committed.
package wal

import (
	"crypto/rand"
	"encoding/base32"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/state/disk"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrCorrupt reports that durable content is damaged. The member must be replaced.
	ErrCorrupt = errors.New("wal: corrupt")
	// ErrTooLarge reports a record or snapshot above its size limit.
	ErrTooLarge = errors.New("wal: record too large")
	// ErrFailed reports a log in which an earlier write failed, or that is closed. It must be opened again.
	ErrFailed = errors.New("wal: earlier write failed")
	// ErrInvalid reports an argument that would make the log inconsistent.
	ErrInvalid = errors.New("wal: invalid argument")
)

const (
	identityName = "identity"
	// discardedName is the name of a file that exists while the content of the folder is being discarded.
	discardedName   = "discarded"
	segmentPrefix   = "segment-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
	// identityBytes gives 80 random bits, which encode to 16 characters.
	identityBytes = 10
	// maxSnapshotBytes bounds a snapshot file. It is below the 4 GiB limit of the frame's length field.
	maxSnapshotBytes = 1 << 30
	// defaultSegmentBytes bounds the space taken by records that a snapshot covers, which are dropped by whole segments.
	defaultSegmentBytes = 16 << 20
)

// Options are the settings of a log. Zero fields take the defaults.
type Options struct {
	// SegmentBytes is the size after which a new segment is started. Default: 16 MiB.
	SegmentBytes int64
	// Entropy is the source of the identity. Default: crypto/rand.
	Entropy io.Reader
}

// Recovered is the durable state that Open found. If the folder was empty, only Identity is set.
type Recovered struct {
	Identity  raft.MemberID
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry
	// TruncatedBytes is the size of the torn write that was removed from the end of the log.
	TruncatedBytes int64
}

// segment describes one file of records.
type segment struct {
	sequence uint64
	// highestIndex is the highest index of the entries in the segment, also of those that were replaced later.
	highestIndex uint64
}

// termRun is a run of entries of the same term, which starts at firstIndex.
type termRun struct{ firstIndex, term uint64 }

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs      disk.FS
	options Options
	// activeFile is the last segment, to which records are appended.
	activeFile disk.File
	activeSize int64 // bytes
	// segments lists the segment files, oldest first.
	segments      []segment
	hardState     raft.HardState
	snapshotIndex uint64 // index of the newest snapshot
	lastIndex     uint64 // index of the last entry, or of the snapshot
	// terms holds the terms of the entries from the snapshot on.
	terms []termRun
	// failure is returned by all writes after one has failed or the log was closed.
	failure error
}

// Open recovers the state from the folder, or initialises the folder if it is empty.
func Open(fs disk.FS) (*Log, Recovered, error) { return OpenWith(fs, Options{}) }

// OpenWith is Open with options.
func OpenWith(fs disk.FS, options Options) (*Log, Recovered, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = defaultSegmentBytes
	}
	if options.Entropy == nil {
		options.Entropy = rand.Reader
	}
	l := &Log{fs: fs, options: options}
	recovered, err := l.recover()
	if err != nil {
		return nil, Recovered{}, err
	}
	return l, recovered, nil
}

// folderContent lists the files of a data folder: whether there is an identity, the sequence numbers of the segments
// and the indexes of the snapshots, both ascending.
type folderContent struct {
	identity  bool
	segments  []uint64
	snapshots []uint64
}

// Discard removes the state in a folder. After a crash, the state is complete, or Open finishes the removal: a part of it
// would be damage, or could lack a vote. No log may be open on the folder.
func Discard(fs disk.FS) error {
	marker, err := fs.Open(discardedName)
	if err != nil {
		return err
	}
	defer marker.Close()
	if err := marker.Sync(); err != nil {
		return err
	}
	if err := fs.SyncFolder(); err != nil {
		return err
	}
	return finishDiscard(fs)
}

// finishDiscard removes all files, and the marker once the removal of the others is durable.
func finishDiscard(fs disk.FS) error {
	names, err := fs.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == discardedName {
			continue
		}
		if err := fs.Remove(name); err != nil {
			return err
		}
	}
	if err := fs.SyncFolder(); err != nil {
		return err
	}
	if err := fs.Remove(discardedName); err != nil {
		return err
	}
	return fs.SyncFolder()
}

// readFolder lists the files. It removes temporary ones, whose creation a crash interrupted, and finishes a Discard.
func (l *Log) readFolder() (folderContent, error) {
	names, err := l.fs.List()
	if err != nil {
		return folderContent{}, err
	}
	if slices.Contains(names, discardedName) {
		return folderContent{}, finishDiscard(l.fs)
	}
	var found folderContent
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := l.fs.Remove(name); err != nil {
				return folderContent{}, err
			}
			continue
		}
		if name == identityName {
			found.identity = true
		}
		if number, ok := parseNumberedName(name, segmentPrefix); ok {
			found.segments = append(found.segments, number)
		}
		if number, ok := parseNumberedName(name, snapshotPrefix); ok {
			found.snapshots = append(found.snapshots, number)
		}
	}
	return found, nil
}

// numberedName returns a file name with a hexadecimal number of fixed width, so that names sort in numeric order.
func numberedName(prefix string, number uint64) string { return fmt.Sprintf("%s%016x", prefix, number) }

// parseNumberedName returns the number in the output of numberedName, or false for other names.
func parseNumberedName(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil && numberedName(prefix, number) == name
}

// recover reads the folder and prepares the log for appending.
func (l *Log) recover() (Recovered, error) {
	found, err := l.readFolder()
	if err != nil {
		return Recovered{}, err
	}
	if !found.identity {
		return l.initialise(found)
	}
	recovered := Recovered{}
	if recovered.Identity, err = l.readIdentity(); err != nil {
		return Recovered{}, err
	}
	if len(found.segments) == 0 {
		return Recovered{}, errors.Wrap(ErrCorrupt, "no segment")
	}
	if count := len(found.snapshots); count > 0 {
		if recovered.Snapshot, err = l.readSnapshot(found.snapshots[count-1]); err != nil {
			return Recovered{}, err
		}
	}
	state, truncated, err := l.replaySegments(found.segments)
	if err != nil {
		return Recovered{}, err
	}
	needsReset, err := state.reconcile(recovered.Snapshot)
	if err != nil {
		return Recovered{}, err
	}
	recovered.HardState, recovered.Entries, recovered.TruncatedBytes = state.hardState, state.entries, truncated
	l.hardState = state.hardState
	l.snapshotIndex = recovered.Snapshot.Index
	l.resetTerms(recovered.Snapshot)
	l.trackEntries(recovered.Entries)
	if needsReset {
		if err := l.startSegment(recovered.Snapshot.Index); err != nil {
			return Recovered{}, err
		}
	}
	// An earlier run may have stopped after it saved a snapshot and before it removed the files that the snapshot covers.
	return recovered, l.removeCovered(found.snapshots, needsReset)
}

// initialise creates the first segment and then the identity, so that a folder with an identity always has a segment.
func (l *Log) initialise(found folderContent) (Recovered, error) {
	state, _, err := l.replaySegments(found.segments)
	if err != nil {
		return Recovered{}, err
	}
	if len(found.snapshots) > 0 || state.hardState != (raft.HardState{}) || len(state.entries) > 0 {
		return Recovered{}, errors.Wrap(ErrCorrupt, "no identity")
	}
	if len(found.segments) == 0 {
		if err := l.startSegment(0); err != nil {
			return Recovered{}, err
		}
	}
	random := make([]byte, identityBytes)
	if _, err := io.ReadFull(l.options.Entropy, random); err != nil {
		return Recovered{}, errors.Wrap(err, "wal: identity")
	}
	identity := strings.ToLower(base32.StdEncoding.EncodeToString(random))
	if err := l.writeFrameFile(identityName, []byte(identity)); err != nil {
		return Recovered{}, err
	}
	return Recovered{Identity: raft.MemberID(identity)}, nil
}

func (l *Log) readIdentity() (raft.MemberID, error) {
	body, err := l.readFrameFile(identityName)
	return raft.MemberID(body), err
}

func (l *Log) readSnapshot(index uint64) (raft.Snapshot, error) {
	body, err := l.readFrameFile(numberedName(snapshotPrefix, index))
	if err != nil {
		return raft.Snapshot{}, err
	}
	var s raft.Snapshot
	if err := decode(body, &s); err != nil {
		return raft.Snapshot{}, err
	}
	if s.Index != index {
		return raft.Snapshot{}, errors.Wrapf(ErrCorrupt, "snapshot %d has index %d", index, s.Index)
	}
	return s, nil
}

// replaySegments reads all segments and opens the last one for appending. It returns the state and the size of the torn
// write that was truncated.
func (l *Log) replaySegments(sequences []uint64) (replayState, int64, error) {
	var state replayState
	var truncated int64
	for i, sequence := range sequences {
		name := numberedName(segmentPrefix, sequence)
		if i > 0 && sequence != sequences[i-1]+1 {
			return replayState{}, 0, errors.Wrapf(ErrCorrupt, "no segment before %s", name)
		}
		isLast := i == len(sequences)-1
		file, data, err := l.openAndRead(name)
		if err != nil {
			return replayState{}, 0, err
		}
		end, highest, err := state.applySegment(data, isLast)
		if err != nil {
			return replayState{}, 0, errors.Wrap(err, name)
		}
		l.segments = append(l.segments, segment{sequence: sequence, highestIndex: highest})
		if !isLast {
			file.Close()
			continue
		}
		truncated = int64(len(data) - end)
		if err := l.activateSegment(file, int64(end), truncated > 0); err != nil {
			return replayState{}, 0, err
		}
	}
	return state, truncated, nil
}

// applySegment applies the records of a segment. It returns the size of the intact part and the highest entry index.
func (r *replayState) applySegment(data []byte, isLast bool) (end int, highest uint64, err error) {
	end, err = scanFrames(data, isLast, func(body []byte) error {
		var next record
		if err := decode(body, &next); err != nil {
			return err
		}
		for _, entry := range next.Entries {
			highest = max(highest, entry.Index)
		}
		return r.apply(next)
	})
	return end, highest, err
}

// activateSegment makes a segment the one to append to. It syncs the segment, since the last sync of an earlier run may
// have failed.
func (l *Log) activateSegment(file disk.File, size int64, truncate bool) error {
	if truncate {
		if err := file.Truncate(size); err != nil {
			return err
		}
	}
	if err := file.Sync(); err != nil {
		return err
	}
	l.activeFile, l.activeSize = file, size
	return l.fs.SyncFolder()
}

// openAndRead opens a file and returns it with its content.
func (l *Log) openAndRead(name string) (disk.File, []byte, error) {
	file, err := l.fs.Open(name)
	if err != nil {
		return nil, nil, err
	}
	size, err := file.Size()
	if err != nil {
		return nil, nil, err
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(io.NewSectionReader(file, 0, size), data); err != nil {
		return nil, nil, errors.Wrapf(err, "wal: read %s", name)
	}
	return file, data, nil
}

// readFrameFile returns the body of a file of one frame. Such a file gets its name only after it was synced, so that
// any damage to it is reported as ErrCorrupt.
func (l *Log) readFrameFile(name string) ([]byte, error) {
	file, data, err := l.openAndRead(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	body, size, ok := parseFrame(data, maxSnapshotBytes)
	if !ok || size != len(data) {
		return nil, errors.Wrap(ErrCorrupt, name)
	}
	return body, nil
}

// writeFrameFile durably creates a file of one frame: it writes and syncs a temporary file and then renames it.
func (l *Log) writeFrameFile(name string, body []byte) error {
	file, err := l.fs.Open(name + temporarySuffix)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(0); err != nil {
		return err
	}
	if _, err := file.Write(appendFrame(nil, 0, body)); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := l.fs.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return l.fs.SyncFolder()
}

// Append writes a hard state and entries, and returns once they are synced. The entries must have consecutive indexes;
// the first replaces all entries from its index on. Append returns ErrInvalid for a lower term or a gap between
// entries.
func (l *Log) Append(hs raft.HardState, entries []raft.Entry) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.checkAppend(hs, entries); err != nil {
		return err
	}
	if l.activeSize >= l.options.SegmentBytes {
		if err := l.startSegment(0); err != nil {
			return l.fail(err)
		}
	}
	batch, err := l.encodeBatch(splitBatch(hs, entries))
	if err != nil {
		return err
	}
	if err := l.write(batch); err != nil {
		return l.fail(err)
	}
	l.hardState = hs
	l.trackEntries(entries)
	if len(entries) > 0 {
		active := &l.segments[len(l.segments)-1]
		active.highestIndex = max(active.highestIndex, l.lastIndex)
	}
	return nil
}

// checkAppend returns ErrInvalid if the term would decrease or the entries do not follow those in the log.
func (l *Log) checkAppend(hs raft.HardState, entries []raft.Entry) error {
	if hs.Term < l.hardState.Term {
		return errors.Wrapf(ErrInvalid, "append term %d after term %d", hs.Term, l.hardState.Term)
	}
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= l.snapshotIndex || first > l.lastIndex+1 {
		return errors.Wrapf(ErrInvalid, "append entry %d to a log with snapshot %d and last entry %d", first, l.snapshotIndex, l.lastIndex)
	}
	for i, entry := range entries {
		if entry.Index != first+uint64(i) {
			return errors.Wrapf(ErrInvalid, "entry %d is at position %d of entries that start at %d", entry.Index, i, first)
		}
	}
	return nil
}

// encodeBatch encodes records as frames for the end of the active segment.
func (l *Log) encodeBatch(records []record) ([]byte, error) {
	var batch []byte
	for _, r := range records {
		body, err := encode(r)
		if err != nil {
			return nil, err
		}
		if len(body) > maxBodyBytes {
			return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(body))
		}
		batch = appendFrame(batch, l.activeSize, body)
	}
	return batch, nil
}

// write appends a batch to the active segment and syncs it.
func (l *Log) write(batch []byte) error {
	if _, err := l.activeFile.Write(batch); err != nil {
		return err
	}
	if err := l.activeFile.Sync(); err != nil {
		return err
	}
	l.activeSize += int64(len(batch))
	return nil
}

// fail makes the log unusable, since it is unknown what is durable after a failed write or sync.
func (l *Log) fail(err error) error {
	l.failure = errors.Wrapf(ErrFailed, "%v", err)
	return errors.Wrap(err, "wal: write")
}

// startSegment starts a new segment, whose first record repeats the hard state. If reset is not 0, the record also says
// that the log continues after that index without the earlier entries.
func (l *Log) startSegment(reset uint64) error {
	next := uint64(1)
	if count := len(l.segments); count > 0 {
		next = l.segments[count-1].sequence + 1
	}
	file, err := l.fs.Open(numberedName(segmentPrefix, next))
	if err != nil {
		return err
	}
	if l.activeFile != nil {
		l.activeFile.Close()
	}
	l.activeFile, l.activeSize = file, 0
	l.segments = append(l.segments, segment{sequence: next})
	batch, err := l.encodeBatch([]record{{HardState: l.hardState, Reset: reset}})
	if err != nil {
		return err
	}
	if err := l.write(batch); err != nil {
		return err
	}
	return l.fs.SyncFolder()
}

// SaveSnapshot makes a snapshot durable and drops the records that it covers. Entries after the snapshot are kept if
// the log has the last entry of the snapshot with the same term. Otherwise the log contradicts the snapshot and is
// dropped. SaveSnapshot returns ErrInvalid for a snapshot that is older than the newest one.
func (l *Log) SaveSnapshot(s raft.Snapshot) error {
	if l.failure != nil {
		return l.failure
	}
	if s.Index == l.snapshotIndex && s.Index > 0 {
		return nil
	}
	if s.Index < l.snapshotIndex || s.Index == 0 {
		return errors.Wrapf(ErrInvalid, "save snapshot %d after snapshot %d", s.Index, l.snapshotIndex)
	}
	body, err := encode(s)
	if err != nil {
		return err
	}
	if len(body) > maxSnapshotBytes {
		return errors.Wrapf(ErrTooLarge, "snapshot of %d bytes", len(body))
	}
	if err := l.writeFrameFile(numberedName(snapshotPrefix, s.Index), body); err != nil {
		return l.fail(err)
	}
	if err := l.installSnapshot(s); err != nil {
		return l.fail(err)
	}
	return nil
}

// installSnapshot starts a segment after the snapshot and removes the files that it covers.
func (l *Log) installSnapshot(s raft.Snapshot) error {
	logMatches := s.Index <= l.lastIndex && l.termAt(s.Index) == s.Term
	older := l.snapshotIndex
	l.snapshotIndex = s.Index
	reset := uint64(0)
	if !logMatches {
		reset = s.Index
		l.hardState.Commit = 0
	}
	// If the snapshot file is lost later, recovery finds a commit index beyond the last entry and reports ErrCorrupt.
	l.hardState.Commit = max(l.hardState.Commit, s.Index)
	if err := l.startSegment(reset); err != nil {
		return err
	}
	if !logMatches {
		l.resetTerms(s)
	}
	snapshots := []uint64{s.Index}
	if older != 0 {
		snapshots = []uint64{older, s.Index}
	}
	return l.removeCovered(snapshots, !logMatches)
}

// removeCovered removes all snapshots but the last, and the segments whose entries the last snapshot covers, oldest
// first. If all is set, it removes all segments but the active one. Each removal is synced before the next one, so that
// a crash leaves no gap between segments.
func (l *Log) removeCovered(snapshots []uint64, all bool) error {
	for len(l.segments) > 1 && (all || l.segments[0].highestIndex <= l.snapshotIndex) {
		if err := l.removeFile(numberedName(segmentPrefix, l.segments[0].sequence)); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	for len(snapshots) > 1 {
		if err := l.removeFile(numberedName(snapshotPrefix, snapshots[0])); err != nil {
			return err
		}
		snapshots = snapshots[1:]
	}
	return nil
}

func (l *Log) removeFile(name string) error {
	if err := l.fs.Remove(name); err != nil {
		return err
	}
	return l.fs.SyncFolder()
}

// resetTerms sets the last index and the known terms to those of a snapshot.
func (l *Log) resetTerms(s raft.Snapshot) {
	l.lastIndex = s.Index
	l.terms = []termRun{{firstIndex: s.Index, term: s.Term}}
}

// trackEntries updates the known terms and the last index after entries were appended.
func (l *Log) trackEntries(entries []raft.Entry) {
	if len(entries) == 0 {
		return
	}
	keep := len(l.terms)
	for keep > 0 && l.terms[keep-1].firstIndex >= entries[0].Index {
		keep--
	}
	l.terms = l.terms[:keep]
	for _, entry := range entries {
		if len(l.terms) == 0 || l.terms[len(l.terms)-1].term != entry.Term {
			l.terms = append(l.terms, termRun{firstIndex: entry.Index, term: entry.Term})
		}
	}
	l.lastIndex = entries[len(entries)-1].Index
}

// termAt returns the term of an entry in the log, or 0 if the index is before the known terms.
func (l *Log) termAt(index uint64) uint64 {
	for i := len(l.terms) - 1; i >= 0; i-- {
		if l.terms[i].firstIndex <= index {
			return l.terms[i].term
		}
	}
	return 0
}

// Close closes the log. Later writes return ErrFailed.
func (l *Log) Close() error {
	l.failure = errors.Wrap(ErrFailed, "closed")
	return l.activeFile.Close()
}
