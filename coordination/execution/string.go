package execution

// String returns the value of the Sapphire-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// String names the reason in logs and in responses to the caller.
func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "deadline passed"
	case ReasonLedger:
		return "ledger not reachable"
	case ReasonKeyReused:
		return "key used for another request"
	case ReasonKeyExpired:
		return "key expired"
	case ReasonLedgerFull:
		return "ledger full"
	case ReasonReleased:
		return "another attempt was not run"
	case ReasonClaimed:
		return "another attempt holds the key"
	case ReasonUpstream:
		return "upstream failed"
	default:
		return "none"
	}
}

// State returns the name of the phase of the call for the state dump.
func (m *StateMachine) State() string {
	switch m.state {
	case waiting:
		return "waiting"
	case claiming:
		return "claiming"
	case running:
		return "running"
	case recording:
		return "recording"
	case querying:
		return "asking"
	case releasing:
		return "releasing"
	default:
		return "closed"
	}
}
