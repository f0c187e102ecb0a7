//go:build !linux

package shape

func newPreciseWaker() waker { return newTimerWaker() }
