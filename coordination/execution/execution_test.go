package execution_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/execution"
	"sapphiregate.example/sapphiregate/internal/fixedseed"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/ledger"
)

func TestExecution(t *testing.T) {
	// With a fixed seed every run checks the same cases, so rapid need not store files that reproduce a failure.
	fixedseed.Set(t)
	RegisterFailHandler(Fail)
	RunSpecs(t, "execution")
}

// unknownStatus is recorded in the history for a command whose result was lost.
const unknownStatus = ledger.Status(255)

// specState is the state of one key in the specification against which porcupine checks the history of the ledger.
type specState struct {
	status   ledger.Status
	holder   string
	response string
	voided   string // the released attempts, sorted, each between two bars
}

func commandKey(c ledger.Command) string {
	switch {
	case c.Claim != nil:
		return c.Claim.Key
	case c.Record != nil:
		return c.Record.Key
	case c.Release != nil:
		return c.Release.Key
	}
	return c.Query.Key
}

// applyToSpec returns the status that a command must return and the state of the key after it.
func applyToSpec(s specState, c ledger.Command) (ledger.Status, specState) {
	attemptID := func(executor string, incarnation, attempt uint64) string {
		return fmt.Sprintf("|%s/%d/%d|", executor, incarnation, attempt)
	}
	switch {
	case c.Claim != nil:
		holder := attemptID(c.Claim.Executor, c.Claim.Incarnation, c.Claim.Attempt)
		free := s.status == ledger.Absent || (s.status == ledger.Released && !strings.Contains(s.voided, holder))
		if free {
			s.status, s.holder = ledger.Claimed, holder
		}
		if s.status == ledger.Claimed && s.holder == holder {
			return ledger.Granted, s
		}
	case c.Record != nil:
		if s.status == ledger.Claimed && s.holder == attemptID(c.Record.Executor, c.Record.Incarnation, c.Record.Attempt) {
			s.status, s.response = ledger.Done, string(c.Record.Response.Body)
		}
	case c.Release != nil && s.status != ledger.Done:
		holder := attemptID(c.Release.Executor, c.Release.Incarnation, c.Release.Attempt)
		if s.status == ledger.Absent || (s.status == ledger.Claimed && s.holder == holder) {
			s.status = ledger.Released
		}
		if !strings.Contains(s.voided, holder) {
			parts := append(strings.SplitAfter(s.voided, "||"), holder)
			slices.Sort(parts)
			s.voided = strings.Join(parts, "")
		}
	}
	return s.status, s
}

var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			key := commandKey(o.Input.(ledger.Command))
			byKey[key] = append(byKey[key], o)
		}
		var list [][]porcupine.Operation
		for _, operations := range byKey {
			list = append(list, operations)
		}
		return list
	},
	Init: func() any { return specState{status: ledger.Absent} },
	Step: func(state, input, output any) (bool, any) {
		status, next := applyToSpec(state.(specState), input.(ledger.Command))
		r := output.(ledger.Result)
		ok := r.Status == unknownStatus || r.Status == status
		if ok && r.Status == ledger.Done {
			ok = string(r.Response.Body) == next.response
		}
		return ok, next
	},
}

// violations compares what callers were told in a finished simulation with what the upstreams ran.
func (s *simulation) violations() []string {
	var list []string
	report := func(format string, values ...any) { list = append(list, fmt.Sprintf(format, values...)) }
	responses := make(map[string]string)
	for key, runs := range s.runs {
		if runs > 1 {
			report("%s ran %d times", key, runs)
		}
	}
	for _, c := range s.calls {
		if c.reply != nil && c.reply.Outcome == execution.OutcomeNotRun && c.ranUpstream {
			report("outcome not-run for %v, which ran", c.claim)
		}
		if c.reply != nil && c.reply.Outcome == execution.OutcomeDone {
			response := string(c.reply.Response.Body)
			if previous, ok := responses[c.claim.Key]; ok && previous != response {
				report("%s has responses %q and %q", c.claim.Key, previous, response)
			}
			responses[c.claim.Key] = response
			if s.runs[c.claim.Key] != 1 {
				report("%s has a response after %d runs", c.claim.Key, s.runs[c.claim.Key])
			}
		}
		if c.nodeRunning() && (!c.Closed() || (c.admitted && c.slotsFreed != 1)) {
			report("%v is closed: %v, freed its slot %d times", c.claim, c.Closed(), c.slotsFreed)
		}
	}
	return append(list, s.leakedClaims()...)
}

// leakedClaims reports the keys that stay claimed although their holder knows that the call was not run, or has its
// response.
func (s *simulation) leakedClaims() []string {
	var list []string
	for _, c := range s.calls {
		r := s.ledger.Lookup(ledger.Query{Key: c.claim.Key})
		holds := r.Holder.Executor == c.claim.Executor && r.Holder.Incarnation == c.claim.Incarnation && r.Holder.Attempt == c.claim.Attempt
		if r.Status == ledger.Claimed && holds && c.nodeRunning() && !c.noResponse {
			list = append(list, fmt.Sprintf("%v never releases its key", c.claim))
		}
	}
	return list
}

func simulate(seed uint64, f injectedFaults) (*simulation, []string) {
	s := newSimulation(seed, f)
	s.run()
	list := s.violations()
	if !porcupine.CheckOperations(model, s.history) {
		list = append(list, "the history is not linearizable")
	}
	return s, list
}

// violationsWith runs 60 seeds with an injected fault and returns all violations as one text.
func violationsWith(f injectedFaults) string {
	var all []string
	for seed := range uint64(60) {
		_, list := simulate(seed, f)
		all = append(all, list...)
	}
	return strings.Join(all, "\n")
}

var _ = Describe("Simulation", func() {
	// Guards against losses, repeats and delays of messages and crashes of executors that run a call twice, tell the
	// caller a wrong outcome, leave a slot or a key occupied, or make the ledger's history impossible to linearize.
	It("runs irreversible calls at most once, reports true outcomes and stays linearizable", func() {
		outcomes := make(map[execution.Outcome]int)
		executed, claimed := 0, 0
		before := invariant.Counts()
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			for range 10 {
				s, list := simulate(rapid.Uint64().Draw(t, "seed"), injectedFaults{})
				if len(list) > 0 {
					t.Fatal(strings.Join(list, "\n"))
				}
				for _, c := range s.calls {
					if c.reply != nil {
						outcomes[c.reply.Outcome]++
					}
				}
				for _, runs := range s.runs {
					executed += runs
				}
				for _, o := range s.history {
					if o.Output.(ledger.Result).Status == ledger.Claimed {
						claimed++
					}
				}
			}
		})
		GinkgoWriter.Printf("outcomes %v, runs %d, results 'claimed' %d\n", outcomes, executed, claimed)
		Expect(invariant.Counts()).To(Equal(before))
		Expect(outcomes).To(HaveLen(3), "the simulation must reach every outcome")
		Expect(claimed).To(BeNumerically(">", 100))
	})

	It("detects executors that run a call whose claim another attempt holds", func() {
		Expect(violationsWith(injectedFaults{runOnClaimed: true})).To(ContainSubstring("ran 2 times"))
	})

	It("detects the outcome not-run for a call that was run", func() {
		Expect(violationsWith(injectedFaults{notRunOnDeadline: true})).To(ContainSubstring("outcome not-run"))
	})

	It("detects a ledger that serves commands from a stale replica", func() {
		Expect(violationsWith(injectedFaults{staleReplica: true})).To(ContainSubstring("not linearizable"))
	})
})
