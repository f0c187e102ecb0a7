//go:build !linux

package shape

func newPreciseWaker() alarm { return newTimerAlarm() }
