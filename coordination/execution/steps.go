package execution

import (
	"time"

	"sapphiregate.example/sapphiregate/state/ledger"
)

func notRun(reason Reason) Reply { return Reply{Outcome: OutcomeNotRun, Reason: reason} }

// enter changes the state and starts its timers.
func (m *Machine) enter(s state, now time.Time) {
	m.state = s
	m.resends = 0
	m.resendAt = now.Add(m.interval())
	m.giveUpAt = now.Add(m.config.ReleaseFor)
}

// interval returns the time until the next message to the ledger.
func (m *Machine) interval() time.Duration {
	base := m.config.ResendAfter
	if m.state == asking {
		base = m.config.QueryInterval
	}
	return base << min(m.resends, maxBackoffDoublings)
}

// awaitsDeadline reports whether the deadline still changes something.
func (m *Machine) awaitsDeadline() bool {
	return m.state != closed && (!m.answered || (m.state != recording && m.state != releasing && !m.written))
}

// awaitsLedger reports whether messages to the ledger must be sent again.
func (m *Machine) awaitsLedger() bool {
	return m.state == claiming || m.state == recording || m.state == asking || m.state == releasing
}

// finish replies at once, frees the slot and gives the claim back if it may have been granted or may still be.
func (m *Machine) finish(now time.Time, r Reply) []Output {
	outputs := append(m.reply(r), m.freeSlot()...)
	if m.void || (m.state == claiming && m.unrefused == 0) {
		m.state = closed
		return outputs
	}
	m.enter(releasing, now)
	return append(outputs, m.sendRelease())
}

// hold keeps a reply until the claim is given back.
func (m *Machine) hold(now time.Time, r Reply) {
	if !m.answered {
		m.held = &r
	}
	m.enter(releasing, now)
}

func (m *Machine) replyHeld() []Output {
	if m.held == nil {
		return nil
	}
	r := *m.held
	m.held = nil
	return m.reply(r)
}

func (m *Machine) reply(r Reply) []Output {
	if m.answered {
		return nil
	}
	m.answered = true
	return []Output{r}
}

func (m *Machine) freeSlot() []Output {
	if !m.slot {
		return nil
	}
	m.slot = false
	return []Output{FreeSlot{}}
}

func (m *Machine) resend() []Output {
	switch m.state {
	case claiming:
		return m.sendClaim()
	case recording:
		return []Output{m.sendRecord()}
	case releasing:
		return []Output{m.sendRelease()}
	case asking:
		if !m.void {
			return []Output{m.sendRelease(), m.sendQuery()}
		}
		return []Output{m.sendQuery()}
	default:
		return nil
	}
}

func (m *Machine) sendClaim() []Output {
	m.unrefused++
	return []Output{SendClaim{Claim: m.config.Claim}}
}

func (m *Machine) sendQuery() Output {
	c := m.config.Claim
	return SendQuery{Query: ledger.Query{Key: c.Key, Route: c.Route, RequestDigest: c.RequestDigest}}
}

func (m *Machine) sendRecord() Output {
	c := m.config.Claim
	return SendRecord{Record: ledger.Record{
		Key: c.Key, Executor: c.Executor, Incarnation: c.Incarnation, Attempt: c.Attempt, Response: m.record,
	}}
}

func (m *Machine) sendRelease() Output {
	c := m.config.Claim
	return SendRelease{Release: ledger.Release{
		Key: c.Key, Executor: c.Executor, Incarnation: c.Incarnation, Attempt: c.Attempt,
	}}
}
