package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Bounds of the faults. They are longer than an election (1 s) and the silence after which calls go elsewhere, and short
// enough for a seed of 20 s to have dozens.
const (
	minGap      = 200 * time.Millisecond
	gapSpread   = 1000 * time.Millisecond
	minFault    = 300 * time.Millisecond
	faultSpread = 2500 * time.Millisecond
	maxDelay    = 300 * time.Millisecond
	// wipePause is the least time between two lost disks. The group tolerates one at a time and repairs it within seconds.
	wipePause = 8 * time.Second
)

// injector carries out a seeded schedule of faults. Faults of one process never overlap, those of different ones do.
type injector struct {
	deployment *deployment
	seen       *history
	rng        *rand.Rand
	busy       map[*program]*sync.Mutex
	lastWipe   time.Time
	running    sync.WaitGroup
}

func newInjector(d *deployment, seen *history, seed uint64) *injector {
	i := &injector{
		deployment: d, seen: seen, rng: rand.New(rand.NewPCG(seed, seed)), busy: make(map[*program]*sync.Mutex),
		lastWipe: time.Now(),
	}
	for _, p := range d.all() {
		i.busy[p] = new(sync.Mutex)
	}
	return i
}

// run injects faults until the context ends, and returns once all of them have ended.
func (i *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		i.next()
		pause(ctx, minGap+time.Duration(i.rng.Int64N(int64(gapSpread))))
	}
	i.running.Wait()
}

// next starts one fault. All random numbers are drawn here, so that a seed gives one schedule.
func (i *injector) next() {
	all := i.deployment.all()
	target := all[i.rng.IntN(len(all))]
	lasts := minFault + time.Duration(i.rng.Int64N(int64(faultSpread)))
	delay := time.Duration(i.rng.Int64N(int64(maxDelay)))
	kind := i.rng.IntN(8)
	if kind == 7 && (target.role != "control" || time.Since(i.lastWipe) < wipePause) {
		kind = 0
	}
	if kind == 7 {
		i.lastWipe = time.Now()
	}
	i.running.Go(func() {
		i.busy[target].Lock()
		defer i.busy[target].Unlock()
		i.inject(target, kind, lasts, delay)
	})
}

func (i *injector) inject(p *program, kind int, lasts, delay time.Duration) {
	switch kind {
	case 0:
		i.seen.note("%s is killed for %v", p.name, lasts)
		p.kill()
		time.Sleep(lasts)
		i.restart(p)
	case 1:
		i.seen.note("%s is stopped as planned and started again", p.name)
		if err := p.stop(); err != nil {
			i.seen.breach("%v", err)
		}
		i.restart(p)
	case 2:
		i.seen.note("%s is paused for %v", p.name, lasts)
		p.settle() // A process that is paused while it starts handles no signal when it is resumed.
		p.pause()
		time.Sleep(lasts)
		p.resume()
	case 3:
		i.link(p, lasts, "falls silent", linkFault{dropRequests: true, dropAnswers: true})
	case 4:
		i.link(p, lasts, "loses its answers", linkFault{dropAnswers: true})
	case 5:
		i.link(p, lasts, "is delayed by "+delay.String(), linkFault{delay: delay})
	case 6:
		i.seen.note("connections to %s are reset; its settings are read again", p.name)
		p.proxy.reset()
		p.settle()
		p.signal(syscall.SIGHUP)
	case 7:
		i.seen.note("%s loses its disk and is down for %v", p.name, lasts)
		p.kill()
		if err := p.wipe(); err != nil {
			i.seen.breach("%v", err)
		}
		time.Sleep(lasts)
		i.restart(p)
	}
}

func (i *injector) link(p *program, lasts time.Duration, what string, fault linkFault) {
	i.seen.note("the link to %s %s for %v", p.name, what, lasts)
	p.proxy.set(fault)
	time.Sleep(lasts)
	p.proxy.set(linkFault{})
}

func (i *injector) restart(p *program) {
	if err := p.start(); err != nil {
		i.seen.breach("%v", err)
	}
}

// pause waits, or returns when the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
