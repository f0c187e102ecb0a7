package relay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Reasons for which a bundle is refused.
var (
	// ErrUpdateMismatch reports an update whose base or target differs from that of the Parts message that carried it.
	ErrUpdateMismatch = errors.New("relay: base or target of the update differs from that of its message")
	// ErrDanglingReference reports a route that refers to a service or resource that the bundle does not contain.
	ErrDanglingReference = errors.New("relay: route refers to a missing service or resource")
	// ErrPartName reports a part whose name differs from its name in the manifest.
	ErrPartName = errors.New("relay: name of a part differs from the manifest")
)

// maxPackedUpdates bounds the number of compressed updates that are kept for children that need the same one.
const maxPackedUpdates = 8

// packedKey identifies a compressed update: the difference from base to target, or the whole target if base is zero.
type packedKey struct{ base, target bundle.Digest }

// bundleState holds the bundles that the peer stores, the latest approval and the version in force.
type bundleState struct {
	store *bundle.Store
	// approved is the latest approval with a valid signature; approvedAt is when it arrived or was stopped.
	approved   *Approved
	approvedAt time.Time
	inForce    bundle.Approval
	previous   bundle.Digest // the bundle in force before
	// pending lists the approvals that the caller was told to activate and has not reported as Activated, in order.
	pending []bundle.Approval
	// staged lists bundles that were received before their approval, the newest first.
	staged []bundle.Digest
	// registryBundles holds the bundles of the last SetSource of a member; nil before the first.
	registryBundles map[bundle.Digest]bool

	// nextFetch is the earliest time at which fetchTarget, the bundle that was fetched last, is fetched again.
	nextFetch   time.Time
	fetchTarget bundle.Digest
	packed      map[packedKey][]byte

	// refusedDigest is the bundle that was refused last.
	refusedDigest bundle.Digest
	refusedReason string
	// approvalError and partsError say why the last approval and the last Parts of the approved bundle were refused;
	// empty if they were not.
	approvalError string
	partsError    string
}

func newBundleState() bundleState {
	return bundleState{store: bundle.NewStore(), packed: make(map[packedKey][]byte)}
}

func (s *bundleState) stopped() bool { return s.approved != nil && s.approved.Stopped }

// refusal returns the reason for which the approved bundle was refused; empty if it was not.
func (s *bundleState) refusal() string {
	if s.approved != nil && s.refusedReason != "" && s.refusedDigest == s.approved.Approval.Digest {
		return s.refusedReason
	}
	return cmp.Or(s.approvalError, s.partsError)
}

// newestVersion returns the newest version that is in force or that the caller was told to activate.
func (s *bundleState) newestVersion() uint64 {
	if n := len(s.pending); n > 0 {
		return s.pending[n-1].Version
	}
	return s.inForce.Version
}

// recentlyActive lists the bundles that are about to come into force, the one in force, and the one before it.
func (s *bundleState) recentlyActive() []bundle.Digest {
	var digests []bundle.Digest
	for _, a := range s.pending {
		digests = append(digests, a.Digest)
	}
	return append(digests, s.inForce.Digest, s.previous)
}

// offered lists the bundles that the children should have, the approved one first.
func (s *bundleState) offered() []bundle.Digest {
	var digests []bundle.Digest
	if s.approved != nil {
		digests = append(digests, s.approved.Approval.Digest)
	}
	for _, digest := range s.staged {
		if !slices.Contains(digests, digest) {
			digests = append(digests, digest)
		}
	}
	return digests
}

// completeBundles lists the bundles of which all parts are stored, the most useful base for a difference first.
func (s *bundleState) completeBundles() []bundle.Digest {
	var stored []bundle.Digest
	for _, digest := range append(s.offered(), s.recentlyActive()...) {
		if s.store.Holds(digest) && !slices.Contains(stored, digest) {
			stored = append(stored, digest)
		}
	}
	return stored[:min(len(stored), maxListedBundles)]
}

func (p *Peer) latestVersion() uint64 {
	if p.bundles.approved == nil {
		return 0
	}
	return p.bundles.approved.Approval.Version
}

// setSource stores the state of a member's registry and sends new bundles and approvals to the children.
func (p *Peer) setSource(source Source, store *bundle.Store) {
	s := &p.bundles
	s.store = store
	first := s.registryBundles == nil
	if first {
		s.registryBundles = make(map[bundle.Digest]bool)
	}
	// The registry's bundles at the start of a member may be staged or approved earlier, which cannot be told apart. So
	// none of them counts as staged.
	var added []bundle.Digest
	for _, digest := range source.Bundles {
		if !s.registryBundles[digest] && !first {
			added = append(added, digest)
		}
	}
	s.setRegistryBundles(source.Bundles)
	for _, digest := range added {
		p.stage(digest)
	}
	s.staged = slices.DeleteFunc(s.staged, func(d bundle.Digest) bool { return !store.Holds(d) })
	if source.Latest != nil {
		p.setApproved(Approved{Approval: *source.Latest, Stopped: source.Stopped})
	}
	p.offerToChildren()
	p.mergeRollouts(source.Rollouts)
}

func (s *bundleState) setRegistryBundles(digests []bundle.Digest) {
	clear(s.registryBundles)
	for _, digest := range digests {
		s.registryBundles[digest] = true
	}
}

// stage adds a bundle to the staged ones unless it is approved already.
func (p *Peer) stage(digest bundle.Digest) {
	s := &p.bundles
	if s.approved != nil && s.approved.Approval.Digest == digest {
		return
	}
	s.unstage(digest)
	s.staged = slices.Insert(s.staged, 0, digest)
	s.staged = s.staged[:min(len(s.staged), maxStaged)]
}

// unstage removes an approved bundle from the staged ones, so that it is no longer offered once a later one is
// approved.
func (s *bundleState) unstage(digest bundle.Digest) {
	s.staged = slices.DeleteFunc(s.staged, func(d bundle.Digest) bool { return d == digest })
}

// receiveApproval processes the parent's latest approval. An approval with a bad signature is ignored and not
// forwarded.
func (p *Peer) receiveApproval(a Approved) {
	s := &p.bundles
	version := p.latestVersion()
	if a.Approval.Version < version {
		return
	}
	if a.Approval.Version == version && s.approved != nil {
		p.receiveStop(a)
		return
	}
	if err := p.config.Keys.Verify(a.Approval); err != nil {
		s.approvalError = fmt.Sprintf("approval of version %d: %v", a.Approval.Version, err)
		return
	}
	s.approvalError = ""
	p.setApproved(a)
	p.tryActivate()
}

// receiveStop records that the known version was stopped. A second approval of that version violates an invariant.
func (p *Peer) receiveStop(a Approved) {
	approved := p.bundles.approved
	sameDigest := a.Approval.Digest == approved.Approval.Digest
	invariant.Check(sameDigest, invariant.RevertedBundle, "two approvals share a version",
		map[string]any{"node": p.config.ID, "version": a.Approval.Version})
	if sameDigest && a.Stopped && !approved.Stopped {
		p.setApproved(a)
	}
}

// setApproved records an approval that is newer than the known one, or the stop of the known one, and sends it to the
// children.
func (p *Peer) setApproved(a Approved) {
	s := &p.bundles
	if known := s.approved; known != nil {
		newer := a.Approval.Version > known.Approval.Version
		stops := a.Approval.Version == known.Approval.Version && a.Stopped && !known.Stopped
		if !newer && !stops {
			return
		}
	}
	s.approved = &a
	s.unstage(a.Approval.Digest)
	s.approvedAt = p.now
	for _, child := range p.children() {
		p.send(child, Message{Approved: &a})
	}
}

// tryActivate activates the approved bundle, or fetches it if it is not stored. A node without a version activates one
// only if a quorum confirmed it after the node's start. A stopped version is activated only by a node without a
// version.
func (p *Peer) tryActivate() {
	s := &p.bundles
	if p.config.Member || s.approved == nil {
		return
	}
	a := s.approved.Approval
	if a.Version <= s.newestVersion() || s.refusedReason != "" && s.refusedDigest == a.Digest {
		return
	}
	if !s.store.Holds(a.Digest) {
		p.fetch(a.Digest)
		return
	}
	if s.newestVersion() == 0 && !p.confirmedSinceStart(a.Version) {
		return
	}
	if s.newestVersion() > 0 && s.approved.Stopped {
		return
	}
	p.activate(a)
}

// confirmedSinceStart reports whether a quorum confirmed after the start of the process that no version above the given
// one is approved.
func (p *Peer) confirmedSinceStart(version uint64) bool {
	return p.freshness.confirmed && version >= p.freshness.version && p.freshness.ageAt(p.now) < p.now.Sub(p.started)
}

// activate checks the bundle of an approval and tells the caller to put it into force, or refuses it.
func (p *Peer) activate(a bundle.Approval) {
	s := &p.bundles
	b, err := p.assemble(a.Digest)
	if err != nil {
		s.refusedDigest, s.refusedReason = a.Digest, err.Error()
		p.counts.changed = true
		p.emit(Refused{Version: a.Version, Reason: s.refusedReason})
		return
	}
	newer := invariant.Check(a.Version > s.newestVersion(), invariant.VersionRollback, "version goes down",
		map[string]any{"node": p.config.ID, "from": s.newestVersion(), "to": a.Version})
	whole := invariant.Check(checkReferences(b) == nil, invariant.DanglingRoute, "activated bundle has a dangling route",
		map[string]any{"node": p.config.ID, "version": a.Version})
	if !newer || !whole {
		return
	}
	if s.newestVersion() == 0 {
		p.counts.suppressFirstVersion(a.Version, p.started)
	}
	s.refusedReason, s.partsError = "", ""
	s.pending = append(s.pending, a)
	p.emit(Activate{Approval: a, Bundle: b})
	p.dropUnusedBundles()
}

// assemble assembles a bundle from its parts and checks it as a whole.
func (p *Peer) assemble(digest bundle.Digest) (*bundle.Bundle, error) {
	manifest, ok := p.bundles.store.Manifest(digest)
	if !ok || manifest.Digest() != digest {
		return nil, errors.Wrapf(bundle.ErrDigestMismatch, "%s", digest.Short())
	}
	b, err := p.bundles.store.Bundle(digest)
	if err != nil {
		return nil, err
	}
	if err := checkNames(manifest, b); err != nil {
		return nil, err
	}
	if err := checkReferences(b); err != nil {
		return nil, err
	}
	if p.config.Validate != nil {
		if err := p.config.Validate(b); err != nil {
			return nil, errors.Wrap(err, "validation")
		}
	}
	return b, nil
}

// checkNames checks that the bundle has the parts that the manifest lists, in the same order.
func checkNames(manifest bundle.Manifest, b *bundle.Bundle) error {
	ids := b.PartIDs()
	if !invariant.Check(len(ids) == len(manifest.Entries), invariant.PartialApply, "bundle lacks parts of its manifest",
		map[string]any{"parts": len(ids), "entries": len(manifest.Entries)}) {
		return bundle.ErrMissingPart
	}
	for i, entry := range manifest.Entries {
		if entry.ID != ids[i] {
			return errors.Wrapf(ErrPartName, "%s", entry.ID.Name)
		}
	}
	return nil
}

// checkReferences checks that the bundle contains every service and resource that its routes refer to.
func checkReferences(b *bundle.Bundle) error {
	services := make(map[string]bool, len(b.Services))
	for _, service := range b.Services {
		services[service.Name] = true
	}
	resources := make(map[string]bool, len(b.Resources))
	for _, resource := range b.Resources {
		resources[resource.Name] = true
	}
	for _, route := range b.Routes {
		for _, share := range route.Shares() {
			if !services[share.Service] {
				return errors.Wrapf(ErrDanglingReference, "route %s, service %s", route.Name, share.Service)
			}
		}
		for _, name := range route.Resources {
			if !resources[name] {
				return errors.Wrapf(ErrDanglingReference, "route %s, resource %s", route.Name, name)
			}
		}
	}
	return nil
}

// Activated tells the peer that the caller has put a version into force.
func (p *Peer) Activated(now time.Time, version uint64) {
	p.advance(now)
	s := &p.bundles
	i := slices.IndexFunc(s.pending, func(a bundle.Approval) bool { return a.Version == version })
	known := invariant.Check(i >= 0 || version == s.inForce.Version, invariant.VersionRollback,
		"a version was put into force that is not the next one",
		map[string]any{"node": p.config.ID, "from": s.inForce.Version, "to": version})
	if !known || i < 0 {
		return
	}
	s.previous = s.inForce.Digest
	s.inForce = s.pending[i]
	s.pending = slices.Clone(s.pending[i+1:])
	p.counts.changed = true
	p.dropUnusedBundles()
}

// dropUnusedBundles removes the bundles from a node's store that are neither offered to children nor recently active.
func (p *Peer) dropUnusedBundles() {
	if p.config.Member {
		return
	}
	s := &p.bundles
	s.store.Retain(append(s.offered(), s.recentlyActive()...)...)
}

// fetch asks the parent for a bundle, unless the parent may still be about to send it.
func (p *Peer) fetch(target bundle.Digest) {
	s := &p.bundles
	// If no bundle was fetched on this link yet, the parent sends its bundles without a Fetch.
	expected := s.fetchTarget == target || s.fetchTarget.IsZero()
	if p.parent == nil || expected && p.now.Before(s.nextFetch) {
		return
	}
	s.fetchTarget, s.nextFetch = target, p.now.Add(fetchTimeout)
	p.stats.Fetches++
	p.send(p.parent, Message{Fetch: &Fetch{Target: target, Have: s.completeBundles()}})
}

// handleFetch sends the bundle. If it is not stored here yet, offerToChildren sends it once it is.
func (p *Peer) handleFetch(l *link, f Fetch) {
	l.remoteBundles = f.Have[:min(len(f.Have), maxListedBundles)]
	if p.bundles.store.Holds(f.Target) {
		p.sendParts(l, f.Target)
	}
}

// offerToChildren sends the offered bundles to the children that do not have them.
func (p *Peer) offerToChildren() {
	for _, child := range p.children() {
		if child.synced {
			p.offer(child)
		}
	}
}

// offer sends the offered bundles that the other side of a link does not have.
func (p *Peer) offer(l *link) {
	for _, digest := range p.bundles.offered() {
		if p.bundles.store.Holds(digest) && !slices.Contains(l.remoteBundles, digest) {
			p.sendParts(l, digest)
		}
	}
}

// sendParts sends a bundle to a child that does not have it, as a difference from a bundle that the child has or whole,
// whichever is smaller.
func (p *Peer) sendParts(l *link, target bundle.Digest) {
	if slices.Contains(l.remoteBundles, target) {
		return
	}
	base := bundle.Digest{}
	for _, digest := range l.remoteBundles {
		if p.bundles.store.Holds(digest) {
			base = digest
			break
		}
	}
	parts, err := p.packUpdate(base, target)
	if err != nil {
		return
	}
	l.remoteBundles = slices.Insert(l.remoteBundles, 0, target)
	l.remoteBundles = l.remoteBundles[:min(len(l.remoteBundles), maxListedBundles)]
	p.stats.PartsSent++
	p.send(l, Message{Parts: &parts})
}

// packUpdate returns the difference from base or the whole bundle, whichever is smaller. Their sizes are compared only
// if the difference covers more than half of the entries, since a smaller difference is always smaller than the whole.
func (p *Peer) packUpdate(base, target bundle.Digest) (Parts, error) {
	if data, ok := p.bundles.packed[packedKey{base: base, target: target}]; ok {
		return Parts{Base: base, Target: target, Data: data}, nil
	}
	update, err := p.bundles.store.Update(base, target)
	if err != nil {
		return Parts{}, err
	}
	data, err := pack(update)
	if err != nil {
		return Parts{}, err
	}
	manifest, _ := p.bundles.store.Manifest(target)
	if !base.IsZero() && len(update.Delta.Set)+len(update.Delta.Removed) > len(manifest.Entries)/2 {
		whole, err := p.packUpdate(bundle.Digest{}, target)
		if err == nil && len(whole.Data) < len(data) {
			return whole, nil
		}
	}
	p.cachePacked(packedKey{base: base, target: target}, data)
	return Parts{Base: base, Target: target, Data: data}, nil
}

func (p *Peer) cachePacked(key packedKey, data []byte) {
	if len(p.bundles.packed) >= maxPackedUpdates {
		clear(p.bundles.packed)
	}
	p.bundles.packed[key] = data
}

// receiveParts stores a received bundle. Nothing of it is kept unless all of it is correct.
func (p *Peer) receiveParts(parts Parts) {
	s := &p.bundles
	p.stats.PartsReceived++
	if s.store.Holds(parts.Target) {
		p.stats.PartsDuplicate++
		return
	}
	if err := p.addParts(parts); err != nil {
		p.stats.CorruptMessages++
		if s.approved != nil && s.approved.Approval.Digest == parts.Target {
			s.partsError = err.Error()
			p.tryActivate()
		}
		return
	}
	s.partsError = ""
	p.cachePacked(packedKey{base: parts.Base, target: parts.Target}, parts.Data)
	p.stage(parts.Target)
	p.dropUnusedBundles()
	p.offerToChildren()
	p.tryActivate()
}

// addParts decodes an update and adds it to the store.
func (p *Peer) addParts(parts Parts) error {
	var update bundle.Update
	if err := unpack(parts.Data, &update); err != nil {
		return err
	}
	if update.Base != parts.Base || update.Target != parts.Target {
		return ErrUpdateMismatch
	}
	return p.bundles.store.Add(update)
}
