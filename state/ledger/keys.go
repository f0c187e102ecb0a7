package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/google/uuid"
)

const (
	// bucketMs is the width of the time buckets in which keys expire.
	bucketMs = 60_000
	// maxVoided bounds the released attempts that are remembered for a key. If a copy of an older claim still arrives, it
	// is granted to an attempt that has ended, and the key stays claimed until it expires: the call does not run twice.
	maxVoided = 8
)

// keyHash is the truncated SHA-256 of a key, so that entries are small and of equal size.
type keyHash [16]byte

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:len(keyHash{})])
}

// requestHash is the truncated SHA-256 of a request digest and a route. It is zero for a key whose release arrived
// before its claim.
type requestHash [16]byte

func hashRequest(route string, digest [32]byte) requestHash {
	sum := sha256.Sum256(append(digest[:], route...))
	return requestHash(sum[:len(requestHash{})])
}

// keyTime returns the time in a UUIDv7 key, in milliseconds since 1970, or false for other keys.
func keyTime(key string) (int64, bool) {
	const timeBytes = 6
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	var raw [8]byte
	copy(raw[len(raw)-timeBytes:], id[:timeBytes])
	return int64(binary.BigEndian.Uint64(raw[:])), true
}

// holder identifies an attempt of an executor, which may hold the claim of a key.
type holder struct {
	incarnation uint64
	attempt     uint64
	executor    uint32 // number in Ledger.executors
}

// entry is the state of one key.
type entry struct {
	request        requestHash
	holder         holder
	expiresMs      int64
	responseStatus uint16
	status         Status // Claimed, Done or Released
}

// sameRequest reports whether the entry belongs to a request. An entry whose request is not known matches all.
func (e entry) sameRequest(route string, digest [32]byte) bool {
	return e.request == requestHash{} || e.request == hashRequest(route, digest)
}

// keys holds the state of all keys and drops the expired ones.
type keys struct {
	entries map[keyHash]entry
	// voided lists the attempts whose claims are not granted any more, oldest first.
	voided map[keyHash][]holder
	// buckets lists the keys by the time bucket of their expiry. A key whose expiry has changed can be in several.
	buckets map[int64][]keyHash
	// nextBucket is the first bucket that is not yet cleared.
	nextBucket int64
}

func newKeys() keys {
	return keys{
		entries: make(map[keyHash]entry),
		voided:  make(map[keyHash][]holder),
		buckets: make(map[int64][]keyHash),
	}
}

// lookup returns the entry of a key unless it has expired. It does not change the state.
func (k *keys) lookup(key keyHash, nowMs int64) (entry, bool) {
	e, ok := k.entries[key]
	if ok && e.expiresMs <= nowMs {
		return entry{}, false
	}
	return e, ok
}

// lookupForUpdate is like lookup, but removes an expired entry.
func (k *keys) lookupForUpdate(key keyHash, nowMs int64) (entry, bool) {
	e, ok := k.lookup(key, nowMs)
	if !ok {
		k.remove(key)
	}
	return e, ok
}

func (k *keys) store(key keyHash, e entry) {
	old, known := k.entries[key]
	k.entries[key] = e
	if !known || old.expiresMs/bucketMs != e.expiresMs/bucketMs {
		bucket := e.expiresMs / bucketMs
		k.buckets[bucket] = append(k.buckets[bucket], key)
	}
}

func (k *keys) remove(key keyHash) {
	delete(k.entries, key)
	delete(k.voided, key)
}

// void records that later copies of an attempt's claim are not to be granted.
func (k *keys) void(key keyHash, claimant holder) {
	list := k.voided[key]
	if slices.Contains(list, claimant) {
		return
	}
	if len(list) >= maxVoided {
		list = slices.Delete(list, 0, 1)
	}
	k.voided[key] = append(list, claimant)
}

// expire clears the buckets that lie entirely in the past. Which entries remain depends only on the commands and not on
// lookups, so that all replicas agree on when the ledger is full.
func (k *keys) expire(nowMs int64) {
	current := nowMs / bucketMs
	if current == k.nextBucket {
		return
	}
	if current-k.nextBucket > int64(len(k.buckets)) {
		for bucket := range k.buckets {
			if bucket < current {
				k.clear(bucket)
			}
		}
		k.nextBucket = current
	}
	for ; k.nextBucket < current; k.nextBucket++ {
		k.clear(k.nextBucket)
	}
}

// clear removes the keys of a bucket, except for those that now expire in a later one.
func (k *keys) clear(bucket int64) {
	for _, key := range k.buckets[bucket] {
		if e, ok := k.entries[key]; ok && e.expiresMs/bucketMs <= bucket {
			k.remove(key)
		}
	}
	delete(k.buckets, bucket)
}

// nameTable assigns numbers to the names of executors, so that entries hold a number instead of a name. It grows to the
// number of nodes; names that are no longer in use are dropped when the ledger is restored from a snapshot.
type nameTable struct {
	names   []string
	numbers map[string]uint32
}

func newNameTable() nameTable { return nameTable{numbers: make(map[string]uint32)} }

func (n *nameTable) numberOf(name string) uint32 {
	if number, ok := n.numbers[name]; ok {
		return number
	}
	number := uint32(len(n.names))
	n.names = append(n.names, name)
	n.numbers[name] = number
	return number
}
