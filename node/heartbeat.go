package node

import "github.com/cockroachdb/errors"

// Heartbeat is an announcement that an upstream repeats periodically. Heartbeats may arrive late, out of order, or
// after another process has taken over the upstream's address.
type Heartbeat struct {
	Announcement Announcement
	// Sequence grows with each heartbeat of one incarnation.
	Sequence uint64
	// Leaving is set by an upstream that is about to stop.
	Leaving bool
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
	return n.executor.heartbeat(h)
}

// DeregisterUpstream drains the upstream with the given ID, which is about to stop: its calls in flight finish and it
// gets no new ones. It has no effect if another upstream has replaced that one.
func (n *Node) DeregisterUpstream(id string) {
	if n.executor.markDeregistered(id) {
		n.executor.drain()
	}
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

// heartbeat accepts the announcement of a heartbeat, or drains the upstream if it is leaving.
func (e *executor) heartbeat(h Heartbeat) error {
	e.mu.Lock()
	if e.lastHeartbeat.supersedes(h) {
		e.mu.Unlock()
		return nil
	}
	sameUpstream := e.upstream != nil && e.upstream.announcement.ID == h.Announcement.ID &&
		e.upstream.announcement.Incarnation == h.Announcement.Incarnation
	e.lastHeartbeat = heartbeatPosition{
		id: h.Announcement.ID, incarnation: h.Announcement.Incarnation, sequence: h.Sequence,
	}
	leaving := e.stopping || sameUpstream && e.deregistered
	if !sameUpstream {
		e.deregistered = false
	}
	e.mu.Unlock()
	if leaving || h.Leaving && sameUpstream {
		e.drain()
		return nil
	}
	if h.Leaving {
		// A leaving upstream that was never in service gets no calls.
		return nil
	}
	return e.acceptAnnouncement(h.Announcement)
}

// markDeregistered marks the current upstream as about to stop. It returns false if the ID is that of another upstream.
func (e *executor) markDeregistered(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream == nil || e.upstream.announcement.ID != id {
		return false
	}
	e.deregistered = true
	return true
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
