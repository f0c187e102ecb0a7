package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/protocol"
)

const (
	// drainAnnouncementTime lets the announcement of a drain reach the other nodes before callers are told to close
	// their connections. It also bounds the wait for Follow streams.
	drainAnnouncementTime = 300 * time.Millisecond
	// connectionCloseTime lets callers close their connections before the node does.
	connectionCloseTime = 500 * time.Millisecond
	// finalResponseTime is the part of a stop's time that is kept for the responses to the requests that it gives up. A
	// node that gets little processor time needs some of it to write them.
	finalResponseTime = 400 * time.Millisecond
	// refusalTime is how long the refusal of a call may travel that is refused at its deadline, before the stop gives up
	// the request.
	refusalTime = 100 * time.Millisecond
)

// errStopping is the cause with which the contexts of requests end when a stop gives them up.
var errStopping = errors.New("node: the node stops")

// deadlineTolerance is the time before a call's deadline from which its end counts as reaching the deadline. The read
// deadline of the caller's connection cancels the context at about the same time as the context's own deadline.
const deadlineTolerance = 10 * time.Millisecond

// abandonReason returns why the context of a call has ended.
func abandonReason(ctx context.Context) protocol.Reason {
	deadline, ok := ctx.Deadline()
	switch {
	case ok && time.Until(deadline) < deadlineTolerance:
		return protocol.ReasonDeadline
	case errors.Is(context.Cause(ctx), errStopping):
		return protocol.ReasonDraining
	default:
		return protocol.ReasonCallerGone
	}
}

// Stop shuts the node down gracefully. The node reports that it is not ready, announces that its upstream is draining
// and lets the calls in flight finish. Callers are told to close their connections, and their requests are still served
// through other nodes until the listeners close. Then the responses of irreversible calls are recorded.
//
// Requests that are in flight shortly before the context ends are given up: their callers get a response that says so.
// A step that is not complete when the context ends is given up, and the following steps are still taken. Recording
// comes last, so that an unreachable ledger does not cut off requests. The error says whether a step was given up.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.executor.drainForStop()
	noticeEnd := time.Now().Add(max(n.options.Limits.LeaveNotice, drainAnnouncementTime+connectionCloseTime))
	serving, cancel := withoutFinalResponseTime(ctx)
	defer cancel()
	n.limitCalls(serving, noticeEnd)
	sleep(serving, drainAnnouncementTime)
	// A request may already be in transit on an idle connection that this node closes, so callers close theirs first.
	n.closeConnections.Store(true)
	err := n.stopStep("own upstream idle", n.executor.waitIdle(serving))
	sleep(serving, max(connectionCloseTime, time.Until(noticeEnd)))
	err = errors.CombineErrors(err, n.stopStep("no request in flight", n.requests.drain(serving)))
	if err != nil {
		n.abandonRequests(errStopping)
		n.callerListener.LimitActive(time.Now(), time.Now().Add(finalResponseTime/2))
	}
	err = errors.CombineErrors(err, n.stopStep("callers' connections closed", n.callerListener.Drain(ctx)))
	err = errors.CombineErrors(err, n.stopStep("responses recorded", n.executor.background.wait(ctx)))
	n.mesh.GracefulStop(withFollowStopTimeout(ctx))
	n.Kill()
	return errors.Wrap(err, "node: stopped before all calls ended and their responses were recorded")
}

// withoutFinalResponseTime returns a context that ends finalResponseTime before its parent. It has no deadline if the
// parent has none.
func withoutFinalResponseTime(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-min(finalResponseTime, time.Until(deadline)/4)))
}

// stopLimits limits the calls of a node that stops.
type stopLimits struct {
	// noticeEnd is when callers should have noticed that the node is not ready.
	noticeEnd time.Time
	// lastDeadline is the latest deadline of a call.
	lastDeadline time.Time
}

// limitCalls makes all calls that are sent from now on end before the context does, so that upstreams and their queues
// refuse what they cannot finish in time.
func (n *Node) limitCalls(ctx context.Context, noticeEnd time.Time) {
	if deadline, ok := ctx.Deadline(); ok {
		margin := min(refusalTime, time.Until(deadline)/4)
		n.stopLimits.Store(&stopLimits{noticeEnd: noticeEnd, lastDeadline: deadline.Add(-margin)})
	}
}

// callDeadline returns the deadline of a call that is sent now for a request with the given deadline. It is earlier than
// that of the request if this node stops before.
func (n *Node) callDeadline(deadline time.Time) time.Time {
	if limits := n.stopLimits.Load(); limits != nil && limits.lastDeadline.Before(deadline) {
		return limits.lastDeadline
	}
	return deadline
}

// endsTooLate reports whether this node stops before it can finish the call: before the latency target of a call that
// arrives during the notice, or before the deadline of a later one. The own upstream may need short calls to finish its
// work after the notice.
func (c *ingressCall) endsTooLate() bool {
	limits := c.node.stopLimits.Load()
	if limits == nil || !c.deadline.After(limits.lastDeadline) {
		return false
	}
	return c.started.After(limits.noticeEnd) || c.started.Add(c.timeUntilTarget()).After(limits.lastDeadline)
}

// stopStep logs the end of one step of a stop, with what is still in flight, and returns the step's error.
func (n *Node) stopStep(step string, err error) error {
	active, waiting := n.callerListener.Connections()
	n.logger.Info().Err(err).Str("step", step).Int("requests", n.requests.count()).Int("calls", n.executor.callsInFlight()).
		Int("connections_active", active).Int("connections_waiting", waiting).
		Msg("stop step ended")
	return err
}

// withFollowStopTimeout bounds the wait for the Follow streams of children, which do not end by themselves.
func withFollowStopTimeout(ctx context.Context) context.Context {
	bounded, cancel := context.WithTimeout(ctx, drainAnnouncementTime)
	context.AfterFunc(bounded, cancel)
	return bounded
}

// Kill stops the node at once, as a crash would.
func (n *Node) Kill() {
	n.cancel()
	n.executor.close()
	n.mesh.Stop()
	n.abandonRequests(errStopping)
	_ = n.callers.Close()
	_ = n.admin.Close()
	n.controlPool.Close()
	n.ledgerPool.Close()
	n.liveness.stop()
	n.calls.Close()
	n.probes.Close()
	n.tasks.Wait()
}
