package ledger

// Stats counts the content of a ledger.
type Stats struct {
	NowMs         int64
	Claimed       int
	Done          int
	Released      int
	Responses     int
	ResponseBytes int
	Executors     int
}

// Stats counts the content of the ledger. It visits all keys, which is too slow to be done for each command.
func (l *Ledger) Stats() Stats {
	stats := Stats{
		NowMs:         l.nowMs,
		Responses:     len(l.responses.byKey),
		ResponseBytes: l.responses.totalBytes,
		Executors:     len(l.executors.names),
	}
	for _, e := range l.entries {
		switch e.status {
		case Claimed:
			stats.Claimed++
		case Done:
			stats.Done++
		case Released:
			stats.Released++
		}
	}
	return stats
}

// String returns the name of the status for logs.
func (s Status) String() string {
	switch s {
	case Granted:
		return "granted"
	case Claimed:
		return "claimed"
	case Done:
		return "done"
	case Released:
		return "released"
	case KeyReused:
		return "key-reused"
	case Expired:
		return "expired"
	case Absent:
		return "absent"
	case Full:
		return "full"
	default:
		return "invalid"
	}
}
