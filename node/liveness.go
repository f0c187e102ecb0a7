package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/silence"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

const (
	// questionTimeout is how long an instance may take to show that it is alive, beside the way to its zone and back. It
	// covers a process that gets a few percent of a core.
	questionTimeout = 300 * time.Millisecond
	// suspension keeps calls away from a silent instance. Each further question without an answer renews it.
	suspension = 2 * time.Second
)

// liveness asks instances that owe answers for a sign of life, and takes calls away from those that give none. Package
// silence decides; this type has the timers, the questions and their consequences.
type liveness struct {
	balancer  *balance.Balancer
	calls     *rpc.Pool
	zoneDelay func(zone string) time.Duration
	logger    zerolog.Logger
	// fresh makes a connection of its own for each question to a silent instance: one that was open when power was lost
	// or a link was cut stays silent after the instance is back.
	fresh *rpc.Pool

	mu        sync.Mutex
	ended     bool
	instances map[string]*instance
	nextCall  uint64
}

// instance is what a node knows of another one that it sends calls to.
type instance struct {
	target balance.Target
	watch  silence.Watch
	timer  *time.Timer
	// repeatable holds the calls that may be sent elsewhere: irreversible ones wait for their answer.
	repeatable map[uint64]context.CancelFunc
}

// owedAnswer is a call that waits for an answer.
type owedAnswer struct {
	liveness *liveness
	instance *instance
	call     uint64
}

// sent notes a call. cancel ends it so that it can be sent elsewhere.
func (l *liveness) sent(target balance.Target, class bundle.Class, cancel context.CancelFunc) *owedAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.instances[target.ID]
	if known != nil && known.target.Incarnation != target.Incarnation {
		// The former process is gone, and its connection may stay open and silent.
		l.calls.Forget(known.target.Address)
		known = nil
	}
	if known == nil {
		known = &instance{target: target, repeatable: make(map[uint64]context.CancelFunc)}
		l.instances[target.ID] = known
	}
	l.nextCall++
	known.watch.Sent(time.Now(), l.nextCall)
	if class != bundle.ClassIrreversible {
		known.repeatable[l.nextCall] = cancel
	}
	l.arm(known)
	return &owedAnswer{liveness: l, instance: known, call: l.nextCall}
}

// heard notes that the instance has answered.
func (o *owedAnswer) heard() {
	l := o.liveness
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(o.instance, o.instance.watch.Heard(time.Now()))
}

// end notes that the call no longer waits.
func (o *owedAnswer) end() {
	l := o.liveness
	l.mu.Lock()
	defer l.mu.Unlock()
	o.instance.watch.Ended(o.call)
	delete(o.instance.repeatable, o.call)
}

// arm sets the timer for the next question. A timer that runs is left as it is: it looks again when it fires. The lock is
// held.
func (l *liveness) arm(i *instance) {
	next, ok := i.watch.Next()
	if !ok || i.timer != nil || l.ended {
		return
	}
	i.timer = time.AfterFunc(max(time.Until(next), 0), func() { l.look(i) })
}

// look asks the instance if a question is due.
func (l *liveness) look(i *instance) {
	l.mu.Lock()
	i.timer = nil
	wasSilent := i.watch.Silent()
	ask := !l.ended && i.watch.Ask(time.Now())
	if !ask {
		l.arm(i)
		if i.watch.Idle() && l.instances[i.target.ID] == i {
			delete(l.instances, i.target.ID)
		}
	}
	l.mu.Unlock()
	if !ask {
		return
	}
	alive := l.ask(i.target, wasSilent)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.apply(i, i.watch.Answered(now, alive))
	if i.watch.Silent() {
		l.balancer.Suspend(i.target, now.Add(suspension))
	}
	l.arm(i)
}

// ask reports whether the process that the calls were sent to is alive.
func (l *liveness) ask(target balance.Target, silent bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), questionTimeout+2*l.zoneDelay(target.Zone))
	defer cancel()
	pool := l.calls
	if silent {
		pool = l.fresh
		defer pool.Forget(target.Address)
	}
	reply, err := pool.Alive(ctx, target.Address)
	return err == nil && reply.Incarnation == target.Incarnation
}

// apply carries out a change. The lock is held.
func (l *liveness) apply(i *instance, change silence.Change) {
	switch change {
	case silence.Lost:
		l.logger.Warn().Str("to", i.target.ID).Str("zone", i.target.Zone).Int("repeatable_calls", len(i.repeatable)).
			Msg("instance gives no sign of life; calls go elsewhere")
		for _, cancel := range i.repeatable {
			cancel()
		}
	case silence.Returned:
		l.logger.Info().Str("to", i.target.ID).Str("zone", i.target.Zone).Msg("instance answers again")
		l.balancer.Resume(i.target)
		if i.watch.Owed() == 0 {
			// After a cut, an old connection sends again only after a pause that has grown to seconds.
			l.calls.Forget(i.target.Address)
		}
	}
}

// stop ends all questions.
func (l *liveness) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for _, i := range l.instances {
		if i.timer != nil {
			i.timer.Stop()
		}
	}
}

// Alive shows another node that this process is alive.
func (n *Node) Alive(context.Context, *protocol.AliveRequest) (*protocol.AliveReply, error) {
	return &protocol.AliveReply{Incarnation: n.incarnation}, nil
}
