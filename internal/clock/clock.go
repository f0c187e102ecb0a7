// Package clock reads a clock that also counts the time for which the machine was suspended. Go's monotonic clock stands
// still meanwhile, so that a process that wakes would take leases, confirmations and silences for young ones.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the common origin of both clocks.
var start, startBoot = time.Now(), bootTime()

// Now returns the time since the start of the process, suspensions included, as an instant. Where the system has no such
// clock it is that of time.Now.
func Now() time.Time {
	elapsed := bootTime() - startBoot
	if startBoot == 0 || elapsed < 0 {
		return time.Now()
	}
	return start.Add(elapsed)
}

// bootTime returns the time since the machine started, or 0 if that cannot be read.
func bootTime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
