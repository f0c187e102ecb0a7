package ledger_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/ledger"
)

func TestLedger(t *testing.T) {
	// With a fixed seed, every run draws the same cases, and a file that repeats a failure is not needed.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

const (
	startMs = int64(1_800_000_000_000)
	hourMs  = int64(time.Hour / time.Millisecond)
	dayMs   = 24 * hourMs
)

// attempt is one attempt of an executor at the call under a key. Its methods return commands with a given time.
type attempt struct {
	key         string
	executor    string
	incarnation uint64
	number      uint64
}

func (a attempt) claim(nowMs int64) ledger.Command {
	return ledger.Command{NowMs: nowMs, Claim: &ledger.Claim{
		Key: a.key, Route: "promote", RequestDigest: [32]byte{1},
		Executor: a.executor, Incarnation: a.incarnation, Attempt: a.number,
	}}
}

func (a attempt) record(nowMs int64, response ledger.Response) ledger.Command {
	return ledger.Command{NowMs: nowMs, Record: &ledger.Record{
		Key: a.key, Executor: a.executor, Incarnation: a.incarnation, Attempt: a.number, Response: response,
	}}
}

func (a attempt) release(nowMs int64) ledger.Command {
	return ledger.Command{NowMs: nowMs, Release: &ledger.Release{
		Key: a.key, Executor: a.executor, Incarnation: a.incarnation, Attempt: a.number,
	}}
}

func query(key string, nowMs int64) ledger.Command {
	return ledger.Command{NowMs: nowMs, Query: &ledger.Query{Key: key}}
}

func describe(r ledger.Result) string {
	if r.Response == nil {
		return fmt.Sprint(r.Status, r.Holder)
	}
	return fmt.Sprint(r.Status, r.Holder, *r.Response)
}

func keyAt(ms int64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(ms)<<16|0x7000)
	id[8] = 0x80
	return id.String()
}

var (
	first    = attempt{"k", "a", 1, 1}
	response = ledger.Response{Status: 201, Header: map[string][]string{"Location": {"/p/1"}}, Body: []byte("promoted")}
)

var _ = Describe("Ledger", func() {
	var l *ledger.Ledger
	BeforeEach(func() { l = ledger.New(ledger.Config{}) })
	apply := func(c ledger.Command) ledger.Status { return l.Apply(c).Status }

	It("grants a claim to one attempt only, and again if that attempt sends it again", func() {
		Expect(apply(first.claim(startMs))).To(Equal(ledger.Granted))
		Expect(apply(first.claim(startMs))).To(Equal(ledger.Granted))
		for _, other := range []attempt{{"k", "b", 1, 1}, {"k", "a", 1, 2}, {"k", "a", 2, 1}} {
			result := l.Apply(other.claim(startMs))
			Expect(result.Status).To(Equal(ledger.Claimed), "also for a later incarnation of the same node")
			Expect(result.Holder).To(Equal(ledger.Claim{Key: "k", Executor: "a", Incarnation: 1, Attempt: 1}))
			Expect(apply(other.record(startMs, response))).To(Equal(ledger.Claimed))
			Expect(apply(other.release(startMs))).To(Equal(ledger.Claimed))
		}
		Expect(apply(query("k", startMs+6*dayMs))).To(Equal(ledger.Claimed), "an unresolved claim stays")
	})

	It("keeps the first response and returns it whenever the call is sent again", func() {
		apply(first.claim(startMs))
		Expect(apply(first.record(startMs, response))).To(Equal(ledger.Done))
		Expect(apply(first.record(startMs, ledger.Response{Status: 500}))).To(Equal(ledger.Done))
		Expect(apply(first.release(startMs))).To(Equal(ledger.Done))
		for _, c := range []ledger.Command{first.claim(startMs), attempt{"k", "b", 1, 1}.claim(startMs), query("k", startMs)} {
			result := l.Apply(c)
			Expect(result.Status).To(Equal(ledger.Done))
			Expect(*result.Response).To(Equal(response))
		}
	})

	It("grants the claim to another attempt after a release, and no late copy of the released claim", func() {
		apply(first.claim(startMs))
		Expect(apply(first.release(startMs))).To(Equal(ledger.Released))
		Expect(apply(first.claim(startMs))).To(Equal(ledger.Released))
		second := attempt{"k", "b", 1, 1}
		Expect(apply(second.claim(startMs))).To(Equal(ledger.Granted))
		Expect(apply(first.release(startMs))).To(Equal(ledger.Claimed))
		Expect(apply(second.claim(startMs))).To(Equal(ledger.Granted), "the old holder's release is not valid")

		early := attempt{"early", "a", 1, 2}
		Expect(apply(early.release(startMs))).To(Equal(ledger.Released), "the release arrives before the claim")
		Expect(apply(early.claim(startMs))).To(Equal(ledger.Released))
	})

	It("reports a response of a released call as an invariant violation", func() {
		before := invariant.Counts()[invariant.FalseNotRun]
		apply(first.claim(startMs))
		apply(first.release(startMs))
		Expect(apply(first.record(startMs, response))).To(Equal(ledger.Released))
		Expect(invariant.Counts()[invariant.FalseNotRun]).To(Equal(before + 1))
	})

	It("refuses a key that is reused for another request", func() {
		apply(first.claim(startMs))
		other := first.claim(startMs)
		other.Claim.RequestDigest = [32]byte{2}
		Expect(apply(other)).To(Equal(ledger.KeyReused))
		other = first.claim(startMs)
		other.Claim.Route = "demote"
		Expect(apply(other)).To(Equal(ledger.KeyReused))
		reused := query("k", startMs)
		reused.Query.RequestDigest = [32]byte{2}
		Expect(apply(reused)).To(Equal(ledger.KeyReused))
	})

	It("drops responses after 1 h and keys after 7 days, and ignores a time that goes back", func() {
		apply(first.claim(startMs))
		apply(first.record(startMs, response))
		Expect(l.Apply(query("k", startMs+hourMs-1)).Response.Dropped).To(BeFalse())
		result := l.Apply(query("k", startMs+hourMs))
		Expect(result.Status).To(Equal(ledger.Done))
		Expect(*result.Response).To(Equal(ledger.Response{Status: 201, Dropped: true}))
		Expect(apply(query("k", startMs+7*dayMs-1))).To(Equal(ledger.Done))
		Expect(apply(query("k", startMs+7*dayMs))).To(Equal(ledger.Absent))
		Expect(apply(query("k", startMs))).To(Equal(ledger.Absent))
		apply(query("k", startMs+8*dayMs))
		Expect(l.Len()).To(BeZero())
	})

	It("refuses UUIDv7 keys that it may have dropped", func() {
		Expect(apply(attempt{keyAt(startMs - 7*dayMs), "a", 1, 1}.claim(startMs))).To(Equal(ledger.Expired))
		Expect(apply(attempt{keyAt(startMs + 7*dayMs), "a", 1, 1}.claim(startMs))).To(Equal(ledger.Expired))
		Expect(apply(query(keyAt(startMs-7*dayMs), startMs))).To(Equal(ledger.Expired))
		// A key with a time is either known or refused at any moment, so that it cannot be claimed twice.
		for _, offset := range []int64{-6 * dayMs, -hourMs, 0, hourMs, 6 * dayMs} {
			l = ledger.New(ledger.Config{})
			key := keyAt(startMs + offset)
			Expect(apply(attempt{key, "a", 1, 1}.claim(startMs))).To(Equal(ledger.Granted))
			for now := startMs; now < startMs+15*dayMs; now += hourMs {
				Expect(apply(attempt{key, "b", 1, 1}.claim(now))).To(Or(Equal(ledger.Claimed), Equal(ledger.Expired)))
			}
		}
	})

	It("bounds the keys and the responses", func() {
		l = ledger.New(ledger.Config{MaxKeys: 3, MaxResponseBytes: 100, MaxTotalResponseBytes: 150})
		for i, size := range []int{101, 90, 90} {
			a := attempt{fmt.Sprint(i), "a", 1, uint64(i)}
			Expect(apply(a.claim(startMs))).To(Equal(ledger.Granted))
			Expect(apply(a.record(startMs, ledger.Response{Body: make([]byte, size)}))).To(Equal(ledger.Done))
		}
		Expect(apply(attempt{"more", "a", 1, 9}.claim(startMs))).To(Equal(ledger.Full))
		Expect(l.Stats()).To(Equal(ledger.Stats{NowMs: startMs, Done: 3, Responses: 1, ResponseBytes: 90, Executors: 1}))
		for key, dropped := range map[string]bool{"0": true, "1": true, "2": false} {
			Expect(l.Apply(query(key, startMs)).Response.Dropped).To(Equal(dropped), key)
		}
	})

	It("refuses malformed commands and corrupt snapshots", func() {
		Expect(apply(ledger.Command{})).To(Equal(ledger.Invalid))
		Expect(apply(query("", startMs))).To(Equal(ledger.Invalid))
		Expect(apply(ledger.Command{Query: &ledger.Query{Key: "k"}, Release: &ledger.Release{Key: "k"}})).To(Equal(ledger.Invalid))
		_, err := ledger.Restore(ledger.Config{}, []byte{0xff})
		Expect(err).To(MatchError(ledger.ErrCorruptSnapshot))
	})

	It("gives a replica restored from a snapshot the same results and the same snapshots", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			config := ledger.Config{KeyRetention: 2 * time.Hour, MaxKeys: 4, MaxTotalResponseBytes: 20}
			original, replica := ledger.New(config), ledger.New(config)
			for range rapid.IntRange(1, 60).Draw(t, "commands") {
				now := startMs + rapid.Int64Range(0, 10*hourMs).Draw(t, "now")
				a := attempt{
					key:         rapid.SampledFrom([]string{"a", "b", "c", "d", "e", keyAt(startMs)}).Draw(t, "key"),
					executor:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "executor"),
					incarnation: 1, number: rapid.Uint64Range(1, 12).Draw(t, "attempt"),
				}
				body := make([]byte, rapid.IntRange(0, 12).Draw(t, "size"))
				c := rapid.SampledFrom([]ledger.Command{
					a.claim(now), a.record(now, ledger.Response{Body: body}), a.release(now), query(a.key, now),
				}).Draw(t, "command")
				if got, want := describe(replica.Apply(c)), describe(original.Apply(c)); got != want {
					t.Fatalf("replica %s, original %s", got, want)
				}
				data, err := original.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				copied, err := replica.Snapshot()
				if err != nil || string(copied) != string(data) {
					t.Fatalf("snapshots differ: %v", err)
				}
				if rapid.Bool().Draw(t, "restore") {
					if replica, err = ledger.Restore(config, data); err != nil {
						t.Fatal(err)
					}
				}
			}
		})
	})
})

// BenchmarkKeys measures the memory and the snapshot bytes of a key whose call is done and whose response has expired.
func BenchmarkKeys(b *testing.B) {
	const count = 1_000_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := ledger.New(ledger.Config{})
		for i := range count {
			now := startMs + int64(i)*600 // a million keys in 7 days
			a := attempt{fmt.Sprintf("key-%d", i), fmt.Sprintf("node-%d", i%1000), 1, uint64(i)}
			l.Apply(a.claim(now))
			l.Apply(a.record(now, response))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(l.Len()), "B/key")
		data, err := l.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/float64(l.Len()), "snapshot-B/key")
		b.ReportMetric(float64(l.Len()), "keys")
	}
}

func BenchmarkClaimRecord(b *testing.B) {
	l := ledger.New(ledger.Config{})
	i := 0
	for b.Loop() {
		i++
		a := attempt{fmt.Sprintf("key-%d", i), "node", 1, uint64(i)}
		l.Apply(a.claim(startMs + int64(i)))
		l.Apply(a.record(startMs+int64(i), response))
	}
}
