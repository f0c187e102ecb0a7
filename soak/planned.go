package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

// Bounds of the planned work, drawn like those of the faults.
const (
	minSeriesInterval    = 500 * time.Millisecond
	seriesIntervalSpread = 2500 * time.Millisecond
	// Nodes are stopped in turn, closer together than a stop takes.
	minStopGap    = 300 * time.Millisecond
	stopGapSpread = 1200 * time.Millisecond
	maxDownTime   = time.Second
	maxReloads    = 6
	maxReloadGap  = 300 * time.Millisecond
	maxChanges    = 8
	maxChangeGap  = 150 * time.Millisecond
	// One configuration in largeBundleShare has largeBundleRoutes further routes.
	largeBundleShare  = 3
	largeBundleRoutes = 1400
	// plannedDeadline is the deadline of the routes; it exceeds the slowest call that is answered, and the grace period
	// for most calls that never are.
	plannedDeadline = 7 * time.Second
	// plannedSlots keeps slow calls from taking all slots of an upstream.
	plannedSlots      = 64
	readinessInterval = 200 * time.Millisecond
)

// drawServiceTime draws how long the upstream takes for a request. Under planned work, it is slow now and then.
func (o *Options) drawServiceTime(rng *rand.Rand) time.Duration {
	if !o.Planned {
		return serviceTime
	}
	switch draw := rng.IntN(100); {
	case draw < 75:
		return serviceTime
	case draw < 90:
		return between(rng, 50*time.Millisecond, 950*time.Millisecond)
	case draw < 98:
		return between(rng, time.Second, 4*time.Second)
	default:
		return time.Hour // It is never answered.
	}
}

// routeDeadline is the deadline of all routes.
func (o *Options) routeDeadline() time.Duration {
	if o.Planned {
		return plannedDeadline
	}
	return 2 * time.Second
}

// runPlanned carries out series of planned work until the context ends, and returns when the last of it is over. The
// series overlap. Every other seed injects faults among them.
func (i *injector) runPlanned(ctx context.Context) {
	withFaults := i.rng.IntN(2) == 0
	i.recorder.logEvent("planned work; faults among it: %t", withFaults)
	for ctx.Err() == nil {
		switch draw := i.rng.IntN(5); {
		case draw < 3:
			i.startStops(ctx)
		case draw == 3 && withFaults:
			i.startFault()
		default:
			i.startReloads(ctx)
		}
		sleep(ctx, minSeriesInterval+time.Duration(i.rng.Int64N(int64(seriesIntervalSpread))))
	}
	i.activeFaults.Wait()
}

// startStops stops up to three quarters of the nodes in turn, and a member now and then. Each is started again.
func (i *injector) startStops(ctx context.Context) {
	nodes := i.deployment.nodes
	order := i.rng.Perm(len(nodes))[:1+i.rng.IntN(len(nodes)*3/4)]
	wait := time.Duration(0)
	for _, index := range order {
		i.startStop(ctx, nodes[index], wait)
		wait += minStopGap + time.Duration(i.rng.Int64N(int64(stopGapSpread)))
	}
	if i.rng.IntN(4) == 0 {
		i.startStop(ctx, i.deployment.members[i.rng.IntN(len(i.deployment.members))], wait)
	}
}

// startStop stops a process after the given time, unless a fault or another stop of it goes on then.
func (i *injector) startStop(ctx context.Context, p *process, wait time.Duration) {
	down := time.Duration(i.rng.Int64N(int64(maxDownTime)))
	i.activeFaults.Go(func() {
		sleep(ctx, wait)
		if ctx.Err() != nil || !i.locks[p].TryLock() {
			return
		}
		defer i.locks[p].Unlock()
		i.stop(p, down)
	})
}

// startReloads sends SIGHUP to several processes in quick succession, also to those that are leaving.
func (i *injector) startReloads(ctx context.Context) {
	all := i.deployment.processes()
	wait := time.Duration(0)
	for range 1 + i.rng.IntN(maxReloads) {
		p, delay := all[i.rng.IntN(len(all))], wait
		i.activeFaults.Go(func() {
			sleep(ctx, delay)
			i.reload(p)
		})
		wait += time.Duration(i.rng.Int64N(int64(maxReloadGap)))
	}
}

// changeInBursts approves configurations in quick succession, some of them large, until the context ends.
func (r *seedRun) changeInBursts(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 0))
	for ctx.Err() == nil {
		for range 1 + rng.IntN(maxChanges) {
			r.furtherRoutes = 0
			if rng.IntN(largeBundleShare) == 0 {
				r.furtherRoutes = largeBundleRoutes
			}
			r.approveNext(ctx)
			sleep(ctx, time.Duration(rng.Int64N(int64(maxChangeGap))))
		}
		sleep(ctx, minSeriesInterval+time.Duration(rng.Int64N(int64(seriesIntervalSpread))))
	}
	r.furtherRoutes = 0
}

// watchReadiness polls whether a node is ready until the context ends. A node that does not respond is not ready.
func watchReadiness(ctx context.Context, node *process) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + node.adminAddress + "/ready")
		if err == nil {
			response.Body.Close()
		}
		node.ready.Store(err == nil && response.StatusCode == http.StatusNoContent)
		sleep(ctx, readinessInterval)
	}
}
