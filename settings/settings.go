// Package settings reads the JSON settings of the node and control processes.
package settings

// Upstream describes the local upstream of a node.
type Upstream struct {
	// Service is the service that the upstream serves.
	Service string `json:"service"`
	// Address is the HTTP address of the upstream.
	Address string `json:"address"`
	// Slots is the number of calls that the upstream runs at once.
	Slots int `json:"slots"`
	// Connections bounds the connections to the upstream.
	Connections int `json:"connections"`
	// HealthPath is the path that is requested to check whether the upstream is up.
	HealthPath string `json:"health_path"`
	// HealthInterval is the time between health requests.
	HealthInterval Duration `json:"health_interval"`
	// LoadPath is the path that is requested for load reports; it is empty if the upstream has none.
	LoadPath string `json:"load_path,omitempty"`
}

// NodeLimits bounds the resources of a node.
type NodeLimits struct {
	MaxCalls       int   `json:"max_calls"`
	MaxHeaderBytes int   `json:"max_header_bytes"`
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	// DrainTimeout is the time from the signal to stop until the instance ends the process.
	DrainTimeout Duration `json:"drain_timeout"`
	// LeaveNotice is the time for which a stopping node still accepts requests after it has reported that it is not ready.
	LeaveNotice Duration `json:"leave_notice,omitempty"`
	// MaxDescriptors is the number of files and connections that the process may have open; 0 sets no limit.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
	// MemoryMB is the memory, in MiB, above which the instance ends the process; 0 sets no limit.
	MemoryMB int `json:"memory_mb,omitempty"`
	// LinkMegabits is the rate of the instance's link in Mbit/s; 0 sets no limit.
	LinkMegabits float64 `json:"link_mbps,omitempty"`
	// MaxReturns is how often a call is handed back by an upstream without a free slot, to start elsewhere, before it waits.
	// Each return costs a message to another node and back; 0 switches returns off.
	MaxReturns int `json:"max_returns,omitempty"`
}

// Node is the settings of a node process.
type Node struct {
	// Instance is the name of the instance. It stays the same across restarts.
	Instance string `json:"instance"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Callers is the listen address for HTTP requests of callers.
	Callers string `json:"callers"`
	// Mesh is the listen address for gRPC between processes.
	Mesh string `json:"mesh"`
	// Admin is the listen address for metrics and the state dump.
	Admin string `json:"admin"`
	// Advertise is the mesh address that others dial; empty takes Mesh.
	Advertise string `json:"advertise"`
	// Join lists mesh addresses of control members and nodes.
	Join []string `json:"join"`
	// JoinPort replaces the port of each Join address if it is set, for deployments that know only other addresses of the
	// same instances.
	JoinPort int `json:"join_port,omitempty"`
	TLS      TLS `json:"tls"`
	// Keyring is the file with the operators' public keys. It may be empty if there are trusted operators.
	Keyring string `json:"keyring,omitempty"`
	// TrustedOperators are accepted without a signature.
	TrustedOperators []string `json:"trusted_operators,omitempty"`
	// Platform is set where another system runs the instances, the upstreams and the operators.
	Platform *NodePlatform `json:"platform,omitempty"`
	// Upstream is nil for a node without an upstream, which only forwards calls to other nodes.
	Upstream *Upstream `json:"upstream,omitempty"`
	// ZoneDelays holds the one-way delay to other availability zones.
	ZoneDelays map[string]Duration `json:"zone_delays,omitempty"`
	// OtherZoneDelay is the one-way delay to zones that ZoneDelays does not list.
	OtherZoneDelay Duration   `json:"other_zone_delay,omitempty"`
	Objectives     Objectives `json:"objectives,omitzero"`
	Limits         NodeLimits `json:"limits"`
}

// NodePlatform holds the settings of a node on a platform that has protocols of its own for the announcement of
// upstreams and for readiness checks.
type NodePlatform struct {
	// Service is the service that runs beside the node; it applies until an upstream announces itself.
	Service string `json:"service"`
	// Upstream is the address of the only upstream that may announce itself.
	Upstream string `json:"upstream"`
	// Announcements is the listen address for announcements of the upstream.
	Announcements string `json:"announcements"`
	// Ready is the listen address for readiness checks of the node.
	Ready string `json:"ready"`
}

// ControlPlatform holds the settings of a control member on a platform that has an operator protocol of its own.
type ControlPlatform struct {
	// Operators is the listen address for the platform's operators.
	Operators string `json:"operators"`
	// FirstStart is set if the group does not exist yet; the processes that Join names then form it.
	FirstStart bool `json:"first_start,omitempty"`
	// ToleratedInstances, ToleratedZones and ToleratedRegions are the numbers of instances, of availability zones and of
	// regions that may fail at the same time.
	ToleratedInstances int `json:"tolerated_instances"`
	ToleratedZones     int `json:"tolerated_zones"`
	ToleratedRegions   int `json:"tolerated_regions,omitempty"`
	// Regions maps each availability zone of the deployment to its region. It may be empty if they are not known.
	Regions map[string]string `json:"regions,omitempty"`
}

// Peer is a member of the control group at its first start.
type Peer struct {
	// Address is the member's mesh address.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Admin is the address of the member's operator API.
	Admin string `json:"admin"`
	// Learner is set for a member that replicates the logs but does not vote.
	Learner bool `json:"learner,omitempty"`
}

// ControlLimits bounds the resources of a control process.
type ControlLimits struct {
	ElectionTimeout   Duration `json:"election_timeout"`
	HeartbeatInterval Duration `json:"heartbeat_interval"`
	MaxAppendBytes    int      `json:"max_append_bytes"`
	SnapshotEntries   int      `json:"snapshot_entries"`
	// DirectFollowers bounds the nodes per zone that follow this member directly.
	DirectFollowers int `json:"direct_followers"`
	JoinsPerSecond  int `json:"joins_per_second"`
	MaxLedgerBytes  int `json:"max_ledger_bytes"`
	// StopTimeout is the time from the signal to stop until the instance ends the process.
	StopTimeout Duration `json:"stop_timeout"`
	// MemoryMB is the memory, in MiB, above which the instance ends the process; 0 sets no limit.
	MemoryMB int `json:"memory_mb,omitempty"`
}

// Control is the settings of a control process.
type Control struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Mesh is the listen address for gRPC between processes.
	Mesh string `json:"mesh"`
	// Admin is the listen address for the operator API, metrics and the state dump.
	Admin string `json:"admin"`
	// Advertise is the mesh address that others dial; empty takes Mesh.
	Advertise string `json:"advertise"`
	// AdvertiseAdmin is the operator API address that clients are sent to; empty takes Admin.
	AdvertiseAdmin string `json:"advertise_admin"`
	// DataFolder holds the log and the snapshots.
	DataFolder string `json:"data_folder"`
	TLS        TLS    `json:"tls"`
	// Keyring is the file with the operators' public keys. It must be the same on all members. It may be empty if there
	// are trusted operators.
	Keyring string `json:"keyring,omitempty"`
	// TrustedOperators are accepted without a signature.
	TrustedOperators []string `json:"trusted_operators,omitempty"`
	// Platform is set where another system runs the instances, the upstreams and the operators.
	Platform *ControlPlatform `json:"platform,omitempty"`
	// Peers lists all members of the first start, including this one. It is read only while the data folder is empty.
	Peers []Peer `json:"peers,omitempty"`
	// LedgerGroups is the number of logs that irreversible calls are spread over. It must be the same on all members and
	// cannot be changed later.
	LedgerGroups int `json:"ledger_groups"`
	// Join lists mesh addresses of existing members; a member that is added later has Join instead of Peers.
	Join []string `json:"join,omitempty"`
	// JoinPort replaces the port of each Join address if it is set.
	JoinPort   int           `json:"join_port,omitempty"`
	Objectives Objectives    `json:"objectives,omitzero"`
	Limits     ControlLimits `json:"limits"`
}
