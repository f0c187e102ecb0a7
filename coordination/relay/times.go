package relay

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
)

// Times of the protocol.
const (
	// hungryPolls is how much more often a node without a version polls.
	hungryPolls = 4
	// pollJitter spreads polls by this share of the interval in both directions.
	pollJitter = 0.1
	// silenceLimit is the time after which a silent link is given up.
	silenceLimit = endpoints.SuspectAfter
	// orphanJitter spreads the search for another parent among the children of a lost one. Together with two round
	// trips it stays below SuspectAfter, so a child that finds another parent is not published as suspect.
	orphanJitter = 200 * time.Millisecond
	// attemptTimeout bounds one attempt to join, from the dial to the answer.
	attemptTimeout = 2 * time.Second
	// formerPause does the same for a lost parent. It is shorter, since only the link may have failed and there may be
	// no other candidate; a node that takes longer than SuspectAfter to rejoin becomes suspect.
	formerPause = 500 * time.Millisecond
	// roundPause bounds the pause after the first unsuccessful round; it grows by as much per round, up to
	// Config.JoinSpread.
	roundPause = 500 * time.Millisecond
	// fetchTimeout is the time after which an unanswered Fetch is sent again.
	fetchTimeout = time.Second
	// reportDelay collects changes of the counts before they are sent upward.
	reportDelay = 50 * time.Millisecond
	// countHold is the time for which a peer that changed its parent does not report versions that the former parent
	// may still count. A former ancestor drops a stale count after at most one silence limit per level; the value
	// covers six levels with one second of delay each.
	countHold = 6 * (silenceLimit + time.Second)
	// lagAfter is the time after which a node that does not have the approved version in force counts as lagging.
	lagAfter = time.Second
	// memberLost is the silence of a member after which the other members suspect its direct followers that have not
	// announced another parent. It leaves time for a member's restart and jittered joins.
	memberLost = 10 * time.Second
	// orphanGrace is the time that children of a suspect parent have to announce another parent.
	orphanGrace = 6 * time.Second
	// orphanScan is the interval at which members look for records without a watcher.
	orphanScan = time.Second
	// crashLifetime is the time for which crash reports are kept for peers that join later; it equals the quarantine.
	crashLifetime = 10 * time.Minute
	// compareAfter is the number of polls in a row with unequal table digests that start a comparison.
	compareAfter = 3
	// comparePause is the least time between two comparisons on one link.
	comparePause = 10 * time.Second
)

// clockDrift is the factor by which an age grows per hop; it covers clocks whose rates differ by up to 1%.
const clockDrift = 1.01

// Bounds of what a peer keeps.
const (
	maxStaged       = 4
	maxCrashReports = 512
	maxMembers      = 64
	maxLagging      = 8
	maxVersions     = 4
	maxHops         = 16
	maxHave         = 8
	redirectTargets = 4
)
