package execution_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/execution"
	"sapphiregate.example/sapphiregate/state/ledger"
)

var _ = Describe("StateMachine", func() {
	claim := ledger.Claim{Key: "k", Route: "promote", Executor: "a", Incarnation: 2, Attempt: 7}
	release := execution.SendRelease{Release: ledger.Release{Key: "k", Executor: "a", Incarnation: 2, Attempt: 7}}
	query := execution.SendQuery{Query: ledger.Query{Key: "k", Route: "promote"}}
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	reply := func(o execution.Outcome, r execution.Reason) execution.Reply {
		return execution.Reply{Outcome: o, Reason: r}
	}
	granted := ledger.Result{Status: ledger.Granted, Holder: claim}

	var m *execution.StateMachine
	BeforeEach(func() {
		m = execution.New(execution.Config{Claim: claim, Deadline: at(1000), MaxResponseBytes: 10})
		Expect(m.Admitted(at(0))).To(HaveExactElements(execution.SendClaim{Claim: claim}))
	})

	It("sends the response of a call whose caller has left until the ledger confirms it", func() {
		Expect(m.ClaimResult(at(1), granted)).To(HaveExactElements(execution.RunUpstream{}))
		Expect(m.BeginWrite(at(2))).To(BeTrue())
		Expect(m.CallerGone(at(3))).To(BeEmpty())
		record := execution.SendRecord{Record: ledger.Record{
			Key: "k", Executor: "a", Incarnation: 2, Attempt: 7, Response: ledger.Response{Status: 201, Dropped: true},
		}}
		tooLarge := ledger.Response{Status: 201, Body: make([]byte, 11)}
		Expect(m.UpstreamResponse(at(5000), tooLarge)).To(HaveExactElements(execution.FreeSlot{}, record))
		wake, ok := m.Wake()
		Expect(ok).To(BeTrue())
		Expect(m.Tick(wake)).To(HaveExactElements(record))
		Expect(m.RecordAck(wake, ledger.Result{Status: ledger.Done})).To(BeEmpty())
		Expect(m.Closed()).To(BeTrue())
	})

	It("replies not-run when the ledger cannot be reached, and releases the claim only if the ledger may have it", func() {
		m.ClaimRefused(at(1))
		Expect(m.Tick(at(1000))).To(HaveExactElements(reply(execution.OutcomeNotRun, execution.ReasonLedger), execution.FreeSlot{}))
		Expect(m.Closed()).To(BeTrue())

		m = execution.New(execution.Config{Claim: claim, Deadline: at(1000)})
		m.Admitted(at(0))
		m.ClaimFailed(at(1))
		Expect(m.Tick(at(250))).To(HaveExactElements(execution.SendClaim{Claim: claim}))
		Expect(m.Tick(at(1000))).To(HaveExactElements(
			reply(execution.OutcomeNotRun, execution.ReasonLedger), execution.FreeSlot{}, release))
		Expect(m.ClaimResult(at(1001), granted)).To(BeEmpty(), "a late grant must not run the call")
		Expect(m.BeginWrite(at(1001))).To(BeFalse())
		Expect(m.Tick(at(1250))).To(HaveExactElements(release))
		Expect(m.Tick(at(1000).Add(execution.DefaultReleaseTimeout))).To(BeEmpty())
		Expect(m.Closed()).To(BeTrue())
	})

	It("queries the ledger until the deadline while an earlier incarnation of its own node holds the claim", func() {
		earlier := ledger.Result{Status: ledger.Claimed, Holder: ledger.Claim{Key: "k", Executor: "a", Incarnation: 1, Attempt: 7}}
		Expect(m.ClaimResult(at(0), earlier)).To(HaveExactElements(execution.FreeSlot{}, release, query))
		m.ReleaseAck(at(1), earlier)
		for _, ms := range []int{100, 300, 700} {
			Expect(m.Tick(at(ms))).To(HaveExactElements(query))
			Expect(m.QueryResult(at(ms+1), earlier)).To(BeEmpty())
		}
		Expect(m.Tick(at(1000))).To(HaveExactElements(reply(execution.OutcomeUnknown, execution.ReasonClaimed)))
		Expect(m.Closed()).To(BeTrue())
	})

	It("replies not-run only after the claim is released, so that a retry finds the key free", func() {
		m.ClaimResult(at(1), granted)
		m.BeginWrite(at(1))
		Expect(m.UpstreamRefused(at(2))).To(HaveExactElements(execution.FreeSlot{}, release))
		Expect(m.ReleaseAck(at(3), ledger.Result{Status: ledger.Released})).To(HaveExactElements(
			reply(execution.OutcomeNotRun, execution.ReasonUpstream)))
	})

	DescribeTable("replies from the ledger's result without running the call", func(r ledger.Result, expected execution.Reply) {
		Expect(m.ClaimResult(at(1), r)).To(ContainElements(expected, execution.FreeSlot{}))
	},
		Entry("done", ledger.Result{Status: ledger.Done, Response: &ledger.Response{Status: 201}},
			execution.Reply{Outcome: execution.OutcomeDone, Response: &ledger.Response{Status: 201}}),
		Entry("key reused", ledger.Result{Status: ledger.KeyReused}, reply(execution.OutcomeNotRun, execution.ReasonKeyReused)),
		Entry("key expired", ledger.Result{Status: ledger.Expired}, reply(execution.OutcomeNotRun, execution.ReasonKeyExpired)),
		Entry("ledger full", ledger.Result{Status: ledger.Full}, reply(execution.OutcomeNotRun, execution.ReasonLedgerFull)),
	)

	It("frees the slot of a call that is admitted after its deadline", func() {
		m = execution.New(execution.Config{Claim: claim, Deadline: at(1000)})
		Expect(m.Tick(at(1000))).To(HaveExactElements(reply(execution.OutcomeNotRun, execution.ReasonDeadline)))
		Expect(m.Admitted(at(1001))).To(HaveExactElements(execution.FreeSlot{}))
	})
})
