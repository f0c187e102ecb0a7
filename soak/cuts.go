package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of what a planned stop may cut; see docs/soak.md.
const (
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 6 * time.Second
	// stillRunning is the time after SIGTERM from which a call that is still running may be cut.
	stillRunning = gracePeriod * 5 / 6
	// lateRequest is the time after SIGTERM after which no request may be accepted that cannot be answered.
	lateRequest = 3 * time.Second
	// closeSlack is how long after its last byte a request may still cross the close of its connection.
	closeSlack = 200 * time.Millisecond
	// settleTime is how long before a request its node must have been free of faults.
	settleTime = 3 * time.Second
)

// call is one request as its caller saw it.
type call struct {
	attempt string
	// node is the node to which the request was sent.
	node string
	// kept is set if the connection had carried a request before.
	kept   bool
	opened time.Time
	// sent is the time of the last byte of the request.
	sent     time.Time
	deadline time.Time
	ended    time.Time
	// abandoned is set if the caller stopped waiting.
	abandoned bool
	// err says how the connection ended without a complete response.
	err error
	// unknown is set if the node responded that it does not know whether the request ran. A leaving node that gives up a
	// running call and responds so has cut it as well.
	unknown bool
}

// run is one execution of an attempt by an upstream.
type run struct {
	// node is the node beside the upstream.
	node string
	// release is that of the upstream; empty if it has none.
	release string
	// ended is zero while the upstream runs the attempt.
	started, ended time.Time
	// canceled is set if the node closed the connection to the upstream before the end.
	canceled bool
}

func (u run) runningAt(t time.Time) bool {
	return !u.started.After(t) && (u.ended.IsZero() || u.ended.After(t))
}

type workKind string

const (
	// workFault is an unplanned fault of a process or its link, and workKill one that ends the process.
	workFault  workKind = "fault"
	workKill   workKind = "kill"
	workStop   workKind = "planned stop"
	workReload workKind = "SIGHUP"
	workChange workKind = "configuration change"
)

// work is one fault, or one piece of planned work, on a process.
type work struct {
	kind workKind
	// process is empty for a configuration change.
	process string
	// ended is zero while the work goes on.
	started, ended time.Time
	// exitError says that a stopped process did not exit with code 0.
	exitError error
}

func (w *work) overlaps(from, to time.Time) bool {
	return !w.started.After(to) && (w.ended.IsZero() || !w.ended.Before(from))
}

// startWork records the start of a fault or of planned work; endWork records its end.
func (r *recorder) startWork(kind workKind, process string) *work {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &work{kind: kind, process: process, started: time.Now()}
	r.works = append(r.works, w)
	return w
}

func (r *recorder) endWork(w *work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.ended = time.Now()
}

// callEnded records a request that was sent whole.
func (r *recorder) callEnded(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// checkCuts reports requests that were cut although their node could have answered, and stopped processes that exited
// with another code than 0 although no request kept them. It is called at the end, when the runs of all requests are known.
func (r *recorder) checkCuts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if text := r.cutViolation(c); text != "" {
			r.violations = append(r.violations, text)
		}
	}
	for _, w := range r.works {
		if w.exitError != nil && (errors.Is(w.exitError, errGraceExceeded) || !r.keptBusy(w)) {
			r.violations = append(r.violations, w.exitError.Error())
		}
	}
}

// cutViolation describes the violation if the request was cut, or returns an empty string.
func (r *recorder) cutViolation(c *call) string {
	runs := r.runs[c.attempt]
	givenUp := c.unknown && slices.ContainsFunc(runs, func(u run) bool {
		return u.started.Before(c.ended) && (u.canceled || u.runningAt(c.ended))
	})
	if c.err == nil && !givenUp || c.abandoned || !c.ended.Before(c.deadline) || r.disturbed(c, runs) {
		return ""
	}
	stops := r.stopsOf(c, runs)
	if givenUp && !slices.ContainsFunc(stops, func(w *work) bool { return w.process == c.node }) {
		return "" // A node that stays may give up a call, for example one to a node that does not respond.
	}
	if len(stops) == 0 {
		return r.describeCut(c, "cut outside of any fault or stop", r.workBeside(c))
	}
	if len(runs) == 0 && c.ended.Sub(c.sent) <= closeSlack {
		r.crossed++
		return ""
	}
	var details []string
	for _, stop := range stops {
		running := slices.ContainsFunc(runs, func(u run) bool { return u.runningAt(stop.started.Add(stillRunning)) })
		if running && !c.sent.After(stop.started.Add(lateRequest)) {
			return ""
		}
		details = append(details, fmt.Sprintf("%s: SIGTERM at %s, exit at %s", stop.process, r.at(stop.started), r.at(stop.ended)))
	}
	return r.describeCut(c, "cut by a planned stop", strings.Join(details, ", "))
}

// disturbed reports whether a fault may have cut the request: one of its node or of a node whose upstream ran it. A
// request that reached no upstream may have been on its way to any node. Neither is a request judged whose connection
// outlived the process at its other end, since the caller may notice that late.
func (r *recorder) disturbed(c *call, runs []run) bool {
	return slices.ContainsFunc(r.works, func(w *work) bool {
		ownProcess := w.process == c.node && w.overlaps(c.opened, c.ended)
		switch w.kind {
		case workStop:
			return ownProcess && !w.ended.IsZero() && w.ended.Before(c.sent)
		case workKill, workFault:
			if w.kind == workKill && ownProcess {
				return true
			}
			ranThere := slices.ContainsFunc(runs, func(u run) bool { return u.node == w.process })
			return w.overlaps(c.sent.Add(-settleTime), c.ended) && (w.process == c.node || ranThere || len(runs) == 0)
		default:
			return false
		}
	})
}

// stopsOf returns the planned stops that may have cut the request: those of the process at the other end of its
// connection, and those of the nodes beside the upstreams that ran it, which may truncate a long response.
func (r *recorder) stopsOf(c *call, runs []run) []*work {
	var stops []*work
	for _, w := range r.works {
		ranThere := slices.ContainsFunc(runs, func(u run) bool { return u.node == w.process })
		if w.kind == workStop && (w.process == c.node && w.overlaps(c.opened, c.ended) || ranThere && w.overlaps(c.sent, c.ended)) {
			stops = append(stops, w)
		}
	}
	return stops
}

// workBeside names the planned work, other than stops, from settleTime before the request until its end.
func (r *recorder) workBeside(c *call) string {
	var beside []string
	for _, w := range r.works {
		if (w.process == c.node || w.process == "") && w.overlaps(c.sent.Add(-settleTime), c.ended) {
			beside = append(beside, fmt.Sprintf("%s at %s", w.kind, r.at(w.started)))
		}
	}
	if len(beside) == 0 {
		return "no planned work beside it"
	}
	return strings.Join(beside, ", ")
}

func (r *recorder) describeCut(c *call, cause, detail string) string {
	connection := "a new"
	if c.kept {
		connection = "a kept"
	}
	reached := "it reached no upstream"
	for n, u := range r.runs[c.attempt] {
		if n == 0 {
			reached = ""
		}
		reached += fmt.Sprintf("ran beside %s from %s to %s; ", u.node, r.at(u.started), r.at(u.ended))
	}
	end := "given up"
	if c.err != nil {
		end = "closed with " + c.err.Error()
	}
	return fmt.Sprintf("request %s to %s was %s: sent at %s on %s connection, %s at %s; %s; %s", c.attempt, c.node,
		cause, r.at(c.sent), connection, end, r.at(c.ended), strings.TrimSuffix(reached, "; "), detail)
}

// keptBusy reports whether a call still kept the process busy when a planned stop may cut it: one that the process took
// in, or that the upstream beside it ran.
func (r *recorder) keptBusy(stop *work) bool {
	late := stop.started.Add(stillRunning)
	for _, c := range r.calls {
		if c.node == stop.process && !c.sent.After(late) && c.ended.After(late) {
			return true
		}
	}
	for _, runs := range r.runs {
		if slices.ContainsFunc(runs, func(u run) bool { return u.node == stop.process && u.runningAt(late) }) {
			return true
		}
	}
	return false
}

// at formats a time as the timeline does.
func (r *recorder) at(t time.Time) string {
	if t.IsZero() {
		return "the end"
	}
	return fmt.Sprintf("%.3f s", t.Sub(r.started).Seconds())
}
