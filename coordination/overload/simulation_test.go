package overload_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sapphiregate.example/sapphiregate/coordination/admission"
	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/coordination/forward"
	"sapphiregate.example/sapphiregate/coordination/retry"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// serviceSpread is the standard deviation of the logarithm of service times.
const serviceSpread = 0.4

// route is a kind of request.
type route struct {
	name     string
	service  string
	class    bundle.Class
	priority int
	// perSecond is the rate of callers' requests; 0 for calls that only running requests make.
	perSecond        float64
	work             time.Duration
	target, deadline time.Duration
	worth, lateWorth float64
	// timeout bounds each attempt of a caller; 0 leaves it the rest of the deadline.
	timeout time.Duration
	// spread is the standard deviation of the logarithm of the work; 0 takes serviceSpread.
	spread float64
	// calls is the number of calls that a share of the runs makes, all at once if together is set.
	calls    int
	callee   string
	share    float64
	together bool
	bytes    float64
}

// deployment is a set of upstreams and the requests to them.
type deployment struct {
	zones []string
	// placed lists the upstreams of each service by zone.
	placed    map[string][]int
	slots     int
	zoneDelay time.Duration
	routes    []route
	// hopDelay is the one-way delay between nodes of a zone, most of it the time of busy processors.
	hopDelay time.Duration
	// callerDelay is the one-way delay to callers, who open a new connection for each retry, and retries the number of those.
	callerDelay time.Duration
	retries     int
	// speeds lists the factors on the work of the upstreams, which each draws one of; nil draws from 0.7, 1 and 1.3.
	speeds []float64
	// teams is the number of callers' teams, of which the k-th sends in proportion to 1/k; 0 if callers have none.
	teams int
	// early makes callers return after this share of Retry-After; 0 means on time, and atOnce without any wait.
	early  float64
	atOnce bool
	// zoneShares is the share of callers in each zone; nil spreads them evenly.
	zoneShares []float64
}

// phase is a span of time with a load and lost upstreams.
type phase struct {
	length time.Duration
	// load multiplies the rates of all routes.
	load float64
	// lost is the number of upstreams of each service that are out of service.
	lost map[string]int
	// hot multiplies the requests of the team named hotTeam; 0 leaves them.
	hot float64
}

// tally counts what became of the requests of a span.
type tally struct {
	asked, inTarget, late, refused, failed int
	// tries counts the requests with those that came back.
	tries int
	// refusedTwice counts the requests that were refused again when they came back.
	refusedTwice int
	earned, owed float64
	crossed      float64
}

func (t tally) String() string {
	return fmt.Sprintf("asked %5d in target %.3f late %.3f refused %.3f failed %.3f worth %.3f crossed/asked %.2f tries/asked %.2f refused twice %.3f",
		t.asked, t.part(t.inTarget), t.part(t.late), t.part(t.refused), t.part(t.failed), t.earned/t.owed,
		t.crossed/float64(max(1, t.asked)), t.part(t.tries), t.part(t.refusedTwice))
}

func (t tally) part(count int) float64 { return float64(count) / float64(max(1, t.asked)) }

func (t *tally) add(other *tally) {
	t.asked += other.asked
	t.tries += other.tries
	t.refusedTwice += other.refusedTwice
	t.inTarget += other.inTarget
	t.late += other.late
	t.refused += other.refused
	t.failed += other.failed
	t.earned += other.earned
	t.owed += other.owed
	t.crossed += other.crossed
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// machine is an upstream with its node.
type machine struct {
	id, zone, service string
	incarnation       uint64
	speed             float64
	serving           bool
	balancer          *balance.Balancer
	queue             *admission.Queue
	waiting           map[uint64]func(admission.Verdict)
	budgets           map[string]*retry.Budget
	returns           map[string]*retry.Returns
	expiry            time.Time
}

// simulation runs the decisions of balance, admission, forward and retry for a whole deployment in virtual time.
type simulation struct {
	deployment deployment
	random     *rand.Rand
	now        time.Time
	end        time.Time
	events     eventHeap
	sequence   int
	machines   []*machine
	byID       map[string]*machine
	routes     map[string]*route
	nextCall   uint64
	load       float64
	hot        float64
	// teamShares holds the running sum of the shares of the teams.
	teamShares []float64
	// byTeam holds the tallies of the seconds by team.
	byTeam []map[string]*tally
	// seconds holds a tally for each second and class; requests count in the second in which they were first sent.
	seconds []map[string]*tally
	start   time.Time
}

func newSimulation(d deployment, seed uint64) *simulation {
	s := &simulation{
		deployment: d, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), byID: map[string]*machine{},
		routes: map[string]*route{}, load: 1,
	}
	s.start = s.now
	for i := range d.routes {
		s.routes[d.routes[i].name] = &d.routes[i]
	}
	fleet := retry.NewFleet(retry.Limits{Share: 0.2, Window: 10 * time.Second, Allowance: 60})
	for service, counts := range d.placed {
		for zone, count := range counts {
			for i := range count {
				id := fmt.Sprintf("%s-%s-%d", service, d.zones[zone], i)
				m := &machine{id: id, zone: d.zones[zone], service: service, incarnation: 1, serving: true}
				s.machines = append(s.machines, m)
				s.byID[id] = m
			}
		}
	}
	slices.SortFunc(s.machines, func(a, b *machine) int { return strings.Compare(a.id, b.id) })
	fleet.SetNodes(len(s.machines))
	for _, m := range s.machines {
		m.speed = s.drawSpeed()
		m.budgets = map[string]*retry.Budget{}
		for name := range s.routes {
			m.budgets[name] = retry.NewBudget(retry.Config{MaxAttempts: 2, Fleet: fleet})
		}
		m.balancer = balance.New(balance.Config{Zone: m.zone, ZoneDelay: func(zone string) time.Duration {
			return s.delay(m.zone, zone)
		}})
		s.resetQueue(m)
	}
	s.updateTables()
	return s
}

func (s *simulation) drawSpeed() float64 {
	speeds := s.deployment.speeds
	if speeds == nil {
		speeds = []float64{0.7, 1, 1.3}
	}
	return speeds[s.random.IntN(len(speeds))]
}

func (m *machine) returnsOf(route string) *retry.Returns {
	if m.returns == nil {
		m.returns = map[string]*retry.Returns{}
	}
	if m.returns[route] == nil {
		m.returns[route] = &retry.Returns{}
	}
	return m.returns[route]
}

func (s *simulation) resetQueue(m *machine) {
	m.queue = admission.New(admission.Config{Slots: s.deployment.slots, QueueLimit: 2 * s.deployment.slots, TargetQueueLimit: admission.DefaultQueueLimit})
	m.waiting = map[uint64]func(admission.Verdict){}
}

func (s *simulation) delay(from, to string) time.Duration {
	if from == to {
		return s.deployment.hopDelay
	}
	return s.deployment.zoneDelay + s.deployment.hopDelay
}

func (s *simulation) updateTables() {
	var table []balance.Endpoint
	services := map[string]bundle.Service{}
	for _, m := range s.machines {
		state := balance.Serving
		if !m.serving {
			state = balance.Draining
		}
		services[m.service] = bundle.Service{Name: m.service}
		table = append(table, balance.Endpoint{
			ID: m.id, Incarnation: m.incarnation, Zone: m.zone, Service: m.service, Address: m.id, State: state,
			Slots: s.deployment.slots,
		})
	}
	for _, m := range s.machines {
		m.balancer.Update(s.now, table, services)
	}
}

func (s *simulation) after(wait time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(wait), sequence: s.sequence, run: run})
}

// play runs the phases one after another.
func (s *simulation) play(phases ...phase) {
	for i := range s.deployment.routes {
		if r := &s.deployment.routes[i]; r.perSecond > 0 {
			s.nextArrival(r)
		}
	}
	at := time.Duration(0)
	for _, p := range phases {
		s.after(at, func() { s.enter(p) })
		at += p.length
	}
	s.end = s.now.Add(at)
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

func (s *simulation) enter(p phase) {
	s.load, s.hot = p.load, p.hot
	left := map[string]int{}
	for _, m := range s.machines {
		left[m.service]++
		serving := left[m.service] > p.lost[m.service]
		if serving && !m.serving {
			m.incarnation++
			s.resetQueue(m)
		}
		m.serving = serving
		if !serving {
			m.queue.Drain()
			s.apply(m, m.queue.Expire(s.now))
		}
	}
	s.updateTables()
}

func (s *simulation) nextArrival(r *route) {
	rate := r.perSecond * s.load
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.After(s.end) {
			return
		}
		s.nextArrival(r)
		team := s.drawTeam()
		s.callerRequest(r, team)
		if team == hotTeam && s.hot > 1 {
			for range int(s.hot) - 1 {
				s.after(time.Duration(s.random.Float64()*float64(time.Second)), func() { s.callerRequest(r, team) })
			}
		}
	})
}

// tallyOf returns the tally of a class in the second of a time.
func (s *simulation) tallyOf(at time.Time, name string) *tally {
	second := int(at.Sub(s.start) / time.Second)
	for len(s.seconds) <= second {
		s.seconds = append(s.seconds, map[string]*tally{})
	}
	if s.seconds[second][name] == nil {
		s.seconds[second][name] = &tally{}
	}
	return s.seconds[second][name]
}

// between sums the tallies of some seconds, of all routes or of one.
func (s *simulation) between(from, to int, name string) tally {
	var sum tally
	for second := from; second < min(to, len(s.seconds)); second++ {
		for route, t := range s.seconds[second] {
			if name == "" || name == route {
				sum.add(t)
			}
		}
	}
	return sum
}

// callerRequest sends a request of a caller, who retries after a refusal, once if the deployment does not say how often, as
// Retry-After says.
func (s *simulation) callerRequest(r *route, team int) {
	first := s.now
	t := &tally{}
	byRoute, byTeam := s.tallyOf(first, r.name), s.teamTally(first, team)
	end := func() {
		byRoute.add(t)
		byTeam.add(t)
	}
	t.asked++
	t.owed += r.worth
	zone := s.callerZone()
	teamName := ""
	if team > 0 {
		teamName = fmt.Sprint("team-", team)
	}
	refusals := 0
	var try func(retries int)
	try = func(retries int) {
		t.tries++
		sent, left := s.now, r.deadline-s.now.Sub(first)
		m := s.ingressIn(zone)
		elapsed := m.returnsOf(r.name).Elapsed(s.now, left)
		if r.timeout > 0 {
			left = min(left, r.timeout)
		}
		ended := func(result outcome) {
			took := s.now.Sub(first) + s.deployment.callerDelay
			switch {
			case result.ok && took <= r.target:
				t.inTarget++
				t.earned += r.worth
			case result.ok && took <= r.deadline:
				t.late++
				t.earned += r.lateWorth
			case result.notRun && retries > 0 && took < r.deadline:
				if refusals++; refusals == 2 {
					t.refusedTwice++
				}
				refusal := retry.Refusal{Load: result.load, UntilTarget: r.target - elapsed - s.now.Sub(sent), Patience: r.deadline - took}
				wait := min(retry.After(refusal, s.random.Float64()), (r.deadline-took)/3)
				if s.deployment.early > 0 {
					wait = time.Duration(s.deployment.early * float64(wait))
				}
				if s.deployment.atOnce {
					wait = 0
				}
				// The refusal, the two first packets of the connection and the request.
				s.after(wait+4*s.deployment.callerDelay, func() { try(retries - 1) })
				return
			case result.notRun:
				if refusals++; refusals == 2 {
					t.refusedTwice++
				}
				t.refused++
			default:
				t.failed++
			}
			end()
		}
		s.forward(m, r, teamName, elapsed, s.now.Add(left), ended)
	}
	s.after(s.deployment.callerDelay, func() { try(max(1, s.deployment.retries)) })
}

// hotTeam is one of the middle: it sends a few requests in a hundred.
const hotTeam = 10

// drawTeam draws the team of a request; the hot one also sends the requests of nextHot.
func (s *simulation) drawTeam() int {
	if s.deployment.teams == 0 {
		return 0
	}
	if s.teamShares == nil {
		sum := 0.0
		for k := range s.deployment.teams {
			sum += 1 / float64(k+1)
			s.teamShares = append(s.teamShares, sum)
		}
	}
	point := s.random.Float64() * s.teamShares[len(s.teamShares)-1]
	index, _ := slices.BinarySearch(s.teamShares, point)
	return index + 1
}

func (s *simulation) teamTally(at time.Time, team int) *tally {
	second := int(at.Sub(s.start) / time.Second)
	for len(s.byTeam) <= second {
		s.byTeam = append(s.byTeam, map[string]*tally{})
	}
	name := fmt.Sprint("team-", team)
	if s.byTeam[second][name] == nil {
		s.byTeam[second][name] = &tally{}
	}
	return s.byTeam[second][name]
}

// teamsBetween sums the tallies of some seconds by team.
func (s *simulation) teamsBetween(from, to int) map[string]*tally {
	sums := map[string]*tally{}
	for second := from; second < min(to, len(s.byTeam)); second++ {
		for name, t := range s.byTeam[second] {
			if sums[name] == nil {
				sums[name] = &tally{}
			}
			sums[name].add(t)
		}
	}
	return sums
}

func (s *simulation) callerZone() string {
	if s.deployment.zoneShares == nil {
		return s.deployment.zones[s.random.IntN(len(s.deployment.zones))]
	}
	point := s.random.Float64()
	for i, share := range s.deployment.zoneShares {
		if point -= share; point < 0 {
			return s.deployment.zones[i]
		}
	}
	return s.deployment.zones[0]
}

func (s *simulation) ingressIn(zone string) *machine {
	for {
		if m := s.machines[s.random.IntN(len(s.machines))]; m.zone == zone {
			return m
		}
	}
}

// outcome is what a caller is told.
type outcome struct {
	ok, notRun bool
	load       balance.Load
}

// forward sends a request from its ingress to upstreams, as node/forwarding.go does.
func (s *simulation) forward(m *machine, r *route, team string, elapsed time.Duration, deadline time.Time, done func(outcome)) {
	started := s.now.Add(-elapsed)
	budget := m.budgets[r.name]
	budget.CountCall(s.now)
	plan := forward.New(forward.Config{Class: r.class, Budget: budget, Deadline: deadline, Resendable: true})
	var tried []string
	var attempt func(shed bool, last outcome)
	attempt = func(shed bool, last outcome) {
		remaining := max(r.target-s.now.Sub(started), time.Millisecond)
		target, err := m.balancer.Pick(s.now, balance.Request{
			Service: r.service, Route: r.name, Exclude: tried, TargetRemaining: remaining, MeetTargetOnly: shed, Rand: s.random,
		})
		if err != nil {
			last.notRun = plan.Outcome() == retry.NotRun
			done(last)
			return
		}
		tried = append(tried, target.ID)
		plan.AttemptStarted()
		sent := s.now
		executor := s.byID[target.ID]
		delay := s.delay(m.zone, executor.zone)
		if m.zone != executor.zone {
			t := s.tallyOf(s.now, r.name)
			t.crossed++
		}
		s.after(delay, func() {
			s.execute(executor, r, team, deadline.Add(-delay), remaining, func(reply reply) {
				s.after(delay, func() {
					m.balancer.Done(s.now, target, reply.report(r, s.now.Sub(sent)))
					decision := plan.AttemptEnded(s.now, forward.Result{
						Outcome: reply.outcome, ErrorResponse: reply.outcome == retry.Done && reply.failed,
					}, s.random)
					result := outcome{ok: reply.outcome == retry.Done && !reply.failed, load: reply.load}
					switch decision.Action {
					case forward.Respond:
						done(result)
					case forward.Retry:
						s.after(decision.Delay, func() { attempt(reply.outcome == retry.NotRun, result) })
					default:
						result.notRun = plan.Outcome() == retry.NotRun
						done(result)
					}
				})
			})
		})
	}
	attempt(false, outcome{})
}

// reply is what an executor answers.
type reply struct {
	outcome retry.Outcome
	failed  bool
	load    balance.Load
	service time.Duration
}

func (r reply) report(route *route, elapsed time.Duration) balance.Report {
	report := balance.Report{Latency: elapsed, Route: route.name, ServiceTime: r.service, Load: &r.load, ResponseBytes: int64(route.bytes)}
	switch {
	case r.outcome == retry.NotRun:
		report.Outcome = balance.Refused
	case r.outcome == retry.Unknown:
		report.Outcome = balance.Failed
	case r.failed:
		report.Outcome = balance.ErrorResponse
	}
	return report
}

// execute admits a call at the node beside an upstream and runs it.
func (s *simulation) execute(m *machine, r *route, team string, deadline time.Time, targetLeft time.Duration, done func(reply)) {
	if !m.serving || !s.now.Before(deadline) {
		done(reply{outcome: retry.NotRun, load: m.queue.Load()})
		return
	}
	s.nextCall++
	id := s.nextCall
	queue := m.queue
	verdict := queue.Offer(s.now, admission.Ticket{
		ID: id, Class: r.class, Priority: r.priority, Route: r.name, Team: team, Deadline: deadline, TargetTime: s.now.Add(targetLeft),
	})
	decided := func(v admission.Verdict) {
		if v.Action == admission.Run {
			s.run(m, queue, id, r, deadline, done)
			return
		}
		done(reply{outcome: retry.NotRun, load: queue.Load()})
	}
	if verdict.Action == admission.Wait {
		m.waiting[id] = decided
	} else {
		decided(verdict)
	}
	s.apply(m, queue.Expire(s.now))
}

func (s *simulation) apply(m *machine, decisions []admission.Decision) {
	for _, d := range decisions {
		if decided := m.waiting[d.ID]; decided != nil {
			delete(m.waiting, d.ID)
			s.after(0, func() { decided(d.Verdict) })
		}
	}
	next, ok := m.queue.NextExpiry()
	if ok && (m.expiry.IsZero() || next.Before(m.expiry) || m.expiry.Before(s.now)) {
		m.expiry = next
		queue := m.queue
		s.after(max(0, next.Sub(s.now)), func() {
			if m.queue == queue {
				m.expiry = time.Time{}
				s.apply(m, queue.Expire(s.now))
			}
		})
	}
}

// run spends the work of a call on its slot, with the calls that it makes in the middle of it.
func (s *simulation) run(
	m *machine, queue *admission.Queue, id uint64, r *route, deadline time.Time, done func(reply),
) {
	started := s.now
	work := time.Duration(float64(r.work) * m.speed * s.lognormal(cmp.Or(r.spread, serviceSpread)))
	ended := false
	finish := func(ok bool) {
		if ended {
			return
		}
		ended = true
		service := s.now.Sub(started)
		decisions := queue.Finish(s.now, id, service)
		if m.queue == queue {
			s.apply(m, decisions)
		}
		done(reply{outcome: retry.Done, failed: !ok, load: queue.Load(), service: service})
	}
	s.after(max(0, deadline.Sub(s.now)), func() { finish(false) })
	s.after(work/2, func() {
		if ended {
			return
		}
		calls := 0
		if r.calls > 0 && s.random.Float64() < r.share {
			calls = r.calls
		}
		s.makeCalls(m, r, calls, deadline, func(ok bool) {
			if !ok {
				finish(false)
				return
			}
			s.after(work/2, func() { finish(true) })
		})
	})
}

func (s *simulation) makeCalls(m *machine, r *route, count int, deadline time.Time, done func(ok bool)) {
	if count == 0 {
		done(true)
		return
	}
	callee := s.routes[r.callee]
	if limit := s.now.Add(callee.deadline); limit.Before(deadline) {
		deadline = limit
	}
	call := func(done func(bool)) {
		s.forward(m, callee, "", 0, deadline, func(result outcome) { done(result.ok) })
	}
	if !r.together {
		call(func(ok bool) {
			if !ok {
				done(false)
				return
			}
			s.makeCalls(m, r, count-1, deadline, done)
		})
		return
	}
	pending, allOK := count, true
	for range count {
		call(func(ok bool) {
			pending--
			allOK = allOK && ok
			if pending == 0 {
				done(allOK)
			}
		})
	}
}

// lognormal draws a factor with mean 1.
func (s *simulation) lognormal(spread float64) float64 {
	return math.Exp(s.random.NormFloat64()*spread - spread*spread/2)
}
