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
	// A fixed seed gives the same verdict in every run.
	fixedseed.Set(t)
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpoints")
}

var start = time.Unix(1_700_000_000, 0)

func record(id string, incarnation, sequence uint64, state endpoints.State) endpoints.Record {
	return endpoints.Record{ID: id, Incarnation: incarnation, Sequence: sequence, State: state, Zone: "z0", Service: "rank"}
}

func drawRecords(t *rapid.T) []endpoints.Record {
	one := rapid.Custom(func(t *rapid.T) endpoints.Record {
		id := fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "id"))
		state := endpoints.State(rapid.IntRange(1, 4).Draw(t, "state"))
		return record(id, rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(1, 4).Draw(t, "seq"), state)
	})
	return rapid.SliceOfN(one, 0, 40).Draw(t, "records")
}

var _ = Describe("Table", func() {
	// Guards against tables that differ for ever because records arrived in another order or twice.
	It("is independent of order and duplication", func() {
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

	// Guards against repairs that miss a record: every difference shows in a bucket, and merging it removes it.
	It("finds all differences by buckets", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b := endpoints.NewTable(start, 0), endpoints.NewTable(start, 0)
			a.Merge(drawRecords(t))
			b.Merge(drawRecords(t))
			marked, _ := a.DifferingBuckets(b.BucketDigests())
			fromA, fromB := a.InBuckets(&marked), b.InBuckets(&marked)
			a.Merge(fromB)
			b.Merge(fromA)
			Expect(a.All()).To(Equal(b.All()))
			Expect(a.Digest()).To(Equal(b.Digest()))
		})
	})

	It("lets a suspicion win over the record it is about, and a greater sequence over the suspicion", func() {
		table := endpoints.NewTable(start, 0)
		table.Merge([]endpoints.Record{record("a", 1, 4, endpoints.Draining)})
		suspicion, ok := table.SuspectRecord("a")
		Expect(ok).To(BeTrue())
		Expect(table.Merge([]endpoints.Record{suspicion})).To(HaveLen(1))
		Expect(table.Merge([]endpoints.Record{record("a", 1, 4, endpoints.Draining)})).To(BeEmpty())
		Expect(table.Merge([]endpoints.Record{record("a", 1, 5, endpoints.Draining)})).To(HaveLen(1))
		Expect(table.ExpiringCount()).To(BeZero())
	})

	// Guards against a late copy that brings an endpoint back after its removal.
	It("keeps a dropped record out, but takes its refutation", func() {
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

	It("stays bounded and refuses malformed records", func() {
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
