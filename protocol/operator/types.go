// Package operator is the HTTP API of the control members for operators: typed requests and answers, a handler and a
// client.
package operator

import (
	"encoding/json"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/registry"
)

// The paths of the API.
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
)

// StageRequest brings a bundle into the registry.
type StageRequest struct {
	RequestID string        `json:"request_id"`
	Operator  string        `json:"operator"`
	Version   uint64        `json:"version"`
	Digest    bundle.Digest `json:"digest"`
	// Update is a bundle.Update encoded by registry.EncodeUpdate. Clients send complete updates; the leader shrinks
	// them before it writes them to the log.
	Update []byte `json:"update"`
}

// ApproveRequest brings a staged bundle into force. Approval.Replaces must be 0.
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

// Decision is the answer to a stage, approve, replace or stop.
type Decision struct {
	Effect   registry.Effect  `json:"effect"`
	Index    uint64           `json:"index"`
	Approval *bundle.Approval `json:"approval,omitempty"`
}

// RolloutState is the state of the latest version's rollout.
type RolloutState string

// The rollout states.
const (
	// RolloutNone means that no version is approved.
	RolloutNone RolloutState = "none"
	// RolloutInProgress means that some proxies do not have the latest version in force yet.
	RolloutInProgress RolloutState = "in-progress"
	// RolloutInForce means that all counted proxies have the latest version in force.
	RolloutInForce RolloutState = "in-force"
	// RolloutStopped means that the rollout was stopped.
	RolloutStopped RolloutState = "stopped"
	// RolloutUnknown means that the figures are too old to tell.
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
	// listed; older ones are only part of Proxies.
	Versions []VersionCount `json:"versions,omitempty"`
	// LowestVersion is the lowest version in force on any counted proxy.
	LowestVersion uint64 `json:"lowest_version"`
	// Lagging is a sample of the proxies that lag.
	Lagging []LaggingProxy `json:"lagging,omitempty"`
	// AgeMs is the age of the figures in milliseconds; AgeUnknown means that no figures have arrived.
	AgeMs   int64        `json:"age_ms"`
	Rollout RolloutState `json:"rollout"`
}

// AgeUnknown is the age of figures that never arrived.
const AgeUnknown int64 = -1

// Status describes the control group and the rollout.
type Status struct {
	// Member is the identity of the member that answered.
	Member string `json:"member"`
	// Leader is the identity of the leader, or empty if none is known.
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

// HistoryRequest bounds the number of records.
type HistoryRequest struct {
	// Limit is the greatest number of records, newest first; 0 takes DefaultHistoryLimit.
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

// QuarantineResponse lists the quarantined fingerprints.
type QuarantineResponse struct {
	Entries []QuarantineEntry `json:"entries"`
}

// ClearQuarantineRequest clears fingerprints.
type ClearQuarantineRequest struct {
	RequestID string `json:"request_id"`
	Operator  string `json:"operator"`
	// Fingerprints are in hexadecimal; an empty list clears all.
	Fingerprints []string `json:"fingerprints,omitempty"`
}

// ClearQuarantineResponse counts the cleared fingerprints.
type ClearQuarantineResponse struct {
	Cleared int `json:"cleared"`
}

// DumpResponse is the state dump of the member that answered.
type DumpResponse struct {
	Member string          `json:"member"`
	State  json.RawMessage `json:"state"`
}
