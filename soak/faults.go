package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sapphiregate.example/sapphiregate/protocol/operator"
)

// Bounds of the schedule. Durations are drawn evenly between a minimum and the minimum plus its spread. Faults reach
// beyond an election (1 s) and the time after which nodes avoid an instance that does not respond, and are short enough
// for dozens of them in 20 s.
const (
	minFaultInterval    = 200 * time.Millisecond
	faultIntervalSpread = 1000 * time.Millisecond
	minFaultDuration    = 300 * time.Millisecond
	faultDurationSpread = 2500 * time.Millisecond
	maxLinkDelay        = 300 * time.Millisecond
	// minWipeInterval separates two deletions of members' data. The group tolerates the loss of one member's data at a
	// time, and restores it within seconds.
	minWipeInterval = 8 * time.Second
)

// injector injects a random schedule of faults. Faults of one process never overlap, those of different processes may.
type injector struct {
	deployment *deployment
	recorder   *recorder
	rng        *rand.Rand
	// locks serialize the faults of each process.
	locks        map[*process]*sync.Mutex
	lastWipe     time.Time
	activeFaults sync.WaitGroup
	// supervisors start members again that have ended by themselves.
	supervisors sync.WaitGroup
	// operator is the client that finds the leader.
	operator *operator.Client
}

func newInjector(d *deployment, recorder *recorder, seed uint64) *injector {
	i := &injector{
		deployment: d, recorder: recorder, rng: rand.New(rand.NewPCG(seed, seed)), locks: make(map[*process]*sync.Mutex),
		lastWipe: time.Now(),
	}
	for _, p := range d.processes() {
		i.locks[p] = new(sync.Mutex)
	}
	return i
}

// run injects random faults until the context ends, and returns when the last of them is over.
func (i *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		i.startFault()
		sleep(ctx, minFaultInterval+time.Duration(i.rng.Int64N(int64(faultIntervalSpread))))
	}
	i.activeFaults.Wait()
}

// startFault draws one fault and starts it. Its random numbers are drawn here and not in the goroutine that carries it
// out, so that the order of the draws, and with it the schedule, depends on the seed alone.
func (i *injector) startFault() {
	all := i.deployment.processes()
	target := all[i.rng.IntN(len(all))]
	duration := minFaultDuration + time.Duration(i.rng.Int64N(int64(faultDurationSpread)))
	delay := time.Duration(i.rng.Int64N(int64(maxLinkDelay)))
	kind := i.rng.IntN(8)
	if kind == 7 && (target.role != "control" || time.Since(i.lastWipe) < minWipeInterval) {
		kind = 0
	}
	if kind == 7 {
		i.lastWipe = time.Now()
	}
	i.activeFaults.Go(func() {
		i.locks[target].Lock()
		defer i.locks[target].Unlock()
		i.inject(target, kind, duration, delay)
	})
}

// inject carries out one fault and returns when it is over. The fault is one of 8 kinds; kind 7 is only for members.
func (i *injector) inject(p *process, kind int, duration, delay time.Duration) {
	switch kind {
	case 0:
		i.recorder.logEvent("%s is killed for %v", p.name, duration)
		defer i.recorder.endWork(i.recorder.startWork(workKill, p.name))
		p.kill()
		time.Sleep(duration)
		i.restart(p)
	case 1:
		i.stop(p, 0)
	case 2:
		i.recorder.logEvent("%s is paused for %v", p.name, duration)
		// If it were paused before its signal handlers are installed, a SIGTERM or SIGHUP after the pause would kill it.
		p.awaitSignalHandlers()
		defer i.recorder.endWork(i.recorder.startWork(workFault, p.name))
		p.pause()
		time.Sleep(duration)
		p.resume()
	case 3:
		i.injectLinkFault(p, duration, "drops all data", linkFault{dropRequests: true, dropResponses: true})
	case 4:
		i.injectLinkFault(p, duration, "drops the responses", linkFault{dropResponses: true})
	case 5:
		i.injectLinkFault(p, duration, "is delayed by "+delay.String(), linkFault{delay: delay})
	case 6:
		i.recorder.logEvent("connections to %s are reset; it reloads its settings", p.name)
		i.recorder.endWork(i.recorder.startWork(workFault, p.name))
		p.proxy.reset()
		p.awaitSignalHandlers()
		i.reload(p)
	case 7:
		i.recorder.logEvent("%s loses its data folder and is down for %v", p.name, duration)
		defer i.recorder.endWork(i.recorder.startWork(workKill, p.name))
		p.kill()
		if err := p.wipe(); err != nil {
			i.recorder.reportViolation("%v", err)
		}
		time.Sleep(duration)
		i.restart(p)
	}
}

// injectLinkFault applies a fault to the link of a process for the given duration; effect describes it in the timeline.
func (i *injector) injectLinkFault(p *process, duration time.Duration, effect string, fault linkFault) {
	i.recorder.logEvent("the link to %s %s for %v", p.name, effect, duration)
	defer i.recorder.endWork(i.recorder.startWork(workFault, p.name))
	p.proxy.setFault(fault)
	time.Sleep(duration)
	p.proxy.setFault(linkFault{})
}

// stop stops a process as planned and starts it again after the given time.
func (i *injector) stop(p *process, down time.Duration) {
	p.awaitSignalHandlers()
	i.recorder.logEvent("%s is stopped gracefully and started again after %v", p.name, down)
	stop := i.recorder.startWork(workStop, p.name)
	stop.exitError = p.stop()
	i.recorder.endWork(stop)
	i.recorder.logEvent("%s has exited", p.name)
	time.Sleep(down)
	i.restart(p)
}

// reload makes a process read its settings again.
func (i *injector) reload(p *process) {
	if p.reload() {
		i.recorder.logEvent("%s reloads its settings", p.name)
		i.recorder.endWork(i.recorder.startWork(workReload, p.name))
	}
}

func (i *injector) restart(p *process) {
	if err := p.start(); err != nil {
		i.recorder.reportViolation("%v", err)
	}
}

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
