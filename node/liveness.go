package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/detector"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

const (
	// pingTimeout is how long an instance may take to respond to a probe, in addition to the delay to its zone and
	// back. It covers the queues of a saturated link of 1.4 Mbit/s and of a node with 0.16 of a core. A shorter timeout
	// takes calls away from instances that are only slow, and both attempts then run.
	pingTimeout = time.Second
	// suspensionTime is how long a failed instance gets no calls. Each further probe without a response renews it.
	suspensionTime = 2 * time.Second
)

// liveness detects instances that do not respond and takes calls away from them. Package detector makes the decisions;
// this type runs the timers, sends the probes and applies the results.
type liveness struct {
	balancer  *balance.Balancer
	calls     *rpc.Pool
	zoneDelay func(zone string) time.Duration
	logger    zerolog.Logger
	// probes opens a new connection for each probe of a failed instance. A connection that was open when the instance
	// lost power or a link was cut may carry no traffic after the recovery.
	probes *rpc.Pool

	mu        sync.Mutex
	stopped   bool
	instances map[string]*remoteInstance
	nextCall  uint64
}

// remoteInstance is the state of another node to which this node sends calls.
type remoteInstance struct {
	target   balance.Target
	detector detector.Detector
	timer    *time.Timer
	// repeatable holds the calls that may be sent to another instance. Irreversible calls wait for their response.
	repeatable map[uint64]repeatableCall
}

// repeatableCall is a call that may be sent to another instance while this one is silent. silent reports the silence and
// must not block; cancel gives the call up.
type repeatableCall struct {
	silent func()
	cancel context.CancelFunc
}

// pendingCall is a call that waits for a response from a remote instance.
type pendingCall struct {
	liveness *liveness
	instance *remoteInstance
	callID   uint64
}

// trackCall records that a call was sent.
func (l *liveness) trackCall(target balance.Target, class bundle.Class, call repeatableCall) *pendingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.instances[target.ID]
	if known != nil && known.target.Incarnation != target.Incarnation {
		// The instance has restarted; the connection to its former process may still be open.
		l.calls.Forget(known.target.Address)
		known = nil
	}
	if known == nil {
		known = &remoteInstance{target: target, repeatable: make(map[uint64]repeatableCall)}
		l.instances[target.ID] = known
	}
	l.nextCall++
	known.detector.CallSent(time.Now(), l.nextCall)
	if class.Repeatable() {
		known.repeatable[l.nextCall] = call
	}
	l.armTimer(known)
	return &pendingCall{liveness: l, instance: known, callID: l.nextCall}
}

// responded records that the instance has responded.
func (p *pendingCall) responded() {
	l := p.liveness
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyChange(p.instance, p.instance.detector.ResponseReceived(time.Now()))
}

// finish records that the call no longer waits for a response.
func (p *pendingCall) finish() {
	l := p.liveness
	l.mu.Lock()
	defer l.mu.Unlock()
	p.instance.detector.CallEnded(p.callID)
	delete(p.instance.repeatable, p.callID)
}

// armTimer sets the timer for the next probe. A timer that already runs is kept: probeIfDue sets the next one when it
// fires. The caller holds l.mu.
func (l *liveness) armTimer(i *remoteInstance) {
	if i.timer != nil || l.stopped {
		return // This saves most calls the cost of NextProbe, which examines all waiting calls.
	}
	next, ok := i.detector.NextProbe()
	if !ok {
		return
	}
	i.timer = time.AfterFunc(max(time.Until(next), 0), func() { l.probeIfDue(i) })
}

// probeIfDue probes the instance if a probe is due, and sets the timer for the next one.
func (l *liveness) probeIfDue(i *remoteInstance) {
	l.mu.Lock()
	i.timer = nil
	failed := i.detector.Failed()
	due := !l.stopped && i.detector.StartProbe(time.Now())
	if !due {
		l.armTimer(i)
		if i.detector.Idle() && l.instances[i.target.ID] == i {
			delete(l.instances, i.target.ID)
		}
	}
	l.mu.Unlock()
	if !due {
		return
	}
	timeout := pingTimeout + 2*l.zoneDelay(i.target.Zone)
	incarnation, responded := l.probe(i.target, timeout, failed)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var change detector.Change
	if responded && incarnation != i.target.Incarnation {
		change = i.detector.Replaced(now)
	} else {
		change = i.detector.EndProbe(now, timeout, responded)
	}
	if i.detector.Failed() {
		// Before the calls go to others, which must not be this one.
		l.balancer.Suspend(i.target, now.Add(suspensionTime))
	}
	l.applyChange(i, change)
	l.armTimer(i)
}

// probe returns the incarnation of the process that responds at the target; false if none does.
func (l *liveness) probe(target balance.Target, timeout time.Duration, failed bool) (incarnation uint64, responded bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	pool := l.calls
	if failed {
		pool = l.probes
		defer pool.Forget(target.Address)
	}
	reply, err := pool.Ping(ctx, target.Address)
	if err != nil {
		return 0, false
	}
	return reply.Incarnation, true
}

// applyChange applies the change of an instance's state. The calls to an instance that fails go to others as well, and
// are given up only once they are lost. The caller holds l.mu.
func (l *liveness) applyChange(i *remoteInstance, change detector.Change) {
	switch change {
	case detector.Failed:
		l.logger.Warn().Str("to", i.target.ID).Str("zone", i.target.Zone).Int("repeatable_calls", len(i.repeatable)).
			Msg("instance does not respond; its calls go to others")
		for _, call := range i.repeatable {
			call.silent()
		}
	case detector.Lost:
		if len(i.repeatable) > 0 {
			l.logger.Warn().Str("to", i.target.ID).Str("zone", i.target.Zone).Int("repeatable_calls", len(i.repeatable)).
				Msg("calls to an instance are lost")
		}
		for _, call := range i.repeatable {
			call.cancel()
		}
	case detector.Recovered:
		l.logger.Info().Str("to", i.target.ID).Str("zone", i.target.Zone).Msg("instance responds again")
		l.balancer.Resume(i.target)
		// After a link was cut, TCP's retransmission timeout on an old connection has grown to seconds.
		if i.detector.WaitingCalls() == 0 {
			l.calls.Forget(i.target.Address)
		} else if old, ok := l.calls.Detach(i.target.Address); ok {
			go l.closeIfSilent(old, pingTimeout+2*l.zoneDelay(i.target.Zone))
		}
	}
}

// closeIfSilent closes a connection that carries no data although the process at its end responds on others: the calls
// that wait on it are lost.
func (l *liveness) closeIfSilent(connection *rpc.Detached, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if _, err := connection.Ping(ctx); errors.Is(err, rpc.ErrTimeout) {
		connection.Close()
	}
}

// stop ends all probes.
func (l *liveness) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for _, i := range l.instances {
		if i.timer != nil {
			i.timer.Stop()
		}
	}
}

// Ping responds to the probe of another node.
func (n *Node) Ping(context.Context, *protocol.PingRequest) (*protocol.PingReply, error) {
	return &protocol.PingReply{Incarnation: n.incarnation}, nil
}
