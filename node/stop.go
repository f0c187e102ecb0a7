package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// drainAnnouncementTime lets the announcement of a drain reach the other nodes before callers are told to close
	// their connections. It also bounds the wait for Follow streams.
	drainAnnouncementTime = 300 * time.Millisecond
	// connectionCloseTime lets callers close their connections before the node does.
	connectionCloseTime = 500 * time.Millisecond
)

// Stop shuts the node down gracefully. The node reports that it is not ready, announces that its upstream is draining
// and lets the calls in flight finish. Callers are told to close their connections, and their requests are still served
// through other nodes until the listeners close. Then the responses of irreversible calls are recorded.
//
// A step that is not complete when the context ends is given up, and the following steps are still taken. Recording
// comes last, so that an unreachable ledger does not cut off requests. The error says whether a step was given up.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.executor.drainForStop()
	noticeEnd := time.Now().Add(n.options.Limits.LeaveNotice)
	sleep(ctx, drainAnnouncementTime)
	// A request may already be in transit on an idle connection that this node closes, so callers close theirs first.
	n.closeConnections.Store(true)
	err := n.stopStep("own upstream idle", n.executor.waitIdle(ctx))
	sleep(ctx, max(connectionCloseTime, time.Until(noticeEnd)))
	err = errors.CombineErrors(err, n.stopStep("no request in flight", n.requests.drain(ctx)))
	err = errors.CombineErrors(err, n.stopStep("callers' connections closed", n.callers.Shutdown(ctx)))
	err = errors.CombineErrors(err, n.stopStep("responses recorded", n.executor.background.wait(ctx)))
	n.mesh.GracefulStop(withFollowStopTimeout(ctx))
	n.Kill()
	return errors.Wrap(err, "node: stopped before all calls ended and their responses were recorded")
}

// stopStep logs the end of one step of a stop, with what is still in flight, and returns the step's error.
func (n *Node) stopStep(step string, err error) error {
	n.logger.Info().Err(err).Str("step", step).Int("requests", n.requests.count()).Int("calls", n.executor.callsInFlight()).
		Int("connections_active", n.connections.count(http.StateActive)).
		Int("connections_waiting", n.connections.count(http.StateIdle)+n.connections.count(http.StateNew)).
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
	_ = n.callers.Close()
	_ = n.admin.Close()
	n.controlPool.Close()
	n.ledgerPool.Close()
	n.liveness.stop()
	n.calls.Close()
	n.probes.Close()
	n.tasks.Wait()
}
