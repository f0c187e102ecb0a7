package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// script starts the scenario's steps and rollouts.
func (r *runner) script(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.duration+scriptGrace)
	context.AfterFunc(ctx, cancel)
	for _, s := range r.scenario.steps {
		r.at(ctx, s.At, s.Name, s.Do)
	}
	for i := range r.scenario.rollouts {
		at := (float64(i) + 0.5) / float64(r.scenario.rollouts)
		r.at(ctx, at, fmt.Sprintf("rollout %d", i+1), func(ctx context.Context, r *runner) error {
			return r.operators.rollout(ctx)
		})
	}
}

// at runs an action at a part of the duration.
func (r *runner) at(ctx context.Context, part float64, name string, do action) {
	delay := time.Duration(part * float64(r.duration))
	r.background(func() error {
		if !pause(ctx, delay) {
			return nil
		}
		r.setStep(name)
		return errors.Wrap(do(ctx, r), name)
	})
}

// background runs a part of the script beside the others.
func (r *runner) background(do func() error) {
	r.scripts.Go(func() {
		if err := do(); err != nil {
			r.note(err)
		}
	})
}

// passing runs a fault that ends after some time.
func (r *runner) passing(ctx context.Context, f mixedFault, length time.Duration) error {
	r.setStep(f.name)
	if err := f.start(ctx, r); err != nil {
		return errors.Wrap(err, f.name)
	}
	if f.end == nil || !pause(ctx, length) {
		return nil
	}
	return errors.Wrapf(f.end(ctx, r), "end of: %s", f.name)
}

func (r *runner) endScript() { r.scripts.Wait() }

// restore ends all faults.
func (r *runner) restore(ctx context.Context) {
	for _, end := range []action{restoreZones, healZones, healProcesses, startMembers, startNodes, clearUpstreamFaults, startUpstreams} {
		if err := end(ctx, r); err != nil {
			r.note(errors.Wrap(err, "restore"))
		}
	}
}

func (r *runner) setStep(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step = name
}

func (r *runner) currentStep() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.step
}

func (r *runner) randomZone() string { return r.profile.Zones[r.intN(len(r.profile.Zones))] }

func (r *runner) randomNode() string { return r.nodes[r.intN(len(r.nodes))].ID }

func (r *runner) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *runner) permutation(n int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Perm(n)
}
