package control

import (
	"context"
	"math/rand"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/membership"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/disk"
	"sapphiregate.example/sapphiregate/state/wal"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// replica is this member's copy of one replicated log with its state machine. Group 0 is the registry, the others are
// parts of the ledger; they have separate logs so that irreversible calls do not delay approvals. The control goroutine
// owns the replica, and a separate goroutine writes to its folder.
type replica struct {
	group uint32
	id    raft.MemberID
	// address is this member's mesh address.
	address string
	logger  zerolog.Logger
	machine stateMachine
	log     *wal.Log
	pool    *rpc.Pool
	// post runs a function on the control goroutine; it returns false once the member has stopped.
	post func(func(now time.Time)) bool
	// onFailure is called once when the disk or the state machine has failed; it stops the member.
	onFailure func(error)
	// onApplied is called after entries or a snapshot were applied; it may be nil.
	onApplied func(now time.Time)
	// onMembershipChange is called with each new membership; it may be nil.
	onMembershipChange func(now time.Time, membership raft.Membership)
	snapshotEntries    uint64

	// outsideLeader is the mesh address of the leader that has answered this process, which does not belong to the group;
	// empty in members.
	outsideLeader string

	raft          *raft.Node
	transport     *raftTransport
	membership    raft.Membership
	proposals     map[uint64]proposal // by log index
	writes        chan writeJob
	writeInFlight bool
	hasFailed     bool
	lastApplied   uint64
	snapshotIndex uint64
	// replayTime is the time spent on applying the entries after the last snapshot: a restart takes that long again.
	replayTime time.Duration
}

// maxReplayTime is the time that applying the log may take after a restart before a snapshot is due. The control
// goroutine sends no heartbeats meanwhile, so it is well below the shortest election timeout in use (0.9 s).
const maxReplayTime = 300 * time.Millisecond

// proposal is a proposal whose log entry is not applied yet.
type proposal struct {
	term uint64
	done chan *protocol.ProposeReply
}

// writeJob is what writeLoop stores at once: either a batch of the log, or a snapshot that this replica took.
type writeJob struct {
	ready    raft.Ready
	snapshot *raft.Snapshot
}

// writeQueueLength leaves room for one batch and one snapshot.
const writeQueueLength = 2

// open recovers the log from the replica's folder.
func (r *replica) open(fs disk.FS) (wal.Recovered, error) {
	log, recovered, err := wal.Open(fs)
	if err != nil {
		return recovered, errors.Wrapf(ErrStorage, "group %d: %v", r.group, err)
	}
	r.log = log
	r.id = recovered.Identity
	r.proposals = make(map[uint64]proposal)
	r.writes = make(chan writeJob, writeQueueLength)
	return recovered, nil
}

// start starts the log from its durable state.
func (r *replica) start(ctx context.Context, now time.Time, config raft.Config, recovered wal.Recovered) error {
	if err := r.machine.restore(recovered.Snapshot.Data); err != nil {
		return errors.Wrapf(ErrStorage, "%v", err)
	}
	r.lastApplied = recovered.Snapshot.Index
	r.snapshotIndex = recovered.Snapshot.Index
	config.ID = r.id
	config.Rand = rand.New(rand.NewSource(now.UnixNano() + int64(r.group)))
	node, err := raft.New(now, config, raft.Restored{
		HardState: recovered.HardState, Snapshot: recovered.Snapshot, Entries: recovered.Entries,
	})
	if err != nil {
		return errors.Wrapf(ErrStorage, "group %d: %v", r.group, err)
	}
	r.raft = node
	r.transport = newRaftTransport(ctx, r.group, r.id, r.address, r.pool, config.ElectionTimeout, r.logger)
	r.updateMembership(now)
	return nil
}

func (r *replica) isLeader() bool { return r.raft.Status().Role == raft.RoleLeader }

// leaderAddress returns the mesh address of the leader that this replica knows, or an empty string.
func (r *replica) leaderAddress() string {
	status := r.raft.Status()
	if leader, ok := status.Membership.Find(status.Leader); ok {
		return leader.Address
	}
	return r.outsideLeader
}

// isOutside reports whether this replica's log does not list it as a member.
func (r *replica) isOutside() bool {
	_, listed := r.raft.Membership().Find(r.id)
	return !listed
}

func (r *replica) notLeaderReply() *protocol.ProposeReply {
	return &protocol.ProposeReply{Status: protocol.ProposeNotLeader, Leader: r.leaderAddress()}
}

// propose appends a command to the log; done receives exactly one reply.
func (r *replica) propose(now time.Time, command []byte, done chan *protocol.ProposeReply) {
	if !r.isLeader() {
		done <- r.notLeaderReply()
		return
	}
	entry, err := r.machine.prepare(now, command)
	if err != nil {
		done <- &protocol.ProposeReply{Status: protocol.ProposeRefused, Detail: err.Error()}
		return
	}
	index, term, err := r.raft.Propose(now, entry)
	switch {
	case errors.IsAny(err, raft.ErrNotLeader, raft.ErrTransferring):
		done <- r.notLeaderReply()
	case err != nil:
		done <- &protocol.ProposeReply{Status: protocol.ProposeRefused, Detail: err.Error()}
	default:
		r.proposals[index] = proposal{term: term, done: done}
	}
}

// step handles Raft messages from the member at an address. newStream is set if they are the first of a stream.
func (r *replica) step(now time.Time, address string, newStream bool, messages []raft.Message) {
	for i, message := range messages {
		if message.To == r.id && len(r.transport.senders) < maxSenders {
			r.transport.addSender(now, message.From, address)
		}
		r.transport.received(now, message.From, newStream && i == 0)
		if err := r.raft.Step(now, message); err != nil {
			r.logger.Debug().Err(err).Str("from", string(message.From)).Msg("ignored a Raft message")
		}
	}
}

// processReady passes the next batch of the log to writeLoop, so that the disk never blocks the control goroutine.
// While a write runs, further proposals collect and share the next synced write.
func (r *replica) processReady(now time.Time) {
	// A member that was just added needs a sender before the first message to it, which would be dropped otherwise.
	r.updateMembership(now)
	for !r.writeInFlight && !r.hasFailed && r.raft.HasReady() {
		ready := r.raft.Ready()
		r.transport.send(now, ready.EarlyMessages)
		if !ready.MustSync {
			r.finishBatch(now, ready)
			continue
		}
		r.writeInFlight = true
		r.writes <- writeJob{ready: ready}
	}
	if r.writeInFlight && !r.hasFailed {
		// A slow write must not delay heartbeats.
		r.transport.send(now, r.raft.TakeEarlyMessages())
	}
	r.endProposalsAfterLeadership()
}

// finishBatch sends the messages of a batch that is durable and applies its committed entries. If the state machine
// cannot take the batch, it stays open: the log must not count it as applied, or an older state would be confirmed.
func (r *replica) finishBatch(now time.Time, ready raft.Ready) {
	r.transport.send(now, ready.Messages)
	if ready.Snapshot != nil {
		r.installSnapshot(now, *ready.Snapshot)
	}
	if r.hasFailed {
		return
	}
	r.apply(now, ready.Committed)
	r.raft.Advance(ready)
	r.updateMembership(now)
	r.saveSnapshotIfDue()
}

func (r *replica) installSnapshot(now time.Time, snapshot raft.Snapshot) {
	if err := r.machine.restore(snapshot.Data); err != nil {
		r.fail(errors.Wrapf(ErrStorage, "install snapshot: %v", err))
		return
	}
	r.snapshotIndex = snapshot.Index
	r.lastApplied = snapshot.Index
	r.replayTime = 0
	r.notifyApplied(now)
}

func (r *replica) apply(now time.Time, entries []raft.Entry) {
	started := time.Now()
	for _, entry := range entries {
		r.lastApplied = entry.Index
		if entry.Kind != raft.EntryCommand {
			r.completeProposal(entry, nil)
			continue
		}
		result, err := r.machine.apply(entry.Index, entry.Data)
		if err != nil {
			// All members skip a malformed entry alike.
			r.logger.Error().Err(err).Uint64("index", entry.Index).Msg("skipped a malformed log entry")
		}
		r.completeProposal(entry, result)
	}
	r.replayTime += time.Since(started)
	if len(entries) > 0 {
		r.notifyApplied(now)
	}
}

func (r *replica) notifyApplied(now time.Time) {
	if r.onApplied != nil {
		r.onApplied(now)
	}
}

// completeProposal sends the result of an applied entry to its proposer. If the entry has another term than the
// proposal at its index, the proposed entry was replaced and the outcome is reported as uncertain.
func (r *replica) completeProposal(entry raft.Entry, result []byte) {
	waiting, ok := r.proposals[entry.Index]
	if !ok {
		return
	}
	delete(r.proposals, entry.Index)
	if waiting.term != entry.Term || result == nil {
		waiting.done <- r.uncertainReply()
		return
	}
	waiting.done <- &protocol.ProposeReply{Status: protocol.ProposeApplied, Result: result}
}

func (r *replica) uncertainReply() *protocol.ProposeReply {
	return &protocol.ProposeReply{Status: protocol.ProposeUncertain, Leader: r.leaderAddress()}
}

// endProposalsAfterLeadership ends the open proposals once this replica no longer leads, as it may not learn their
// results.
func (r *replica) endProposalsAfterLeadership() {
	if len(r.proposals) > 0 && !r.isLeader() {
		r.endOpenProposals()
	}
}

// endOpenProposals replies to all open proposals that their outcome is uncertain.
func (r *replica) endOpenProposals() {
	for index, waiting := range r.proposals {
		delete(r.proposals, index)
		waiting.done <- r.uncertainReply()
	}
}

// updateMembership starts and stops senders if the membership has changed, and reports the new membership.
func (r *replica) updateMembership(now time.Time) {
	membership := r.raft.Membership()
	if sameMembers(membership, r.membership) {
		return
	}
	r.membership = membership
	r.transport.update(now, membership, r.raft.Status().Leader)
	if r.onMembershipChange != nil {
		r.onMembershipChange(now, membership)
	}
}

func sameMembers(a, b raft.Membership) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i] != b.Members[i] {
			return false
		}
	}
	return true
}

// saveSnapshotIfDue saves a snapshot after snapshotEntries entries or maxReplayTime, so that the size of the log and the
// duration of a restart stay bounded.
func (r *replica) saveSnapshotIfDue() {
	due := r.lastApplied-r.snapshotIndex >= r.snapshotEntries || r.replayTime >= maxReplayTime
	if !due || r.hasFailed || r.writeInFlight {
		return
	}
	data, err := r.machine.snapshot()
	if err != nil {
		r.fail(errors.Wrapf(ErrStorage, "take snapshot: %v", err))
		return
	}
	snapshot, err := r.raft.NewSnapshot(r.lastApplied, data)
	if err != nil {
		r.fail(errors.Wrapf(ErrStorage, "take snapshot: %v", err))
		return
	}
	r.snapshotIndex = r.lastApplied
	r.replayTime = 0
	r.writeInFlight = true
	r.writes <- writeJob{snapshot: &snapshot}
}

// writeLoop stores jobs until ctx ends. Its goroutine is the only one that writes to the replica's folder.
func (r *replica) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-r.writes:
			err := r.persist(job)
			if !r.post(func(now time.Time) { r.handleWritten(now, job, err) }) {
				return
			}
		}
	}
}

func (r *replica) persist(job writeJob) error {
	if job.snapshot != nil {
		return r.log.SaveSnapshot(*job.snapshot)
	}
	if job.ready.Snapshot != nil {
		if err := r.log.SaveSnapshot(*job.ready.Snapshot); err != nil {
			return err
		}
	}
	return r.log.Append(job.ready.HardState, job.ready.Entries)
}

// handleWritten continues on the control goroutine after writeLoop has stored a job.
func (r *replica) handleWritten(now time.Time, job writeJob, err error) {
	r.writeInFlight = false
	switch {
	case err != nil:
		r.fail(errors.Wrapf(ErrStorage, "%v", err))
	case job.snapshot == nil:
		r.finishBatch(now, job.ready)
	default:
		if err := r.raft.Compact(*job.snapshot); err != nil {
			r.logger.Warn().Err(err).Msg("cannot drop the log entries that a snapshot covers")
		}
	}
}

// fail stops the member, because it can no longer store what it acknowledges.
func (r *replica) fail(err error) {
	if r.hasFailed {
		return
	}
	r.hasFailed = true
	r.onFailure(err)
}

// transferLeadership asks a voter that stays to take over the leadership. It reports whether a transfer is under way; it
// is not if this replica does not lead or there is no such voter.
func (r *replica) transferLeadership(now time.Time) bool {
	status := r.raft.Status()
	if status.Role != raft.RoleLeader {
		return false
	}
	if status.Transferring != "" {
		return true
	}
	target, found := membership.TransferTarget(status)
	if !found {
		return false
	}
	if err := r.raft.TransferLeadership(now, target); err != nil {
		r.logger.Warn().Err(err).Msg("cannot transfer the leadership")
		return false
	}
	return true
}

// close waits for the senders and closes the log. The control goroutine must have ended.
func (r *replica) close() {
	if r.transport != nil {
		r.transport.sending.Wait()
	}
	if r.log != nil {
		_ = r.log.Close()
	}
}
