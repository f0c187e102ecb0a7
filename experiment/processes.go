package experiment

import (
	"context"
	"slices"
	"sync"
	"time"
)

// stopTimeout bounds a graceful stop.
const stopTimeout = 10 * time.Second

// processes tracks which processes the script has taken down, so that overlapping faults do not stop what is down or
// start what another fault still holds. It is safe for concurrent use.
type processes struct {
	deployment Deployment
	faults     *faultLog
	nodes      []NodeSpec

	mu      sync.Mutex
	zoneOf  map[string]string
	voter   map[string]bool
	killed  map[string]bool
	stopped map[string]bool
	cuts    map[string]bool
	zones   map[string]bool
}

func newProcesses(d Deployment, f *faultLog, members []MemberSpec, nodes []NodeSpec) *processes {
	p := &processes{
		deployment: d, faults: f, nodes: nodes,
		zoneOf: make(map[string]string), voter: make(map[string]bool), killed: make(map[string]bool),
		stopped: make(map[string]bool), cuts: make(map[string]bool), zones: make(map[string]bool),
	}
	for _, node := range nodes {
		p.zoneOf[node.ID] = node.Zone
	}
	for _, member := range members {
		p.zoneOf[member.ID] = member.Zone
		p.voter[member.ID] = !member.Learner
	}
	return p
}

func (p *processes) isNode(id string) bool {
	return slices.ContainsFunc(p.nodes, func(n NodeSpec) bool { return n.ID == id })
}

// updateSource records whether a quorum of voters is up and connected; the mutex is held.
func (p *processes) updateSource() {
	voters, up := 0, 0
	for id, voter := range p.voter {
		if !voter {
			continue
		}
		voters++
		if !p.killed[id] && !p.cuts[id] && !p.zones[p.zoneOf[id]] {
			up++
		}
	}
	p.faults.setSource(up > voters/2)
}

// kill ends a process that is up.
func (p *processes) kill(id string, do func(string) error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed[id] || p.stopped[id] {
		return nil
	}
	p.killed[id] = true
	p.faults.beginOutage(id)
	p.updateSource()
	return do(id)
}

// start starts all killed processes for which want holds.
func (p *processes) start(ctx context.Context, want func(string) bool, do func(context.Context, string) error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id := range p.killed {
		if want(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if err := do(ctx, id); err != nil {
			return err
		}
		delete(p.killed, id)
		p.faults.endOutage(id)
	}
	p.updateSource()
	return nil
}

// reserve marks a process that is up as stopped.
func (p *processes) reserve(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed[id] || p.stopped[id] {
		return false
	}
	p.stopped[id] = true
	return true
}

func (p *processes) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.stopped, id)
}

func (r *runner) killNode(id string) error { return r.processes.kill(id, r.deployment.KillNode) }

func (r *runner) killMember(id string) error { return r.processes.kill(id, r.deployment.KillMember) }

func (r *runner) startNodes(ctx context.Context) error {
	return r.processes.start(ctx, r.processes.isNode, r.deployment.StartNode)
}

func (r *runner) startMembers(ctx context.Context) error {
	member := func(id string) bool { return !r.processes.isNode(id) }
	return r.processes.start(ctx, member, r.deployment.StartMember)
}

// restart stops a node gracefully and starts it again. The stop must end within its limit.
func (r *runner) restart(ctx context.Context, id string) error {
	if !r.processes.reserve(id) {
		return nil
	}
	defer r.processes.release(id)
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	r.faults.beginStop(id)
	err := r.deployment.StopNode(stopCtx, id)
	r.faults.endStop(id)
	if err != nil {
		return err
	}
	pause(ctx, restartPause)
	err = r.deployment.StartNode(ctx, id)
	r.faults.endAbsence(id)
	return err
}

// replaceMember replaces a wiped member by a new voter.
func (r *runner) replaceMember(ctx context.Context, old string) error {
	created, err := r.deployment.ReplaceMember(ctx, old)
	if err != nil {
		return err
	}
	p := r.processes
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zoneOf[created] = p.zoneOf[old]
	p.voter[created] = true
	delete(p.voter, old)
	delete(p.killed, old)
	p.updateSource()
	return nil
}

// voters returns the voting members in a fixed order.
func (r *runner) voters() []string {
	r.processes.mu.Lock()
	defer r.processes.mu.Unlock()
	return slices.DeleteFunc(r.deployment.Members(), func(id string) bool { return !r.processes.voter[id] })
}

// leader returns the leading member, or the first voter if none is known.
func (r *runner) leader() string {
	if leader, ok := r.deployment.Leader(); ok {
		return leader
	}
	return r.voters()[0]
}

func (r *runner) cutZone(zone string) {
	p := r.processes
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.zones[zone] {
		return
	}
	p.zones[zone] = true
	for _, node := range p.nodes {
		if node.Zone == zone {
			p.faults.beginOutage(node.ID)
		}
	}
	p.updateSource()
	p.deployment.CutZone(zone)
}

func (r *runner) healZones() {
	p := r.processes
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone := range p.zones {
		p.deployment.HealZone(zone)
		for _, node := range p.nodes {
			if node.Zone == zone {
				p.faults.endOutage(node.ID)
			}
		}
	}
	clear(p.zones)
	p.updateSource()
}

func (r *runner) cutProcess(id string) {
	p := r.processes
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cuts[id] {
		return
	}
	p.cuts[id] = true
	p.faults.beginOutage(id)
	p.updateSource()
	p.deployment.CutProcess(id)
}

func (r *runner) healProcesses() {
	p := r.processes
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.cuts {
		p.deployment.HealProcess(id)
		p.faults.endOutage(id)
	}
	clear(p.cuts)
	p.updateSource()
}
