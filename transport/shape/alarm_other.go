//go:build !linux

package shape

func newPreciseAlarm() alarm { return newTimerAlarm() }
