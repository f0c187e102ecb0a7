package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/shutdown"
	"sapphiregate.example/sapphiregate/protocol"
)

const (
	// drainAnnouncementTime lets the announcement of a drain reach the other nodes before callers are told to close
	// their connections. It also bounds the wait for Follow streams.
	drainAnnouncementTime = 300 * time.Millisecond
	// connectionCloseTime lets callers close their connections before the node does.
	connectionCloseTime = 500 * time.Millisecond
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

// Stop shuts the node down gracefully before the context ends. The node reports that it is not ready, announces that its
// upstream is draining and lets the calls in flight finish. Callers are told to close their connections, and their
// requests are still served through other nodes until the listeners close. Then the responses of irreversible calls are
// recorded. Package shutdown decides when each step is taken.
//
// Requests that are in flight shortly before the end are given up: their callers get a response that says so. A step
// that is not complete by then is given up, and the following steps are still taken. Recording comes last, so that an
// unreachable ledger does not cut off requests. The error says whether a step was given up.
func (n *Node) Stop(ctx context.Context) error {
	schedule := n.stopSchedule(ctx)
	n.stopping.Store(true)
	n.executor.drainForStop()
	n.stopPlan.Store(&schedule)
	serving, cancelServing := withDeadline(ctx, schedule.GiveUp)
	defer cancelServing()
	responding, cancelResponding := withDeadline(ctx, schedule.End)
	defer cancelResponding()
	sleep(serving, drainAnnouncementTime)
	// A request may already be in transit on an idle connection that this node closes, so callers close theirs first.
	n.closeConnections.Store(true)
	err := n.stopStep("own upstream idle", n.executor.waitIdle(serving))
	sleep(serving, max(connectionCloseTime, time.Until(schedule.NoticeEnd)))
	err = errors.CombineErrors(err, n.stopStep("no request in flight", n.requests.drain(serving)))
	if err != nil {
		n.abandonRequests(errStopping)
		n.callerListener.LimitActive(time.Now(), time.Now().Add(time.Until(schedule.End)/2))
	}
	err = errors.CombineErrors(err, n.stopStep("callers' connections closed", n.callerListener.Drain(responding)))
	err = errors.CombineErrors(err, n.stopStep("responses recorded", n.executor.background.wait(responding)))
	closeBefore(schedule.Exit, func() {
		n.mesh.GracefulStop(withFollowStopTimeout(responding))
		n.Kill()
	})
	return errors.Wrap(err, "node: stopped before all calls ended and their responses were recorded")
}

// stopSchedule returns the schedule of a stop that begins now and has until the context's deadline.
func (n *Node) stopSchedule(ctx context.Context) shutdown.Schedule {
	now := time.Now()
	budget := shutdown.Budget{Notice: max(n.options.Limits.LeaveNotice, drainAnnouncementTime+connectionCloseTime)}
	if deadline, ok := ctx.Deadline(); ok {
		budget.Grace = max(deadline.Sub(now), time.Millisecond)
	}
	return shutdown.NewSchedule(now, budget)
}

// withDeadline returns a context that ends at a deadline; the zero time sets none.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// callDeadline returns the deadline of a call that is sent now for a request with the given deadline. It is earlier than
// that of the request if this node stops before.
func (n *Node) callDeadline(deadline time.Time) time.Time {
	if schedule := n.stopPlan.Load(); schedule != nil {
		return schedule.CallDeadline(deadline)
	}
	return deadline
}

// endsTooLate reports whether this node stops before it can serve the request.
func (c *ingressCall) endsTooLate() bool {
	schedule := c.node.stopPlan.Load()
	return schedule != nil && !schedule.Accepts(shutdown.Request{
		Arrived: c.started, Deadline: c.deadline, Target: c.started.Add(c.timeUntilTarget()),
	})
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

// closeBefore calls a function that closes servers and connections, and returns when it is done or when half of the time
// until the exit of the process has passed: the other half is for what the process does after the node has stopped. The
// zero time sets no limit.
func closeBefore(exit time.Time, closeAll func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		closeAll()
	}()
	if exit.IsZero() {
		<-done
		return
	}
	select {
	case <-done:
	case <-time.After(time.Until(exit) / 2):
	}
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
	n.quotaPool.Close()
	n.quotas.close()
	n.liveness.stop()
	n.calls.Close()
	n.probes.Close()
	n.tasks.Wait()
}
