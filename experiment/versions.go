package experiment

import (
	"fmt"
	"reflect"
	"slices"
	"sync"
	"time"

	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// convergenceLimit is the time after which an accepted version that is not in force counts as reverted: the design
// page demands that each change is in force within 10 s.
const convergenceLimit = 10 * time.Second

// maxContentNodes bounds the nodes up to which content is compared on every swap. Comparing takes about 0.1 ms, which
// would slow down experiments with 1,000 nodes; their order of versions is still checked.
const maxContentNodes = 100

// submission is a bundle that an operator signed.
type submission struct {
	signed Signed
	at     time.Time
	// valid is false for bundles that must never come into force.
	valid    bool
	accepted bool
}

type versionKey struct {
	version uint64
	digest  bundle.Digest
}

// versionLog checks every pointer swap against what operators signed. It is safe for concurrent use.
type versionLog struct {
	violations *violationLog

	mu          sync.Mutex
	submissions map[versionKey]*submission
	winners     map[uint64]bundle.Digest
	applied     map[string][]Applied
	highest     map[string]uint64
	latest      uint64
}

func newVersionLog(v *violationLog) *versionLog {
	return &versionLog{
		violations:  v,
		submissions: make(map[versionKey]*submission),
		winners:     make(map[uint64]bundle.Digest),
		applied:     make(map[string][]Applied),
		highest:     make(map[string]uint64),
	}
}

func keyOf(s Signed) versionKey { return versionKey{s.Approval.Version, s.Approval.Digest} }

// submit registers a bundle before any member sees it.
func (l *versionLog) submit(s Signed, valid bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.submissions[keyOf(s)]; !ok {
		l.submissions[keyOf(s)] = &submission{signed: s, at: time.Now(), valid: valid}
	}
}

// accept registers a positive verdict.
func (l *versionLog) accept(s Signed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submissions[keyOf(s)].accepted = true
	version, digest := s.Approval.Version, s.Approval.Digest
	if winner, ok := l.winners[version]; ok && winner != digest {
		l.violations.add(invariant.RevertedBundle, fmt.Sprintf("version %d was accepted with two digests", version))
	}
	l.winners[version] = digest
	l.latest = max(l.latest, version)
}

// apply checks one pointer swap.
func (l *versionLog) apply(a Applied) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied[a.Node] = append(l.applied[a.Node], a)
	if a.Version < l.highest[a.Node] {
		l.violations.add(invariant.VersionRollback, fmt.Sprintf("%s went from version %d to %d", a.Node, l.highest[a.Node], a.Version))
	}
	l.highest[a.Node] = max(l.highest[a.Node], a.Version)
	if len(l.applied) <= maxContentNodes {
		l.checkContent(a)
	}
}

func (l *versionLog) checkContent(a Applied) {
	if route, ok := danglingRoute(a.Bundle); ok {
		l.violations.add(invariant.DanglingRoute, fmt.Sprintf("%s version %d route %s", a.Node, a.Version, route))
	}
	submitted, ok := l.submissions[versionKey{a.Version, a.Digest}]
	if !ok || !submitted.valid || !sameBundle(submitted.signed.Bundle, a.Bundle) {
		l.violations.add(invariant.PartialApply, fmt.Sprintf("%s applied a version %d that no operator signed", a.Node, a.Version))
	}
}

// sameBundle compares content. The digest decides if the values differ, because nil and empty fields encode alike.
func sameBundle(want, got *bundle.Bundle) bool {
	if got == nil {
		return false
	}
	if reflect.DeepEqual(want, got) {
		return true
	}
	wantDigest, err := digestOf(want)
	if err != nil {
		return false
	}
	gotDigest, err := digestOf(got)
	return err == nil && wantDigest == gotDigest
}

func digestOf(b *bundle.Bundle) (bundle.Digest, error) {
	_, manifest, err := bundle.Split(b)
	if err != nil {
		return bundle.Digest{}, err
	}
	return manifest.Digest(), nil
}

// danglingRoute returns a route that refers to a service or resource which the bundle lacks.
func danglingRoute(b *bundle.Bundle) (string, bool) {
	if b == nil {
		return "", false
	}
	for _, route := range b.Routes {
		if !slices.ContainsFunc(b.Services, func(s bundle.Service) bool { return s.Name == route.Service }) {
			return route.Name, true
		}
		for _, name := range route.Resources {
			if !slices.ContainsFunc(b.Resources, func(r bundle.Resource) bool { return r.Name == name }) {
				return route.Name, true
			}
		}
	}
	return "", false
}

// latestAccepted returns the greatest accepted version and its digest.
func (l *versionLog) latestAccepted() (uint64, bundle.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest, l.winners[l.latest]
}

// checkFinal compares what a node has in force after the run with the latest accepted version.
func (l *versionLog) checkFinal(node string, inForce Applied, ok bool) {
	version, digest := l.latestAccepted()
	switch {
	case !ok:
		l.violations.add(invariant.RevertedBundle, fmt.Sprintf("%s holds nothing, want version %d", node, version))
	case inForce.Version < version:
		l.violations.add(invariant.RevertedBundle, fmt.Sprintf("%s holds version %d, want %d", node, inForce.Version, version))
	case inForce.Version == version && inForce.Digest != digest:
		l.violations.add(invariant.RevertedBundle, fmt.Sprintf("%s holds another digest of version %d", node, version))
	}
}

// convergence returns one sample per accepted version, in order of version: the longest time over all nodes from
// sign-off, or from the end of the last fault that kept the version away, until that version or a later one was in
// force. Nodes that were absent until the end give no sample. Initial versions give none.
func (l *versionLog) convergence(faults *faultLog, initial uint64) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var samples []time.Duration
	versions := make([]uint64, 0, len(l.winners))
	for version := range l.winners {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	for _, version := range versions {
		if version == initial {
			continue
		}
		submitted := l.submissions[versionKey{version, l.winners[version]}]
		samples = append(samples, l.sample(faults, submitted))
	}
	return samples
}

// sample must be called with the mutex held.
func (l *versionLog) sample(faults *faultLog, s *submission) time.Duration {
	var longest time.Duration
	for node, list := range l.applied {
		i := slices.IndexFunc(list, func(a Applied) bool { return a.Version >= s.signed.Approval.Version })
		if i < 0 {
			continue
		}
		allowed := faults.allowedSince(node, s.at, list[i].At)
		longest = max(longest, list[i].At.Sub(allowed))
	}
	if longest > convergenceLimit {
		l.violations.add(invariant.RevertedBundle, fmt.Sprintf("version %d took %v", s.signed.Approval.Version, longest))
	}
	return longest
}
