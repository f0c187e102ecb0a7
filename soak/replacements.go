package soak

import (
	"context"
	"fmt"
	"time"
)

// Bounds of the planned replacements. The spares take the places of members that stop, which are spares once they are back.
const (
	spareCount = 2
	// The group does without two voters beyond those that spares replace.
	minLeaving  = 2
	maxLeaving  = spareCount + coreMemberCount/2
	maxLeaveGap = 1500 * time.Millisecond
	// Members are away for longer than a group may be without a quorum.
	minAbsence            = 4 * time.Second
	absenceSpread         = 4 * time.Second
	minSeriesPause        = time.Second
	seriesPauseSpread     = 3 * time.Second
	superviseInterval     = 100 * time.Millisecond
	unplannedShare        = 3 // one series in unplannedShare is beside a member that is killed, another beside a lost disk
	maxUnplannedDelay     = 2 * time.Second
	acknowledgementWithin = 4 * time.Second
)

// unplannedKinds are the faults beside a series: a member is killed, or loses its disk.
var unplannedKinds = []int{0, 7}

// runReplacements stops series of members as planned until the context ends, and returns when the last of them is back.
func (i *injector) runReplacements(ctx context.Context) {
	supervised, stopSupervising := context.WithCancel(context.Background())
	for _, m := range i.deployment.members {
		i.supervisors.Go(func() { i.supervise(supervised, m) })
	}
	for ctx.Err() == nil {
		members := i.deployment.members
		order := i.rng.Perm(len(members))
		leaving := minLeaving + i.rng.IntN(maxLeaving-minLeaving+1)
		unplanned := i.rng.IntN(unplannedShare)
		if unplanned < len(unplannedKinds) {
			leaving = min(leaving, spareCount)
			i.startUnplanned(members[order[leaving]], unplannedKinds[unplanned])
		}
		wait := time.Duration(0)
		for _, index := range order[:leaving] {
			i.startReplacement(ctx, members[index], wait, between(i.rng, minAbsence, absenceSpread))
			wait += time.Duration(i.rng.Int64N(int64(maxLeaveGap)))
		}
		i.activeFaults.Wait()
		sleep(ctx, between(i.rng, minSeriesPause, seriesPauseSpread))
	}
	stopSupervising()
	i.supervisors.Wait()
}

// startReplacement stops a member after a time and starts it again some time after its end.
func (i *injector) startReplacement(ctx context.Context, p *process, wait, absence time.Duration) {
	i.activeFaults.Go(func() {
		sleep(ctx, wait)
		i.locks[p].Lock()
		defer i.locks[p].Unlock()
		if !p.hasExited() {
			i.stop(p, absence)
		}
	})
}

// startUnplanned injects a fault of the given kind into a member beside a series.
func (i *injector) startUnplanned(p *process, kind int) {
	delay := time.Duration(i.rng.Int64N(int64(maxUnplannedDelay)))
	down := between(i.rng, minRestart, restartSpread)
	i.activeFaults.Go(func() {
		time.Sleep(delay)
		i.locks[p].Lock()
		defer i.locks[p].Unlock()
		i.inject(p, kind, down, 0)
	})
}

// supervise starts a member again that has ended by itself, as one does that the group has replaced.
func (i *injector) supervise(ctx context.Context, p *process) {
	for ; ctx.Err() == nil; sleep(ctx, superviseInterval) {
		if !i.locks[p].TryLock() {
			continue
		}
		if p.hasExited() {
			i.recorder.logEvent("%s has ended by itself", p.name)
			i.restart(p)
		}
		i.locks[p].Unlock()
	}
}

// hasExited reports whether the process has been started and has exited.
func (p *process) hasExited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// checkAcknowledgements reports each time in which no version was acknowledged for longer than acknowledgementWithin
// although no member was killed or had lost its disk in it or shortly before: planned stops keep the group at work.
func (r *recorder) checkAcknowledgements(acknowledgements []acknowledgement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := 1; n < len(acknowledgements); n++ {
		from, until := acknowledgements[n-1].at, acknowledgements[n].at
		if until.Sub(from) <= acknowledgementWithin || r.hasUnplanned(from.Add(-contactTime), until) {
			continue
		}
		r.violations = append(r.violations, fmt.Sprintf("no version was acknowledged from %.3f s to %.3f s beside planned stops",
			from.Sub(r.started).Seconds(), until.Sub(r.started).Seconds()))
	}
}

// hasUnplanned reports whether a process was killed, or disturbed in another way than by a planned stop, at any time in a
// span. The caller holds the lock.
func (r *recorder) hasUnplanned(from, until time.Time) bool {
	for _, w := range r.works {
		if (w.kind == workKill || w.kind == workFault) && w.overlaps(from, until) {
			return true
		}
	}
	return false
}
