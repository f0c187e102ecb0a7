package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/pace"
	"sapphiregate.example/sapphiregate/coordination/speed"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/transport/web"
)

// ErrAnnouncement reports an announcement that is malformed or has a field outside its bounds.
var ErrAnnouncement = errors.New("node: invalid announcement")

// Bounds of an announcement.
const (
	maxAnnouncedSlots       = 100_000
	maxAnnouncedConnections = 100_000
	defaultConnections      = 100
)

// Announcement describes an upstream to the node beside it, by PUT to PathUpstream.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP address and port at which the upstream serves HTTP.
	Address string `json:"address"`
	// Slots is the number of calls that the upstream runs at once.
	Slots int `json:"slots"`
	// Connections bounds the connections to the upstream; 0 means 100.
	Connections int `json:"connections,omitempty"`
	// HealthPath and LoadPath are the paths of the upstream's health check and load report; empty if it has none.
	HealthPath string `json:"health_path,omitempty"`
	LoadPath   string `json:"load_path,omitempty"`
	// ID identifies the upstream process, for upstreams that refuse requests meant for another one.
	ID string `json:"id,omitempty"`
	// Incarnation is the start time of the upstream in Unix milliseconds; the announcement with the later start counts.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Release is the version of the upstream's software; empty if it has none.
	Release string `json:"release,omitempty"`
}

// Validate returns nil, or ErrAnnouncement with all invalid fields.
func (a Announcement) Validate() error {
	var err error
	add := func(field, allowed string) {
		err = errors.CombineErrors(err, errors.Wrapf(ErrAnnouncement, "%s must be %s", field, allowed))
	}
	if a.Service == "" {
		add("service", "the name of a service")
	}
	if _, _, splitErr := net.SplitHostPort(a.Address); splitErr != nil {
		add("address", "an IP address and port")
	}
	if a.Slots < 1 || a.Slots > maxAnnouncedSlots {
		add("slots", "from 1 to 100000")
	}
	if a.Connections < 0 || a.Connections > maxAnnouncedConnections {
		add("connections", "from 0 to 100000")
	}
	return err
}

// upstreamState is the state of the upstream beside the node.
type upstreamState uint8

const (
	// upstreamAbsent: no upstream has announced itself.
	upstreamAbsent upstreamState = iota
	upstreamServing
	// upstreamDown: the upstream does not accept connections; it is probed until it does.
	upstreamDown
	upstreamDraining
	// upstreamUnverified: the first heartbeat since this process started has arrived. It may be a late one of an upstream
	// that has told the former process that it leaves.
	upstreamUnverified
)

// String returns the name used in dumps.
func (s upstreamState) String() string {
	return [...]string{"absent", "serving", "down", "draining", "unverified"}[s]
}

const (
	// probeInterval is the time between two probes of an upstream that is down.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// maxUnhealthyTime bounds how long a failed health check keeps an upstream that accepts connections out of service:
	// health checks can be late or wrong. An upstream that is not verified must also have sent heartbeats for this time.
	maxUnhealthyTime = 5 * time.Second
	// probeFailureThreshold is the number of consecutive failed probes after which a serving upstream counts as
	// crashed. One probe may fail because a connection is lost or slow to open on a busy instance.
	probeFailureThreshold = 2
)

// upstream is an announced upstream and the client for its connections.
type upstream struct {
	announcement Announcement
	client       *web.UpstreamClient
	// limit is the number of requests per second that the upstream has named last; 0 if it names none. invalidLimit is set
	// after one that could not be read. The executor's lock guards both.
	limit        float64
	invalidLimit bool
	// heartbeats are those that arrived before the upstream was verified. The executor's lock guards it.
	heartbeats heartbeatSeries
	// speed and moment tell how fast the upstream works, in general and now. The executor's lock guards both.
	speed  speed.Meter
	moment speed.Moment
	// pace limits the calls after a start. The executor's lock guards it.
	pace pace.Pacer
	// invalidLoad is set after a load that could not be read.
	invalidLoad bool
}

// minSpeedCalls is the number of calls from which on the measured speed is stated to others.
const minSpeedCalls = 16

// statedSpeed returns the speed and the slowdown for a load report, in percent. The caller holds the executor's lock.
func (u *upstream) statedSpeed(now time.Time) (percent, slowdown int) {
	if paced := u.pace.Speed(); u.pace.Active() && paced > 0 {
		percent = max(1, int(100*paced))
	} else if u.speed.Calls() >= minSpeedCalls {
		percent = int(100 * u.speed.Speed())
	}
	return percent, int(100 * u.moment.Slowdown(now))
}

func newUpstream(announcement Announcement) *upstream {
	connections := announcement.Connections
	if connections == 0 {
		connections = defaultConnections
	}
	return &upstream{
		announcement: announcement,
		client:       web.NewUpstreamClient(announcement.Address, connections),
	}
}

// acceptsConnections reports whether the upstream accepts connections.
func (u *upstream) acceptsConnections(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return u.client.Probe(ctx) == nil
}

// checkHealth requests the upstream's health check. It reports whether that succeeds, and whether the response says that
// the upstream is about to stop. An upstream without a health path counts as healthy.
func (u *upstream) checkHealth(ctx context.Context, path string, dialect *protocol.Dialect) (healthy, leaving bool) {
	if path == "" {
		return true, false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := u.client.Get(ctx, path, maxReportBytes)
	return err == nil && report.Status < http.StatusMultipleChoices, dialect.Leaving(report.Header)
}

// maxReportBytes bounds the responses of an upstream's health and load paths.
const maxReportBytes = 4 << 10

// selfReport reads the upstream's load path for the dump. Decisions use only what the node itself measures, since
// self-reported load can be late or wrong.
func (u *upstream) selfReport(ctx context.Context) json.RawMessage {
	if u.announcement.LoadPath == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := u.client.Get(ctx, u.announcement.LoadPath, maxReportBytes)
	if err != nil || !json.Valid(report.Body) {
		return nil
	}
	return report.Body
}
