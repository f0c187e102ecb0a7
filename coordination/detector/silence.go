package detector

import "time"

// Silence detects that a peer does not reply to messages. The connection to it may have gone silent without a reset, so
// that further messages should be sent on a new one. The zero value is ready to use. A Silence is a state machine: the
// caller passes in the time and performs the I/O. It is not safe for concurrent use.
type Silence struct {
	// unansweredSince is when the first message was sent after the last one that arrived, or the first of those with the
	// longest limit; zero if there is none.
	unansweredSince time.Time
	// limit is the longest limit of these messages.
	limit time.Duration
}

// Sent records a message to which the peer should reply within a limit. A longer limit, as of a large message, holds for
// the messages behind it as well.
func (s *Silence) Sent(now time.Time, limit time.Duration) {
	if s.unansweredSince.IsZero() || limit > s.limit {
		s.unansweredSince, s.limit = now, limit
	}
}

// Received records that a message of the peer has arrived.
func (s *Silence) Received() { s.unansweredSince = time.Time{} }

// Expired reports whether the peer counts as silent. The time then begins anew with the next message that is sent.
func (s *Silence) Expired(now time.Time) bool {
	if s.unansweredSince.IsZero() || now.Sub(s.unansweredSince) < s.limit {
		return false
	}
	s.unansweredSince = time.Time{}
	return true
}
