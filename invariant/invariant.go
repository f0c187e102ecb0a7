// Package invariant counts and reports violations of the guarantees of the system. The checks are active in every
// build.
package invariant

import (
	"sync/atomic"
)

// Name identifies an invariant in metrics and reports.
type Name string

// The invariants.
const (
	VersionRollback Name = "version_rollback"
	DanglingRoute   Name = "dangling_route"
	PartialApply    Name = "partial_apply"
	WrongAnswer     Name = "wrong_answer"
	FalseNotRun     Name = "false_not_run"
	DoubleRun       Name = "double_run"
	LateDrainWork   Name = "late_drain_work"
	CutInFlight     Name = "cut_in_flight"
	RevertedBundle  Name = "reverted_bundle"
	// Internal stands for all invariants of the state of a single package, and for names that Names does not list.
	Internal Name = "internal"
)

// Names returns the names of all invariants in the order in which reports show them.
func Names() []Name {
	return []Name{
		VersionRollback, DanglingRoute, PartialApply, WrongAnswer, FalseNotRun,
		DoubleRun, LateDrainWork, CutInFlight, RevertedBundle, Internal,
	}
}

// Handler is called for each violation. It must be safe for concurrent use.
type Handler func(name Name, message string, values map[string]any)

var (
	counts  = newCounts()
	handler atomic.Pointer[Handler]
)

func newCounts() map[Name]*atomic.Int64 {
	counts := make(map[Name]*atomic.Int64)
	for _, name := range Names() {
		counts[name] = new(atomic.Int64)
	}
	return counts
}

// SetHandler replaces the handler of violations: the daemons set one that logs, tests one that fails.
func SetHandler(h Handler) { handler.Store(&h) }

// Violated counts a violation and passes it to the handler. The values describe the state that violates the invariant.
func Violated(name Name, message string, values map[string]any) {
	count, listed := counts[name]
	if !listed {
		count = counts[Internal]
	}
	count.Add(1)
	if h := handler.Load(); h != nil {
		(*h)(name, message, values)
	}
}

// Check reports a violation unless ok holds. It returns ok.
func Check(ok bool, name Name, message string, values map[string]any) bool {
	if !ok {
		Violated(name, message, values)
	}
	return ok
}

// Counts returns the number of violations in this process since its start, by invariant.
func Counts() map[Name]int64 {
	result := make(map[Name]int64, len(counts))
	for name, count := range counts {
		result[name] = count.Load()
	}
	return result
}
