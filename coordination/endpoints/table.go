package endpoints

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BucketCount is the number of buckets into which a table is split to compare it with another one. Only buckets with
	// different digests are exchanged. At 16,000 records a bucket holds about 62.
	BucketCount = 256
	// DefaultLimit bounds the number of records of a table: 2.5 times the design scale of 16,000 upstreams.
	DefaultLimit = 40_000
	// maxTextBytes bounds each text field of a record.
	maxTextBytes = 256
)

// entry is one record of a table with its hash and the bucket that it belongs to.
type entry struct {
	record    Record
	bucket    uint8
	hash      uint64
	updatedAt time.Time
}

// tombstone is the last version of a removed record; it is kept until a time.
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
	// tombstoneOrder lists the tombstones in the order in which they expire. It may contain ones that have been deleted
	// from tombstones; these are skipped.
	tombstoneOrder []tombstone
	interned       map[string]string
	// bucketDigests and digest are the XOR of the hashes of the records in each bucket and in the table.
	bucketDigests [BucketCount]uint64
	digest        uint64
	version       uint64
	rejected      uint64
}

// NewTable returns an empty table for at most limit records. A limit of 0 means DefaultLimit.
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

// Advance sets the time that Merge uses and removes the records that have been suspect or gone for RemoveAfter.
// It returns the removed records.
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

// Merge stores the records that are newer than those of the table or not in it, and returns the stored ones.
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
	if removed, ok := t.tombstones[record.ID]; ok && record.Compare(removed.record) <= 0 {
		return false
	}
	current, ok := t.entries[record.ID]
	if ok && record.Compare(current.record) <= 0 {
		return false
	}
	if !ok && len(t.entries) >= t.limit {
		t.rejected++
		return false
	}
	if !ok {
		current = &entry{bucket: bucketOf(record.ID)}
		t.entries[strings.Clone(record.ID)] = current
	}
	t.store(current, record)
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

func (t *Table) store(current *entry, record Record) {
	t.toggleInDigests(current)
	record.Zone = t.intern(record.Zone)
	record.Service = t.intern(record.Service)
	record.Parent = t.intern(record.Parent)
	current.record = record
	current.hash = record.versionHash()
	current.updatedAt = t.now
	t.toggleInDigests(current)
	if record.Expiring() {
		t.expiringSince[record.ID] = t.now
	} else {
		delete(t.expiringSince, record.ID)
	}
	t.version++
}

// toggleInDigests adds an entry's hash to the digests if it is not part of them, and removes it otherwise.
func (t *Table) toggleInDigests(e *entry) {
	t.bucketDigests[e.bucket] ^= e.hash
	t.digest ^= e.hash
}

// intern lets records share the memory of text fields that have few distinct values. The set of shared texts is cleared
// when it has more than twice as many texts as the table may have records, because unused texts stay in it.
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
	current := t.entries[id]
	t.toggleInDigests(current)
	delete(t.entries, id)
	delete(t.expiringSince, id)
	t.addTombstone(current.record)
	t.version++
}

// addTombstone remembers the version of a removed record. There are at most as many tombstones as the table may have
// records; beyond that the oldest is dropped.
func (t *Table) addTombstone(record Record) {
	if len(t.tombstoneOrder) >= t.limit {
		t.dropOldestTombstone()
	}
	added := tombstone{record: record, until: t.now.Add(TombstoneLifetime)}
	t.tombstones[record.ID] = added
	t.tombstoneOrder = append(t.tombstoneOrder, added)
}

func (t *Table) dropOldestTombstone() {
	oldest := t.tombstoneOrder[0]
	t.tombstoneOrder = t.tombstoneOrder[1:]
	if current, ok := t.tombstones[oldest.record.ID]; ok && current.until.Equal(oldest.until) {
		delete(t.tombstones, oldest.record.ID)
	}
}

// Tombstone returns the last version of a removed record; false if the record was not removed or its tombstone has
// expired.
func (t *Table) Tombstone(id string) (Record, bool) {
	removed, ok := t.tombstones[id]
	return removed.record, ok
}

// Get returns the record of one upstream.
func (t *Table) Get(id string) (Record, bool) {
	current, ok := t.entries[id]
	if !ok {
		return Record{}, false
	}
	return current.record, true
}

// UpdatedAt returns the time at which the present version of a record was merged.
func (t *Table) UpdatedAt(id string) (time.Time, bool) {
	current, ok := t.entries[id]
	if !ok {
		return time.Time{}, false
	}
	return current.updatedAt, true
}

// SuspectRecord returns the record that publishes an upstream as suspect; false if the upstream is unknown, suspect or
// gone.
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

// InBuckets returns the records of the selected buckets in tree order.
func (t *Table) InBuckets(selected *[BucketCount]bool) []Record {
	return t.filter(func(e *entry) bool { return selected[e.bucket] })
}

// Select returns the records for which keep returns true, in tree order. updatedAt is the result of UpdatedAt.
func (t *Table) Select(keep func(r Record, updatedAt time.Time) bool) []Record {
	return t.filter(func(e *entry) bool { return keep(e.record, e.updatedAt) })
}

func (t *Table) filter(keep func(*entry) bool) []Record {
	var records []Record
	for _, e := range t.entries {
		if keep(e) {
			records = append(records, e.record)
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

// Digest returns a hash of the table's content: equal tables have equal digests.
func (t *Table) Digest() uint64 { return t.digest }

// BucketDigests returns one digest per bucket.
func (t *Table) BucketDigests() []uint64 { return slices.Clone(t.bucketDigests[:]) }

// DifferingBuckets marks the buckets whose digests differ from another table's.
func (t *Table) DifferingBuckets(buckets []uint64) (selected [BucketCount]bool, count int) {
	for i := range t.bucketDigests {
		if i >= len(buckets) || buckets[i] != t.bucketDigests[i] {
			selected[i] = true
			count++
		}
	}
	return selected, count
}

// Version returns a number that grows with every change of the table.
func (t *Table) Version() uint64 { return t.version }

// Rejected returns the number of records that Merge ignored because they were malformed or the table was full.
func (t *Table) Rejected() uint64 { return t.rejected }

func bucketOf(id string) uint8 { return uint8(xxhash.Sum64String(id)) }
