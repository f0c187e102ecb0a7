package wal_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/state/disk"
	"sapphiregate.example/sapphiregate/state/wal"
)

// TestMain fixes the seed of the property tests, so that every run draws the same cases.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestWAL(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wal")
}

func entries(first, count, term uint64) []raft.Entry {
	var list []raft.Entry
	for index := first; index < first+count; index++ {
		data := bytes.Repeat([]byte{byte(index), byte(term)}, int(40*index%700))
		list = append(list, raft.Entry{Index: index, Term: term, Kind: raft.EntryCommand, Data: data})
	}
	return list
}

func reopen(fake *disk.Fake) (*wal.Log, wal.Recovered) {
	log, recovered, err := wal.OpenWith(fake, wal.Options{SegmentBytes: 2000})
	Expect(err).NotTo(HaveOccurred())
	return log, recovered
}

var _ = Describe("Log", func() {
	var fake *disk.Fake
	BeforeEach(func() { fake = disk.NewFake(rand.New(rand.NewSource(1))) })

	// Guards against a member that has another identity after a crash, or forgets its vote and votes twice in a term.
	It("keeps its identity, hard state and entries", func() {
		log, created := reopen(fake)
		Expect(created.Identity).To(HaveLen(16))
		hs := raft.HardState{Term: 3, Vote: "v", Commit: 2}
		Expect(log.Append(hs, entries(1, 4, 2))).To(Succeed())
		Expect(log.Append(hs, entries(3, 1, 3))).To(Succeed())
		fake.Crash()
		_, recovered := reopen(fake)
		Expect(recovered).To(Equal(wal.Recovered{
			Identity: created.Identity, HardState: hs, Entries: append(entries(1, 2, 2), entries(3, 1, 3)...),
		}))
	})

	// Guards against a log that grows without bound, and against entries that contradict an installed snapshot.
	It("drops entries that a snapshot covers or contradicts", func() {
		log, _ := reopen(fake)
		for index := uint64(1); index <= 40; index++ {
			Expect(log.Append(raft.HardState{Term: 1}, entries(index, 1, 1))).To(Succeed())
		}
		Expect(log.SaveSnapshot(raft.Snapshot{Index: 38, Term: 1, Data: []byte("a")})).To(Succeed())
		log, recovered := reopen(fake)
		Expect(recovered.Entries).To(Equal(entries(39, 2, 1)))
		Expect(log.SaveSnapshot(raft.Snapshot{Index: 39, Term: 2, Data: []byte("b")})).To(Succeed())
		fake.Crash()
		_, recovered = reopen(fake)
		Expect(recovered.Entries).To(BeEmpty())
		Expect(recovered.Snapshot.Data).To(Equal([]byte("b")))
		names, _ := fake.List()
		Expect(names).To(HaveLen(3), "identity, one segment, one snapshot")
		Expect(fake.Remove(names[2])).To(Succeed())
		_, _, err := wal.Open(fake)
		Expect(err).To(MatchError(wal.ErrCorrupt), "the snapshot is lost")
	})

	// Guards against dropping an acknowledged record, or accepting a changed one, after a single flipped bit.
	It("reports every flipped bit as corruption", func() {
		log, _ := reopen(fake)
		Expect(log.Append(raft.HardState{Term: 1}, entries(1, 1, 1))).To(Succeed())
		Expect(log.SaveSnapshot(raft.Snapshot{Index: 1, Term: 1, Data: make([]byte, 20)})).To(Succeed())
		Expect(log.Append(raft.HardState{Term: 1, Commit: 2}, entries(2, 2, 1))).To(Succeed())
		zeros := raft.Entry{Index: 4, Term: 1, Kind: raft.EntryCommand, Data: make([]byte, 1100)}
		Expect(log.Append(raft.HardState{Term: 1, Commit: 2}, []raft.Entry{zeros})).To(Succeed())
		names, _ := fake.List()
		for _, name := range names {
			file, _ := fake.Open(name)
			size, _ := file.Size()
			for bit := range size * 8 {
				Expect(fake.FlipBit(name, bit/8, uint(bit%8))).To(Succeed())
				_, _, err := wal.Open(fake)
				Expect(errors.Is(err, wal.ErrCorrupt)).To(BeTrue(), "%s bit %d: %v", name, bit, err)
				Expect(fake.FlipBit(name, bit/8, uint(bit%8))).To(Succeed())
			}
		}
		_, _, err := wal.Open(fake)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against taking a folder with a missing file for an empty or shorter log. The loss of the newest segment
	// cannot be detected, since it may never have been created.
	It("reports missing files as corruption", func() {
		log, _ := reopen(fake)
		for index := uint64(1); index <= 30; index++ {
			Expect(log.Append(raft.HardState{Term: 1, Commit: index}, entries(index, 1, 1))).To(Succeed())
		}
		names, _ := fake.List()
		Expect(len(names)).To(BeNumerically(">", 3))
		for _, name := range names[:len(names)-1] {
			Expect(fake.Rename(name, "hidden")).To(Succeed())
			_, _, err := wal.Open(fake)
			Expect(err).To(MatchError(wal.ErrCorrupt), name)
			Expect(fake.Rename("hidden", name)).To(Succeed())
		}
	})

	// Guards against acknowledging a write after an earlier one of which it is unknown what is durable.
	It("refuses writes after a failure", func() {
		log, _ := reopen(fake)
		fake.FailSyncs(1)
		Expect(log.Append(raft.HardState{Term: 1}, nil)).To(MatchError(disk.ErrInjected))
		Expect(log.Append(raft.HardState{Term: 1}, nil)).To(MatchError(wal.ErrFailed))
	})

	It("refuses gaps and lower terms", func() {
		log, _ := reopen(fake)
		Expect(log.Append(raft.HardState{Term: 2}, entries(2, 1, 1))).To(MatchError(wal.ErrInvalid))
		Expect(log.Append(raft.HardState{Term: 2}, nil)).To(Succeed())
		Expect(log.Append(raft.HardState{Term: 1}, nil)).To(MatchError(wal.ErrInvalid))
	})
})

// interruptedFolder fails all operations that change the folder after the first few.
type interruptedFolder struct {
	disk.FS
	left int
}

func (f *interruptedFolder) interrupted() error {
	f.left--
	if f.left < 0 {
		return disk.ErrInjected
	}
	return nil
}

func (f *interruptedFolder) Remove(name string) error {
	if err := f.interrupted(); err != nil {
		return err
	}
	return f.FS.Remove(name)
}

func (f *interruptedFolder) SyncFolder() error {
	if err := f.interrupted(); err != nil {
		return err
	}
	return f.FS.SyncFolder()
}

var _ = Describe("Discard", func() {
	// Guards against a member that never starts again, or that starts from a part of the state it discarded, because it
	// lost power on the way.
	It("leaves the complete state or none after a crash at any point", func() {
		kept, discarded := 0, 0
		for operations := range 12 {
			for seed := range int64(20) {
				fake := disk.NewFake(rand.New(rand.NewSource(seed)))
				log, before := reopen(fake)
				for index := uint64(1); index <= 30; index++ {
					Expect(log.Append(raft.HardState{Term: 1, Vote: "v"}, entries(index, 1, 1))).To(Succeed())
				}
				Expect(log.SaveSnapshot(raft.Snapshot{Index: 20, Term: 1})).To(Succeed())
				Expect(log.Close()).To(Succeed())
				fake.SetTornWrites(true)
				err := wal.Discard(&interruptedFolder{FS: fake, left: operations})
				fake.Crash()
				_, after, openErr := wal.OpenWith(fake, wal.Options{SegmentBytes: 2000})
				Expect(openErr).NotTo(HaveOccurred(), "after %d operations, seed %d", operations, seed)
				if after.Identity == before.Identity {
					Expect(err).To(HaveOccurred())
					Expect(after.Snapshot.Index).To(BeEquivalentTo(20))
					Expect(after.Entries).To(Equal(entries(21, 10, 1)))
					Expect(after.HardState.Vote).To(BeEquivalentTo("v"))
					kept++
					continue
				}
				Expect(after).To(Equal(wal.Recovered{Identity: after.Identity}))
				discarded++
			}
		}
		Expect(min(kept, discarded)).To(BeNumerically(">", 5), "kept %d, discarded %d", kept, discarded)
	})
})

// logModel is the state that a log should have.
type logModel struct {
	hs       raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
}

func (s logModel) last() uint64 { return s.snapshot.Index + uint64(len(s.entries)) }

func (s logModel) append(hs raft.HardState, added []raft.Entry) logModel {
	kept := s.entries
	if len(added) > 0 {
		kept = kept[:added[0].Index-s.snapshot.Index-1]
	}
	return logModel{hs, s.snapshot, append(append([]raft.Entry(nil), kept...), added...)}
}

func (s logModel) save(snapshot raft.Snapshot) logModel {
	result := logModel{hs: s.hs, snapshot: snapshot}
	if at := snapshot.Index - s.snapshot.Index; at <= uint64(len(s.entries)) && s.entries[at-1].Term == snapshot.Term {
		result.entries = s.entries[at:]
	}
	return result
}

// Guards against recovering any other state than the acknowledged one, or that of the write that failed. It draws
// random sequences of writes, snapshots, failures and crashes with torn writes.
func TestRecoveredStateIsTheAcknowledgedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := disk.NewFake(rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
		fake.SetTornWrites(true)
		options := wal.Options{SegmentBytes: 1500}
		log, recovered, err := wal.OpenWith(fake, options)
		if err != nil {
			t.Fatal(err)
		}
		var acknowledged, attempted logModel
		term := uint64(1)
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for step := range steps {
			term += uint64(rapid.IntRange(0, 1).Draw(t, "term"))
			if rapid.IntRange(0, 4).Draw(t, "fail") == 0 {
				rapid.SampledFrom([]func(int){fake.FailSyncs, fake.FailWrites}).Draw(t, "kind")(1)
			}
			if rapid.IntRange(0, 3).Draw(t, "operation") == 0 {
				index := acknowledged.snapshot.Index + uint64(rapid.IntRange(1, 8).Draw(t, "index"))
				snapshot := raft.Snapshot{Index: index, Term: term - uint64(rapid.IntRange(0, 1).Draw(t, "old"))}
				attempted = acknowledged.save(snapshot)
				err = log.SaveSnapshot(snapshot)
			} else {
				hs := raft.HardState{Term: term, Vote: raft.MemberID(fmt.Sprint(step))}
				back := rapid.Uint64Range(0, uint64(len(acknowledged.entries))).Draw(t, "back")
				added := entries(acknowledged.last()-back+1, rapid.Uint64Range(0, 4).Draw(t, "count"), term)
				attempted = acknowledged.append(hs, added)
				err = log.Append(hs, added)
			}
			crash := rapid.IntRange(0, 5).Draw(t, "crash") == 0
			if err == nil {
				acknowledged = attempted
			}
			if err == nil && !crash {
				continue
			}
			fake.Crash()
			var got wal.Recovered
			if log, got, err = wal.OpenWith(fake, options); err != nil {
				t.Fatalf("step %d: %v", step, err)
			}
			if got.Identity != recovered.Identity {
				t.Fatalf("identity %q, then %q", recovered.Identity, got.Identity)
			}
			found := logModel{got.HardState, got.Snapshot, got.Entries}
			switch {
			case equalStates(found, acknowledged):
			case equalStates(found, attempted):
				acknowledged = attempted
			default:
				t.Fatalf("step %d: recovered %v\nacknowledged %v\nattempted %v", step, found, acknowledged, attempted)
			}
			fake.SetTornWrites(true)
		}
	})
}

func equalStates(a, b logModel) bool {
	// A snapshot implies that its entries are committed.
	a.hs.Commit, b.hs.Commit = max(a.hs.Commit, a.snapshot.Index), max(b.hs.Commit, b.snapshot.Index)
	return a.hs == b.hs && a.snapshot.Index == b.snapshot.Index && a.snapshot.Term == b.snapshot.Term &&
		len(a.entries) == len(b.entries) && (len(a.entries) == 0 || reflect.DeepEqual(a.entries, b.entries))
}

// FuzzRecordReader guards against a scan that panics, reads past the end of the data or accepts a damaged frame.
func FuzzRecordReader(f *testing.F) {
	two := wal.AppendFrame(wal.AppendFrame(nil, 0, []byte("first")), 0, bytes.Repeat([]byte("second"), 200))
	f.Add(two)
	f.Add(two[:len(two)-30])
	f.Add(append(append([]byte(nil), two...), make([]byte, 700)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		var bodies [][]byte
		collect := func(body []byte) error { bodies = append(bodies, body); return nil }
		end, err := wal.ScanFrames(data, true, collect)
		if end > len(data) || err != nil && !errors.Is(err, wal.ErrCorrupt) {
			t.Fatalf("end %d of %d: %v", end, len(data), err)
		}
		count, sum := len(bodies), 0
		for _, body := range bodies {
			sum += len(wal.AppendFrame(nil, 0, body))
		}
		if again, err := wal.ScanFrames(data[:end], false, collect); err != nil || again != end || len(bodies) != 2*count || sum != end {
			t.Fatalf("intact part of %d bytes: %d, %v", end, again, err)
		}
	})
}
