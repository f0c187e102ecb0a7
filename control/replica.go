package control

import (
	"context"
	"math/rand"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/disk"
	"sapphiregate.example/sapphiregate/state/wal"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// replica is this member's copy of one log with its state machine: group 0 is the registry, the others are parts of the
// ledger. Groups are apart so that irreversible calls do not delay approvals. The control goroutine owns a replica; a
// goroutine of its own writes to the disk.
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
	// onFailure stops the member.
	onFailure func(error)
	// onApplied is told that entries or a snapshot were onApplied; it may be nil.
	onApplied func(now time.Time)
	// onMembershipChange is told of a new membership; it may be nil.
	onMembershipChange func(now time.Time, membership raft.Membership)
	snapshotEntries    uint64

	raft          *raft.Node
	transport     *raftTransport
	membership    raft.Membership
	proposals     map[uint64]proposal
	writes        chan writeJob
	writeInFlight bool
	hasFailed     bool
	lastApplied   uint64
	snapshotIndex uint64
}

// proposal waits for its log entry to be applied.
type proposal struct {
	term uint64
	done chan *protocol.ProposeReply
}

// writeJob is one batch for the writing goroutine.
type writeJob struct {
	ready    raft.Ready
	snapshot *raft.Snapshot
}

// writeQueueLength is one batch and one snapshot.
const writeQueueLength = 2

// open reads a replica's folder.
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
	r.transport = newRaftTransport(ctx, r.group, r.id, r.address, r.pool)
	r.updateMembership(now)
	return nil
}

func (r *replica) isLeader() bool { return r.raft.Status().Role == raft.RoleLeader }

// leaderAddress returns the mesh address of the leader as far as this replica knows.
func (r *replica) leaderAddress() string {
	status := r.raft.Status()
	if leader, ok := status.Membership.Find(status.Leader); ok {
		return leader.Address
	}
	return ""
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
	entry, err := r.machine.prepare(now.UnixMilli(), command)
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

// step takes messages of the member at an address.
func (r *replica) step(now time.Time, address string, messages []raft.Message) {
	for _, message := range messages {
		if message.To == r.id && len(r.transport.senders) < maxSenders {
			r.transport.addSender(message.From, address)
		}
		if err := r.raft.Step(now, message); err != nil {
			r.logger.Debug().Err(err).Str("from", string(message.From)).Msg("ignored a log message")
		}
	}
}

// processReady hands the next batch of the log to the writing goroutine. The disk never blocks the control goroutine; while a
// write runs, further proposals gather and share the next synced write.
func (r *replica) processReady(now time.Time) {
	for !r.writeInFlight && !r.hasFailed && r.raft.HasReady() {
		ready := r.raft.Ready()
		r.transport.send(ready.EarlyMessages)
		if !ready.MustSync {
			r.finishBatch(now, ready)
			continue
		}
		r.writeInFlight = true
		r.writes <- writeJob{ready: ready}
	}
	if r.writeInFlight && !r.hasFailed {
		// A slow write must not stop heartbeats.
		r.transport.send(r.raft.TakeEarlyMessages())
	}
	r.endProposalsAfterLeadership()
}

// finishBatch completes a batch that is durable.
func (r *replica) finishBatch(now time.Time, ready raft.Ready) {
	r.transport.send(ready.Messages)
	if ready.Snapshot != nil {
		r.installSnapshot(now, *ready.Snapshot)
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
	r.notifyApplied(now)
}

func (r *replica) apply(now time.Time, entries []raft.Entry) {
	for _, entry := range entries {
		r.lastApplied = entry.Index
		if entry.Kind != raft.EntryCommand {
			r.completeProposal(entry, nil)
			continue
		}
		result, err := r.machine.apply(entry.Index, entry.Data)
		if err != nil {
			// Every member refuses a malformed entry alike.
			r.logger.Error().Err(err).Uint64("index", entry.Index).Msg("skipped a malformed log entry")
		}
		r.completeProposal(entry, result)
	}
	if len(entries) > 0 {
		r.notifyApplied(now)
	}
}

func (r *replica) notifyApplied(now time.Time) {
	if r.onApplied != nil {
		r.onApplied(now)
	}
}

// completeProposal answers the proposer of an applied entry. Another term at its index means that the entry of that proposal was
// replaced.
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

// endProposalsAfterLeadership answers proposals that this replica can no longer see through, because it does not lead any more.
func (r *replica) endProposalsAfterLeadership() {
	if len(r.proposals) > 0 && !r.isLeader() {
		r.endOpenProposals()
	}
}

// endOpenProposals answers all open proposals.
func (r *replica) endOpenProposals() {
	for index, waiting := range r.proposals {
		delete(r.proposals, index)
		waiting.done <- r.uncertainReply()
	}
}

// updateMembership starts and stops the senders to other members.
func (r *replica) updateMembership(now time.Time) {
	membership := r.raft.Status().Membership
	if sameMembers(membership, r.membership) {
		return
	}
	r.membership = membership
	r.transport.update(membership)
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

// saveSnapshotIfDue saves a snapshot after enough entries, so that the log and the time of a restart stay bounded.
func (r *replica) saveSnapshotIfDue() {
	if r.hasFailed || r.writeInFlight || r.lastApplied-r.snapshotIndex < r.snapshotEntries {
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
	r.writeInFlight = true
	r.writes <- writeJob{snapshot: &snapshot}
}

// writeLoop is the only goroutine that writes to the replica's folder.
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

func (r *replica) handleWritten(now time.Time, job writeJob, err error) {
	r.writeInFlight = false
	switch {
	case err != nil:
		r.fail(errors.Wrapf(ErrStorage, "%v", err))
	case job.snapshot == nil:
		r.finishBatch(now, job.ready)
	default:
		if err := r.raft.Compact(*job.snapshot); err != nil {
			r.logger.Warn().Err(err).Msg("kept the log before a snapshot")
		}
	}
}

// fail stops the member: without its disk it can keep no promise.
func (r *replica) fail(err error) {
	if r.hasFailed {
		return
	}
	r.hasFailed = true
	r.onFailure(err)
}

// transferLeadership hands the leadership to the voter with the longest log. It reports whether this replica still leads.
func (r *replica) transferLeadership(now time.Time) bool {
	status := r.raft.Status()
	if status.Role != raft.RoleLeader {
		return false
	}
	var target raft.MemberID
	var longest uint64
	for _, id := range status.Membership.Voters() {
		progress, ok := status.Progress[id]
		if id == r.id || !ok || progress.Match < longest {
			continue
		}
		target, longest = id, progress.Match
	}
	if target == "" {
		return false
	}
	if err := r.raft.TransferLeadership(now, target); err != nil {
		r.logger.Warn().Err(err).Msg("cannot hand over the leadership")
		return false
	}
	return true
}

// close ends the replica after the control goroutine has ended.
func (r *replica) close() {
	if r.transport != nil {
		r.transport.sending.Wait()
	}
	if r.log != nil {
		_ = r.log.Close()
	}
}
