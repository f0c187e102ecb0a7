package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"sapphiregate.example/sapphiregate/experiment/load"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// historyTimeout bounds the check of one key. A key has a handful of sends, so the check takes microseconds.
const historyTimeout = 10 * time.Second

// sendOutput is the result of one send of an irreversible call, completed by the ground truth.
type sendOutput struct {
	outcome load.Outcome
	// receipt is the run that the answer claims.
	receipt string
	// ran is the run that this send caused, if any.
	ran string
}

// irreversibleModel is a register that is written once: the empty state is "not run", any other is the receipt of the
// only run.
var irreversibleModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		current, send := state.(string), output.(sendOutput)
		if send.ran != "" {
			if current != "" {
				return false, state
			}
			current = send.ran
		}
		switch send.outcome {
		case load.Done:
			return current != "" && current == send.receipt, current
		case load.NotRun:
			return send.ran == "", current
		default:
			return true, current
		}
	},
}

// checkHistories checks that the sends of every key are linearizable: at most one run, and every answer is that run's.
// Keys that already count as run twice or as falsely not run are not counted again.
func (j *judge) checkHistories() {
	for _, call := range j.calls {
		if call.Route.Class != bundle.ClassIrreversible || len(call.Attempts) == 0 {
			continue
		}
		if len(j.byRequest[call.Request]) > 1 || j.falselyNotRun(call) {
			continue
		}
		result := porcupine.CheckOperationsTimeout(irreversibleModel, j.history(call), historyTimeout)
		if result != porcupine.Ok {
			j.violations.add(invariant.WrongAnswer, fmt.Sprintf("the history of key %s is not linearizable: %s", call.Request, j.describe(call)))
		}
	}
}

func (j *judge) describe(call *load.Call) string {
	var lines []string
	for _, a := range call.Attempts {
		lines = append(lines, fmt.Sprintf("send via %s told %s %s", a.Node, a.Outcome, a.Receipt))
	}
	for _, run := range j.byRequest[call.Request] {
		lines = append(lines, fmt.Sprintf("run %s for %s", run.Receipt, run.Attempt))
	}
	return strings.Join(lines, "; ")
}

func (j *judge) falselyNotRun(call *load.Call) bool {
	return slices.ContainsFunc(call.Attempts, func(a load.Attempt) bool {
		return a.Outcome == load.NotRun && len(j.byAttempt[a.ID]) > 0
	})
}

// history returns the sends of a key. A send without an answer may take effect at any time until the end.
func (j *judge) history(call *load.Call) []porcupine.Operation {
	last := slices.MaxFunc(call.Attempts, func(a, b load.Attempt) int { return cmp.Compare(a.End.UnixNano(), b.End.UnixNano()) })
	end := last.End.Add(time.Hour).UnixNano()
	var operations []porcupine.Operation
	for i, attempt := range call.Attempts {
		output := sendOutput{outcome: attempt.Outcome, receipt: attempt.Receipt}
		if runs := j.byAttempt[attempt.ID]; len(runs) > 0 {
			output.ran = runs[0].Receipt
		}
		operation := porcupine.Operation{ClientId: i, Call: attempt.Start.UnixNano(), Return: attempt.End.UnixNano(), Output: output}
		if attempt.Outcome != load.Done && attempt.Outcome != load.NotRun {
			operation.Return = end
		}
		operations = append(operations, operation)
	}
	return operations
}
