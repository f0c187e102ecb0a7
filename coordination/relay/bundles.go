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
	// ErrUpdateMismatch reports an update that is not the one its envelope names.
	ErrUpdateMismatch = errors.New("relay: update does not match its envelope")
	// ErrDangling reports a route that names a service or resource that the bundle does not hold.
	ErrDangling = errors.New("relay: route refers to a missing service or resource")
	// ErrPartName reports a part whose content has another name than the manifest gives it.
	ErrPartName = errors.New("relay: part does not have the name that the manifest gives it")
)

// maxPackedUpdates bounds the compressed updates that are kept for the other children of the same state.
const maxPackedUpdates = 8

type packedKey struct{ base, target bundle.Digest }

// bundleState is the configuration that the peer knows, holds and has in force.
type bundleState struct {
	store *bundle.Store
	// approved is the latest approval with a valid signature.
	approved  *Approved
	learnedAt time.Time
	inForce   bundle.Approval
	previous  bundle.Digest // in force before
	// pending lists the approvals that the caller was told to activate and has not yet, in order.
	pending []bundle.Approval
	// staged lists bundles received ahead of sign-off, the newest first.
	staged []bundle.Digest
	// registryBundles holds the bundles that a member's registry has named so far.
	registryBundles map[bundle.Digest]bool

	fetchAt     time.Time
	fetchTarget bundle.Digest
	packed      map[packedKey][]byte

	refusedDigest bundle.Digest
	refusedReason string
	// approvalError and badParts are the last failures to receive an approval and the approved bundle.
	approvalError string
	partsError    string
}

func newBundleState() bundleState {
	return bundleState{store: bundle.NewStore(), packed: make(map[packedKey][]byte)}
}

func (c *bundleState) stopped() bool { return c.approved != nil && c.approved.Stopped }

// refusal returns why the approved bundle is not in force, if it was refused.
func (c *bundleState) refusal() string {
	if c.approved != nil && c.refusedReason != "" && c.refusedDigest == c.approved.Approval.Digest {
		return c.refusedReason
	}
	return cmp.Or(c.approvalError, c.partsError)
}

// newestVersion returns the newest version that is in force or about to be.
func (c *bundleState) newestVersion() uint64 {
	if n := len(c.pending); n > 0 {
		return c.pending[n-1].Version
	}
	return c.inForce.Version
}

// recentlyActive lists the bundles that are or were lately in force.
func (c *bundleState) recentlyActive() []bundle.Digest {
	var digests []bundle.Digest
	for _, a := range c.pending {
		digests = append(digests, a.Digest)
	}
	return append(digests, c.inForce.Digest, c.previous)
}

// offered lists the bundles that children should hold, the approved one first.
func (c *bundleState) offered() []bundle.Digest {
	var digests []bundle.Digest
	if c.approved != nil {
		digests = append(digests, c.approved.Approval.Digest)
	}
	for _, digest := range c.staged {
		if !slices.Contains(digests, digest) {
			digests = append(digests, digest)
		}
	}
	return digests
}

// completeBundles lists the bundles that are completely held, the most useful base for a difference first.
func (c *bundleState) completeBundles() []bundle.Digest {
	var held []bundle.Digest
	for _, digest := range append(c.offered(), c.recentlyActive()...) {
		if c.store.Holds(digest) && !slices.Contains(held, digest) {
			held = append(held, digest)
		}
	}
	return held[:min(len(held), maxListedBundles)]
}

func (p *Peer) latestVersion() uint64 {
	if p.bundles.approved == nil {
		return 0
	}
	return p.bundles.approved.Approval.Version
}

// setSource takes over a member's registry state and sends what is new to the children.
func (p *Peer) setSource(s Source, store *bundle.Store) {
	c := &p.bundles
	c.store = store
	first := c.registryBundles == nil
	if first {
		c.registryBundles = make(map[bundle.Digest]bool)
	}
	// After the start of a member, staged and formerly approved bundles cannot be told apart. None is sent ahead.
	var fresh []bundle.Digest
	for _, digest := range s.Bundles {
		if !c.registryBundles[digest] && !first {
			fresh = append(fresh, digest)
		}
	}
	c.setRegistryBundles(s.Bundles)
	for _, digest := range fresh {
		p.stage(digest)
	}
	c.staged = slices.DeleteFunc(c.staged, func(d bundle.Digest) bool { return !store.Holds(d) })
	if s.Latest != nil {
		p.setApproved(Approved{Approval: *s.Latest, Stopped: s.Stopped})
	}
	p.offerToChildren()
}

func (c *bundleState) setRegistryBundles(held []bundle.Digest) {
	clear(c.registryBundles)
	for _, digest := range held {
		c.registryBundles[digest] = true
	}
}

// stage remembers a bundle that may be approved soon.
func (p *Peer) stage(digest bundle.Digest) {
	c := &p.bundles
	if c.approved != nil && c.approved.Approval.Digest == digest {
		return
	}
	c.unstage(digest)
	c.staged = slices.Insert(c.staged, 0, digest)
	c.staged = c.staged[:min(len(c.staged), maxStaged)]
}

// unstage forgets an approved bundle, so that it is not offered any more once a later one is approved.
func (c *bundleState) unstage(digest bundle.Digest) {
	c.staged = slices.DeleteFunc(c.staged, func(d bundle.Digest) bool { return d == digest })
}

// receiveApproval takes in the parent's latest approval. An approval with a bad signature is not passed on.
func (p *Peer) receiveApproval(a Approved) {
	c := &p.bundles
	version := p.latestVersion()
	if a.Approval.Version < version {
		return
	}
	if a.Approval.Version == version && c.approved != nil {
		p.receiveStop(a)
		return
	}
	if err := p.config.Keys.Verify(a.Approval); err != nil {
		c.approvalError = fmt.Sprintf("approval of version %d: %v", a.Approval.Version, err)
		return
	}
	c.approvalError = ""
	p.setApproved(a)
	p.tryActivate()
}

func (p *Peer) receiveStop(a Approved) {
	approved := p.bundles.approved
	sameDigest := a.Approval.Digest == approved.Approval.Digest
	invariant.Check(sameDigest, invariant.RevertedBundle, "two approvals share a version",
		map[string]any{"node": p.config.ID, "version": a.Approval.Version})
	if sameDigest && a.Stopped && !approved.Stopped {
		p.setApproved(a)
	}
}

// setApproved records an approval that is newer than the known one, or stops it, and tells the children.
func (p *Peer) setApproved(a Approved) {
	c := &p.bundles
	if held := c.approved; held != nil {
		newer := a.Approval.Version > held.Approval.Version
		stops := a.Approval.Version == held.Approval.Version && a.Stopped && !held.Stopped
		if !newer && !stops {
			return
		}
	}
	c.approved = &a
	c.unstage(a.Approval.Digest)
	c.learnedAt = p.now
	for _, child := range p.children() {
		p.send(child, Message{Approved: &a})
	}
}

// tryActivate puts the approved bundle into force, or asks for it. The rules of section 4 of the design decide: a
// node without a version takes one only if a quorum confirmed it after the node's start, and a stopped version is
// taken only by a node without a version.
func (p *Peer) tryActivate() {
	c := &p.bundles
	if p.config.Member || c.approved == nil {
		return
	}
	a := c.approved.Approval
	if a.Version <= c.newestVersion() || c.refusedReason != "" && c.refusedDigest == a.Digest {
		return
	}
	if !c.store.Holds(a.Digest) {
		p.fetch(a.Digest)
		return
	}
	if c.newestVersion() == 0 && !p.confirmedSinceStart(a.Version) {
		return
	}
	if c.newestVersion() > 0 && c.approved.Stopped {
		return
	}
	p.activate(a)
}

func (p *Peer) confirmedSinceStart(version uint64) bool {
	return p.freshness.confirmed && version >= p.freshness.version && p.freshness.ageAt(p.now) < p.now.Sub(p.started)
}

func (p *Peer) activate(a bundle.Approval) {
	c := &p.bundles
	b, err := p.assemble(a.Digest)
	if err != nil {
		c.refusedDigest, c.refusedReason = a.Digest, err.Error()
		p.counts.changed = true
		p.emit(Refused{Version: a.Version, Reason: c.refusedReason})
		return
	}
	newer := invariant.Check(a.Version > c.newestVersion(), invariant.VersionRollback, "version goes down",
		map[string]any{"node": p.config.ID, "from": c.newestVersion(), "to": a.Version})
	whole := invariant.Check(checkReferences(b) == nil, invariant.DanglingRoute, "activated bundle has a dangling route",
		map[string]any{"node": p.config.ID, "version": a.Version})
	if !newer || !whole {
		return
	}
	if c.newestVersion() == 0 {
		p.counts.suppressFirstVersion(a.Version, p.started)
	}
	c.refusedReason, c.partsError = "", ""
	c.pending = append(c.pending, a)
	p.emit(Activate{Approval: a, Bundle: b})
	p.dropUnusedBundles()
}

// assemble assembles a bundle and checks it as a whole.
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

// checkNames compares the names of the parts with those that the manifest lists in the same order.
func checkNames(manifest bundle.Manifest, b *bundle.Bundle) error {
	names := make([]string, 0, len(manifest.Entries))
	for _, service := range b.Services {
		names = append(names, service.Name)
	}
	for _, route := range b.Routes {
		names = append(names, route.Name)
	}
	for _, resource := range b.Resources {
		names = append(names, resource.Name)
	}
	if !invariant.Check(len(names) == len(manifest.Entries), invariant.PartialApply, "bundle lacks parts of its manifest",
		map[string]any{"parts": len(names), "entries": len(manifest.Entries)}) {
		return bundle.ErrMissingPart
	}
	for i, entry := range manifest.Entries {
		if entry.ID.Name != names[i] {
			return errors.Wrapf(ErrPartName, "%s", entry.ID.Name)
		}
	}
	return nil
}

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
				return errors.Wrapf(ErrDangling, "route %s, service %s", route.Name, share.Service)
			}
		}
		for _, name := range route.Resources {
			if !resources[name] {
				return errors.Wrapf(ErrDangling, "route %s, resource %s", route.Name, name)
			}
		}
	}
	return nil
}

// Activated reports that the caller has put a version into force.
func (p *Peer) Activated(now time.Time, version uint64) {
	p.advance(now)
	c := &p.bundles
	i := slices.IndexFunc(c.pending, func(a bundle.Approval) bool { return a.Version == version })
	known := invariant.Check(i >= 0 || version == c.inForce.Version, invariant.VersionRollback,
		"a version was put into force that is not the next one",
		map[string]any{"node": p.config.ID, "from": c.inForce.Version, "to": version})
	if !known || i < 0 {
		return
	}
	c.previous = c.inForce.Digest
	c.inForce = c.pending[i]
	c.pending = slices.Clone(c.pending[i+1:])
	p.counts.changed = true
	p.dropUnusedBundles()
}

// dropUnusedBundles drops the bundles of a node that nothing refers to any more.
func (p *Peer) dropUnusedBundles() {
	if p.config.Member {
		return
	}
	c := &p.bundles
	c.store.Retain(append(c.offered(), c.recentlyActive()...)...)
}

// fetch asks the parent for a bundle, unless an answer may still arrive.
func (p *Peer) fetch(target bundle.Digest) {
	c := &p.bundles
	asked := c.fetchTarget == target || c.fetchTarget.IsZero() // Zero: the parent of a new link sends it unasked.
	if p.parent == nil || asked && p.now.Before(c.fetchAt) {
		return
	}
	c.fetchTarget, c.fetchAt = target, p.now.Add(fetchTimeout)
	p.stats.Fetches++
	p.send(p.parent, Message{Fetch: &Fetch{Target: target, Have: c.completeBundles()}})
}

// handleFetch sends the bundle. If it is not held here, offerAll sends it as soon as it is.
func (p *Peer) handleFetch(l *link, f Fetch) {
	l.remoteBundles = f.Have[:min(len(f.Have), maxListedBundles)]
	if p.bundles.store.Holds(f.Target) {
		p.sendParts(l, f.Target)
	}
}

// offerToChildren sends the offered bundles to the children that do not hold them.
func (p *Peer) offerToChildren() {
	for _, child := range p.children() {
		if child.synced {
			p.offer(child)
		}
	}
}

func (p *Peer) offer(l *link) {
	for _, digest := range p.bundles.offered() {
		if p.bundles.store.Holds(digest) && !slices.Contains(l.remoteBundles, digest) {
			p.sendParts(l, digest)
		}
	}
}

// sendParts sends a bundle once, as the smaller of the difference from what the child holds and the whole.
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

// packUpdate returns the smaller of the difference and the whole bundle. Only a difference that names more than half
// of the entries can be the larger one.
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

// receiveParts adds a bundle. Nothing of it is kept unless all of it is correct.
func (p *Peer) receiveParts(parts Parts) {
	c := &p.bundles
	p.stats.PartsReceived++
	if c.store.Holds(parts.Target) {
		p.stats.PartsDuplicate++
		return
	}
	if err := p.addParts(parts); err != nil {
		p.stats.CorruptMessages++
		if c.approved != nil && c.approved.Approval.Digest == parts.Target {
			c.partsError = err.Error()
			p.tryActivate()
		}
		return
	}
	c.partsError = ""
	p.cachePacked(packedKey{base: parts.Base, target: parts.Target}, parts.Data)
	p.stage(parts.Target)
	p.dropUnusedBundles()
	p.offerToChildren()
	p.tryActivate()
}

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
