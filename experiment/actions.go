package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/experiment/standin"
	"sapphiregate.example/sapphiregate/transport/shape"
)

const (
	// drainLinger is how long a draining upstream keeps listening; it is longer than drainLimit, so that late work
	// is seen.
	drainLinger = drainLimit + 300*time.Millisecond
	// restartPause is how long a stopped node stays down.
	restartPause = 300 * time.Millisecond
	// replacePause lets the second failure follow shortly on the repair.
	replacePause = 100 * time.Millisecond
	// mixedInterval is the mean time between random faults, and mixedLength the mean length of one.
	mixedInterval = 500 * time.Millisecond
	mixedLength   = 700 * time.Millisecond
	// mixedRestarts is the probability of a graceful restart beside each random fault.
	mixedRestarts = 0.2
)

var slowLink = shape.Link{Delay: 20 * time.Millisecond, Jitter: 10 * time.Millisecond, Loss: 0.01}

// liar is a slow upstream that reports no load and good health.
var liar = standin.Faults{SlowFactor: 5, ReportIdle: true, ReportHealthy: true, Unhealthy: true}

func slowZone(_ context.Context, r *runner) error {
	r.deployment.SlowZone(r.randomZone(), slowLink)
	return nil
}

func restoreZones(_ context.Context, r *runner) error {
	for _, zone := range r.profile.Zones {
		r.deployment.SlowZone(zone, shape.Link{})
	}
	return nil
}

func lieAboutLoad(_ context.Context, r *runner) error {
	for i, u := range r.upstreams {
		if i%4 == 0 {
			u.SetFaults(liar)
		}
	}
	return nil
}

func clearUpstreamFaults(_ context.Context, r *runner) error {
	for _, u := range r.upstreams {
		u.SetFaults(r.scenario.upstream)
	}
	return nil
}

func killUpstreams(_ context.Context, r *runner) error {
	for i, u := range r.upstreams {
		if i%2 == 0 {
			r.faults.beginOutage(upstreamFault(r.nodes[i].ID))
			u.Kill()
		}
	}
	return nil
}

func startUpstreams(_ context.Context, r *runner) error {
	for i, u := range r.upstreams {
		if err := u.Start(); err != nil {
			return err
		}
		r.faults.endOutage(upstreamFault(r.nodes[i].ID))
	}
	return nil
}

// upstreamFault names an upstream in the fault log, where node names belong to the nodes.
func upstreamFault(node string) string { return "upstream of " + node }

// drainUpstream lets an upstream leave and return: announcement, linger, graceful stop, cold start.
func drainUpstream(ordinal int) action {
	return func(ctx context.Context, r *runner) error {
		u := r.upstreams[(2*ordinal)%len(r.upstreams)]
		if err := u.Drain(ctx); err != nil {
			return err
		}
		if !pause(ctx, drainLinger) {
			return nil
		}
		if err := u.Stop(ctx); err != nil {
			return errors.Wrap(err, "experiment: stop drained upstream")
		}
		return u.Start()
	}
}

// restartNode stops a node gracefully and starts it again.
func restartNode(ordinal int) action {
	return func(ctx context.Context, r *runner) error {
		return r.restart(ctx, r.nodes[(2*ordinal+1)%len(r.nodes)].ID)
	}
}

func killNodes(count int) action {
	return func(_ context.Context, r *runner) error {
		for range count {
			if err := r.killNode(r.randomNode()); err != nil {
				return err
			}
		}
		return nil
	}
}

func killShare(share float64) action {
	return func(_ context.Context, r *runner) error {
		order := r.permutation(len(r.nodes))
		for _, i := range order[:int(share*float64(len(order)))] {
			if err := r.killNode(r.nodes[i].ID); err != nil {
				return err
			}
		}
		return nil
	}
}

// killRelays kills the first two nodes of every zone: nodes that started first are closest to the source.
func killRelays(_ context.Context, r *runner) error {
	killed := make(map[string]int)
	for _, node := range r.nodes {
		if killed[node.Zone] >= 2 {
			continue
		}
		killed[node.Zone]++
		if err := r.killNode(node.ID); err != nil {
			return err
		}
	}
	return nil
}

func startNodes(ctx context.Context, r *runner) error { return r.startNodes(ctx) }

func cutZone(_ context.Context, r *runner) error {
	r.cutZone(r.randomZone())
	return nil
}

func healZones(_ context.Context, r *runner) error {
	r.healZones()
	return nil
}

func cutNode(_ context.Context, r *runner) error {
	r.cutProcess(r.randomNode())
	return nil
}

func healProcesses(_ context.Context, r *runner) error {
	r.healProcesses()
	return nil
}

func cutLeader(_ context.Context, r *runner) error {
	r.cutProcess(r.leader())
	return nil
}

func killLeader(_ context.Context, r *runner) error { return r.killMember(r.leader()) }

func killMembers(_ context.Context, r *runner) error {
	for _, member := range r.deployment.Members() {
		if err := r.killMember(member); err != nil {
			return err
		}
	}
	return nil
}

func startMembers(ctx context.Context, r *runner) error { return r.startMembers(ctx) }

// replaceMember wipes a follower, replaces it and lets a second member fail right after the repair.
func replaceMember(ctx context.Context, r *runner) error {
	leader := r.leader()
	voters := r.voters()
	old, second := "", ""
	for _, member := range voters {
		switch {
		case member == leader:
		case old == "":
			old = member
		default:
			second = member
		}
	}
	if err := r.killMember(old); err != nil {
		return err
	}
	if err := r.deployment.WipeMember(old); err != nil {
		return err
	}
	if err := r.replaceMember(ctx, old); err != nil {
		return err
	}
	if !pause(ctx, replacePause) {
		return nil
	}
	return r.killMember(second)
}

func race(ctx context.Context, r *runner) error { return r.operators.race(ctx) }

func submitBad(ctx context.Context, r *runner) error { return r.operators.submitBad(ctx) }

// rolloutMany approves hundreds of versions as fast as verdicts arrive.
func rolloutMany(ctx context.Context, r *runner) error {
	limit := time.Now().Add(time.Duration(0.7 * float64(r.duration)))
	for range rapidChanges {
		if ctx.Err() != nil || time.Now().After(limit) {
			return nil
		}
		if err := r.operators.rollout(ctx); err != nil {
			return err
		}
	}
	return nil
}

// mixedFault is a fault that ends by itself.
type mixedFault struct {
	name       string
	start, end action
}

func mixedFaultList() []mixedFault {
	return []mixedFault{
		{"kill node", killNodes(1), startNodes},
		{"kill a third of the nodes", killShare(0.34), startNodes},
		{"slow zone", slowZone, restoreZones},
		{"cut zone", cutZone, healZones},
		{"cut node off", cutNode, healProcesses},
		{"kill leader", killLeader, startMembers},
		{"cut leader off", cutLeader, healProcesses},
		{"kill members", killMembers, startMembers},
		{"upstreams lie", lieAboutLoad, clearUpstreamFaults},
		{"kill upstreams", killUpstreams, startUpstreams},
		{"operator race", race, nil},
		{"bad bundles", submitBad, nil},
	}
}

// mixedFaults starts random faults that overlap, until shortly before the end of the run.
func mixedFaults(ctx context.Context, r *runner) error {
	rng := rand.New(rand.NewPCG(uint64(r.seed), 0x6d69786564))
	faults := mixedFaultList()
	limit := time.Now().Add(time.Duration(0.8 * float64(r.duration)))
	for time.Now().Before(limit) && pause(ctx, time.Duration(rng.ExpFloat64()*float64(mixedInterval))) {
		fault := faults[rng.IntN(len(faults))]
		length := time.Duration((0.5 + rng.ExpFloat64()) * float64(mixedLength))
		r.background(func() error { return r.passing(ctx, fault, length) })
		if rng.Float64() < mixedRestarts {
			restart := restartNode(rng.IntN(len(r.nodes)))
			r.background(func() error { return restart(ctx, r) })
		}
	}
	return nil
}
