package endpoints

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a table.
const (
	// BucketCount is the number of buckets of the comparison. At 16,000 records a bucket holds about 62.
	BucketCount = 256
	// DefaultLimit bounds the records of a table: 2.5 times the design scale of 16,000 workers.
	DefaultLimit = 40_000
	// maxTextBytes bounds each text field of a record.
	maxTextBytes = 256
)

type entry struct {
	record    Record
	bucket    uint8
	hash      uint64
	updatedAt time.Time
}

type tombstone struct {
	record Record
	until  time.Time
}

// Table is the set of known records. It is not safe for concurrent use.
type Table struct {
	now           time.Time
	limit         int
	entries       map[string]*entry
	expiringSince map[string]time.Time
	tombstones    map[string]tombstone
	// tombstoneOrder lists the tombstones in the order in which they end; an entry whose tombstone is gone is skipped.
	tombstoneOrder []tombstone
	interned       map[string]string
	bucketDigests  [BucketCount]uint64
	digest         uint64
	version        uint64
	rejected       uint64
}

// NewTable returns an empty table. A limit of 0 takes DefaultLimit.
func NewTable(now time.Time, limit int) *Table {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Table{
		now:           now,
		limit:         limit,
		entries:       make(map[string]*entry),
		expiringSince: make(map[string]time.Time),
		tombstones:    make(map[string]tombstone),
		interned:      make(map[string]string),
	}
}

// Advance sets the time that Merge uses and drops the records that have been suspect or gone for RemoveAfter.
// It returns the dropped records.
func (t *Table) Advance(now time.Time) []Record {
	t.now = now
	var removed []Record
	for id, since := range t.expiringSince {
		if now.Sub(since) >= RemoveAfter {
			removed = append(removed, t.entries[id].record)
		}
	}
	slices.SortFunc(removed, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	for _, r := range removed {
		t.remove(r.ID)
	}
	for len(t.tombstoneOrder) > 0 && !now.Before(t.tombstoneOrder[0].until) {
		t.dropOldestTombstone()
	}
	return removed
}

// Merge adds the records that are newer than the held ones and returns them.
func (t *Table) Merge(records []Record) []Record {
	var changed []Record
	for _, record := range records {
		if t.merge(record) {
			changed = append(changed, record)
		}
	}
	return changed
}

func (t *Table) merge(record Record) bool {
	if !valid(record) {
		t.rejected++
		return false
	}
	if stone, ok := t.tombstones[record.ID]; ok && record.Compare(stone.record) <= 0 {
		return false
	}
	held, ok := t.entries[record.ID]
	if ok && record.Compare(held.record) <= 0 {
		return false
	}
	if !ok && len(t.entries) >= t.limit {
		t.rejected++
		return false
	}
	if !ok {
		held = &entry{bucket: bucketOf(record.ID)}
		t.entries[strings.Clone(record.ID)] = held
	}
	t.store(held, record)
	delete(t.tombstones, record.ID)
	return true
}

func valid(record Record) bool {
	if record.ID == "" || record.State < Serving || record.State > Suspect {
		return false
	}
	longest := max(len(record.ID), len(record.Zone), len(record.Service), len(record.Address), len(record.Parent))
	return longest <= maxTextBytes
}

func (t *Table) store(held *entry, record Record) {
	t.toggleInDigests(held)
	record.Zone = t.intern(record.Zone)
	record.Service = t.intern(record.Service)
	record.Parent = t.intern(record.Parent)
	held.record = record
	held.hash = record.versionHash()
	held.updatedAt = t.now
	t.toggleInDigests(held)
	if record.Expiring() {
		t.expiringSince[record.ID] = t.now
	} else {
		delete(t.expiringSince, record.ID)
	}
	t.version++
}

// toggleInDigests adds an entry to the digests, or takes it out of them.
func (t *Table) toggleInDigests(held *entry) {
	t.bucketDigests[held.bucket] ^= held.hash
	t.digest ^= held.hash
}

// intern lets records share the text of fields that few distinct values fill. The set is rebuilt when values that are
// no longer used would make it grow without bound.
func (t *Table) intern(text string) string {
	if shared, ok := t.interned[text]; ok {
		return shared
	}
	if len(t.interned) > 2*t.limit {
		clear(t.interned)
	}
	text = strings.Clone(text)
	t.interned[text] = text
	return text
}

func (t *Table) remove(id string) {
	held := t.entries[id]
	t.toggleInDigests(held)
	delete(t.entries, id)
	delete(t.expiringSince, id)
	t.addTombstone(held.record)
	t.version++
}

// addTombstone keeps at most as many tombstones as records; when the set is full, the oldest makes room.
func (t *Table) addTombstone(record Record) {
	if len(t.tombstoneOrder) >= t.limit {
		t.dropOldestTombstone()
	}
	stone := tombstone{record: record, until: t.now.Add(TombstoneLifetime)}
	t.tombstones[record.ID] = stone
	t.tombstoneOrder = append(t.tombstoneOrder, stone)
}

func (t *Table) dropOldestTombstone() {
	oldest := t.tombstoneOrder[0]
	t.tombstoneOrder = t.tombstoneOrder[1:]
	if held, ok := t.tombstones[oldest.record.ID]; ok && held.until.Equal(oldest.until) {
		delete(t.tombstones, oldest.record.ID)
	}
}

// Tombstone returns the last version of a dropped record.
func (t *Table) Tombstone(id string) (Record, bool) {
	stone, ok := t.tombstones[id]
	return stone.record, ok
}

// Get returns the record of one upstream.
func (t *Table) Get(id string) (Record, bool) {
	held, ok := t.entries[id]
	if !ok {
		return Record{}, false
	}
	return held.record, true
}

// UpdatedAt returns the time at which the held version of a record was merged.
func (t *Table) UpdatedAt(id string) (time.Time, bool) {
	held, ok := t.entries[id]
	if !ok {
		return time.Time{}, false
	}
	return held.updatedAt, true
}

// SuspectRecord returns the record that publishes a held record as suspect; false if the record is unknown or leaving.
func (t *Table) SuspectRecord(id string) (Record, bool) {
	record, ok := t.Get(id)
	if !ok || record.Expiring() {
		return Record{}, false
	}
	record.State = Suspect
	return record, true
}

// All returns all records in tree order.
func (t *Table) All() []Record { return t.filter(func(*entry) bool { return true }) }

// InZone returns the records of one availability zone in tree order.
func (t *Table) InZone(zone string) []Record {
	return t.filter(func(e *entry) bool { return e.record.Zone == zone })
}

// OfService returns the records of one service in tree order.
func (t *Table) OfService(name string) []Record {
	return t.filter(func(e *entry) bool { return e.record.Service == name })
}

// InBuckets returns the records of the marked buckets in tree order.
func (t *Table) InBuckets(marked *[BucketCount]bool) []Record {
	return t.filter(func(e *entry) bool { return marked[e.bucket] })
}

// Select returns the records for which keep holds, in tree order. The time is that of Updated.
func (t *Table) Select(keep func(r Record, updated time.Time) bool) []Record {
	return t.filter(func(e *entry) bool { return keep(e.record, e.updatedAt) })
}

func (t *Table) filter(keep func(*entry) bool) []Record {
	var records []Record
	for _, held := range t.entries {
		if keep(held) {
			records = append(records, held.record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		if a.Before(b) {
			return -1
		}
		return 1
	})
	return records
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.entries) }

// ExpiringCount returns the number of suspect and gone records.
func (t *Table) ExpiringCount() int { return len(t.expiringSince) }

// Digest identifies the content of the table: equal tables have equal digests.
func (t *Table) Digest() uint64 { return t.digest }

// BucketDigests returns one digest per bucket.
func (t *Table) BucketDigests() []uint64 { return slices.Clone(t.bucketDigests[:]) }

// DifferingBuckets marks the buckets whose digests differ from another table's.
func (t *Table) DifferingBuckets(buckets []uint64) (marked [BucketCount]bool, count int) {
	for i := range t.bucketDigests {
		if i >= len(buckets) || buckets[i] != t.bucketDigests[i] {
			marked[i] = true
			count++
		}
	}
	return marked, count
}

// Version grows with every change of the table.
func (t *Table) Version() uint64 { return t.version }

// Rejected counts records that were refused because they were malformed or the table was full.
func (t *Table) Rejected() uint64 { return t.rejected }

func bucketOf(id string) uint8 { return uint8(xxhash.Sum64String(id)) }
