package speed

import "time"

const (
	// momentLifetime is the time for which a stated slowdown counts. Slow moments last for some tenths of a second.
	momentLifetime = 300 * time.Millisecond
	// momentDivisor is the inverse of the weight of one statement in the running mean.
	momentDivisor = 64
	// slowRatio is the ratio of a statement to the running mean from which on a moment is slow.
	slowRatio = 1.5
)

// Moment follows the slowdown that an upstream states in its responses, in percent of its usual service time. Only the
// node beside the upstream uses it, since it is outdated within some tenths of a second. It is compared with its own mean:
// an upstream that always states a high or a low figure gains and loses nothing.
type Moment struct {
	last int
	mean float64
	at   time.Time
}

// Observe records a statement; 0 is none.
func (m *Moment) Observe(now time.Time, percent int) {
	if percent <= 0 {
		return
	}
	if m.mean == 0 {
		m.mean = float64(percent)
	}
	m.mean += (float64(percent) - m.mean) / momentDivisor
	m.last, m.at = percent, now
}

// Slowdown returns the ratio of the last statement to the mean; 1 if it is outdated or there is none.
func (m *Moment) Slowdown(now time.Time) float64 {
	if m.at.IsZero() || now.Sub(m.at) > momentLifetime {
		return 1
	}
	return float64(m.last) / m.mean
}

// Slow reports whether work takes clearly longer than usual at this moment.
func (m *Moment) Slow(now time.Time) bool { return m.Slowdown(now) >= slowRatio }
