package relay_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// The benchmarks measure the cost per operation for capacity planning: a peer with 16 children and a table at the
// design scale.
const (
	benchChildren = 16
	benchRecords  = 16_000
	benchZones    = 16
	benchServices = 1_700
)

func benchRecord(i int, sequence uint64) endpoints.Record {
	return endpoints.Record{
		ID: fmt.Sprintf("node-%05d", i), Incarnation: uint64(1_700_000_000_000 + i), Sequence: sequence,
		Zone: fmt.Sprintf("zone-%02d", i%benchZones), Service: fmt.Sprintf("service-%04d", i%benchServices),
		Address: fmt.Sprintf("10.%d.%d.%d:7400", i%benchZones, i/256, i%256), State: endpoints.Serving, Slots: 10,
		Parent: fmt.Sprintf("node-%05d", i/benchChildren),
	}
}

func benchTable() []endpoints.Record {
	records := make([]endpoints.Record, 0, benchRecords)
	for i := range benchRecords {
		records = append(records, benchRecord(i, 1))
	}
	return records
}

// bench drives one node with a parent and children. Messages to it are encoded and decoded as on the wire.
type bench struct {
	peer   *relay.Peer
	now    time.Time
	parent relay.LinkID
	bytes  int
	sent   int
}

func newBench(tb testing.TB) *bench {
	RegisterTestingT(tb)
	b := &bench{now: time.Unix(1_700_000_000, 0), parent: relay.OutboundLink | 1}
	b.peer = relay.New(b.now, relay.Config{
		ID: "n0", Zone: "zone-00", Address: "n0", Incarnation: 1, JoinAddresses: []string{"m0"}, Keys: hashVerifier{},
		Rand: rand.New(rand.NewSource(1)), FanOut: benchChildren + 1,
	})
	b.now = b.now.Add(2 * time.Second)
	b.drain()
	b.peer.LinkUp(b.now, b.parent, relay.Hello{ID: "m0", Incarnation: 1, Zone: "zone-00", Member: true}, true)
	b.step(b.parent, relay.Message{Accept: &relay.Accept{Freshness: relay.Freshness{Confirmed: true}}})
	for link := range relay.LinkID(benchChildren) {
		b.join(link+1, fmt.Sprint("child-", link))
	}
	for start := 0; start < benchRecords; start += 4000 {
		b.step(1, relay.Message{Endpoints: &relay.Endpoints{Records: benchTable()[start : start+4000]}})
	}
	return b
}

func (b *bench) join(link relay.LinkID, id string) {
	hello := relay.Hello{ID: id, Incarnation: uint64(link) + 2, Zone: "zone-00", Address: id}
	b.peer.LinkUp(b.now, link, hello, false)
	b.step(link, relay.Message{Join: &relay.Join{Records: 1}})
	b.step(link, relay.Message{Poll: &relay.Poll{Sequence: 1}})
}

func (b *bench) step(link relay.LinkID, m relay.Message) {
	data, err := cbor.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	var received relay.Message
	Expect(cbor.Unmarshal(data, &received)).To(Succeed())
	b.peer.Step(b.now, link, received)
	b.bytes += len(data)
	b.drain()
}

func (b *bench) drain() {
	b.peer.Tick(b.now)
	for _, output := range b.peer.Outputs() {
		switch o := output.(type) {
		case relay.Send:
			b.bytes += encodedSize(o.Message)
			b.sent++
		case relay.Activate:
			b.peer.Activated(b.now, o.Approval.Version)
		}
	}
}

func (b *bench) start(tb *testing.B) {
	b.bytes, b.sent = 0, 0
	tb.ReportAllocs()
	tb.ResetTimer()
}

func (b *bench) report(tb *testing.B) {
	tb.ReportMetric(float64(b.bytes)/float64(tb.N), "wire-B/op")
	tb.ReportMetric(float64(b.sent)/float64(tb.N), "messages/op")
}

// BenchmarkPoll measures one poll by one child and its reply.
func BenchmarkPoll(tb *testing.B) {
	b := newBench(tb)
	digest := b.peer.Table().Digest()
	b.start(tb)
	for i := range tb.N {
		b.step(relay.LinkID(1+i%benchChildren), relay.Message{Poll: &relay.Poll{Sequence: uint64(i), TableDigest: digest}})
	}
	b.report(tb)
}

// BenchmarkTick measures a tick without work; there are 20 per second.
func BenchmarkTick(tb *testing.B) {
	b := newBench(tb)
	b.start(tb)
	for range tb.N {
		b.drain()
	}
	b.report(tb)
}

// BenchmarkEndpointChange measures one changed record that arrives from one child and is sent to the 15 others.
func BenchmarkEndpointChange(tb *testing.B) {
	b := newBench(tb)
	b.start(tb)
	for i := range tb.N {
		record := benchRecord(i%benchRecords, uint64(2+i/benchRecords))
		b.step(1, relay.Message{Endpoints: &relay.Endpoints{Records: []endpoints.Record{record}}})
	}
	b.report(tb)
}

// BenchmarkRollout measures a change of one route in a bundle of 1,700 services: parts and approval arrive from the
// parent, the bundle is activated, and parts and approval are sent to 16 children.
func BenchmarkRollout(tb *testing.B) {
	b := newBench(tb)
	store := bundle.NewStore()
	var base bundle.Digest
	wholeBytes := 0
	rollout := func(version int) {
		tb.StopTimer()
		parts, manifest, err := bundle.Split(bundleOf(version, benchServices))
		Expect(err).NotTo(HaveOccurred())
		whole := bundle.Update{Target: manifest.Digest(), Delta: bundle.Diff(bundle.Manifest{}, manifest), Parts: parts}
		Expect(store.Add(whole)).To(Succeed())
		update, err := store.Update(base, whole.Target)
		Expect(err).NotTo(HaveOccurred())
		data, err := relay.Pack(update)
		Expect(err).NotTo(HaveOccurred())
		if base.IsZero() {
			wholeBytes = len(data)
		}
		store.Retain(whole.Target)
		a := bundle.Approval{Version: uint64(version), Digest: whole.Target, Operator: "ana"}
		a.Signature = signature(a)
		tb.StartTimer()
		b.step(b.parent, relay.Message{Parts: &relay.Parts{Base: base, Target: whole.Target, Data: data}})
		b.step(b.parent, relay.Message{Approved: &relay.Approved{Approval: a}})
		base = whole.Target
	}
	rollout(1)
	b.start(tb)
	for i := range tb.N {
		rollout(i + 2)
	}
	tb.StopTimer()
	Expect(b.peer.Status().InForce).To(BeNumerically("==", tb.N+1))
	b.report(tb)
	tb.ReportMetric(float64(wholeBytes), "whole-B")
}

// BenchmarkJoin measures the join of a node that has just started and receives the whole table.
func BenchmarkJoin(tb *testing.B) {
	b := newBench(tb)
	b.start(tb)
	for i := range tb.N {
		b.join(relay.LinkID(100+i), "joiner")
	}
	b.report(tb)
}

// BenchmarkTableMemory measures the heap use of a table at the design scale.
func BenchmarkTableMemory(tb *testing.B) {
	records := benchTable()
	for range tb.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := endpoints.NewTable(time.Unix(0, 0), 0)
		for _, r := range records {
			data, _ := cbor.Marshal(r)
			var received endpoints.Record
			_ = cbor.Unmarshal(data, &received)
			table.Merge([]endpoints.Record{received})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		tb.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
		runtime.KeepAlive(table)
	}
}
