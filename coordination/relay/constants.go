package relay

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
)

// Times of the protocol.
const (
	// startupPollFactor is how many times as often a node polls that has just started and has no version yet.
	startupPollFactor = 4
	// pollJitter is the share of the poll interval by which a poll is sent earlier or later at random.
	pollJitter = 0.1
	// linkTimeout is the time without a message after which a link is closed.
	linkTimeout = endpoints.SuspectAfter
	// parentLossJitter bounds the random delay after which a node that lost its parent starts to search for another one,
	// so that the children of one parent do not search at the same moment. With two round trips it is shorter than
	// SuspectAfter, so that a child that finds another parent at once is not published as suspect.
	parentLossJitter = 200 * time.Millisecond
	// joinTimeout bounds one attempt to join, from the dial to the reply.
	joinTimeout = 2 * time.Second
	// lostParentPause is the time for which a node does not try the address of the parent that it lost. It is shorter
	// than the pause after a failed attempt, since only the link may have failed and there may be no other candidate; a
	// node that takes longer than SuspectAfter to rejoin becomes suspect.
	lostParentPause = 500 * time.Millisecond
	// roundPauseStep bounds the random pause after the first unsuccessful round of a search. The bound grows by as much
	// with every round, up to Config.JoinJitter.
	roundPauseStep = 500 * time.Millisecond
	// maxRefusedProbeInterval bounds the mean time between two probes of a node for a member of its zone while the members
	// accept no more nodes. It may exceed Config.HomeProbeInterval: a full member would otherwise be asked all the time.
	maxRefusedProbeInterval = 30 * time.Second
	// fetchTimeout is the time after which an unanswered Fetch is sent again.
	fetchTimeout = time.Second
	// countReportDelay is the time for which changes of the counts are collected before they are sent to the parent.
	countReportDelay = 50 * time.Millisecond
	// countSuppression is the time for which a peer that changed its parent does not report the versions that its former
	// ancestors may still count; the nodes would be counted twice. Each level of former ancestors drops an outdated count
	// after at most linkTimeout. The value covers six levels with one second of delay each.
	countSuppression = 6 * (linkTimeout + time.Second)
	// laggingAfter is the time after which a node that does not have the approved version in force counts as lagging.
	laggingAfter = time.Second
	// memberLossTimeout is the time without a link to a member after which the other members suspect the member's
	// children that have not announced another parent. It leaves time for a restart of the member and jittered joins.
	memberLossTimeout = 10 * time.Second
	// orphanGracePeriod is the time that the children of a suspect parent have to announce another parent.
	orphanGracePeriod = 6 * time.Second
	// orphanScanInterval is the interval of the search for nodes whose parent is lost, so that no peer monitors them.
	orphanScanInterval = time.Second
	// crashLifetime is the time for which crash reports are kept for peers that join later. It equals the duration of a
	// quarantine.
	crashLifetime = 10 * time.Minute
	// mismatchesBeforeCompare is the number of polls in a row with unequal table digests that start a comparison.
	mismatchesBeforeCompare = 3
	// minCompareInterval is the least time between two comparisons on one link.
	minCompareInterval = 10 * time.Second
)

// clockDriftFactor is the factor by which a confirmed age is enlarged at each hop. It covers clocks whose rates differ
// by up to 1%.
const clockDriftFactor = 1.01

// Bounds of what a peer keeps and of the lists in its messages.
const (
	maxStaged          = 4
	maxCrashReports    = 512
	maxMembers         = 64
	maxLagging         = 8
	maxVersions        = 4
	maxRedirects       = 16 // followed in one round of a search
	maxListedBundles   = 8  // in a Join or Fetch
	maxRedirectTargets = 4
	maxAttempts        = 8 // attempts to join that a node has in progress
)
