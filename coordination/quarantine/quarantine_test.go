package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/internal/fixedseed"
)

func TestQuarantine(t *testing.T) {
	// With a fixed seed every run checks the same cases, so rapid need not store files that reproduce a failure.
	fixedseed.Set(t)
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

type fingerprint = quarantine.Fingerprint

var begin = time.Unix(1_000_000, 0)

func request(n int) (f fingerprint) {
	binary.BigEndian.PutUint64(f[:], uint64(n))
	return f
}

func newList(id string) *quarantine.List {
	return quarantine.New(quarantine.Config{ID: id, Incarnation: 1})
}

// nodes are the lists of several nodes. A report that is published reaches all of them at once.
type nodes []*quarantine.List

func newNodes(size int) nodes {
	var m nodes
	for i := range size {
		m = append(m, newList(fmt.Sprintf("node-%d", i)))
	}
	return m
}

func (m nodes) publish(now time.Time, reports ...quarantine.Report) {
	for _, node := range m {
		for _, r := range reports {
			node.Observe(now, r)
		}
	}
}

// entriesWithoutExpiry returns the part of the entries that must not depend on the order of reports. Expiry times may
// depend on it, since each node computes the time of a crash by its own clock.
func entriesWithoutExpiry(now time.Time, l *quarantine.List) []quarantine.Entry {
	entries := l.Entries(now)
	for i := range entries {
		entries[i].Until = time.Time{}
	}
	return entries
}

var _ = Describe("List", func() {
	It("gives requests that differ in any one part different fingerprints", func() {
		seen := make(map[fingerprint]bool)
		for _, f := range [][4]string{{"r", "GET", "/a", "k"}, {"r", "GET", "/ak", ""}, {"r", "GET/a", "", "k"}, {"r2", "GET", "/a", "k"}} {
			seen[quarantine.FingerprintOf(f[0], f[1], f[2], f[3], [32]byte{})] = true
		}
		seen[quarantine.FingerprintOf("r", "GET", "/a", "k", [32]byte{1})] = true
		Expect(seen).To(HaveLen(5))
	})

	// Guards against the quarantine of one harmless request per upstream when many upstreams crash at once, each with a
	// single request in flight.
	It("makes the requests of a mass crash exclusive, refuses none, and clears those that then succeed", func() {
		m := newNodes(80)
		for i, node := range m {
			m.publish(begin, node.Crashed(begin, []fingerprint{request(i)}, false))
		}
		for i := range m {
			Expect(m[0].Verdict(begin, request(i))).To(Equal(quarantine.Exclusive), "the only call in flight need not be the cause")
			r, ok := m[i].Succeeded(begin, request(i))
			Expect(ok).To(BeTrue())
			m.publish(begin, r)
		}
		Expect(m[0].Entries(begin)).To(BeEmpty())
	})

	It("refuses a request that crashes an upstream while it runs exclusively, until the crash expires", func() {
		node, other := newList("a"), newList("b")
		other.Observe(begin, node.Crashed(begin, []fingerprint{request(1), request(2)}, false))
		report := other.Crashed(begin, []fingerprint{request(1)}, true)
		node.Observe(begin.Add(time.Second), report)
		Expect(node.Verdict(begin, request(1))).To(Equal(quarantine.Refused))
		Expect(node.Verdict(begin, request(2))).To(Equal(quarantine.Exclusive))
		_, ok := node.Succeeded(begin, request(1))
		Expect(ok).To(BeFalse(), "a run that began before the quarantine does not clear the request")
		Expect(node.Entries(begin)[0].Upstreams).To(Equal([]string{"a", "b"}))
		Expect(node.Entries(begin)[0].Until).To(Equal(begin.Add(time.Second + quarantine.DefaultDuration)))

		expired := begin.Add(time.Second + quarantine.DefaultDuration)
		Expect(node.Verdict(expired, request(1))).To(Equal(quarantine.Allowed))
		node.Observe(expired, report)
		Expect(node.Verdict(expired, request(1))).To(Equal(quarantine.Allowed), "a repeated report does not make an expired crash count again")
	})

	It("lets an operator clear requests on all nodes, but not crashes whose reports arrive later", func() {
		m := newNodes(2)
		first := m[0].Crashed(begin, []fingerprint{request(1), request(2)}, false)
		m[1].Observe(begin, first)
		second := m[1].Crashed(begin, []fingerprint{request(1)}, true)
		cleared, ok := m[0].Clear(begin, request(1))
		Expect(ok).To(BeTrue())
		m.publish(begin, second, cleared)
		Expect(m[0].Verdict(begin, request(1))).To(Equal(quarantine.Refused))
		cleared, ok = m[0].Clear(begin)
		Expect(ok).To(BeTrue())
		m.publish(begin, cleared)
		Expect(m[1].Entries(begin)).To(BeEmpty())
		_, ok = m[0].Clear(begin)
		Expect(ok).To(BeFalse())
	})

	It("drops the oldest requests when the list is full, and all crashes past their retention", func() {
		l := quarantine.New(quarantine.Config{MaxEntries: 2})
		for i := range 3 {
			l.Crashed(begin.Add(time.Duration(i)*time.Second), []fingerprint{request(i)}, false)
		}
		Expect(l.Verdict(begin, request(0))).To(Equal(quarantine.Allowed))
		Expect(l.Entries(begin)).To(HaveLen(2))
		later := begin.Add(2 * quarantine.DefaultRetention)
		l.Crashed(later, []fingerprint{request(9)}, false)
		Expect(l.Reports(later)).To(HaveLen(1))
	})

	It("reaches the same entries whatever the order, repetition and delay of reports", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newNodes(4)
			var reports []quarantine.Report
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				node := m[rapid.IntRange(0, 3).Draw(t, "node")]
				f := request(rapid.IntRange(0, 4).Draw(t, "request"))
				switch rapid.IntRange(0, 4).Draw(t, "action") {
				case 0:
					if r, ok := node.Succeeded(begin, f); ok {
						reports = append(reports, r)
					}
				case 1:
					if r, ok := node.Clear(begin, f); ok {
						reports = append(reports, r)
					}
				case 2:
					if len(reports) > 0 {
						node.Observe(begin, rapid.SampledFrom(reports).Draw(t, "early"))
					}
				default:
					inFlight := []fingerprint{f, request(rapid.IntRange(0, 4).Draw(t, "second"))}
					exclusive := rapid.Bool().Draw(t, "exclusive")
					if exclusive {
						inFlight = inFlight[:1]
					}
					reports = append(reports, node.Crashed(begin, inFlight, exclusive))
				}
			}
			delivered := append(append([]quarantine.Report(nil), reports...), reports...)
			end := begin.Add(time.Minute)
			var expected []quarantine.Entry
			for i := range 3 {
				l := newList("observer")
				for _, r := range rapid.Permutation(delivered).Draw(t, "order") {
					l.Observe(begin.Add(time.Duration(rapid.IntRange(0, 59).Draw(t, "delay"))*time.Second), r)
				}
				joined := newList("joined")
				for _, r := range l.Reports(end) {
					joined.Observe(end, r)
				}
				if i == 0 {
					expected = entriesWithoutExpiry(end, l)
				}
				for _, got := range []*quarantine.List{l, joined} {
					if fmt.Sprint(entriesWithoutExpiry(end, got)) != fmt.Sprint(expected) {
						t.Fatalf("state %v, want %v", entriesWithoutExpiry(end, got), expected)
					}
				}
			}
		})
	})

	// Guards against a request that crashes one upstream after the other, and against refusing requests that were only
	// in flight together with it. It crashes one upstream while unknown and one while it runs exclusively.
	It("limits a crashing request to two upstreams and refuses no other request that never ran exclusively", func() {
		const culprit, harmless, nodeCount = 0, 12, 5
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newNodes(nodeCount)
			culpritCrashes, crashes, crashedExclusively := 0, make(map[int]int), make(map[int]bool)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				i := rapid.IntRange(0, nodeCount-1).Draw(t, "node")
				var running []int
				exclusive := false
				for range rapid.IntRange(1, 6).Draw(t, "offered") {
					n := rapid.IntRange(0, harmless).Draw(t, "request")
					switch m[i].Verdict(begin, request(n)) {
					case quarantine.Refused:
						if n != culprit && (crashes[n] < 2 || !crashedExclusively[n]) {
							t.Fatalf("harmless request %d refused after %d crashes", n, crashes[n])
						}
					case quarantine.Exclusive:
						if len(running) == 0 {
							running, exclusive = []int{n}, true
						}
					case quarantine.Allowed:
						if !exclusive {
							running = append(running, n)
						}
					}
				}
				crash := rapid.IntRange(0, 5).Draw(t, "other cause") == 0
				var inFlight []fingerprint
				unique := make(map[int]bool)
				for _, n := range running {
					unique[n] = true
					inFlight = append(inFlight, request(n))
				}
				if unique[culprit] {
					culpritCrashes++
					crash = true
				}
				for n := range unique {
					if crash {
						crashes[n]++
						crashedExclusively[n] = crashedExclusively[n] || exclusive
					} else if r, ok := m[i].Succeeded(begin, request(n)); ok {
						m.publish(begin, r)
						crashes[n], crashedExclusively[n] = 0, false
					}
				}
				if crash {
					m.publish(begin, m[i].Crashed(begin, inFlight, exclusive))
				}
				if culpritCrashes > 2 {
					t.Fatalf("the culprit crashed %d upstreams", culpritCrashes)
				}
			}
		})
	})
})
