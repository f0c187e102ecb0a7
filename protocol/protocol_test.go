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

func mustMarshal(message any) []byte {
	data, err := protocol.Marshal(message)
	Expect(err).NotTo(HaveOccurred())
	return data
}

// expectRoundTrip guards against fields that are lost or changed by the codec, and against truncated or extended
// messages that decode.
func expectRoundTrip[T any](message T) {
	data := mustMarshal(message)
	Expect(mustMarshal(message)).To(Equal(data))
	var decoded T
	Expect(protocol.Unmarshal(data, &decoded)).To(Succeed())
	Expect(decoded).To(Equal(message))
	for length := range len(data) {
		var truncated T
		Expect(protocol.Unmarshal(data[:length], &truncated)).To(MatchError(protocol.ErrMalformed))
	}
	var extended T
	Expect(protocol.Unmarshal(append(data, 0), &extended)).To(MatchError(protocol.ErrMalformed))
}

var _ = Describe("the codec", func() {
	It("encodes and decodes FollowFrame", func() { expectRoundTrip(follow) })
	It("encodes and decodes CallFrame", func() { expectRoundTrip(call) })
	It("encodes and decodes ReplyFrame", func() { expectRoundTrip(reply) })
	It("encodes and decodes StepFrame", func() { expectRoundTrip(step) })

	// Guards against metadata that is several times as long as a small response: most calls have neither a body nor a
	// key, and traffic between zones is charged by the byte.
	It("encodes frequent header names as an index, and no empty digest", func() {
		metadata := protocol.CallMetadata{Header: protocol.HeaderFields{
			"Accept": {"*/*"}, "Accept-Encoding": {"identity"}, "X-Request-Id": {"1"}, "User-Agent": {"client"}, "X-Own": {"2"},
		}}
		data := mustMarshal(metadata)
		Expect(data).To(ContainSubstring("X-Own"))
		for name := range metadata.Header {
			if name != "X-Own" {
				Expect(data).NotTo(ContainSubstring(name))
			}
		}
		Expect(data).NotTo(ContainSubstring(string(make([]byte, 8))))
	})

	DescribeTable("refuses header fields that are", func(fields []byte) {
		var decoded protocol.HeaderFields
		Expect(protocol.Unmarshal(mustMarshal(fields), &decoded)).To(MatchError(protocol.ErrMalformed))
		Expect(decoded).To(BeNil())
	},
		Entry("truncated in a number", []byte{0x80}),
		Entry("truncated in a name", []byte{0, 5, 'X'}),
		Entry("truncated in a value", []byte{1, 1, 3, 'a'}),
		Entry("of an unknown index of a name", []byte{0x7f, 0}),
		Entry("of more values than the message can hold", []byte{1, 0xff, 0xff, 0xff, 0x7f}),
		Entry("repeated", []byte{1, 0, 1, 0}),
	)

	// Guards against a release that refuses messages with fields that a later release has added.
	It("ignores fields of a later release", func() {
		var decoded protocol.CallFrame
		Expect(protocol.Unmarshal(mustMarshal(map[int]any{3: true, 99: "new"}), &decoded)).To(Succeed())
		Expect(decoded).To(Equal(protocol.CallFrame{Last: true}))
	})

	// Guards against a few corrupt bytes that make a process allocate without limit or exhaust its stack.
	DescribeTable("refuses messages that exceed a limit", func(data []byte) {
		Expect(protocol.Unmarshal(data, new(protocol.StepFrame))).To(MatchError(protocol.ErrMalformed))
		Expect(protocol.Unmarshal(data, new(any))).To(MatchError(protocol.ErrMalformed))
	},
		Entry("an array of 2^32 elements", []byte{0xa1, 0x02, 0x9a, 0xff, 0xff, 0xff, 0xff}),
		Entry("a map of 2^32 pairs", []byte{0xba, 0xff, 0xff, 0xff, 0xff}),
		Entry("a byte string of 2^62 bytes", []byte{0xa1, 0x02, 0x5b, 0x40, 0, 0, 0, 0, 0, 0, 0}),
		Entry("deep nesting", append([]byte{0xa1, 0x02}, append(bytes.Repeat([]byte{0x81}, 1000), 0)...)),
		Entry("one array element too many", append([]byte{0xa1, 0x02, 0x9a, 0, 0x10, 0, 1}, make([]byte, 1<<20+1)...)),
	)

	// Guards against crash reports that keep the age that they had when they were sent: the tree updates it at each
	// hop.
	It("takes the age of a crash report from the message of the tree", func() {
		encoded, err := protocol.EncodeCrashReport(quarantine.Report{Upstream: "u", Sequence: 2, Age: time.Second})
		Expect(err).NotTo(HaveOccurred())
		encoded.AgeMs = 5000
		report, err := protocol.DecodeCrashReport(encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Age).To(Equal(5 * time.Second))
		encoded.Payload = []byte{0xff}
		_, err = protocol.DecodeCrashReport(encoded)
		Expect(err).To(MatchError(protocol.ErrMalformed))
	})
})

// fuzz checks that no input makes the decoder panic, and that a message that it accepts is encoded in only one way.
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
		encoded, err := protocol.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		if err := protocol.Unmarshal(encoded, &second); err != nil {
			t.Fatal(err)
		}
		if reencoded, err := protocol.Marshal(second); err != nil || !bytes.Equal(encoded, reencoded) {
			t.Fatalf("%x became %x: %v", encoded, reencoded, err)
		}
	})
}

func FuzzFollowFrame(f *testing.F) { fuzz(f, follow) }
func FuzzCallFrame(f *testing.F)   { fuzz(f, call) }
func FuzzReplyFrame(f *testing.F)  { fuzz(f, reply) }
func FuzzStepFrame(f *testing.F)   { fuzz(f, step) }
