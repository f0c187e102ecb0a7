// Package operator is the HTTP API of the control members for operators: the types of requests and responses, a handler
// and a client.
package operator

import (
	"encoding/json"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
	"sapphiregate.example/sapphiregate/state/release"
)

// Paths of the API.
const (
	PathStage           = "/v1/stage"
	PathApprove         = "/v1/approve"
	PathStop            = "/v1/stop"
	PathReplace         = "/v1/replace"
	PathStatus          = "/v1/status"
	PathHistory         = "/v1/history"
	PathMembers         = "/v1/members"
	PathMemberAdd       = "/v1/members/add"
	PathMemberRemove    = "/v1/members/remove"
	PathMemberReplace   = "/v1/members/replace"
	PathQuarantine      = "/v1/quarantine"
	PathQuarantineClear = "/v1/quarantine/clear"
	PathDump            = "/v1/dump"
	PathRollouts        = "/v1/releases"
	PathRolloutStart    = "/v1/releases/start"
	PathRolloutCancel   = "/v1/releases/cancel"
)

// StageRequest stores a bundle in the registry.
type StageRequest struct {
	RequestID string        `json:"request_id"`
	Operator  string        `json:"operator"`
	Version   uint64        `json:"version"`
	Digest    bundle.Digest `json:"digest"`
	// Update is a bundle.Update encoded by registry.EncodeUpdate. Clients send complete updates. The leader removes
	// parts that the registry has already before it writes the update to the log.
	Update []byte `json:"update"`
}

// ApproveRequest approves a staged bundle, which starts its rollout. Approval.Replaces must be 0.
type ApproveRequest struct {
	RequestID string          `json:"request_id"`
	Approval  bundle.Approval `json:"approval"`
}

// ReplaceRequest approves a bundle if Approval.Replaces is still the latest version.
type ReplaceRequest struct {
	RequestID string          `json:"request_id"`
	Approval  bundle.Approval `json:"approval"`
}

// StopRequest withdraws a staged version or stops the rollout of the latest one.
type StopRequest struct {
	RequestID string        `json:"request_id"`
	Stop      registry.Stop `json:"stop"`
}

// Decision is the response to a stage, approve, replace or stop request, and to an order about a rollout of a release.
type Decision struct {
	Effect registry.Effect `json:"effect"`
	// Index is the log index of the command.
	Index    uint64           `json:"index"`
	Approval *bundle.Approval `json:"approval,omitempty"`
}

// RolloutState is the state of the latest version's rollout.
type RolloutState string

const (
	// RolloutNone means that no version is approved.
	RolloutNone RolloutState = "none"
	// RolloutInProgress means that some proxies do not have the latest version in force yet.
	RolloutInProgress RolloutState = "in-progress"
	// RolloutInForce means that all counted proxies have the latest version in force.
	RolloutInForce RolloutState = "in-force"
	// RolloutStopped means that the rollout was stopped.
	RolloutStopped RolloutState = "stopped"
	// RolloutUnknown means that the counts of proxies are missing or too old to tell.
	RolloutUnknown RolloutState = "unknown"
)

// VersionCount counts the proxies that have a version in force.
type VersionCount struct {
	Version uint64 `json:"version"`
	Proxies int    `json:"proxies"`
}

// LaggingProxy is a proxy that does not have the latest version in force.
type LaggingProxy struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// ZoneStatus describes the proxies of one availability zone.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Proxies is the number of proxies that were counted.
	Proxies int `json:"proxies"`
	// Versions counts the proxies per version in force, greatest version first. At most the four newest versions are
	// listed; proxies with older ones count only in Proxies.
	Versions []VersionCount `json:"versions,omitempty"`
	// LowestVersion is the lowest version in force on any counted proxy.
	LowestVersion uint64 `json:"lowest_version"`
	// Lagging is a sample of the proxies that do not have the latest version in force.
	Lagging []LaggingProxy `json:"lagging,omitempty"`
	// AgeMs is the age of the counts in milliseconds; AgeUnknown means that none have arrived.
	AgeMs   int64        `json:"age_ms"`
	Rollout RolloutState `json:"rollout"`
}

// AgeUnknown is the age of information that has never arrived.
const AgeUnknown int64 = -1

// Status describes the control group and the rollout.
type Status struct {
	// Member is the ID of the member that sent the response.
	Member string `json:"member"`
	// Leader is the ID of the leader, or empty if none is known.
	Leader string `json:"leader,omitempty"`
	// ConfirmedAgeMs is the time in milliseconds since a quorum confirmed this state; AgeUnknown if it never did.
	ConfirmedAgeMs int64             `json:"confirmed_age_ms"`
	Latest         *bundle.Approval  `json:"latest,omitempty"`
	Rollout        RolloutState      `json:"rollout"`
	Staged         []registry.Staged `json:"staged,omitempty"`
	Zones          []ZoneStatus      `json:"zones,omitempty"`
	// Keyring is the digest of the member's operator keyring.
	Keyring bundle.Digest `json:"keyring,omitzero"`
}

// HistoryRequest reads the newest records of the history.
type HistoryRequest struct {
	// Limit bounds the number of records, 1 to MaxHistoryLimit; 0 takes DefaultHistoryLimit.
	Limit int `json:"limit"`
}

// HistoryResponse lists decisions, newest first.
type HistoryResponse struct {
	Records []registry.HistoryRecord `json:"records"`
}

// Member describes one control member.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Admin is the address of the member's operator API, if known.
	Admin   string `json:"admin,omitempty"`
	Zone    string `json:"zone"`
	Learner bool   `json:"learner"`
	Leader  bool   `json:"leader"`
	// Match is the greatest log index that the leader knows to be stored on the member.
	Match uint64 `json:"match"`
	// LastContactMs is the time in milliseconds since the leader heard from the member; AgeUnknown if it never did.
	LastContactMs int64 `json:"last_contact_ms"`
}

// MembersResponse lists the control members.
type MembersResponse struct {
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Members []Member `json:"members"`
}

// AddMemberRequest adds a learner, which is promoted when it has caught up.
type AddMemberRequest struct {
	RequestID string `json:"request_id"`
	ID        string `json:"id"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	// Learner keeps the member a learner.
	Learner bool `json:"learner,omitempty"`
}

// RemoveMemberRequest removes a member.
type RemoveMemberRequest struct {
	RequestID string `json:"request_id"`
	ID        string `json:"id"`
}

// ReplaceMemberRequest adds a member, waits until it is promoted and removes another one.
type ReplaceMemberRequest struct {
	RequestID string `json:"request_id"`
	Old       string `json:"old"`
	New       string `json:"new"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
}

// QuarantineEntry is a request fingerprint that crashed upstreams.
type QuarantineEntry struct {
	// Fingerprint is in hexadecimal.
	Fingerprint string   `json:"fingerprint"`
	Verdict     string   `json:"verdict"`
	Crashes     int      `json:"crashes"`
	Upstreams   []string `json:"upstreams,omitempty"`
	ExpiresInMs int64    `json:"expires_in_ms"`
}

// QuarantineResponse lists the fingerprints in the quarantine.
type QuarantineResponse struct {
	Entries []QuarantineEntry `json:"entries"`
}

// ClearQuarantineRequest removes fingerprints from the quarantine.
type ClearQuarantineRequest struct {
	RequestID string `json:"request_id"`
	Operator  string `json:"operator"`
	// Fingerprints are in hexadecimal; an empty list removes all.
	Fingerprints []string `json:"fingerprints,omitempty"`
}

// ClearQuarantineResponse tells how many fingerprints were removed.
type ClearQuarantineResponse struct {
	Cleared int `json:"cleared"`
}

// StartRolloutRequest orders the rollout of a release of a service.
type StartRolloutRequest struct {
	RequestID string `json:"request_id"`
	Operator  string `json:"operator"`
	Service   string `json:"service"`
	Release   string `json:"release"`
	// DurationMs is the time within which the rollout has to end, in milliseconds.
	DurationMs int64 `json:"duration_ms"`
}

// CancelRolloutRequest rolls a running rollout back.
type CancelRolloutRequest struct {
	RequestID string `json:"request_id"`
	Operator  string `json:"operator"`
	Service   string `json:"service"`
	Release   string `json:"release"`
}

// ReleaseRollout is the rollout of a release with the evidence that the responding member has.
type ReleaseRollout struct {
	release.Rollout
	// Evidence summarizes the results of a running rollout.
	Evidence string `json:"evidence,omitempty"`
}

// RolloutsResponse lists the latest rollout of a release of each service.
type RolloutsResponse struct {
	Rollouts []ReleaseRollout `json:"rollouts"`
}

// DumpResponse is the state dump of the member that sent the response.
type DumpResponse struct {
	Member string          `json:"member"`
	State  json.RawMessage `json:"state"`
}
