// Package standin emulates the upstreams of the systems that sapphiregate serves, and records which requests they ran.
package standin

import (
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Options describes one upstream.
type Options struct {
	Seed        int64
	ID          string
	Service     string
	Slots       int
	Connections int
	// Connect is the extra time before the first byte of a new connection is read.
	Connect time.Duration
	// Times are the mean service times by class.
	Times map[bundle.Class]time.Duration
	// Admin is the address of the node beside the upstream; Node is its address for nested calls.
	Admin string
	Node  string
	// Truth receives the ground truth.
	Truth *Truth
}
