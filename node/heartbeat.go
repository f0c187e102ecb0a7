package node

import "github.com/cockroachdb/errors"

// Heartbeat is an announcement that an upstream repeats. Heartbeats may arrive late, out of order, or after a new
// process has taken the address.
type Heartbeat struct {
	Announcement Announcement
	// Sequence grows with each heartbeat of one incarnation.
	Sequence uint64
	// Leaving is set by an upstream that is about to stop.
	Leaving bool
}

// ErrUnknownService reports a heartbeat for a service that the configuration does not know, or of an upstream that is
// not beside this node.
var ErrUnknownService = errors.New("node: heartbeat of a foreign upstream")

// lineage orders what is known of the upstreams that were beside this node.
type heartbeatPosition struct {
	id          string
	incarnation int64
	sequence    uint64
}

// outdated reports whether a heartbeat was sent before the last one that was accepted.
func (p heartbeatPosition) supersedes(h Heartbeat) bool {
	if h.Announcement.Incarnation != p.incarnation {
		return h.Announcement.Incarnation < p.incarnation
	}
	return h.Announcement.ID == p.id && h.Sequence <= p.sequence
}

// Heartbeat takes a heartbeat of the upstream beside this node. One that was overtaken changes nothing and is no error.
func (n *Node) Heartbeat(h Heartbeat) error {
	if err := h.Announcement.Validate(); err != nil {
		return err
	}
	if !n.knowsService(h.Announcement.Service) {
		return errors.Wrapf(ErrUnknownService, "service %q", h.Announcement.Service)
	}
	return n.executor.heartbeat(h)
}

// DeregisterUpstream takes the message of an upstream that it is about to end. It serves on for a while without new calls. An
// upstream that is not the present one has been replaced already.
func (n *Node) DeregisterUpstream(id string) {
	if n.executor.markDeregistered(id) {
		n.executor.drain()
	}
}

// knowsService reports whether an upstream of a service may be beside this node. Before the first configuration only
// the one of the settings can be judged.
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

func (e *executor) heartbeat(h Heartbeat) error {
	e.mu.Lock()
	if e.lastHeartbeat.supersedes(h) {
		e.mu.Unlock()
		return nil
	}
	same := e.upstream != nil && e.upstream.announcement.ID == h.Announcement.ID &&
		e.upstream.announcement.Incarnation == h.Announcement.Incarnation
	e.lastHeartbeat = heartbeatPosition{
		id: h.Announcement.ID, incarnation: h.Announcement.Incarnation, sequence: h.Sequence,
	}
	leaving := e.stopping || same && e.deregistered
	if !same {
		e.deregistered = false
	}
	e.mu.Unlock()
	if leaving || h.Leaving && same {
		e.drain()
		return nil
	}
	if h.Leaving {
		// The upstream was not known before; it gets no calls.
		return nil
	}
	return e.acceptAnnouncement(h.Announcement)
}

// departing notes that the present upstream is about to end.
func (e *executor) markDeregistered(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream == nil || e.upstream.announcement.ID != id {
		return false
	}
	e.deregistered = true
	return true
}

// localService returns the service that runs beside this node.
func (e *executor) localService() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.upstream != nil {
		return e.upstream.announcement.Service
	}
	return e.configuredService
}

// Ready reports whether the node is ready for callers: a version is in force and the node is not leaving.
func (n *Node) Ready() bool { return n.snapshot.Load() != nil && !n.stopping.Load() }
