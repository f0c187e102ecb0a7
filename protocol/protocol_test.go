package protocol_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

func TestProtocol(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "protocol")
}

var (
	follow = protocol.FollowFrame{
		Hello:   &relay.Hello{ID: "n", Incarnation: 7, Zone: "za", Address: "127.0.0.1:1"},
		Message: &relay.Message{Poll: &relay.Poll{Sequence: 3, Counts: &relay.Aggregate{Nodes: 2, Lowest: 1}}},
	}
	call = protocol.CallFrame{
		Metadata: &protocol.CallMetadata{
			Service: "desk", Route: "promote", Class: bundle.ClassIrreversible, Method: "POST", URI: "/p?a=1", Host: "h",
			Header: map[string][]string{"A": {"1", "2"}}, Remaining: time.Second, Depth: 3, Retry: true, Key: "k",
			ContentLength: -1, Incarnation: 1 << 63, Fingerprint: [16]byte{1}, RequestDigest: [32]byte{2},
			TrailerNames: []string{"X-Sum"},
		},
		Body: []byte("body"), Last: true, Trailer: map[string][]string{"X-Sum": {"1"}},
	}
	reply = protocol.ReplyFrame{
		Metadata: &protocol.ReplyMetadata{
			Outcome: protocol.OutcomeDone, Status: 200, ContentLength: 4,
			Header: protocol.HeaderFields{"Content-Type": {"text/plain"}, "X-Sum": {""}, "Vary": {"Accept", "Origin"}, "Date": {}},
		},
		Body: []byte("body"), Last: true,
	}
	step = protocol.StepFrame{Group: 1, Address: "127.0.0.1:1", Messages: []raft.Message{{
		From: "a", To: "b", Term: 2, Entries: []raft.Entry{{Index: 4, Term: 2, Data: []byte("e")}},
		Snapshot: &raft.Snapshot{Index: 3, Term: 1, Membership: raft.Membership{Members: []raft.Member{{ID: "a"}}}},
	}}}
)

func encoded(message any) []byte {
	data, err := protocol.Marshal(message)
	Expect(err).NotTo(HaveOccurred())
	return data
}

// Guards against fields that are lost or change on the wire and in the log.
func roundTrip[T any](message T) {
	data := encoded(message)
	Expect(encoded(message)).To(Equal(data))
	var decoded T
	Expect(protocol.Unmarshal(data, &decoded)).To(Succeed())
	Expect(decoded).To(Equal(message))
	for length := range len(data) {
		var cut T
		Expect(protocol.Unmarshal(data[:length], &cut)).To(MatchError(protocol.ErrMalformed))
	}
	var extended T
	Expect(protocol.Unmarshal(append(data, 0), &extended)).To(MatchError(protocol.ErrMalformed))
}

var _ = Describe("the codec", func() {
	It("keeps FollowFrame", func() { roundTrip(follow) })
	It("keeps CallFrame", func() { roundTrip(call) })
	It("keeps ReplyFrame", func() { roundTrip(reply) })
	It("keeps StepFrame", func() { roundTrip(step) })

	// Guards against heads that are several times as long as a small answer: most calls have neither a body nor a key, and
	// links between zones are charged by the byte.
	It("sends no usual header name and no empty digest with a call", func() {
		head := protocol.CallMetadata{Header: protocol.HeaderFields{
			"Accept": {"*/*"}, "Accept-Encoding": {"identity"}, "X-Request-Id": {"1"}, "User-Agent": {"client"}, "X-Own": {"2"},
		}}
		data := encoded(head)
		Expect(data).To(ContainSubstring("X-Own"))
		for name := range head.Header {
			if name != "X-Own" {
				Expect(data).NotTo(ContainSubstring(name))
			}
		}
		Expect(data).NotTo(ContainSubstring(string(make([]byte, 8))))
	})

	DescribeTable("refuses header fields that are", func(fields []byte) {
		var decoded protocol.HeaderFields
		Expect(protocol.Unmarshal(encoded(fields), &decoded)).To(MatchError(protocol.ErrMalformed))
		Expect(decoded).To(BeNil())
	},
		Entry("cut off in a number", []byte{0x80}),
		Entry("cut off in a name", []byte{0, 5, 'X'}),
		Entry("cut off in a value", []byte{1, 1, 3, 'a'}),
		Entry("of a name that no release has", []byte{0x7f, 0}),
		Entry("of more values than the message can hold", []byte{1, 0xff, 0xff, 0xff, 0x7f}),
		Entry("repeated", []byte{1, 0, 1, 0}),
	)

	// Guards against releases that refuse each other's messages.
	It("ignores fields of a later release", func() {
		var decoded protocol.CallFrame
		Expect(protocol.Unmarshal(encoded(map[int]any{3: true, 99: "new"}), &decoded)).To(Succeed())
		Expect(decoded).To(Equal(protocol.CallFrame{Last: true}))
	})

	// Guards against a few corrupt bytes that make a process allocate without limit or exhaust its stack.
	DescribeTable("refuses what exceeds its bounds", func(data []byte) {
		Expect(protocol.Unmarshal(data, new(protocol.StepFrame))).To(MatchError(protocol.ErrMalformed))
		Expect(protocol.Unmarshal(data, new(any))).To(MatchError(protocol.ErrMalformed))
	},
		Entry("an array of 2^32 elements", []byte{0xa1, 0x02, 0x9a, 0xff, 0xff, 0xff, 0xff}),
		Entry("a map of 2^32 pairs", []byte{0xba, 0xff, 0xff, 0xff, 0xff}),
		Entry("a byte string of 2^62 bytes", []byte{0xa1, 0x02, 0x5b, 0x40, 0, 0, 0, 0, 0, 0, 0}),
		Entry("deep nesting", append([]byte{0xa1, 0x02}, append(bytes.Repeat([]byte{0x81}, 1000), 0)...)),
		Entry("one array element too many", append([]byte{0xa1, 0x02, 0x9a, 0, 0x10, 0, 1}, make([]byte, 1<<20+1)...)),
	)

	// Guards against crash reports whose age is that of their first hop.
	It("takes a crash report's age from the tree", func() {
		packed, err := protocol.EncodeCrashReport(quarantine.Report{Upstream: "u", Sequence: 2, Age: time.Second})
		Expect(err).NotTo(HaveOccurred())
		packed.AgeMs = 5000
		report, err := protocol.DecodeCrashReport(packed)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Age).To(Equal(5 * time.Second))
		packed.Payload = []byte{0xff}
		_, err = protocol.DecodeCrashReport(packed)
		Expect(err).To(MatchError(protocol.ErrMalformed))
	})
})

// fuzz checks that no input makes the decoder panic, and that what it accepts has one encoding.
func fuzz[T any](f *testing.F, seed T) {
	data, err := protocol.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second T
		if protocol.Unmarshal(data, &first) != nil {
			return
		}
		once, err := protocol.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		if err := protocol.Unmarshal(once, &second); err != nil {
			t.Fatal(err)
		}
		if twice, err := protocol.Marshal(second); err != nil || !bytes.Equal(once, twice) {
			t.Fatalf("%x became %x: %v", once, twice, err)
		}
	})
}

func FuzzFollowFrame(f *testing.F) { fuzz(f, follow) }
func FuzzCallFrame(f *testing.F)   { fuzz(f, call) }
func FuzzReplyFrame(f *testing.F)  { fuzz(f, reply) }
func FuzzStepFrame(f *testing.F)   { fuzz(f, step) }
