package control

import (
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/quarantine"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/coordination/relay"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/protocol/operator"
	"sapphiregate.example/sapphiregate/state/registry"
)

// operatorBackend serves the operator API on one member.
type operatorBackend struct{ member *Member }

var _ operator.Backend = operatorBackend{}

// Stage adds a bundle to the registry. To save traffic between zones, the request to the leader leaves out the parts
// that this member's registry has already.
func (b operatorBackend) Stage(ctx context.Context, r operator.StageRequest) (operator.Decision, error) {
	stage := registry.Stage{Version: r.Version, Digest: r.Digest, Operator: r.Operator, Update: r.Update}
	return b.stage(ctx, registry.Command{RequestID: r.RequestID, Stage: &stage})
}

// stage commits a command whose stage has a complete update. It first sends the difference to the latest bundle that
// this member knows; if the leader no longer has that bundle, it sends the complete update.
func (b operatorBackend) stage(ctx context.Context, full registry.Command) (operator.Decision, error) {
	reduced := full
	err := b.query(ctx, func(time.Time) {
		if difference, err := b.member.registryState.registry.Shrink(*full.Stage); err == nil {
			reduced.Stage = &difference
		}
	})
	if err != nil {
		return operator.Decision{}, err
	}
	decision, err := b.commitCommand(ctx, reduced)
	if errors.Is(err, operator.ErrNotStaged) && len(reduced.Stage.Update) < len(full.Stage.Update) {
		return b.commitCommand(ctx, full)
	}
	return decision, err
}

// Approve makes a staged bundle the latest approved one.
func (b operatorBackend) Approve(ctx context.Context, r operator.ApproveRequest) (operator.Decision, error) {
	return b.commitCommand(ctx, registry.Command{RequestID: r.RequestID, Approve: &r.Approval})
}

// Replace approves a bundle if the version that it replaces is still the latest.
func (b operatorBackend) Replace(ctx context.Context, r operator.ReplaceRequest) (operator.Decision, error) {
	return b.commitCommand(ctx, registry.Command{RequestID: r.RequestID, Approve: &r.Approval})
}

// Stop withdraws a staged version or stops a rollout.
func (b operatorBackend) Stop(ctx context.Context, r operator.StopRequest) (operator.Decision, error) {
	return b.commitCommand(ctx, registry.Command{RequestID: r.RequestID, Stop: &r.Stop})
}

// commitCommand commits a registry command, through the leader if this member does not lead.
func (b operatorBackend) commitCommand(ctx context.Context, command registry.Command) (operator.Decision, error) {
	data, err := registry.EncodeCommand(command)
	if err != nil {
		return operator.Decision{}, &operator.Error{Kind: operator.ErrBadRequest, Message: err.Error()}
	}
	request := &protocol.ProposeRequest{Target: protocol.TargetRegistry, Command: data}
	reply, err := b.member.Propose(ctx, request)
	if err != nil {
		return operator.Decision{}, err
	}
	if reply.Status == protocol.ProposeNotLeader && reply.Leader != "" {
		reply, err = b.member.pool.Propose(ctx, reply.Leader, request)
		if err != nil {
			return operator.Decision{}, &operator.Error{Kind: operator.ErrOutcomeUnknown, Message: err.Error()}
		}
	}
	switch reply.Status {
	case protocol.ProposeApplied:
		var result registry.Result
		if err := protocol.Unmarshal(reply.Result, &result); err != nil {
			return operator.Decision{}, err
		}
		return operator.DecisionFromResult(result)
	case protocol.ProposeNotLeader:
		return operator.Decision{}, b.notLeader(ctx, reply.Leader)
	case protocol.ProposeForming:
		return operator.Decision{}, &operator.Error{Kind: operator.ErrNoQuorum, Message: reply.Detail}
	case protocol.ProposeUncertain:
		return operator.Decision{}, &operator.Error{Kind: operator.ErrOutcomeUnknown, Message: reply.Detail}
	default:
		return operator.Decision{}, &operator.Error{Kind: operator.ErrBadRequest, Message: reply.Detail}
	}
}

// notLeader returns an error that names the leader's address for operators. It asks the leader at its mesh address for
// it, as no other member knows it.
func (b operatorBackend) notLeader(ctx context.Context, mesh string) error {
	if mesh == "" {
		return &operator.Error{Kind: operator.ErrNoQuorum, Message: "no leader is known"}
	}
	reply, err := b.member.identify(ctx, mesh)
	if err != nil {
		return &operator.Error{Kind: operator.ErrNotLeader, Message: "the leader at " + mesh + " does not respond"}
	}
	return &operator.Error{Kind: operator.ErrNotLeader, Leader: reply.Admin}
}

// query runs a read on the control goroutine.
func (b operatorBackend) query(ctx context.Context, read func(now time.Time)) error {
	if err := b.member.waitRunning(ctx); err != nil {
		return &operator.Error{Kind: operator.ErrNoQuorum, Message: err.Error()}
	}
	return b.member.host.Query(ctx, read)
}

// Status describes the group and the rollout.
func (b operatorBackend) Status(ctx context.Context) (operator.Status, error) {
	m := b.member
	status := operator.Status{Member: m.ID(), ConfirmedAgeMs: operator.AgeUnknown, Keyring: m.options.Keys.Digest()}
	err := b.query(ctx, func(now time.Time) {
		status.Leader = string(m.replicas[registryGroup].raft.Status().Leader)
		if age, ok := m.replicas[registryGroup].raft.ConfirmedAge(now); ok {
			status.ConfirmedAgeMs = age.Milliseconds()
		}
		state := m.registryState.registry.State()
		status.Latest = state.Latest
		status.Staged = m.registryState.registry.Staged()
		status.Zones = zoneStatuses(m.peer.Zones(), state)
		status.Rollout = operator.MeshRollout(latestVersion(state), state.Stopped, status.Zones)
	})
	if !operator.Fresh(status.ConfirmedAgeMs) {
		// A member that is cut off does not know the current state.
		status.Rollout = operator.RolloutUnknown
	}
	return status, err
}

// zoneStatuses describes the proxies of each zone.
func zoneStatuses(counts []relay.ZoneCounts, state registry.State) []operator.ZoneStatus {
	var zones []operator.ZoneStatus
	for _, zoneCounts := range counts {
		zone := operator.ZoneStatus{
			Zone: zoneCounts.Zone, Proxies: zoneCounts.Counts.Nodes, LowestVersion: zoneCounts.Counts.Lowest,
			AgeMs: zoneCounts.Age.Milliseconds(),
		}
		for _, version := range zoneCounts.Counts.Versions {
			zone.Versions = append(zone.Versions, operator.VersionCount{Version: version.Version, Proxies: version.Nodes})
		}
		for _, lag := range zoneCounts.Counts.Lagging {
			zone.Lagging = append(zone.Lagging,
				operator.LaggingProxy{ID: lag.ID, Version: lag.Version, Reason: lag.Reason})
		}
		zone.Rollout = operator.ZoneRollout(latestVersion(state), state.Stopped, zone)
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b operator.ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}

func latestVersion(state registry.State) uint64 {
	if state.Latest == nil {
		return 0
	}
	return state.Latest.Version
}

// History lists the decisions of operators, newest first.
func (b operatorBackend) History(ctx context.Context, r operator.HistoryRequest) (operator.HistoryResponse, error) {
	limit := r.Limit
	if limit <= 0 {
		limit = operator.DefaultHistoryLimit
	}
	var response operator.HistoryResponse
	err := b.query(ctx, func(time.Time) {
		response.Records = operator.NewestRecords(b.member.registryState.registry.History(), limit)
	})
	return response, err
}

// Members lists the control members. A follower refers to the leader, if the leader responds.
func (b operatorBackend) Members(ctx context.Context) (operator.MembersResponse, error) {
	var status raft.Status
	if err := b.query(ctx, func(time.Time) { status = b.member.replicas[registryGroup].raft.Status() }); err != nil {
		return operator.MembersResponse{}, err
	}
	if status.Role != raft.RoleLeader {
		// Only the leader knows the progress of the others. Without a leader, this member lists the membership alone.
		if leader, ok := status.Membership.Find(status.Leader); ok {
			if reply, err := b.member.identify(ctx, leader.Address); err == nil {
				return operator.MembersResponse{}, &operator.Error{Kind: operator.ErrNotLeader, Leader: reply.Admin}
			}
		}
	}
	response := operator.MembersResponse{Term: status.Term, Commit: status.Commit}
	for _, member := range status.Membership.Members {
		described := operator.Member{
			ID: string(member.ID), Address: member.Address, Zone: member.Zone, Learner: member.Learner,
			Leader: member.ID == status.Leader, LastContactMs: operator.AgeUnknown,
		}
		if progress, ok := status.Progress[member.ID]; ok {
			described.Match = progress.Match
			if progress.SinceContact >= 0 {
				described.LastContactMs = progress.SinceContact.Milliseconds()
			}
		}
		if member.ID == status.ID {
			described.Match, described.LastContactMs, described.Admin = status.LastIndex, 0, b.member.options.AdvertiseAdmin
		}
		response.Members = append(response.Members, described)
	}
	return response, nil
}

var verdictNames = map[quarantine.Verdict]string{
	quarantine.Allowed: "allowed", quarantine.Exclusive: "isolated", quarantine.Refused: "quarantined",
}

// Quarantine lists the requests that crashed upstreams, with the verdict on each.
func (b operatorBackend) Quarantine(ctx context.Context) (operator.QuarantineResponse, error) {
	if err := b.member.waitRunning(ctx); err != nil {
		return operator.QuarantineResponse{}, &operator.Error{Kind: operator.ErrNoQuorum, Message: err.Error()}
	}
	now := time.Now()
	response := operator.QuarantineResponse{Entries: []operator.QuarantineEntry{}}
	for _, entry := range b.member.quarantine.Entries(now) {
		response.Entries = append(response.Entries, operator.QuarantineEntry{
			Fingerprint: hex.EncodeToString(entry.Fingerprint[:]), Verdict: verdictNames[entry.Verdict],
			Crashes: len(entry.Upstreams), Upstreams: entry.Upstreams, ExpiresInMs: entry.Until.Sub(now).Milliseconds(),
		})
	}
	return response, nil
}

// ClearQuarantine lifts the quarantine of fingerprints, or of all.
func (b operatorBackend) ClearQuarantine(
	ctx context.Context, r operator.ClearQuarantineRequest,
) (operator.ClearQuarantineResponse, error) {
	if err := b.member.waitRunning(ctx); err != nil {
		return operator.ClearQuarantineResponse{}, &operator.Error{Kind: operator.ErrNoQuorum, Message: err.Error()}
	}
	var fingerprints []quarantine.Fingerprint
	for _, text := range r.Fingerprints {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != len(quarantine.Fingerprint{}) {
			return operator.ClearQuarantineResponse{}, &operator.Error{
				Kind: operator.ErrBadRequest, Message: "a fingerprint must have 32 hexadecimal digits",
			}
		}
		fingerprints = append(fingerprints, quarantine.Fingerprint(raw))
	}
	now := time.Now()
	before := len(b.member.quarantine.Entries(now))
	report, changed := b.member.quarantine.Clear(now, fingerprints...)
	if changed {
		b.member.publishReport(report)
	}
	return operator.ClearQuarantineResponse{Cleared: before - len(b.member.quarantine.Entries(now))}, nil
}

// Dump returns the state dump of the member.
func (b operatorBackend) Dump(ctx context.Context) (operator.DumpResponse, error) {
	dump, err := b.member.dump(ctx)
	if err != nil {
		return operator.DumpResponse{}, err
	}
	state, err := json.Marshal(dump)
	return operator.DumpResponse{Member: b.member.ID(), State: state}, err
}
