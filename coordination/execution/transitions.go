package execution

import (
	"time"

	"sapphiregate.example/sapphiregate/state/ledger"
)

func notRunReply(reason Reason) Reply { return Reply{Outcome: OutcomeNotRun, Reason: reason} }

// enter changes the state and restarts the timers of messages to the ledger.
func (m *StateMachine) enter(s state, now time.Time) {
	m.state = s
	m.resends = 0
	m.resendAt = now.Add(m.resendInterval())
	m.releaseDeadline = now.Add(m.config.ReleaseTimeout)
}

// resendInterval returns the time until the last message to the ledger is sent again.
func (m *StateMachine) resendInterval() time.Duration {
	base := m.config.ResendAfter
	if m.state == querying {
		base = m.config.QueryInterval
	}
	return base << min(m.resends, maxBackoffDoublings)
}

// awaitsDeadline reports whether passing the deadline still has an effect.
func (m *StateMachine) awaitsDeadline() bool {
	return m.state != closed && (!m.replied || (m.state != recording && m.state != releasing && !m.written))
}

// awaitsLedger reports whether a message to the ledger must be sent again until the ledger replies.
func (m *StateMachine) awaitsLedger() bool {
	return m.state == claiming || m.state == recording || m.state == querying || m.state == releasing
}

// finish replies at once and frees the slot. It releases the claim unless the ledger cannot have granted it.
func (m *StateMachine) finish(now time.Time, r Reply) []Output {
	outputs := append(m.reply(r), m.freeSlot()...)
	if m.claimVoid || (m.state == claiming && m.unrefusedClaims == 0) {
		m.state = closed
		return outputs
	}
	m.enter(releasing, now)
	return append(outputs, m.sendRelease())
}

// releaseBeforeReply keeps a reply until the claim is released.
func (m *StateMachine) releaseBeforeReply(now time.Time, r Reply) {
	if !m.replied {
		m.pendingReply = &r
	}
	m.enter(releasing, now)
}

func (m *StateMachine) sendPendingReply() []Output {
	if m.pendingReply == nil {
		return nil
	}
	r := *m.pendingReply
	m.pendingReply = nil
	return m.reply(r)
}

func (m *StateMachine) reply(r Reply) []Output {
	if m.replied {
		return nil
	}
	m.replied = true
	return []Output{r}
}

func (m *StateMachine) freeSlot() []Output {
	if !m.slot {
		return nil
	}
	m.slot = false
	return []Output{FreeSlot{}}
}

func (m *StateMachine) resend() []Output {
	switch m.state {
	case claiming:
		return m.sendClaim()
	case recording:
		return []Output{m.sendRecord()}
	case releasing:
		return []Output{m.sendRelease()}
	case querying:
		if !m.claimVoid {
			return []Output{m.sendRelease(), m.sendQuery()}
		}
		return []Output{m.sendQuery()}
	default:
		return nil
	}
}

func (m *StateMachine) sendClaim() []Output {
	m.unrefusedClaims++
	return []Output{SendClaim{Claim: m.config.Claim}}
}

func (m *StateMachine) sendQuery() Output {
	c := m.config.Claim
	return SendQuery{Query: ledger.Query{Key: c.Key, Route: c.Route, RequestDigest: c.RequestDigest}}
}

func (m *StateMachine) sendRecord() Output {
	c := m.config.Claim
	return SendRecord{Record: ledger.Record{
		Key: c.Key, Executor: c.Executor, Incarnation: c.Incarnation, Attempt: c.Attempt, Response: m.recordedResponse,
	}}
}

func (m *StateMachine) sendRelease() Output {
	c := m.config.Claim
	return SendRelease{Release: ledger.Release{
		Key: c.Key, Executor: c.Executor, Incarnation: c.Incarnation, Attempt: c.Attempt,
	}}
}
