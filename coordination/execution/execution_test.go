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
	// A fixed seed gives every run the same verdict, and makes files that repeat a failure unnecessary.
	fixedseed.Set(t)
	RegisterFailHandler(Fail)
	RunSpecs(t, "execution")
}

// unknownStatus is the output of a command whose result was lost.
const unknownStatus = ledger.Status(255)

// specState is the state of one key in the specification that histories are checked against.
type specState struct {
	status ledger.Status
	holder string
	answer string
	voided string // released attempts, each between bars
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

// step is the specification: what one command does to a key.
func step(s specState, c ledger.Command) (ledger.Status, specState) {
	by := func(executor string, incarnation, attempt uint64) string {
		return fmt.Sprintf("|%s/%d/%d|", executor, incarnation, attempt)
	}
	switch {
	case c.Claim != nil:
		holder := by(c.Claim.Executor, c.Claim.Incarnation, c.Claim.Attempt)
		free := s.status == ledger.Absent || (s.status == ledger.Released && !strings.Contains(s.voided, holder))
		if free {
			s.status, s.holder = ledger.Claimed, holder
		}
		if s.status == ledger.Claimed && s.holder == holder {
			return ledger.Granted, s
		}
	case c.Record != nil:
		if s.status == ledger.Claimed && s.holder == by(c.Record.Executor, c.Record.Incarnation, c.Record.Attempt) {
			s.status, s.answer = ledger.Done, string(c.Record.Response.Body)
		}
	case c.Release != nil && s.status != ledger.Done:
		holder := by(c.Release.Executor, c.Release.Incarnation, c.Release.Attempt)
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
		status, next := step(state.(specState), input.(ledger.Command))
		r := output.(ledger.Result)
		ok := r.Status == unknownStatus || r.Status == status
		if ok && r.Status == ledger.Done {
			ok = string(r.Response.Body) == next.answer
		}
		return ok, next
	},
}

// violations checks a finished simulation against the ground truth.
func (s *simulation) violations() []string {
	var list []string
	report := func(format string, values ...any) { list = append(list, fmt.Sprintf(format, values...)) }
	answers := make(map[string]string)
	for key, runs := range s.runs {
		if runs > 1 {
			report("%s ran %d times", key, runs)
		}
	}
	for _, c := range s.calls {
		if c.reply != nil && c.reply.Outcome == execution.OutcomeNotRun && c.ran {
			report("not-run was said for %v, which ran", c.claim)
		}
		if c.reply != nil && c.reply.Outcome == execution.OutcomeDone {
			answer := string(c.reply.Answer.Body)
			if previous, ok := answers[c.claim.Key]; ok && previous != answer {
				report("%s has answers %q and %q", c.claim.Key, previous, answer)
			}
			answers[c.claim.Key] = answer
			if s.runs[c.claim.Key] != 1 {
				report("%s has an answer after %d runs", c.claim.Key, s.runs[c.claim.Key])
			}
		}
		if c.alive() && (!c.Closed() || (c.admitted && c.freed != 1)) {
			report("%v is closed: %v, freed its slot %d times", c.claim, c.Closed(), c.freed)
		}
	}
	return append(list, s.stuck()...)
}

// stuck returns the keys that stay claimed although their holder knows that the call was not run, or has its answer.
func (s *simulation) stuck() []string {
	var list []string
	for _, c := range s.calls {
		r := s.ledger.Lookup(ledger.Query{Key: c.claim.Key})
		holds := r.Holder.Executor == c.claim.Executor && r.Holder.Incarnation == c.claim.Incarnation && r.Holder.Attempt == c.claim.Attempt
		if r.Status == ledger.Claimed && holds && c.alive() && !c.unanswered {
			list = append(list, fmt.Sprintf("%v holds its key for ever", c.claim))
		}
	}
	return list
}

func simulate(seed uint64, f faults) (*simulation, []string) {
	s := newSimulation(seed, f)
	s.run()
	list := s.violations()
	if !porcupine.CheckOperations(model, s.history) {
		list = append(list, "the history is not linearizable")
	}
	return s, list
}

// found returns the violations of the first seeds of a broken system, as one text.
func found(f faults) string {
	var all []string
	for seed := range uint64(60) {
		_, list := simulate(seed, f)
		all = append(all, list...)
	}
	return strings.Join(all, "\n")
}

var _ = Describe("Simulation", func() {
	It("runs irreversible calls at most once, answers truthfully and stays linearizable", func() {
		outcomes := make(map[execution.Outcome]int)
		executed, claimed := 0, 0
		before := invariant.Counts()
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			for range 10 {
				s, list := simulate(rapid.Uint64().Draw(t, "seed"), faults{})
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
		GinkgoWriter.Printf("outcomes %v, runs %d, answers 'claimed' %d\n", outcomes, executed, claimed)
		Expect(invariant.Counts()).To(Equal(before))
		Expect(outcomes).To(HaveLen(3), "the simulation must reach every outcome")
		Expect(claimed).To(BeNumerically(">", 100))
	})

	It("finds executors that run a call whose claim another attempt holds", func() {
		Expect(found(faults{runOnClaimed: true})).To(ContainSubstring("ran 2 times"))
	})

	It("finds a false not-run", func() {
		Expect(found(faults{notRunOnDeadline: true})).To(ContainSubstring("not-run was said"))
	})

	It("finds a ledger service that answers from a stale replica", func() {
		Expect(found(faults{staleReplica: true})).To(ContainSubstring("not linearizable"))
	})
})
