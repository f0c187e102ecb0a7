package registry

import (
	"slices"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Apply executes the command at a log index and returns its result. The index must be greater than that of the command
// before; otherwise the command is refused and the invariant Internal is reported as violated.
func (r *Registry) Apply(index uint64, c Command) Result {
	if !invariant.Check(index > r.index, invariant.Internal, "registry: log index was applied before",
		map[string]any{"index": index, "applied": r.index}) {
		return refuse(CodeMalformed, "log index %d was applied before", index)
	}
	r.index = index
	if len(c.RequestID) > maxRequestID {
		return refuse(CodeMalformed, "request identifier is longer than %d bytes", maxRequestID)
	}
	key, err := c.key()
	if err != nil {
		return refuse(CodeMalformed, "%v", err)
	}
	if first, ok := r.results.get(key); ok {
		return first
	}
	result := r.execute(index, c)
	if result.Index == 0 {
		result.Index = index
	}
	if c.RequestID != "" && isFinal(c, result.Code) {
		r.results.put(key, result)
	}
	return result
}

// isFinal reports whether the result is kept for copies of the command that arrive later. A stage that lacks its base
// is proposed again with another update, and an order that may be a copy is sent again later, so their refusals are not
// kept. Results of commands that cannot be attributed to an operator are not kept either, so that they cannot displace
// others.
func isFinal(c Command, code Code) bool {
	if code == CodeUnauthorized || code == CodeMalformed || code == CodeMaybeCopy {
		return false
	}
	return c.Stage == nil || code != CodeMissingParts
}

func (r *Registry) execute(index uint64, c Command) Result {
	switch {
	case c.Rollout != nil && c.Stage == nil && c.Approve == nil && c.Stop == nil:
		return r.changeRollout(index, c.RequestID, *c.Rollout)
	case c.Rollout != nil:
		return refuse(CodeMalformed, "a change of a rollout must be set alone")
	case c.Stage != nil && c.Approve == nil && c.Stop == nil:
		return r.stage(index, *c.Stage)
	case c.Stage != nil && c.Approve != nil && c.Stop == nil:
		return r.stageAndApprove(index, *c.Stage, *c.Approve)
	case c.Stage == nil && c.Approve != nil && c.Stop == nil:
		return r.approve(index, *c.Approve)
	case c.Stage == nil && c.Approve == nil && c.Stop != nil:
		return r.stop(index, *c.Stop)
	default:
		return refuse(CodeMalformed, "one of stage, approve, stop and rollout must be set, or stage and approve")
	}
}

// checkVersion returns the result for a version that can no longer be staged or approved, or false if it still can.
func (r *Registry) checkVersion(version uint64, digest bundle.Digest) (Result, bool) {
	if version == 0 {
		return refuse(CodeMalformed, "version 0 is not allowed"), true
	}
	if record, ok := r.approvals[version]; ok {
		if record.Digest == digest {
			return Result{Effect: EffectApproved, Approval: record.Approval, Index: record.Index}, true
		}
		result := refuse(CodeVersionTaken, "version %d is approved by %s with digest %s, not %s", version,
			record.Operator, record.Digest.Short(), digest.Short())
		result.Winner = record.Approval
		return result, true
	}
	if r.latest != nil && version <= r.latest.Version {
		result := refuse(CodeVersionOld, "version %d is below the latest approved version %d", version,
			r.latest.Version)
		result.Winner = r.latest.Approval
		return result, true
	}
	if _, ok := r.withdrawn[version]; ok || version <= r.withdrawnUpTo {
		return refuse(CodeWithdrawn, "version %d was withdrawn by a stop", version), true
	}
	return Result{}, false
}

// stage adds a bundle under a version. If too many are staged, the oldest one is dropped.
func (r *Registry) stage(index uint64, s Stage) Result {
	if !r.keyring.Has(s.Operator) {
		return refuse(CodeUnauthorized, "operator %q has no key in the keyring", s.Operator)
	}
	if result, done := r.checkVersion(s.Version, s.Digest); done {
		return result
	}
	for _, staged := range r.staged {
		if staged.Version == s.Version && staged.Digest == s.Digest {
			return Result{Effect: EffectStaged, Index: staged.Index}
		}
	}
	if result := r.addToStore(s); result.Code != CodeOK {
		r.pruneStore()
		return result
	}
	r.staged = append(r.staged, Staged{Version: s.Version, Digest: s.Digest, Operator: s.Operator, Index: index})
	if len(r.staged) > MaxStaged {
		r.staged = slices.Delete(r.staged, 0, 1)
	}
	r.pruneStore()
	return Result{Effect: EffectStaged, Index: index}
}

// addToStore adds the bundle to the store and validates it. Approvals rely on that: validating the bundle again would
// delay the moment at which an approved version comes into force.
func (r *Registry) addToStore(s Stage) Result {
	if r.store.Holds(s.Digest) {
		return Result{}
	}
	update, err := DecodeUpdate(s.Update)
	if err != nil {
		return refuse(CodeMalformed, "%v", err)
	}
	if update.Target != s.Digest {
		return refuse(CodeMalformed, "update leads to %s, not to the staged %s", update.Target.Short(),
			s.Digest.Short())
	}
	if err := r.store.Add(update); err != nil {
		return refuse(codeOfStoreError(err), "%v", err)
	}
	return r.validateStored(s.Digest)
}

func codeOfStoreError(err error) Code {
	if errors.Is(err, bundle.ErrMissingPart) {
		return CodeMissingParts
	}
	return CodeInvalid
}

// validateStored checks that a bundle in the store is valid and in canonical form.
func (r *Registry) validateStored(digest bundle.Digest) Result {
	b, err := r.store.Bundle(digest)
	if err != nil {
		return refuse(CodeInvalid, "%v", err)
	}
	if problems := bundle.Validate(b); len(problems) > 0 {
		result := refuse(CodeInvalid, "%d problems, the first: %s", len(problems), problems[0])
		result.Problems = slices.Clone(problems[:min(len(problems), maxProblems)])
		return result
	}
	bundle.Canonicalize(b)
	_, manifest, err := bundle.Split(b)
	if err != nil {
		return refuse(CodeInvalid, "%v", err)
	}
	if manifest.Digest() != digest {
		return refuse(CodeInvalid, "bundle %s is not in canonical form", digest.Short())
	}
	return Result{}
}

func (r *Registry) approve(index uint64, a bundle.Approval) Result {
	if result, done := r.checkApproval(a); done {
		return result
	}
	if !r.store.Holds(a.Digest) {
		return refuse(CodeMissingParts, "bundle %s is not staged", a.Digest.Short())
	}
	r.setLatest(index, a)
	return Result{Effect: EffectApproved, Approval: r.latest.Approval, Index: index}
}

// checkApproval returns the result of an approval that is not authorized, that was decided before, or whose condition
// on the version to be replaced is not met; done is false if the approval can go on.
func (r *Registry) checkApproval(a bundle.Approval) (result Result, done bool) {
	if err := r.keyring.Verify(a); err != nil {
		return refuse(CodeUnauthorized, "%v", err), true
	}
	if result, done := r.checkVersion(a.Version, a.Digest); done {
		return result, true
	}
	switch {
	case a.First && r.latest != nil:
		return r.notLatest(0), true
	case a.Replaces != 0 && (r.latest == nil || r.latest.Version != a.Replaces):
		return r.notLatest(a.Replaces), true
	}
	return Result{}, false
}

// stageAndApprove stages and approves a bundle in one step. It checks all conditions of the approval first, so that a
// refused command stages nothing.
func (r *Registry) stageAndApprove(index uint64, s Stage, a bundle.Approval) Result {
	if s.Version != a.Version || s.Digest != a.Digest || s.Operator != a.Operator {
		return refuse(CodeMalformed, "stage and approval differ")
	}
	if result, done := r.checkApproval(a); done {
		return result
	}
	if result := r.stage(index, s); result.Code != CodeOK {
		return result
	}
	return r.approve(index, a)
}

// setLatest records the approval as the latest, and drops the staged and withdrawn versions up to it.
func (r *Registry) setLatest(index uint64, a bundle.Approval) {
	previous := r.latest
	r.latest = r.addRecord(HistoryRecord{
		Index: index, Action: ActionApproved, Version: a.Version, Digest: a.Digest, Operator: a.Operator, Approval: &a,
	})
	invariant.Check(previous == nil || previous.Version < a.Version, invariant.RevertedBundle,
		"registry: approved version is not greater than the latest", map[string]any{"version": a.Version})
	r.stopped = false
	r.recentApproved = append(r.recentApproved, a.Digest)
	if len(r.recentApproved) > retainedApproved {
		r.recentApproved = slices.Delete(r.recentApproved, 0, 1)
	}
	r.staged = slices.DeleteFunc(r.staged, func(s Staged) bool { return s.Version <= a.Version })
	for version := range r.withdrawn {
		if version <= a.Version {
			delete(r.withdrawn, version)
		}
	}
	r.pruneStore()
}

// notLatest refuses a command because its version is not the latest approved one.
func (r *Registry) notLatest(version uint64) Result {
	if r.latest == nil {
		return refuse(CodeNotLatest, "version %d is not the latest approved version: none is approved", version)
	}
	result := refuse(CodeNotLatest, "version %d is not the latest approved version, which is %d", version,
		r.latest.Version)
	result.Winner = r.latest.Approval
	return result
}

// stop stops the rollout of the latest approved version, or withdraws a staged version.
func (r *Registry) stop(index uint64, s Stop) Result {
	if err := r.keyring.VerifyMessage(s.Operator, purposeStop, s.signedBytes(), s.Signature); err != nil {
		return refuse(CodeUnauthorized, "%v", err)
	}
	if record, ok := r.stops[s.Version]; ok {
		return Result{Effect: EffectStopped, Approval: r.approvalOf(s.Version), Index: record.Index}
	}
	if first, ok := r.withdrawn[s.Version]; ok {
		return Result{Effect: EffectWithdrawn, Index: first}
	}
	if r.latest != nil && s.Version < r.latest.Version {
		return r.notLatest(s.Version)
	}
	if r.latest != nil && s.Version == r.latest.Version {
		return r.stopRollout(index, s)
	}
	return r.withdraw(index, s)
}

// approvalOf returns the approval of a version, or nil if the history no longer has it.
func (r *Registry) approvalOf(version uint64) *bundle.Approval {
	if record, ok := r.approvals[version]; ok {
		return record.Approval
	}
	return nil
}

// stopRollout stops the rollout of the latest version.
func (r *Registry) stopRollout(index uint64, s Stop) Result {
	r.stopped = true
	r.addRecord(HistoryRecord{
		Index: index, Action: ActionStopped, Version: s.Version, Digest: r.latest.Digest, Operator: s.Operator,
	})
	return Result{Effect: EffectStopped, Approval: r.latest.Approval, Index: index}
}

// withdraw drops all bundles that are staged under a version. The version cannot be used again, so that an approval
// that was sent before the stop and arrives later does not undo it.
func (r *Registry) withdraw(index uint64, s Stop) Result {
	var digest bundle.Digest
	found := false
	r.staged = slices.DeleteFunc(r.staged, func(staged Staged) bool {
		if staged.Version != s.Version {
			return false
		}
		found = true
		digest = staged.Digest
		return true
	})
	if !found {
		return refuse(CodeUnknownVersion, "version %d is neither staged nor approved", s.Version)
	}
	r.withdrawn[s.Version] = index
	r.limitWithdrawn()
	r.addRecord(HistoryRecord{
		Index: index, Action: ActionWithdrawn, Version: s.Version, Digest: digest, Operator: s.Operator,
	})
	r.pruneStore()
	return Result{Effect: EffectWithdrawn, Index: index}
}

// limitWithdrawn forgets the lowest withdrawn version if there are too many. From then on, all versions up to it count
// as withdrawn.
func (r *Registry) limitWithdrawn() {
	if len(r.withdrawn) <= maxWithdrawn {
		return
	}
	lowest := sortedVersions(r.withdrawn)[0]
	delete(r.withdrawn, lowest)
	r.withdrawnUpTo = max(r.withdrawnUpTo, lowest)
}

// pruneStore drops the parts of all bundles that are neither staged nor among the latest approved ones.
func (r *Registry) pruneStore() { r.store.Retain(r.storedDigests()...) }
