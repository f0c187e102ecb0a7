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
	// A fixed seed gives every run the same verdict, and makes files that repeat a failure unnecessary.
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

func list(id string) *quarantine.List {
	return quarantine.New(quarantine.Config{ID: id, Incarnation: 1})
}

// mesh is a set of nodes whose reports have spread after each step.
type mesh []*quarantine.List

func newMesh(size int) mesh {
	var m mesh
	for i := range size {
		m = append(m, list(fmt.Sprintf("node-%d", i)))
	}
	return m
}

func (m mesh) spread(now time.Time, reports ...quarantine.Report) {
	for _, node := range m {
		for _, r := range reports {
			node.Observe(now, r)
		}
	}
}

// state is what must not depend on the order of reports. Expiry times do: nodes share no clock.
func state(now time.Time, l *quarantine.List) []quarantine.Entry {
	entries := l.Entries(now)
	for i := range entries {
		entries[i].Until = time.Time{}
	}
	return entries
}

var _ = Describe("List", func() {
	It("tells requests apart in every part of the fingerprint", func() {
		seen := make(map[fingerprint]bool)
		for _, f := range [][4]string{{"r", "GET", "/a", "k"}, {"r", "GET", "/ak", ""}, {"r", "GET/a", "", "k"}, {"r2", "GET", "/a", "k"}} {
			seen[quarantine.FingerprintOf(f[0], f[1], f[2], f[3], [32]byte{})] = true
		}
		seen[quarantine.FingerprintOf("r", "GET", "/a", "k", [32]byte{1})] = true
		Expect(seen).To(HaveLen(5))
	})

	It("isolates all requests of a herd crash, refuses none, and clears those that succeed alone", func() {
		m := newMesh(80)
		for i, node := range m {
			m.spread(begin, node.Crashed(begin, []fingerprint{request(i)}, false))
		}
		for i := range m {
			Expect(m[0].Verdict(begin, request(i))).To(Equal(quarantine.Exclusive), "one call in flight is no proof")
			r, ok := m[i].Succeeded(begin, request(i))
			Expect(ok).To(BeTrue())
			m.spread(begin, r)
		}
		Expect(m[0].Entries(begin)).To(BeEmpty())
	})

	It("refuses a request that crashes an upstream alone, until it expires", func() {
		node, other := list("a"), list("b")
		other.Observe(begin, node.Crashed(begin, []fingerprint{request(1), request(2)}, false))
		report := other.Crashed(begin, []fingerprint{request(1)}, true)
		node.Observe(begin.Add(time.Second), report)
		Expect(node.Verdict(begin, request(1))).To(Equal(quarantine.Refused))
		Expect(node.Verdict(begin, request(2))).To(Equal(quarantine.Exclusive))
		_, ok := node.Succeeded(begin, request(1))
		Expect(ok).To(BeFalse(), "a run that began earlier proves nothing")
		Expect(node.Entries(begin)[0].Upstreams).To(Equal([]string{"a", "b"}))
		Expect(node.Entries(begin)[0].Until).To(Equal(begin.Add(time.Second + quarantine.DefaultDuration)))

		expired := begin.Add(time.Second + quarantine.DefaultDuration)
		Expect(node.Verdict(expired, request(1))).To(Equal(quarantine.Allowed))
		node.Observe(expired, report)
		Expect(node.Verdict(expired, request(1))).To(Equal(quarantine.Allowed), "a repeated report does not revive it")
	})

	It("lets an operator clear requests on all nodes, but not crashes it has not heard of", func() {
		m := newMesh(2)
		first := m[0].Crashed(begin, []fingerprint{request(1), request(2)}, false)
		m[1].Observe(begin, first)
		second := m[1].Crashed(begin, []fingerprint{request(1)}, true)
		cleared, ok := m[0].Clear(begin, request(1))
		Expect(ok).To(BeTrue())
		m.spread(begin, second, cleared)
		Expect(m[0].Verdict(begin, request(1))).To(Equal(quarantine.Refused))
		cleared, ok = m[0].Clear(begin)
		Expect(ok).To(BeTrue())
		m.spread(begin, cleared)
		Expect(m[1].Entries(begin)).To(BeEmpty())
		_, ok = m[0].Clear(begin)
		Expect(ok).To(BeFalse())
	})

	It("drops the oldest requests when the list is full, and old ones after a while", func() {
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

	It("reaches the same state whatever the order, repetition and delay of reports", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newMesh(4)
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
					isolated := rapid.Bool().Draw(t, "isolated")
					if isolated {
						inFlight = inFlight[:1]
					}
					reports = append(reports, node.Crashed(begin, inFlight, isolated))
				}
			}
			delivered := append(append([]quarantine.Report(nil), reports...), reports...)
			end := begin.Add(time.Minute)
			var expected []quarantine.Entry
			for i := range 3 {
				l := list("observer")
				for _, r := range rapid.Permutation(delivered).Draw(t, "order") {
					l.Observe(begin.Add(time.Duration(rapid.IntRange(0, 59).Draw(t, "delay"))*time.Second), r)
				}
				joined := list("joined")
				for _, r := range l.Reports(end) {
					joined.Observe(end, r)
				}
				if i == 0 {
					expected = state(end, l)
				}
				for _, got := range []*quarantine.List{l, joined} {
					if fmt.Sprint(state(end, got)) != fmt.Sprint(expected) {
						t.Fatalf("state %v, want %v", state(end, got), expected)
					}
				}
			}
		})
	})

	It("lets a crashing request take two upstreams at most and refuses no innocent that was not isolated", func() {
		const culprit, innocents, nodes = 0, 12, 5
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newMesh(nodes)
			taken, crashes, isolated := 0, make(map[int]int), make(map[int]bool)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				i := rapid.IntRange(0, nodes-1).Draw(t, "node")
				var running []int
				alone := false
				for range rapid.IntRange(1, 6).Draw(t, "offered") {
					n := rapid.IntRange(0, innocents).Draw(t, "request")
					switch m[i].Verdict(begin, request(n)) {
					case quarantine.Refused:
						if n != culprit && (crashes[n] < 2 || !isolated[n]) {
							t.Fatalf("innocent %d refused after %d crashes", n, crashes[n])
						}
					case quarantine.Exclusive:
						if len(running) == 0 {
							running, alone = []int{n}, true
						}
					case quarantine.Allowed:
						if !alone {
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
					taken++
					crash = true
				}
				for n := range unique {
					if crash {
						crashes[n]++
						isolated[n] = isolated[n] || alone
					} else if r, ok := m[i].Succeeded(begin, request(n)); ok {
						m.spread(begin, r)
						crashes[n], isolated[n] = 0, false
					}
				}
				if crash {
					m.spread(begin, m[i].Crashed(begin, inFlight, alone))
				}
				if taken > 2 {
					t.Fatalf("the culprit took %d upstreams", taken)
				}
			}
		})
	})
})
