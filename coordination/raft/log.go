package raft

import "slices"

// memoryLog holds the entries after offset; a snapshot covers the earlier ones. Slices that it returns are never
// modified afterwards.
type memoryLog struct {
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the index of the last entry that is known to be durable.
	stable uint64
}

func (l *memoryLog) first() uint64 { return l.offset + 1 }

func (l *memoryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, or false if the log does not hold it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *memoryLog) matches(index, term uint64) bool {
	existing, ok := l.term(index)
	return ok && existing == term
}

// slice returns the entries from index first up to last, limited to maxBytes. It returns at least one entry unless
// first is greater than last.
func (l *memoryLog) slice(first, last uint64, maxBytes int) []Entry {
	if first > last {
		return nil
	}
	from, to := first-l.offset-1, first-l.offset
	size := l.entries[from].size()
	for to < last-l.offset && size+l.entries[to].size() <= maxBytes {
		size += l.entries[to].size()
		to++
	}
	return l.entries[from:to:to]
}

// unstable returns the entries that are not known to be durable.
func (l *memoryLog) unstable() []Entry {
	return slices.Clip(l.entries[l.stable-l.offset:])
}

func (l *memoryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entries after an index.
func (l *memoryLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.offset])
	l.stable = min(l.stable, index)
}

// markStable records that a write made the log durable up to an entry. It has no effect if the entry was replaced
// during the write.
func (l *memoryLog) markStable(index, term uint64) {
	if index > l.stable && l.matches(index, term) {
		l.stable = index
	}
}

// compact removes the entries up to and including an index that the log holds.
func (l *memoryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.offset:])
	l.offset, l.offsetTerm = index, term
}

// reset replaces the log by an empty one that continues after a snapshot.
func (l *memoryLog) reset(s Snapshot) {
	*l = memoryLog{offset: s.Index, offsetTerm: s.Term, stable: s.Index}
}

// conflictHint returns the last index, at most index, whose entry has at most the given term, and the term of that
// entry. With it, a leader and a follower whose logs differ find their common prefix with one message per differing
// term.
func (l *memoryLog) conflictHint(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for {
		existing, ok := l.term(index)
		if !ok || existing <= term {
			return index, existing
		}
		index--
	}
}
