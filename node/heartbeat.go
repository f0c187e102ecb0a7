package node

import (
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
)

// Heartbeat is an announcement that an upstream repeats periodically. Heartbeats may arrive late, out of order, or
// after another process has taken over the upstream's address.
type Heartbeat struct {
	Announcement Announcement
	// Sequence grows with each heartbeat of one incarnation.
	Sequence uint64
	// Leaving is set by an upstream that is about to stop.
	Leaving bool
	// Warmup is how much longer the upstream expects to be slow after its start; 0 if it is warm or does not know.
	Warmup time.Duration
}

// ErrUnknownService reports a heartbeat for a service that is in neither the settings nor the configuration in force.
var ErrUnknownService = errors.New("node: heartbeat for a service that is not configured")

// heartbeatPosition identifies the last accepted heartbeat: its upstream, incarnation and sequence number.
type heartbeatPosition struct {
	id          string
	incarnation int64
	sequence    uint64
}

// supersedes reports whether a heartbeat was sent before the one at this position, or is the same one.
func (p heartbeatPosition) supersedes(h Heartbeat) bool {
	if h.Announcement.Incarnation != p.incarnation {
		return h.Announcement.Incarnation < p.incarnation
	}
	return h.Announcement.ID == p.id && h.Sequence <= p.sequence
}

// Heartbeat processes a heartbeat of the upstream beside this node. It ignores a heartbeat that arrives after a later
// one and returns no error for it.
func (n *Node) Heartbeat(h Heartbeat) error {
	if err := h.Announcement.Validate(); err != nil {
		return err
	}
	if !n.knowsService(h.Announcement.Service) {
		return errors.Wrapf(ErrUnknownService, "service %q", h.Announcement.Service)
	}
	n.executor.heartbeat(h)
	return nil
}

// DeregisterUpstream drains the upstream with the given ID, which is about to stop: its calls in flight finish and it
// gets no new ones. If the upstream is not known, as after a restart of this node, its later heartbeats do not put it
// into service.
func (n *Node) DeregisterUpstream(id string) {
	n.executor.deregister(id)
}

// knowsService reports whether a service is in the settings or in the configuration in force. Before the first
// configuration only the service of the settings is known.
func (n *Node) knowsService(name string) bool {
	if name == n.options.Service {
		return true
	}
	current := n.snapshot.Load()
	if current == nil {
		return false
	}
	_, known := current.services[name]
	return known
}

// heartbeat puts the upstream of a valid heartbeat into service, or drains it if it is leaving.
func (e *executor) heartbeat(h Heartbeat) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastHeartbeat.supersedes(h) {
		return
	}
	e.lastHeartbeat = heartbeatPosition{
		id: h.Announcement.ID, incarnation: h.Announcement.Incarnation, sequence: h.Sequence,
	}
	e.noteWarmup(h)
	if h.Leaving && h.Announcement.Incarnation > 0 {
		e.rememberDeregistered(h.Announcement.ID, h.Announcement.Incarnation)
	}
	if h.Leaving || e.hasDeregistered(h.Announcement) {
		// If the leaving upstream was never in service, it has taken the place of the current one, which gets no calls
		// either.
		e.startDrain()
		return
	}
	if e.upstream == nil || e.state == upstreamUnverified {
		e.startVerification(h.Announcement)
		return
	}
	e.putInService(h.Announcement)
}

// startVerification takes the first upstream of this process, which gets calls once it is verified: the former process on
// this instance may have acknowledged that it leaves, and its late heartbeat says that it serves. The caller holds e.mu.
func (e *executor) startVerification(announcement Announcement) {
	if e.stopping {
		return
	}
	if e.upstream != nil && e.upstream.announcement == announcement {
		e.upstream.heartbeats.add(time.Now())
		return
	}
	e.replaceUpstream(announcement)
	e.upstream.heartbeats.add(time.Now())
	e.state = upstreamUnverified
	e.queue = e.newQueue()
	select {
	case e.verify <- struct{}{}:
	default:
	}
}

// minSustainedHeartbeats is the number of heartbeats that count as sustained if they arrive over maxUnhealthyTime.
const minSustainedHeartbeats = 3

// heartbeatSeries records the heartbeats of an upstream that is not verified.
type heartbeatSeries struct {
	count       int
	first, last time.Time
}

func (s *heartbeatSeries) add(now time.Time) {
	if s.count == 0 {
		s.first = now
	}
	s.count++
	s.last = now
}

// sustained reports whether the upstream still sends heartbeats. One that leaves sends no more; a few that it sent before
// may arrive late.
func (s *heartbeatSeries) sustained() bool {
	return s.count >= minSustainedHeartbeats && s.last.Sub(s.first) >= maxUnhealthyTime
}

// maxDeregistered bounds the remembered upstreams. The upstream beside a node is replaced a few times an hour at most.
const maxDeregistered = 64

// deregister records that an upstream is about to stop, and drains it if it is the current one. For an unknown upstream,
// the message applies to every incarnation that has started before it.
func (e *executor) deregister(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream == nil || e.upstream.announcement.ID != id {
		e.rememberDeregistered(id, time.Now().UnixMilli())
		return
	}
	e.rememberDeregistered(id, e.upstream.announcement.Incarnation)
	e.startDrain()
}

// recallLeaving records what the upstream said to an earlier process of this node, and drains the upstream if it is the
// current one.
func (e *executor) recallLeaving(leaving endpoints.UpstreamProcess) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.logger.Info().Str("upstream", leaving.ID).Msg("the former process of this node knew that the upstream leaves")
	e.rememberDeregistered(leaving.ID, leaving.Incarnation)
	if e.upstream != nil && e.hasDeregistered(e.upstream.announcement) {
		e.startDrain()
	}
}

// hasDeregistered reports whether the upstream has said that it is about to stop. The caller holds e.mu.
func (e *executor) hasDeregistered(announcement Announcement) bool {
	last, known := e.deregistered[announcement.ID]
	return known && announcement.Incarnation <= last
}

// rememberDeregistered keeps heartbeats of an upstream from putting an incarnation up to the given one into service. The
// caller holds e.mu.
func (e *executor) rememberDeregistered(id string, incarnation int64) {
	if len(e.deregistered) >= maxDeregistered {
		clear(e.deregistered)
	}
	e.deregistered[id] = incarnation
}

// localService returns the service of the upstream beside this node.
func (e *executor) localService() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream != nil {
		return e.upstream.announcement.Service
	}
	return e.configuredService
}

// Ready reports whether the node is ready for callers: a version is in force and the node is not stopping.
func (n *Node) Ready() bool { return n.snapshot.Load() != nil && !n.stopping.Load() }
