package endpoints_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/internal/fixedseed"
)

func TestEndpoints(t *testing.T) {
	// A fixed seed makes every run generate the same cases.
	fixedseed.Set(t)
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpoints")
}

var start = time.Unix(1_700_000_000, 0)

func record(id string, incarnation, sequence uint64, state endpoints.State) endpoints.Record {
	return endpoints.Record{ID: id, Incarnation: incarnation, Sequence: sequence, State: state, Zone: "z0", Service: "rank"}
}

func drawRecords(t *rapid.T) []endpoints.Record {
	anyRecord := rapid.Custom(func(t *rapid.T) endpoints.Record {
		id := fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "id"))
		state := endpoints.State(rapid.IntRange(1, 4).Draw(t, "state"))
		return record(id, rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(1, 4).Draw(t, "seq"), state)
	})
	return rapid.SliceOfN(anyRecord, 0, 40).Draw(t, "records")
}

var _ = Describe("Table", func() {
	// Guards against tables that never become equal because records arrived in different orders or twice.
	It("does not depend on the order of the records or on duplicates", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			records := drawRecords(t)
			shuffled := append([]endpoints.Record(nil), records...)
			shuffled = append(shuffled, records...)
			rand.New(rand.NewSource(rapid.Int64().Draw(t, "order"))).Shuffle(len(shuffled), func(i, j int) {
				shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
			})
			a, b := endpoints.NewTable(start, 0), endpoints.NewTable(start, 0)
			a.Merge(records)
			for _, r := range shuffled {
				b.Merge([]endpoints.Record{r})
			}
			Expect(a.All()).To(Equal(b.All()))
			Expect(a.Digest()).To(Equal(b.Digest()))
			Expect(a.BucketDigests()).To(Equal(b.BucketDigests()))
		})
	})

	// Guards against a comparison that misses a record: each difference must show in a bucket digest, and the tables must
	// be equal after they exchanged the records of the differing buckets.
	It("finds all differences by comparing bucket digests", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b := endpoints.NewTable(start, 0), endpoints.NewTable(start, 0)
			a.Merge(drawRecords(t))
			b.Merge(drawRecords(t))
			selected, _ := a.DifferingBuckets(b.BucketDigests())
			fromA, fromB := a.InBuckets(&selected), b.InBuckets(&selected)
			a.Merge(fromB)
			b.Merge(fromA)
			Expect(a.All()).To(Equal(b.All()))
			Expect(a.Digest()).To(Equal(b.Digest()))
		})
	})

	It("prefers a suspicion to the record that it refers to, and a record of greater sequence to the suspicion", func() {
		table := endpoints.NewTable(start, 0)
		table.Merge([]endpoints.Record{record("a", 1, 4, endpoints.Draining)})
		suspect, ok := table.SuspectRecord("a")
		Expect(ok).To(BeTrue())
		Expect(table.Merge([]endpoints.Record{suspect})).To(HaveLen(1))
		Expect(table.Merge([]endpoints.Record{record("a", 1, 4, endpoints.Draining)})).To(BeEmpty())
		Expect(table.Merge([]endpoints.Record{record("a", 1, 5, endpoints.Draining)})).To(HaveLen(1))
		Expect(table.ExpiringCount()).To(BeZero())
	})

	// Guards against a delayed copy of a record that adds an upstream again after its removal.
	It("rejects a removed record, but accepts a newer one of the same upstream", func() {
		table := endpoints.NewTable(start, 0)
		table.Merge([]endpoints.Record{record("a", 1, 4, endpoints.Suspect), record("b", 1, 1, endpoints.Gone)})
		Expect(table.Advance(start.Add(59 * time.Second))).To(BeEmpty())
		Expect(table.Advance(start.Add(60 * time.Second))).To(HaveLen(2))
		Expect(table.Len()).To(BeZero())
		Expect(table.Digest()).To(BeZero())
		Expect(table.Merge([]endpoints.Record{record("a", 1, 4, endpoints.Serving)})).To(BeEmpty())
		Expect(table.Merge([]endpoints.Record{record("a", 1, 5, endpoints.Serving)})).To(HaveLen(1))
		table.Advance(start.Add(time.Hour))
		_, remembered := table.Tombstone("b")
		Expect(remembered).To(BeFalse())
	})

	It("holds no more records than its limit and rejects malformed ones", func() {
		table := endpoints.NewTable(start, 10)
		now := start
		for i := range 1000 {
			now = now.Add(10 * time.Second)
			table.Advance(now)
			table.Merge([]endpoints.Record{record(fmt.Sprint("n", i), 1, 1, endpoints.Gone)})
		}
		Expect(table.Len()).To(BeNumerically("<=", 10))
		table.Advance(now.Add(time.Hour))
		for i := range 20 {
			table.Merge([]endpoints.Record{record(fmt.Sprint("m", i), 1, 1, endpoints.Serving)})
		}
		Expect(table.Len()).To(Equal(10))
		Expect(table.Rejected()).To(BeNumerically("==", 10))
		Expect(table.Merge([]endpoints.Record{record("m0", 1, 2, 9)})).To(BeEmpty())
	})
})
