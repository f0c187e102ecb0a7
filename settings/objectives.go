package settings

import (
	"fmt"
	"strconv"
	"time"
)

// Objectives are the bounds that the operators of a deployment have promised to their users. The times, shares and
// counts that a process works with are derived from them. Fields that are 0 take the defaults.
type Objectives struct {
	// ApplyWithin is the time after its acknowledgement within which a version is in force on every node.
	ApplyWithin Duration `json:"apply_within,omitempty"`
	// DrainWithin is the time after which an upstream that leaves receives no new call.
	DrainWithin Duration `json:"drain_within,omitempty"`
	// RepairWithin is the time within which an instance that returns, or takes the place of another one, is a full
	// member of its group.
	RepairWithin Duration `json:"repair_within,omitempty"`
	// ResendWithin is the time for which operators send an order without an identifier again if they got no response. Later
	// an equal order is another one.
	ResendWithin Duration `json:"resend_within,omitempty"`
	// RetryShare bounds the retries of all nodes together as a share of the calls of a service.
	RetryShare float64 `json:"retry_share,omitempty"`
	// RetryWindow is the time over which retries are counted, and RetryAllowance the number that each service may have
	// in it beyond its share; 0 gives each node the same number, however many there are.
	RetryWindow    Duration `json:"retry_window,omitempty"`
	RetryAllowance float64  `json:"retry_allowance,omitempty"`
	// QuotaWindow is the time over which the requests of a team are compared with its quota. In it, all nodes together may
	// exceed the quota by the share QuotaOvershoot and by QuotaAllowance requests.
	QuotaWindow    Duration `json:"quota_window,omitempty"`
	QuotaOvershoot float64  `json:"quota_overshoot,omitempty"`
	QuotaAllowance float64  `json:"quota_allowance,omitempty"`
	// RevokeWithin is the time after which no node accepts a key that was taken away from a team. With RevokeStrict, this
	// holds also on nodes that are cut off from the control members: they refuse requests that need a key.
	RevokeWithin Duration `json:"revoke_within,omitempty"`
	RevokeStrict bool     `json:"revoke_strict,omitempty"`
	// CanaryShare bounds the requests of a service that a release gets before it is judged, as a share of all since the
	// start of its rollout; CanaryAllowance is a number of requests beyond it. RollbackWithin is the time after which a
	// release that was found bad gets no further request.
	CanaryShare     float64  `json:"canary_share,omitempty"`
	CanaryAllowance float64  `json:"canary_allowance,omitempty"`
	RollbackWithin  Duration `json:"rollback_within,omitempty"`
}

// Default objectives.
const (
	defaultApplyWithin  = 2 * time.Second
	defaultDrainWithin  = 3 * time.Second
	defaultRepairWithin = 4 * time.Second
	defaultResendWithin = 4 * time.Second
	defaultRetryShare   = 0.2
	defaultRetryWindow  = 10 * time.Second

	defaultQuotaWindow    = 5 * time.Second
	defaultQuotaOvershoot = 0.1
	defaultQuotaAllowance = 20

	defaultRevokeWithin = 5 * time.Second

	defaultCanaryShare     = 0.1
	defaultCanaryAllowance = 50
	defaultRollbackWithin  = 5 * time.Second
)

// DefaultObjectives returns the defaults.
func DefaultObjectives() Objectives {
	return Objectives{
		ApplyWithin: Duration(defaultApplyWithin), DrainWithin: Duration(defaultDrainWithin),
		RepairWithin: Duration(defaultRepairWithin), ResendWithin: Duration(defaultResendWithin),
		RetryShare: defaultRetryShare, RetryWindow: Duration(defaultRetryWindow),
		QuotaWindow: Duration(defaultQuotaWindow), QuotaOvershoot: defaultQuotaOvershoot, QuotaAllowance: defaultQuotaAllowance,
		RevokeWithin: Duration(defaultRevokeWithin),
		CanaryShare:  defaultCanaryShare, CanaryAllowance: defaultCanaryAllowance, RollbackWithin: Duration(defaultRollbackWithin),
	}
}

// Bounds of the objectives.
const (
	// minApplyWithin leaves time for an election and for joining another member.
	minApplyWithin    = 600 * time.Millisecond
	minDrainWithin    = 200 * time.Millisecond
	minRepairWithin   = 1500 * time.Millisecond
	minResendWithin   = 100 * time.Millisecond
	minRetryWindow    = 100 * time.Millisecond
	maxObjective      = time.Hour
	maxRetryAllowance = 1_000_000
	// minRevokeWithin is that of a version, by which a key is taken away.
	minRevokeWithin = minApplyWithin
	minQuotaWindow  = 100 * time.Millisecond
	maxAllowance    = 1_000_000
	// minRollbackWithin leaves time for a verdict to reach all nodes.
	minRollbackWithin = 500 * time.Millisecond
)

func (c *checker) objectives(o Objectives) {
	c.durationBetween("objectives.apply_within", o.ApplyWithin, minApplyWithin, maxObjective)
	c.durationBetween("objectives.drain_within", o.DrainWithin, minDrainWithin, maxObjective)
	c.durationBetween("objectives.repair_within", o.RepairWithin, minRepairWithin, maxObjective)
	c.durationBetween("objectives.resend_within", o.ResendWithin, minResendWithin, maxObjective)
	c.durationBetween("objectives.retry_window", o.RetryWindow, minRetryWindow, maxObjective)
	c.numberBetween("objectives.retry_share", o.RetryShare, 0, 1)
	c.numberBetween("objectives.retry_allowance", o.RetryAllowance, 0, maxRetryAllowance)
	c.durationBetween("objectives.quota_window", o.QuotaWindow, minQuotaWindow, maxObjective)
	c.numberBetween("objectives.quota_overshoot", o.QuotaOvershoot, 0, 1)
	c.numberBetween("objectives.quota_allowance", o.QuotaAllowance, 0, maxAllowance)
	c.durationBetween("objectives.revoke_within", o.RevokeWithin, minRevokeWithin, maxObjective)
	if o.RevokeStrict && o.RevokeWithin < o.ApplyWithin {
		c.add("objectives.revoke_within", o.RevokeWithin.Std().String(), "at least apply_within, with revoke_strict")
	}
	c.numberBetween("objectives.canary_share", o.CanaryShare, 0, 1)
	c.numberBetween("objectives.canary_allowance", o.CanaryAllowance, 0, maxAllowance)
	c.durationBetween("objectives.rollback_within", o.RollbackWithin, minRollbackWithin, maxObjective)
}

func (c *checker) numberBetween(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.add(field, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("%g to %g", low, high))
	}
}
