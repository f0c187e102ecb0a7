package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/detector"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

const (
	// pingTimeout is how long an instance may take to respond to a probe, beside the way to its zone and back. It covers the
	// queues of a saturated link of 1.4 Mbit/s and of a node with 0.16 of a core: a shorter one takes calls away from
	// instances that are only slow, and both attempts then run.
	pingTimeout = time.Second
	// suspension keeps calls away from a failed instance. Each further probe without a response renews it.
	suspensionTime = 2 * time.Second
)

// liveness detects instances that do not respond and takes calls away from them. Package detector decides; this type has the
// timers, sends the probes and carries out what follows from them.
type liveness struct {
	balancer  *balance.Balancer
	calls     *rpc.Pool
	zoneDelay func(zone string) time.Duration
	logger    zerolog.Logger
	// probes makes a new connection for each probe of a failed instance: one that was open when power was lost or a link
	// was cut may stay without traffic after the recovery.
	probes *rpc.Pool

	mu        sync.Mutex
	stopped   bool
	instances map[string]*remoteInstance
	nextCall  uint64
}

// instance is what a node knows of another one that it sends calls to.
type remoteInstance struct {
	target   balance.Target
	detector detector.Detector
	timer    *time.Timer
	// repeatable holds the calls that may be sent to another instance; irreversible ones wait for their answer.
	repeatable map[uint64]context.CancelFunc
}

// pendingCall is a call that waits for a response.
type pendingCall struct {
	liveness *liveness
	instance *remoteInstance
	callID   uint64
}

// sent notes a call. cancel ends it so that it can be sent elsewhere.
func (l *liveness) trackCall(target balance.Target, class bundle.Class, cancel context.CancelFunc) *pendingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.instances[target.ID]
	if known != nil && known.target.Incarnation != target.Incarnation {
		// The former process is gone, and its connection may stay open.
		l.calls.Forget(known.target.Address)
		known = nil
	}
	if known == nil {
		known = &remoteInstance{target: target, repeatable: make(map[uint64]context.CancelFunc)}
		l.instances[target.ID] = known
	}
	l.nextCall++
	known.detector.CallSent(time.Now(), l.nextCall)
	if class != bundle.ClassIrreversible {
		known.repeatable[l.nextCall] = cancel
	}
	l.armTimer(known)
	return &pendingCall{liveness: l, instance: known, callID: l.nextCall}
}

// heard notes that the instance has responded.
func (p *pendingCall) responded() {
	l := p.liveness
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyChange(p.instance, p.instance.detector.ResponseReceived(time.Now()))
}

// end notes that the call no longer waits.
func (p *pendingCall) finish() {
	l := p.liveness
	l.mu.Lock()
	defer l.mu.Unlock()
	p.instance.detector.CallEnded(p.callID)
	delete(p.instance.repeatable, p.callID)
}

// arm sets the timer for the next probe. A timer that runs is left as it is: it looks again when it fires. The lock is
// held.
func (l *liveness) armTimer(i *remoteInstance) {
	if i.timer != nil || l.stopped {
		return // This is the case for most calls; Next looks at all that wait.
	}
	next, ok := i.detector.NextProbe()
	if !ok {
		return
	}
	i.timer = time.AfterFunc(max(time.Until(next), 0), func() { l.probeIfDue(i) })
}

// check probes the instance if a probe is due.
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
	responded := l.probe(i.target, failed)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.applyChange(i, i.detector.EndProbe(now, responded))
	if i.detector.Failed() {
		l.balancer.Suspend(i.target, now.Add(suspensionTime))
	}
	l.armTimer(i)
}

// probe reports whether the process that the calls were sent to responds.
func (l *liveness) probe(target balance.Target, failed bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout+2*l.zoneDelay(target.Zone))
	defer cancel()
	pool := l.calls
	if failed {
		pool = l.probes
		defer pool.Forget(target.Address)
	}
	reply, err := pool.Ping(ctx, target.Address)
	return err == nil && reply.Incarnation == target.Incarnation
}

// apply carries out a change. The lock is held.
func (l *liveness) applyChange(i *remoteInstance, change detector.Change) {
	switch change {
	case detector.Failed:
		l.logger.Warn().Str("to", i.target.ID).Str("zone", i.target.Zone).Int("repeatable_calls", len(i.repeatable)).
			Msg("instance does not respond; its calls go to others")
		for _, cancel := range i.repeatable {
			cancel()
		}
	case detector.Recovered:
		l.logger.Info().Str("to", i.target.ID).Str("zone", i.target.Zone).Msg("instance responds again")
		l.balancer.Resume(i.target)
		if i.detector.WaitingCalls() == 0 {
			// After a cut, an old connection sends again only after a pause that has grown to seconds.
			l.calls.Forget(i.target.Address)
		}
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
