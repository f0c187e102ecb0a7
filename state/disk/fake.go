package disk

import (
	"io"
	"maps"
	"math/rand"
	"slices"

	"github.com/cockroachdb/errors"
)

// sectorBytes is the unit in which a disk writes; a torn write can lack any one sector.
const sectorBytes = 512

// Fake is an FS in memory that can crash and fail. It is not safe for concurrent use.
type Fake struct {
	rng          *rand.Rand
	files        map[string]*fakeFile
	pending      []folderChange // changes of the folder since the last SyncFolder
	durableFiles map[string]*fakeFile
	generation   int // number of crashes; files that were opened before the last one are unusable
	tornWrites   bool
	failWrites   int
	failSyncs    int
	stats        FakeStats
}

// FakeStats counts operations since the creation of a Fake.
type FakeStats struct {
	Writes, WrittenBytes, Syncs, FolderSyncs int
}

// fakeFile is a file: its current and its durable content, and the changes since the last sync.
type fakeFile struct {
	durable []byte
	content []byte
	pending []fileChange
}

// fileChange is an append of data at offset, which is the end of the file, or a truncation to offset if data is nil.
type fileChange struct {
	data   []byte
	offset int64
}

// folderChange sets the files of names in one step, or removes the names whose file is nil.
type folderChange struct {
	changes map[string]*fakeFile
}

// NewFake returns an empty folder. rng decides which unsynced changes survive a crash.
func NewFake(rng *rand.Rand) *Fake {
	return &Fake{rng: rng, files: map[string]*fakeFile{}, durableFiles: map[string]*fakeFile{}}
}

// SetTornWrites selects what Crash keeps of the unsynced changes. If it is off, Crash keeps none. If it is on, Crash
// keeps a random prefix of the changes of each file and of the folder; of the last write that is kept, only a prefix
// remains, in which one sector may be zero.
func (f *Fake) SetTornWrites(on bool) { f.tornWrites = on }

// FailWrites makes the next writes fail. A failed write may leave a prefix of its data.
func (f *Fake) FailWrites(count int) { f.failWrites = count }

// FailSyncs makes the next syncs of files and of the folder fail. A failed sync makes nothing durable.
func (f *Fake) FailSyncs(count int) { f.failSyncs = count }

// Stats returns the numbers of operations so far.
func (f *Fake) Stats() FakeStats { return f.stats }

// FlipBit inverts one bit of a file, in the current and in the durable content.
func (f *Fake) FlipBit(name string, offset int64, bit uint) error {
	file, ok := f.files[name]
	if !ok {
		return errors.Wrapf(ErrNotFound, "%q", name)
	}
	if offset < 0 || offset >= int64(len(file.content)) {
		return errors.Newf("disk: offset %d is outside of %q", offset, name)
	}
	mask := byte(1) << (bit % 8)
	file.content[offset] ^= mask
	if offset < int64(len(file.durable)) {
		file.durable[offset] ^= mask
	}
	return nil
}

// Crash drops unsynced writes and unsynced folder changes, except for those that SetTornWrites keeps. Files that are
// open become unusable.
func (f *Fake) Crash() {
	f.generation++
	f.failWrites, f.failSyncs = 0, 0
	kept := 0
	if f.tornWrites {
		kept = f.rng.Intn(len(f.pending) + 1)
	}
	for _, change := range f.pending[:kept] {
		change.apply(f.durableFiles)
	}
	f.pending = nil
	// Sorted order makes the use of rng, and with it the result, repeatable.
	for _, name := range slices.Sorted(maps.Keys(f.durableFiles)) {
		f.crashFile(f.durableFiles[name])
	}
	f.files = maps.Clone(f.durableFiles)
}

func (f *Fake) crashFile(file *fakeFile) {
	if f.tornWrites && len(file.pending) > 0 {
		kept := f.rng.Intn(len(file.pending) + 1)
		for i, change := range file.pending[:kept] {
			if i == kept-1 {
				change = f.tearWrite(change)
			}
			file.durable = change.apply(file.durable)
		}
	}
	file.pending = nil
	file.content = slices.Clone(file.durable)
}

// tearWrite returns the part of a change that reached the disk. Sectors may be written in any order, so that one sector
// within the prefix that is kept may still be zero.
func (f *Fake) tearWrite(change fileChange) fileChange {
	if change.data == nil {
		return change
	}
	data := slices.Clone(change.data[:f.rng.Intn(len(change.data)+1)])
	if f.rng.Intn(2) == 0 {
		return fileChange{data: data, offset: change.offset}
	}
	sectors := int64(len(data)) / sectorBytes
	if sectors == 0 {
		return fileChange{data: data, offset: change.offset}
	}
	// Sectors are aligned within the file.
	start := (change.offset+sectorBytes-1)/sectorBytes*sectorBytes + f.rng.Int63n(sectors)*sectorBytes - change.offset
	for i := start; i < min(start+sectorBytes, int64(len(data))); i++ {
		data[i] = 0
	}
	return fileChange{data: data, offset: change.offset}
}

func (c fileChange) apply(content []byte) []byte {
	if c.data != nil {
		return append(content, c.data...)
	}
	return content[:c.offset]
}

func (c folderChange) apply(files map[string]*fakeFile) {
	for name, file := range c.changes {
		if file == nil {
			delete(files, name)
		} else {
			files[name] = file
		}
	}
}

// changeFolder changes the current files at once and the durable ones at the next SyncFolder.
func (f *Fake) changeFolder(changes map[string]*fakeFile) {
	change := folderChange{changes: changes}
	change.apply(f.files)
	f.pending = append(f.pending, change)
}

// Open implements FS.
func (f *Fake) Open(name string) (File, error) {
	if err := checkName(name); err != nil {
		return nil, err
	}
	file, ok := f.files[name]
	if !ok {
		file = &fakeFile{}
		f.changeFolder(map[string]*fakeFile{name: file})
	}
	return &fakeHandle{fs: f, file: file, generation: f.generation}, nil
}

// Rename implements FS.
func (f *Fake) Rename(from, to string) error {
	if err := errors.CombineErrors(checkName(from), checkName(to)); err != nil {
		return err
	}
	file, ok := f.files[from]
	if !ok {
		return errors.Wrapf(ErrNotFound, "%q", from)
	}
	if from != to {
		f.changeFolder(map[string]*fakeFile{from: nil, to: file})
	}
	return nil
}

// Remove implements FS.
func (f *Fake) Remove(name string) error {
	if _, ok := f.files[name]; !ok {
		return errors.Wrapf(ErrNotFound, "%q", name)
	}
	f.changeFolder(map[string]*fakeFile{name: nil})
	return nil
}

// List implements FS.
func (f *Fake) List() ([]string, error) { return slices.Sorted(maps.Keys(f.files)), nil }

// SyncFolder implements FS.
func (f *Fake) SyncFolder() error {
	f.stats.FolderSyncs++
	if f.syncFails() {
		return errors.Wrap(ErrInjected, "sync folder")
	}
	for _, change := range f.pending {
		change.apply(f.durableFiles)
	}
	f.pending = nil
	return nil
}

func (f *Fake) syncFails() bool {
	if f.failSyncs == 0 {
		return false
	}
	f.failSyncs--
	return true
}

// fakeHandle is an open file of a Fake.
type fakeHandle struct {
	fs         *Fake
	file       *fakeFile
	generation int
}

func (h *fakeHandle) check() error {
	if h.generation != h.fs.generation {
		return ErrCrashed
	}
	return nil
}

// ReadAt implements io.ReaderAt.
func (h *fakeHandle) ReadAt(p []byte, offset int64) (int, error) {
	if err := h.check(); err != nil {
		return 0, err
	}
	if offset < 0 {
		return 0, errors.Newf("disk: negative offset %d", offset)
	}
	if offset >= int64(len(h.file.content)) {
		return 0, io.EOF
	}
	n := copy(p, h.file.content[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Write implements io.Writer.
func (h *fakeHandle) Write(p []byte) (int, error) {
	if err := h.check(); err != nil {
		return 0, err
	}
	if h.fs.failWrites > 0 {
		h.fs.failWrites--
		kept := h.fs.rng.Intn(len(p) + 1)
		h.append(p[:kept])
		return kept, errors.Wrap(ErrInjected, "write")
	}
	h.append(p)
	return len(p), nil
}

func (h *fakeHandle) append(p []byte) {
	h.fs.stats.Writes++
	h.fs.stats.WrittenBytes += len(p)
	if len(p) == 0 {
		return
	}
	h.applyChange(fileChange{data: slices.Clone(p), offset: int64(len(h.file.content))})
}

// applyChange changes the current content at once and the durable content at the next Sync.
func (h *fakeHandle) applyChange(change fileChange) {
	h.file.content = change.apply(h.file.content)
	h.file.pending = append(h.file.pending, change)
}

// Sync implements File.
func (h *fakeHandle) Sync() error {
	if err := h.check(); err != nil {
		return err
	}
	h.fs.stats.Syncs++
	if h.fs.syncFails() {
		return errors.Wrap(ErrInjected, "sync")
	}
	h.file.durable = slices.Clone(h.file.content)
	h.file.pending = nil
	return nil
}

// Truncate implements File. It cannot extend a file.
func (h *fakeHandle) Truncate(size int64) error {
	if err := h.check(); err != nil {
		return err
	}
	if size < 0 || size > int64(len(h.file.content)) {
		return errors.Newf("disk: cannot truncate %d bytes to %d", len(h.file.content), size)
	}
	h.applyChange(fileChange{offset: size})
	return nil
}

// Size implements File.
func (h *fakeHandle) Size() (int64, error) { return int64(len(h.file.content)), h.check() }

// Close implements io.Closer.
func (h *fakeHandle) Close() error { return h.check() }
