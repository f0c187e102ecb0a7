package clock_test

import (
	"testing"
	"time"

	"sapphiregate.example/sapphiregate/internal/clock"
)

// Guards against different origins of the two clocks: every age would be wrong by their difference.
func TestNowFollowsTheMonotonicClock(t *testing.T) {
	const tolerance = 50 * time.Millisecond
	if difference := time.Until(clock.Now()).Abs(); difference > tolerance {
		t.Fatalf("differs from the monotonic clock by %s without a suspension", difference)
	}
	first := clock.Now()
	time.Sleep(5 * time.Millisecond)
	if elapsed := clock.Now().Sub(first); elapsed < 5*time.Millisecond {
		t.Fatalf("only %s passed during a sleep of 5 ms", elapsed)
	}
}
