package experiment

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/experiment/standin"
	"sapphiregate.example/sapphiregate/transport/shape"
)

// loadPhase is a part of the load. Shares are relative to the capacity of the upstreams' slots.
type loadPhase struct {
	// Share is the part of the run's duration.
	Share float64
	// Foreground is the demand of lookups and irreversible calls together, Reports that of reports.
	Foreground, Reports float64
	// LookupFactor multiplies the rate of lookups; 0 takes 1.
	LookupFactor float64
}

// step is a timed action. Actions run beside each other, because some take seconds.
type step struct {
	// At is the time as a part of the run's duration.
	At   float64
	Name string
	Do   action
}

type action func(ctx context.Context, r *runner) error

// Scenario is a load with a script of faults.
type Scenario struct {
	Name     string
	About    string
	Duration time.Duration

	phases []loadPhase
	// rollouts are spread evenly over the run.
	rollouts int
	steps    []step
	// leave is the share of callers that leave before the answer.
	leave    float64
	patience time.Duration
	sends    int
	// crashRate and nestRate are special calls per second.
	crashRate, nestRate float64
	// timeScale multiplies service times; 0 takes 1.
	timeScale float64
	// upstream are the faults that every upstream has during the whole run.
	upstream standin.Faults
	// zoneLink is added to every link between zones.
	zoneLink shape.Link
}

const (
	defaultLeave = 0.01
	// nestDepth is the greatest call depth of the design scale.
	nestDepth = 22
	// rapidChanges are the changes in a row of rapid-changes and late-return.
	rapidChanges = 300
)

var (
	lightLoad = []loadPhase{{Share: 1, Foreground: 0.2, Reports: 0.05}}
	usualLoad = []loadPhase{{Share: 1, Foreground: 0.5, Reports: 0.15}}
)

// Scenarios returns the scenarios.
func Scenarios() []Scenario {
	scenarios := append(trafficScenarios(), controlScenarios()...)
	for i := range scenarios {
		s := &scenarios[i]
		if s.leave == 0 {
			s.leave = defaultLeave
		}
		if s.Duration == 0 {
			s.Duration = 8 * time.Second
		}
	}
	return scenarios
}

// FindScenario returns the scenario with this name.
func FindScenario(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, errors.Wrapf(ErrUnknownName, "scenario %q", name)
}

func trafficScenarios() []Scenario {
	return []Scenario{
		{
			Name: "steady", About: "usual load and a few rollouts, no faults",
			phases: usualLoad, rollouts: 6,
		},
		{
			Name: "overload-2x", About: "foreground at 0.9 of capacity with reports up to 2x, then lookups double",
			Duration: 10 * time.Second, rollouts: 2,
			phases: []loadPhase{
				{Share: 0.5, Foreground: 0.9, Reports: 1.1},
				{Share: 0.5, Foreground: 0.9, Reports: 1.1, LookupFactor: 2},
			},
		},
		{
			Name: "overload-lookups", About: "lookups double to reach 0.9 of capacity, reports go on at 1.1",
			Duration: 10 * time.Second, rollouts: 2,
			phases: []loadPhase{
				{Share: 0.5, Foreground: 0.48, Reports: 1.1},
				{Share: 0.5, Foreground: 0.48, Reports: 1.1, LookupFactor: 2},
			},
		},
		{
			Name: "slow-zone", About: "the links of one zone become slow and lossy",
			phases: usualLoad, rollouts: 4,
			steps: []step{{0.25, "slow zone", slowZone}, {0.75, "restore zone", restoreZones}},
		},
		{
			Name: "lying-load", About: "slow upstreams report no load and good health",
			phases: usualLoad, rollouts: 2,
			steps: []step{{0.2, "slow upstreams lie", lieAboutLoad}, {0.8, "upstreams recover", clearUpstreamFaults}},
		},
		{
			Name: "cold-herd", About: "half of the upstreams restart cold at once",
			phases: usualLoad, rollouts: 2,
			steps: []step{{0.25, "kill upstreams", killUpstreams}, {0.4, "start upstreams cold", startUpstreams}},
		},
		{
			Name: "rolling-drain", About: "upstreams and nodes leave and return one after another",
			Duration: 12 * time.Second, phases: usualLoad, rollouts: 4, steps: rollingSteps(),
		},
		{
			Name: "node-crash", About: "single nodes crash and return",
			phases: usualLoad, rollouts: 4,
			steps: []step{{0.2, "kill node", killNodes(1)}, {0.4, "start node", startNodes}, {0.5, "kill node", killNodes(1)}, {0.7, "start node", startNodes}},
		},
		{
			Name: "herd-crash", About: "half of the nodes crash at once and return together",
			phases: usualLoad, rollouts: 4,
			steps: []step{{0.3, "kill half of the nodes", killShare(0.5)}, {0.45, "start nodes", startNodes}},
		},
		{
			Name: "zone-partition", About: "one zone is cut off silently",
			phases: usualLoad, rollouts: 6,
			steps: []step{{0.25, "cut zone", cutZone}, {0.65, "heal zone", healZones}},
		},
		{
			Name: "resend-storm", About: "late answers and impatient callers that resend to other nodes",
			phases: usualLoad, rollouts: 2, patience: 150 * time.Millisecond, sends: 5,
			upstream: standin.Faults{LateRate: 0.1, LateDelay: 300 * time.Millisecond, TruncateRate: 0.01, ShedRate: 0.02},
		},
		{
			Name: "crash-request", About: "requests that crash every upstream that runs them, sent again by their callers",
			phases: usualLoad, rollouts: 2, crashRate: 2, sends: 4,
		},
		{
			Name: "deep-calls", About: "calls that nest through the nodes to a depth of 22",
			phases: lightLoad, rollouts: 2, nestRate: 10, timeScale: 0.05,
		},
		{
			Name: "mixed-faults", About: "random, overlapping faults of all kinds",
			Duration: 15 * time.Second, phases: usualLoad, rollouts: 10,
			upstream: standin.Faults{LateRate: 0.02, LateDelay: 200 * time.Millisecond, TruncateRate: 0.005, ShedRate: 0.01},
			steps:    []step{{0.05, "mixed faults", mixedFaults}},
		},
	}
}

func controlScenarios() []Scenario {
	return []Scenario{
		{
			Name: "rollout", About: "frequent rollouts without faults",
			phases: lightLoad, rollouts: 25,
		},
		{
			Name: "rapid-changes", About: "hundreds of rollouts in a row",
			Duration: 10 * time.Second, phases: lightLoad,
			steps: []step{{0.05, "rapid changes", rolloutMany}},
		},
		{
			Name: "lossy-links", About: "rollouts over links between zones that lose 5% of the segments",
			phases: lightLoad, rollouts: 15,
			zoneLink: shape.Link{Jitter: 5 * time.Millisecond, Loss: 0.05},
		},
		{
			Name: "relay-death", About: "the oldest nodes, which relay for the others, die during rollouts",
			phases: lightLoad, rollouts: 15,
			steps: []step{{0.2, "kill relays", killRelays}, {0.5, "start relays", startNodes}, {0.6, "kill relays", killRelays}, {0.8, "start relays", startNodes}},
		},
		{
			Name: "control-leader-death", About: "the leader of the control members dies during rollouts",
			phases: lightLoad, rollouts: 15,
			steps: []step{{0.25, "kill leader", killLeader}, {0.6, "start members", startMembers}},
		},
		{
			Name: "control-partition", About: "the leader is cut off silently and returns late",
			phases: lightLoad, rollouts: 15,
			steps: []step{{0.2, "cut leader off", cutLeader}, {0.7, "heal", healProcesses}},
		},
		{
			Name: "source-outage", About: "all control members are down for a while",
			phases: lightLoad, rollouts: 8,
			steps: []step{{0.25, "kill members", killMembers}, {0.6, "start members", startMembers}},
		},
		{
			Name: "herd-restart", About: "all nodes crash and return with empty memory at once",
			phases: lightLoad, rollouts: 6,
			steps: []step{{0.3, "kill all nodes", killShare(1)}, {0.4, "start nodes", startNodes}},
		},
		{
			Name: "late-return", About: "a cut-off node and a stopped node return after hundreds of changes",
			Duration: 12 * time.Second, phases: lightLoad,
			steps: []step{
				{0.05, "cut a node off", cutNode}, {0.05, "kill a node", killNodes(1)}, {0.1, "rapid changes", rolloutMany},
				{0.8, "heal", healProcesses}, {0.8, "start node", startNodes},
			},
		},
		{
			Name: "member-replace", About: "a member loses its disk and is replaced, and a second member fails",
			Duration: 12 * time.Second, phases: lightLoad, rollouts: 15,
			steps: []step{{0.15, "wipe and replace a member", replaceMember}, {0.75, "start members", startMembers}},
		},
		{
			Name: "operator-race", About: "operators submit different bundles under equal versions and resend",
			phases: lightLoad, rollouts: 2, steps: raceSteps(),
		},
		{
			Name: "bad-bundle", About: "bundles that are invalid, unsigned or old are submitted between good ones",
			phases: lightLoad, rollouts: 6,
			steps: []step{{0.2, "bad bundles", submitBad}, {0.5, "bad bundles", submitBad}, {0.8, "bad bundles", submitBad}},
		},
	}
}

func rollingSteps() []step {
	var steps []step
	for i := range 5 {
		at := 0.05 + 0.1*float64(i)
		steps = append(steps, step{at, "drain upstream", drainUpstream(i)}, step{at + 0.05, "stop and start node", restartNode(i)})
	}
	return steps
}

func raceSteps() []step {
	var steps []step
	for i := range 8 {
		steps = append(steps, step{0.1 + 0.1*float64(i), "operator race", race})
	}
	return steps
}
