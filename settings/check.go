package settings

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"sapphiregate.example/sapphiregate/internal/strictjson"
)

// Bounds of numbers and durations.
const (
	maxNameLength     = 63
	maxCalls          = 1_000_000
	minHeaderBytes    = 4 << 10
	maxHeaderBytes    = 64 << 10
	maxBodyBytes      = 64 << 20
	minDrainTimeout   = 500 * time.Millisecond
	maxDrainTimeout   = 10 * time.Minute
	minDescriptors    = 256
	maxDescriptors    = 10_000_000
	minMemoryMB       = 32
	maxMemoryMB       = 1 << 20
	maxLinkMegabits   = 1_000_000
	maxReturns        = 4
	maxSlots          = 10_000
	maxConnections    = 100_000
	minHealthInterval = 100 * time.Millisecond
	maxHealthInterval = time.Minute
	maxZoneDelay      = time.Second
	maxPort           = 65535
	// maxTolerated bounds the failures to tolerate, so that a group has at most 19 members.
	maxTolerated = 9

	minElectionTimeout   = 100 * time.Millisecond
	maxElectionTimeout   = 30 * time.Second
	minHeartbeatInterval = 10 * time.Millisecond
	minAppendBytes       = 64 << 10
	maxAppendBytes       = 64 << 20
	minSnapshotEntries   = 100
	maxSnapshotEntries   = 10_000_000
	maxDirectFollowers   = 1_000
	maxLedgerGroups      = 64
	maxJoinsPerSecond    = 10_000
	minLedgerBytes       = 16 << 20
	maxLedgerBytes       = 64 << 30
	// heartbeatsPerElection is the least number of heartbeats per election timeout. With fewer, one lost message could
	// start an election.
	heartbeatsPerElection = 3
)

// checker collects the problems of one file.
type checker struct {
	file     string
	problems Problems
	// undecoded lists the fields that could not be decoded. Their values are not checked further.
	undecoded []string
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

func (c *checker) add(field, value, allowed string) {
	for _, path := range c.undecoded {
		if path == field || strings.HasPrefix(path, field+".") || strings.HasPrefix(field, path+".") {
			return
		}
	}
	c.problems = append(c.problems, Problem{File: c.file, Field: field, Value: value, Allowed: allowed})
}

func (c *checker) node(n Node) {
	c.name("instance", n.Instance)
	c.name("zone", n.Zone)
	c.listenAddress("callers", n.Callers)
	c.listenAddress("mesh", n.Mesh)
	c.listenAddress("admin", n.Admin)
	c.dialAddress("advertise", n.Advertise)
	c.distinct(map[string]string{"callers": n.Callers, "mesh": n.Mesh, "admin": n.Admin})
	if len(n.Join) == 0 {
		c.add("join", "no address", "at least one mesh address of a control member or node")
	}
	c.joinAddresses(n.Join)
	c.between("join_port", int64(n.JoinPort), 0, maxPort)
	c.tls(n.TLS)
	c.operators(n.Keyring, n.TrustedOperators)
	c.nodePlatform(n.Platform)
	c.zoneDelays(n.ZoneDelays)
	c.durationBetween("other_zone_delay", n.OtherZoneDelay, 0, maxZoneDelay)
	c.upstream(n.Upstream)
	c.between("limits.max_calls", int64(n.Limits.MaxCalls), 1, maxCalls)
	c.between("limits.max_header_bytes", int64(n.Limits.MaxHeaderBytes), minHeaderBytes, maxHeaderBytes)
	c.between("limits.max_body_bytes", n.Limits.MaxBodyBytes, 1, maxBodyBytes)
	c.objectives(n.Objectives)
	c.durationBetween("limits.drain_timeout", n.Limits.DrainTimeout, minDrainTimeout, maxDrainTimeout)
	c.leaveNotice(n.Limits)
	c.descriptors("limits.max_descriptors", n.Limits.MaxDescriptors)
	c.memory("limits.memory_mb", n.Limits.MemoryMB)
	c.numberBetween("limits.link_mbps", n.Limits.LinkMegabits, 0, maxLinkMegabits)
	c.numberBetween("limits.max_returns", float64(n.Limits.MaxReturns), 0, maxReturns)
}

// leaveNotice checks that a stop has time left after the notice for the requests that were accepted during it.
func (c *checker) leaveNotice(l NodeLimits) {
	if longest := l.DrainTimeout.Std() / 2; l.LeaveNotice < 0 || l.LeaveNotice.Std() > longest {
		c.add("limits.leave_notice", strictjson.Quote(l.LeaveNotice.Std().String()),
			fmt.Sprintf("0s to %s, half of limits.drain_timeout", longest))
	}
}

func (c *checker) descriptors(field string, value int) {
	if value != 0 {
		c.between(field, int64(value), minDescriptors, maxDescriptors)
	}
}

func (c *checker) memory(field string, value int) {
	if value != 0 {
		c.between(field, int64(value), minMemoryMB, maxMemoryMB)
	}
}

func (c *checker) nodePlatform(p *NodePlatform) {
	if p == nil {
		return
	}
	c.name("platform.service", p.Service)
	c.dialAddress("platform.upstream", p.Upstream)
	c.listenAddress("platform.announcements", p.Announcements)
	c.listenAddress("platform.ready", p.Ready)
}

func (c *checker) controlPlatform(p *ControlPlatform) {
	if p == nil {
		return
	}
	c.listenAddress("platform.operators", p.Operators)
	c.between("platform.tolerated_instances", int64(p.ToleratedInstances), 0, maxTolerated)
	c.between("platform.tolerated_zones", int64(p.ToleratedZones), 0, maxTolerated)
	c.between("platform.tolerated_regions", int64(p.ToleratedRegions), 0, maxTolerated)
	for _, zone := range slices.Sorted(maps.Keys(p.Regions)) {
		c.name("platform.regions", zone)
		c.name("platform.regions."+zone, p.Regions[zone])
	}
}

// operators checks that there is a keyring or a trusted operator, because nobody could approve versions otherwise.
func (c *checker) operators(keyring string, trusted []string) {
	for i, operator := range trusted {
		c.name(fmt.Sprintf("trusted_operators[%d]", i), operator)
	}
	if len(trusted) == 0 {
		c.path("keyring", keyring)
	}
}

func (c *checker) upstream(u *Upstream) {
	if u == nil {
		return
	}
	c.name("upstream.service", u.Service)
	c.dialAddress("upstream.address", u.Address)
	c.between("upstream.slots", int64(u.Slots), 1, maxSlots)
	c.between("upstream.connections", int64(u.Connections), 1, maxConnections)
	c.urlPath("upstream.health_path", u.HealthPath)
	c.durationBetween("upstream.health_interval", u.HealthInterval, minHealthInterval, maxHealthInterval)
	if u.LoadPath != "" {
		c.urlPath("upstream.load_path", u.LoadPath)
	}
}

func (c *checker) control(s Control) {
	c.name("instance", s.Instance)
	c.name("zone", s.Zone)
	c.listenAddress("mesh", s.Mesh)
	c.listenAddress("admin", s.Admin)
	c.dialAddress("advertise", s.Advertise)
	c.dialAddress("advertise_admin", s.AdvertiseAdmin)
	c.distinct(map[string]string{"mesh": s.Mesh, "admin": s.Admin})
	c.path("data_folder", s.DataFolder)
	c.tls(s.TLS)
	c.operators(s.Keyring, s.TrustedOperators)
	c.controlPlatform(s.Platform)
	c.between("join_port", int64(s.JoinPort), 0, maxPort)
	c.peers(s)
	c.joinAddresses(s.Join)
	l := s.Limits
	c.durationBetween("limits.election_timeout", l.ElectionTimeout, minElectionTimeout, maxElectionTimeout)
	c.durationBetween("limits.heartbeat_interval", l.HeartbeatInterval, minHeartbeatInterval,
		max(minHeartbeatInterval, l.ElectionTimeout.Std()/heartbeatsPerElection))
	c.between("limits.max_append_bytes", int64(l.MaxAppendBytes), minAppendBytes, maxAppendBytes)
	c.between("limits.snapshot_entries", int64(l.SnapshotEntries), minSnapshotEntries, maxSnapshotEntries)
	c.between("limits.direct_followers", int64(l.DirectFollowers), 1, maxDirectFollowers)
	c.between("limits.joins_per_second", int64(l.JoinsPerSecond), 1, maxJoinsPerSecond)
	c.objectives(s.Objectives)
	c.durationBetween("limits.stop_timeout", l.StopTimeout, minDrainTimeout, maxDrainTimeout)
	c.memory("limits.memory_mb", l.MemoryMB)
	c.between("ledger_groups", int64(s.LedgerGroups), 0, maxLedgerGroups)
	c.between("limits.max_ledger_bytes", int64(l.MaxLedgerBytes), minLedgerBytes, maxLedgerBytes)
}

// peers checks the members of the first start. The address of this process must be among them, so that all members
// start with the same membership.
func (c *checker) peers(s Control) {
	if len(s.Peers) == 0 && len(s.Join) == 0 && s.Platform == nil {
		c.add("peers", "no member", "the members of the first start, or join addresses of a running group")
	}
	if len(s.Peers) > 0 && len(s.Join) > 0 {
		c.add("join", "addresses", "no address when peers is set")
	}
	var addresses []string
	for i, peer := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		c.dialAddress(field+".address", peer.Address)
		c.dialAddress(field+".admin", peer.Admin)
		c.name(field+".zone", peer.Zone)
		if slices.Contains(addresses, peer.Address) {
			c.add(field+".address", strictjson.Quote(peer.Address), "each address once")
		}
		addresses = append(addresses, peer.Address)
	}
	if len(s.Peers) > 0 && !slices.Contains(addresses, s.Advertise) {
		c.add("peers", strings.Join(addresses, ", "), "a list with the own address "+strictjson.Quote(s.Advertise))
	}
}

func (c *checker) name(field, value string) {
	valid := len(value) > 0 && len(value) <= maxNameLength && !strings.ContainsFunc(value, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.'
	})
	if !valid {
		c.add(field, strictjson.Quote(value), fmt.Sprintf("1 to %d of a-z, 0-9, - and .", maxNameLength))
	}
}

// listenAddress checks an address to listen on; its host may be empty, which means all interfaces, and its port may be
// 0.
func (c *checker) listenAddress(field, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || (host != "" && net.ParseIP(host) == nil) || strconv.FormatUint(number, 10) != port {
		c.add(field, strictjson.Quote(value), "an IP address and a port such as 10.0.0.1:7000")
	}
}

// dialAddress checks an address that other processes dial.
func (c *checker) dialAddress(field, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.ParseUint(port, 10, 16)
	ip := net.ParseIP(host)
	if err != nil || portErr != nil || ip == nil || ip.IsUnspecified() || number == 0 {
		c.add(field, strictjson.Quote(value), "an IP address that others can dial, and a port such as 10.0.0.1:7000")
	}
}

func (c *checker) joinAddresses(addresses []string) {
	for i, address := range addresses {
		c.dialAddress(fmt.Sprintf("join[%d]", i), address)
	}
}

// distinct checks that no two listeners have the same address.
func (c *checker) distinct(addresses map[string]string) {
	users := make(map[string]string)
	for _, field := range slices.Sorted(maps.Keys(addresses)) {
		address := addresses[field]
		if address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if other, ok := users[address]; ok {
			c.add(field, strictjson.Quote(address), "an address other than that of "+other)
		}
		users[address] = field
	}
}

func (c *checker) tls(t TLS) {
	files := []struct{ field, value string }{
		{"tls.certificate", t.Certificate}, {"tls.key", t.Key}, {"tls.ca", t.CA},
	}
	for _, file := range files {
		if t.Insecure && file.value != "" {
			c.add(file.field, strictjson.Quote(file.value), "no value when tls.insecure is true")
		}
		if !t.Insecure && file.value == "" {
			c.add(file.field, `""`, "a file name, or tls.insecure set to true")
		}
	}
}

func (c *checker) path(field, value string) {
	if value == "" {
		c.add(field, `""`, "a path")
	}
}

func (c *checker) urlPath(field, value string) {
	if !strings.HasPrefix(value, "/") || strings.ContainsAny(value, " \t\r\n") {
		c.add(field, strictjson.Quote(value), "a path that starts with /")
	}
}

func (c *checker) zoneDelays(delays map[string]Duration) {
	for _, zone := range slices.Sorted(maps.Keys(delays)) {
		c.durationBetween("zone_delays."+zone, delays[zone], 0, maxZoneDelay)
	}
}

func (c *checker) between(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) durationBetween(field string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.add(field, strictjson.Quote(value.Std().String()), fmt.Sprintf("%s to %s", low, high))
	}
}
