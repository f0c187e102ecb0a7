// Package clock reads a clock that also counts the time for which the instance was suspended. The monotonic clock of
// Go does not advance during a suspension: a resumed process would take expired leases, old confirmations and long
// silences for recent ones.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// startTime is the common origin of both clocks.
var startTime, startBootTime = time.Now(), bootTime()

// Now returns the current time. Differences between two results include suspensions. If the operating system has no
// such clock, Now returns time.Now().
func Now() time.Time {
	elapsed := bootTime() - startBootTime
	if startBootTime == 0 || elapsed < 0 {
		return time.Now()
	}
	return startTime.Add(elapsed)
}

// bootTime returns the time since the instance booted, suspensions included, or 0 if it cannot be read.
func bootTime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
