package relay

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
)

// Times of the protocol.
const (
	// startupPollFactor is how much more often a node without a version polls.
	startupPollFactor = 4
	// pollJitter spreads polls by this share of the interval in both directions.
	pollJitter = 0.1
	// linkTimeout is the time after which a silent link is given up.
	linkTimeout = endpoints.SuspectAfter
	// parentLossJitter spreads the search for another parent among the children of a lost one. Together with two round
	// trips it stays below SuspectAfter, so a child that finds another parent is not published as suspect.
	parentLossJitter = 200 * time.Millisecond
	// joinTimeout bounds one attempt to join, from the dial to the answer.
	joinTimeout = 2 * time.Second
	// lostParentPause does the same for a lost parent. It is shorter, since only the link may have failed and there may be
	// no other candidate; a node that takes longer than SuspectAfter to rejoin becomes suspect.
	lostParentPause = 500 * time.Millisecond
	// roundPauseStep bounds the pause after the first unsuccessful round; it grows by as much per round, up to
	// Config.JoinSpread.
	roundPauseStep = 500 * time.Millisecond
	// fetchTimeout is the time after which an unanswered Fetch is sent again.
	fetchTimeout = time.Second
	// countReportDelay collects changes of the counts before they are sent upward.
	countReportDelay = 50 * time.Millisecond
	// countSuppression is the time for which a peer that changed its parent does not report versions that the former parent
	// may still count. A former ancestor drops a stale count after at most one silence limit per level; the value
	// covers six levels with one second of delay each.
	countSuppression = 6 * (linkTimeout + time.Second)
	// laggingAfter is the time after which a node that does not have the approved version in force counts as lagging.
	laggingAfter = time.Second
	// memberLossTimeout is the silence of a member after which the other members suspect its direct followers that have not
	// announced another parent. It leaves time for a member's restart and jittered joins.
	memberLossTimeout = 10 * time.Second
	// orphanGracePeriod is the time that children of a suspect parent have to announce another parent.
	orphanGracePeriod = 6 * time.Second
	// orphanScanInterval is the interval at which members look for records without a watcher.
	orphanScanInterval = time.Second
	// crashLifetime is the time for which crash reports are kept for peers that join later; it equals the quarantine.
	crashLifetime = 10 * time.Minute
	// mismatchesBeforeCompare is the number of polls in a row with unequal table digests that start a comparison.
	mismatchesBeforeCompare = 3
	// minCompareInterval is the least time between two comparisons on one link.
	minCompareInterval = 10 * time.Second
)

// clockDriftFactor is the factor by which an age grows per hop; it covers clocks whose rates differ by up to 1%.
const clockDriftFactor = 1.01

// Bounds of what a peer keeps.
const (
	maxStaged          = 4
	maxCrashReports    = 512
	maxMembers         = 64
	maxLagging         = 8
	maxVersions        = 4
	maxRedirects       = 16
	maxListedBundles   = 8
	maxRedirectTargets = 4
)
