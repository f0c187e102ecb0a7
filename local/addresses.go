package local

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// The ports of a process. Each process has a loopback address of its own, as instances have in a real deployment, so
// that a restarted process finds its ports free.
const (
	portCallers = 7080
	portMesh    = 7443
	portAdmin   = 7081
)

const (
	// networkAttempts bounds the search for a loopback network that no other deployment uses.
	networkAttempts  = 50
	firstNetwork     = 10
	networks         = 200
	addressesPerByte = 254
)

// addresses hands out loopback addresses 127.N.x.y of one network N.
type addresses struct {
	network int
	next    int
	guard   net.Listener
}

// newAddresses takes a free network. The listener on its first address keeps other deployments away.
func newAddresses() (*addresses, error) {
	for range networkAttempts {
		network := firstNetwork + rand.IntN(networks)
		guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, portAdmin))
		if err == nil {
			return &addresses{network: network, next: 1, guard: guard}, nil
		}
	}
	return nil, errors.New("local: no free loopback network")
}

// take returns the next address.
func (a *addresses) take() string {
	a.next++
	return fmt.Sprintf("127.%d.%d.%d", a.network, a.next/addressesPerByte, a.next%addressesPerByte+1)
}

func (a *addresses) release() { _ = a.guard.Close() }

func withPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
