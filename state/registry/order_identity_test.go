package registry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/state/registry"
	"sapphiregate.example/sapphiregate/state/release"
)

const resendMs = 4000

// orderWorld plays operators, the network and the leaders of a group around one registry. Times are milliseconds of one
// true clock, which no participant reads.
type orderWorld struct {
	registry *registry.Registry
	index    uint64
	now      int64
	// leaderSince is the start of the present leader, clockOffset the error of its time of day.
	leaderSince, clockOffset int64
	// lag is the time by which the bounds of a leader that has followed the log are off.
	lag int64
	// caughtUp is set once the leader has applied an entry of its own term.
	caughtUp bool
	pending  []pendingOrder
	// brackets holds what the leader knows of the commit of each order, committedAt the true times.
	brackets    map[uint64]bracket
	committedAt map[uint64]int64
	orders      []*placedOrder
}

// bracket brackets a commit at a leader; unseenAt is -1 if it knows no time before the commit.
type bracket struct{ seenAt, unseenAt int64 }

// placedOrder is an order as its operator means it: all its copies are the same order.
type placedOrder struct {
	name, requestID string
	firstSent       int64
	// started is set once the order has started a rollout, served once it was acknowledged for another one.
	started, served bool
}

// pendingOrder is an entry that is not applied yet, with the time at which the leader since then proposed it.
type pendingOrder struct {
	order             *placedOrder
	command           registry.Command
	proposed, sinceOf int64
}

// TestCopiesOfOrders checks, over drawn orders, copies, leaders and delays, that no order starts two rollouts, and that
// each order that is acknowledged has started one or is served by the equal one that runs.
func TestCopiesOfOrders(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		w := &orderWorld{
			registry: registry.New(keyring("ana", "ben")), brackets: make(map[uint64]bracket),
			committedAt: make(map[uint64]int64),
		}
		w.commit(stage(1, "ana", 1))
		w.commit(approve(1, "ana", 1, 0))
		t.Repeat(map[string]func(*rapid.T){
			"wait":  func(t *rapid.T) { w.now += rapid.SampledFrom([]int64{1, 100, 500, 2000}).Draw(t, "ms") },
			"order": func(t *rapid.T) { w.place(t) },
			"short": func(t *rapid.T) {
				w.place(t)
				w.applyAll(t)
				w.end(t)
			},
			"copy":   func(t *rapid.T) { w.copy(t) },
			"apply":  func(t *rapid.T) { w.applyAll(t) },
			"end":    func(t *rapid.T) { w.end(t) },
			"leader": func(t *rapid.T) { w.changeLeader(t) },
		})
	})
}

func (w *orderWorld) commit(c registry.Command) registry.Result {
	w.index++
	return w.registry.Apply(w.index, c)
}

func (w *orderWorld) place(t *rapid.T) {
	o := &placedOrder{name: rapid.SampledFrom([]string{"v2", "v3", "v4"}).Draw(t, "release"), firstSent: w.now}
	if rapid.IntRange(0, 3).Draw(t, "identifier") == 0 {
		o.requestID = fmt.Sprint(len(w.orders))
	}
	w.orders = append(w.orders, o)
	w.propose(o, 0)
}

// copy sends an order again that was placed at most resendMs ago. The copy may take some time to reach the leader.
func (w *orderWorld) copy(t *rapid.T) {
	var open []*placedOrder
	for _, o := range w.orders {
		if w.now-o.firstSent <= resendMs {
			open = append(open, o)
		}
	}
	if len(open) == 0 {
		t.Skip("no order is sent again now")
	}
	w.propose(rapid.SampledFrom(open).Draw(t, "order"), rapid.Int64Range(0, 1000).Draw(t, "delay"))
}

// propose lets the leader append an order to the log. Some time passes on the order's way to it.
func (w *orderWorld) propose(o *placedOrder, delay int64) {
	w.now += delay
	known := &registry.LatestOrder{Outdated: !w.caughtUp, MaxAgeMs: registry.AgeUnknown, ResendMs: resendMs}
	if latest, ok := w.registry.Rollout("rank"); ok {
		known.Started, known.MinAgeMs = latest.Started, w.now-w.brackets[latest.Started].seenAt
		known.FormerMinAgeMs = w.now - w.brackets[latest.Former.Started].seenAt
		if unseenAt := w.brackets[latest.Started].unseenAt; unseenAt >= 0 {
			known.MaxAgeMs = w.now - unseenAt
		}
	}
	command := start("rank", o.name, time.Minute)
	command.RequestID = o.requestID
	command.Rollout.Start.UnixMs, command.Rollout.Start.Latest = w.now+w.clockOffset, known
	w.pending = append(w.pending, pendingOrder{order: o, command: command, proposed: w.now, sinceOf: w.leaderSince})
}

func (w *orderWorld) applyAll(t *rapid.T) {
	for len(w.pending) > 0 {
		next := w.pending[0]
		w.pending = w.pending[1:]
		w.apply(t, next)
	}
	w.caughtUp = true
}

func (w *orderWorld) apply(t *rapid.T, next pendingOrder) {
	before, _ := w.registry.Rollout("rank")
	result := w.commit(next.command)
	after, _ := w.registry.Rollout("rank")
	switch {
	case result.Err() != nil:
		if after != before {
			t.Fatalf("a refused order changes the rollout: %v", result.Err())
		}
	case after.Started != before.Started:
		if next.order.started {
			t.Fatalf("order of %s starts a second rollout", next.order.name)
		}
		next.order.started = true
		w.committedAt[after.Started] = w.now
		known := bracket{seenAt: w.now, unseenAt: -1}
		if w.caughtUp {
			known.unseenAt = max(w.leaderSince, w.now-rapid.Int64Range(0, 500).Draw(t, "since the confirmation"))
		}
		w.brackets[after.Started] = known
	case !next.order.started && !next.order.served:
		// The order counts as a copy of another one, whose rollout must run and be as young as for a copy.
		next.order.served = true
		age := next.proposed - w.committedAt[after.Started]
		if after.State != release.Running || age > resendMs {
			t.Fatalf("order of %s is acknowledged for a rollout that is %s and %d ms old", next.order.name, after.State, age)
		}
	}
	w.caughtUp = w.caughtUp || next.sinceOf == w.leaderSince
}

func (w *orderWorld) end(t *rapid.T) {
	state := rapid.SampledFrom([]release.State{release.RolledBack, release.Completed}).Draw(t, "state")
	if latest, ok := w.registry.Rollout("rank"); ok && latest.State == release.Running {
		w.commit(advance("rank", latest.Revision, state, 0))
	}
}

// changeLeader lets another member lead: one that has followed the log, or one that has just started. Entries that the
// former leader has not committed may be lost or be committed later.
func (w *orderWorld) changeLeader(t *rapid.T) {
	w.now++
	w.leaderSince, w.caughtUp = w.now, false
	w.clockOffset = rapid.Int64Range(-5000, 5000).Draw(t, "clock offset")
	w.pending = w.pending[:rapid.IntRange(0, len(w.pending)).Draw(t, "kept entries")]
	w.lag = rapid.Int64Range(0, 1000).Draw(t, "lag")
	justStarted := rapid.Bool().Draw(t, "just started")
	for started, committed := range w.committedAt {
		w.brackets[started] = bracket{seenAt: w.now, unseenAt: -1}
		if !justStarted {
			// It has followed the log, and applied the order a little after its commit.
			w.brackets[started] = bracket{seenAt: min(w.now, committed+w.lag), unseenAt: max(0, committed-w.lag)}
		}
	}
}
