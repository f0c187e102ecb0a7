package experiment

import (
	"fmt"
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/experiment/load"
	"sapphiregate.example/sapphiregate/experiment/standin"
	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// drainLimit is the time after which an upstream that is leaving receives no new work.
const drainLimit = 3 * time.Second

// receiveMargin is the time after which a node has surely received a request, also on a busy machine.
const receiveMargin = time.Second

// judge compares what callers were told with what the upstreams ran.
type judge struct {
	calls      []*load.Call
	truth      *standin.Recorder
	faults     *faultLog
	violations *violationLog
	// roundTrip is the time on the wire between callers and nodes.
	roundTrip time.Duration

	byAttempt map[string][]standin.Run
	byRequest map[string][]standin.Run
}

// check adds all violations.
func (j *judge) check() {
	j.index()
	j.checkAnswers()
	j.checkNotRun()
	j.checkDoubleRuns()
	j.checkHistories()
	j.checkDrains()
	j.checkCuts()
}

func (j *judge) index() {
	j.byAttempt = make(map[string][]standin.Run)
	j.byRequest = make(map[string][]standin.Run)
	for _, run := range j.truth.Runs() {
		j.byAttempt[run.Attempt] = append(j.byAttempt[run.Attempt], run)
		j.byRequest[run.Request] = append(j.byRequest[run.Request], run)
	}
}

func (j *judge) checkAnswers() {
	for _, call := range j.calls {
		for _, attempt := range call.Attempts {
			if attempt.WrongResponse != "" {
				j.violations.add(invariant.WrongAnswer, attempt.ID+": "+attempt.WrongResponse)
			}
		}
	}
	for _, request := range j.truth.WrongNestedResponses() {
		j.violations.add(invariant.WrongAnswer, "nested call "+request)
	}
}

// checkNotRun judges each send by itself: a send that was not run says nothing about an earlier send of the same
// call. A send that the HTTP client repeated has an outcome for the last repetition only.
func (j *judge) checkNotRun() {
	for _, call := range j.calls {
		for _, attempt := range call.Attempts {
			if attempt.Outcome == load.NotRun && !attempt.Replayed && len(j.byAttempt[attempt.ID]) > 0 {
				j.violations.add(invariant.FalseNotRun, fmt.Sprintf("%s via %s", attempt.ID, attempt.Node))
			}
		}
	}
}

func (j *judge) checkDoubleRuns() {
	for request, runs := range j.byRequest {
		if runs[0].Class == bundle.ClassIrreversible && len(runs) > 1 {
			j.violations.add(invariant.DoubleRun, fmt.Sprintf("%s ran %d times: %s, %s", request, len(runs), runs[0].Receipt, runs[1].Receipt))
		}
	}
}

func (j *judge) checkDrains() {
	for _, work := range j.truth.LateRequests() {
		if work.After > drainLimit {
			j.violations.add(invariant.LateDrainWork, fmt.Sprintf("%s got %s after %v", work.Upstream, work.Attempt, work.After))
		}
	}
}

// checkCuts finds requests that a planned stop interrupted, at the node that the caller used and at the node beside
// the upstream. Requests that an unplanned fault may have interrupted do not count.
func (j *judge) checkCuts() {
	for _, call := range j.calls {
		for _, attempt := range call.Attempts {
			if j.cutAtIngress(attempt) || j.cutAtExecutor(call, attempt) {
				j.violations.add(invariant.CutInFlight, j.describeCut(attempt))
			}
		}
	}
}

// describeCut tells what became of an attempt and of its runs.
func (j *judge) describeCut(a load.Attempt) string {
	text := fmt.Sprintf("%s via %s: %s %s", a.ID, a.Node, a.Outcome, a.Error)
	for _, run := range j.byAttempt[a.ID] {
		text += fmt.Sprintf("; run at %s from %v to %v, finished %t", run.Node,
			run.Start.Sub(a.Start).Round(time.Millisecond), run.End.Sub(a.Start).Round(time.Millisecond), run.Finished)
	}
	return text + fmt.Sprintf("; ended after %v", a.End.Sub(a.Start).Round(time.Millisecond))
}

// cutAtIngress counts only requests that the node had surely received when its stop began, because a run had begun or
// the request was sent long before: a request that crosses the close of an idle connection was never in flight.
func (j *judge) cutAtIngress(a load.Attempt) bool {
	if a.Outcome != load.Lost || !a.ConnectionBroken {
		return false
	}
	stop, stopped := j.faults.stopDuring(a.Node, a.Start, a.End)
	if !stopped || j.faults.unplanned(a.Start, a.End, j.processes(a)...) {
		return false
	}
	ran := slices.ContainsFunc(j.byAttempt[a.ID], func(run standin.Run) bool { return run.Start.Before(stop.from) })
	return ran || !a.SentAt.IsZero() && stop.from.Sub(a.SentAt) > receiveMargin
}

// cutAtExecutor leaves out runs that were cancelled because the caller went away or the deadline passed, and hedges: when
// one of two runs of an attempt has given the caller the whole answer, the other is cancelled on purpose.
func (j *judge) cutAtExecutor(call *load.Call, a load.Attempt) bool {
	if a.Outcome == load.Done && slices.ContainsFunc(j.byAttempt[a.ID], func(run standin.Run) bool { return run.Finished }) {
		return false
	}
	deadline := call.Start.Add(call.Deadline - 2*j.roundTrip)
	for _, run := range j.byAttempt[a.ID] {
		if run.Finished || run.Crashed || run.End.IsZero() || a.End.Before(run.End) || run.End.After(deadline) {
			continue
		}
		_, stopped := j.faults.stopDuring(run.Node, run.Start, run.End)
		if stopped && !j.faults.unplanned(a.Start, run.End, j.processes(a)...) {
			return true
		}
	}
	return false
}

// processes returns the nodes and upstreams that an attempt involved.
func (j *judge) processes(a load.Attempt) []string {
	processes := []string{a.Node}
	for _, run := range j.byAttempt[a.ID] {
		processes = append(processes, run.Node, upstreamFault(run.Node))
	}
	return processes
}
