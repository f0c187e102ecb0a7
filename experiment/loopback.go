package experiment

import (
	"fmt"
	"os"
	"sync/atomic"
)

// Offsets of the processes of one run within its loopback addresses.
const (
	memberAddresses   = 1
	upstreamAddresses = 1 << 12
	nodeAddresses     = 1 << 13
)

// loopbackPrefix is the second byte of the loopback addresses of one run.
type loopbackPrefix int

var runs atomic.Int64

// runPrefix returns a prefix that differs between the runs of this process, and most likely between processes.
func runPrefix() loopbackPrefix {
	return loopbackPrefix(1 + (int64(os.Getpid())*7+runs.Add(1))%253)
}

// address returns the loopback address of the process with this offset.
func (p loopbackPrefix) address(offset int) string {
	return fmt.Sprintf("127.%d.%d.%d", int(p), offset>>8, offset&0xff)
}
