package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/protocol"
)

// proposal waits for its log entry to be applied.
type proposal struct {
	term uint64
	done chan *protocol.ProposeReply
}

// propose appends a command to the log. It runs on the control goroutine; done receives exactly one reply.
func (m *Member) propose(now time.Time, request *protocol.ProposeRequest, done chan *protocol.ProposeReply) {
	if m.raft.Status().Role != raft.RoleLeader {
		done <- m.notLeader()
		return
	}
	entry, err := m.prepare(now.UnixMilli(), request)
	if err != nil {
		done <- &protocol.ProposeReply{Status: protocol.ProposeRefused, Detail: err.Error()}
		return
	}
	index, term, err := m.raft.Propose(now, entry)
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrTransferring):
		done <- m.notLeader()
	case err != nil:
		done <- &protocol.ProposeReply{Status: protocol.ProposeRefused, Detail: err.Error()}
	default:
		m.proposals[index] = proposal{term: term, done: done}
	}
}

func (m *Member) notLeader() *protocol.ProposeReply {
	return &protocol.ProposeReply{Status: protocol.ProposeNotLeader, Leader: m.leaderAddress()}
}

func (m *Member) leaderAddress() string {
	status := m.raft.Status()
	if leader, ok := status.Membership.Find(status.Leader); ok {
		return leader.Address
	}
	return ""
}

// write is one batch for the writing goroutine.
type write struct {
	ready    raft.Ready
	snapshot *raft.Snapshot
}

// pump hands the next batch of the log to the writing goroutine. The disk never blocks the control goroutine; while a
// write runs, further proposals gather and share the next synced write.
func (m *Member) pump(now time.Time) {
	for !m.writing && !m.failed && m.raft.HasReady() {
		ready := m.raft.Ready()
		m.peers.send(ready.Early)
		if !ready.MustSync {
			m.finish(now, ready)
			continue
		}
		m.writing = true
		m.writes <- write{ready: ready}
	}
	m.dropStaleProposals()
}

// finish completes a batch that is durable.
func (m *Member) finish(now time.Time, ready raft.Ready) {
	m.peers.send(ready.Messages)
	if ready.Snapshot != nil {
		m.install(now, *ready.Snapshot)
	}
	m.applyEntries(now, ready.Committed)
	m.raft.Advance(ready)
	m.membershipChanged(now)
	m.compact()
}

func (m *Member) install(now time.Time, snapshot raft.Snapshot) {
	if err := m.machines.restore(snapshot.Data); err != nil {
		m.fail(errors.Wrapf(ErrStorage, "restore snapshot: %v", err))
		return
	}
	m.snapshotIndex = snapshot.Index
	m.applied = snapshot.Index
	m.publishSource(now)
}

func (m *Member) applyEntries(now time.Time, entries []raft.Entry) {
	changed := false
	for _, entry := range entries {
		m.applied = entry.Index
		if entry.Kind != raft.EntryCommand {
			m.settleProposal(entry, nil)
			continue
		}
		result, touched, err := m.machines.apply(entry)
		if err != nil {
			// Every member refuses a malformed entry alike.
			m.logger.Error().Err(err).Uint64("index", entry.Index).Msg("skipped a malformed log entry")
		}
		changed = changed || touched
		m.settleProposal(entry, result)
	}
	if changed {
		m.publishSource(now)
	}
}

// settleProposal answers the proposer of an applied entry. Another term at its index means that the entry of that
// proposal was replaced.
func (m *Member) settleProposal(entry raft.Entry, result []byte) {
	waiting, ok := m.proposals[entry.Index]
	if !ok {
		return
	}
	delete(m.proposals, entry.Index)
	if waiting.term != entry.Term || result == nil {
		waiting.done <- &protocol.ProposeReply{Status: protocol.ProposeUncertain, Leader: m.leaderAddress()}
		return
	}
	waiting.done <- &protocol.ProposeReply{Status: protocol.ProposeApplied, Result: result}
}

// dropStaleProposals answers proposals that this member can no longer see through, because it does not lead any more.
func (m *Member) dropStaleProposals() {
	if len(m.proposals) == 0 || m.raft.Status().Role == raft.RoleLeader {
		return
	}
	for index, waiting := range m.proposals {
		delete(m.proposals, index)
		waiting.done <- &protocol.ProposeReply{Status: protocol.ProposeUncertain, Leader: m.leaderAddress()}
	}
}

// publishSource hands the registry's state to the distribution tree.
func (m *Member) publishSource(now time.Time) {
	state := m.machines.registry.State()
	source := relay.Source{Latest: state.Latest, Stopped: state.Stopped, Held: state.Held}
	m.peer.SetSource(now, source, m.machines.registry.Store())
}

// membershipChanged tells the distribution tree and the senders who the members are.
func (m *Member) membershipChanged(now time.Time) {
	membership := m.raft.Status().Membership
	if sameMembers(membership, m.membership) {
		return
	}
	m.membership = membership
	m.peers.update(membership)
	infos := make([]relay.MemberInfo, 0, len(membership.Members))
	for _, member := range membership.Members {
		infos = append(infos, relay.MemberInfo{ID: string(member.ID), Zone: member.Zone, Address: member.Address})
	}
	m.peer.SetMembers(now, infos)
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

// compact saves a snapshot after enough entries, so that the log and the time of a restart stay bounded.
func (m *Member) compact() {
	if m.failed || m.applied-m.snapshotIndex < m.options.SnapshotEntries {
		return
	}
	data, err := m.machines.snapshot()
	if err != nil {
		m.fail(errors.Wrapf(ErrStorage, "take snapshot: %v", err))
		return
	}
	snapshot, err := m.raft.NewSnapshot(m.applied, data)
	if err != nil {
		m.fail(errors.Wrapf(ErrStorage, "take snapshot: %v", err))
		return
	}
	m.snapshotIndex = m.applied
	m.writing = true
	m.writes <- write{snapshot: &snapshot}
}

// writeLoop is the only goroutine that writes to the disk.
func (m *Member) writeLoop() {
	for {
		var job write
		select {
		case job = <-m.writes:
		case <-m.ctx.Done():
			return
		}
		err := m.persist(job)
		posted := m.host.Post(func(now time.Time) {
			m.writing = false
			if err != nil {
				m.fail(errors.Wrapf(ErrStorage, "%v", err))
				return
			}
			m.written(now, job)
		})
		if !posted {
			return
		}
	}
}

func (m *Member) persist(job write) error {
	if job.snapshot != nil {
		return m.wal.SaveSnapshot(*job.snapshot)
	}
	if job.ready.Snapshot != nil {
		if err := m.wal.SaveSnapshot(*job.ready.Snapshot); err != nil {
			return err
		}
	}
	return m.wal.Append(job.ready.HardState, job.ready.Entries)
}

func (m *Member) written(now time.Time, job write) {
	if job.snapshot == nil {
		m.finish(now, job.ready)
		return
	}
	if err := m.raft.Compact(*job.snapshot); err != nil {
		m.logger.Warn().Err(err).Msg("kept the log before a snapshot")
	}
}

// fail stops the member: without its disk it can keep no promise.
func (m *Member) fail(err error) {
	if m.failed {
		return
	}
	m.failed = true
	m.logger.Error().Err(err).Msg("member stops")
	go m.Kill()
}
