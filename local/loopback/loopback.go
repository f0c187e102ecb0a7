// Package loopback assigns loopback addresses to the members and nodes of a deployment that runs in one operating
// system process. Each has an address of its own, as instances have in a real deployment, so that its ports are free
// when it restarts.
package loopback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// The ports on which a member or node listens, the same on every address.
const (
	PortCallers = 7080
	PortMesh    = 7443
	PortAdmin   = 7081
)

const (
	// networkAttempts bounds the search for a loopback network that no other deployment uses.
	networkAttempts = 50
	firstNetwork    = 10
	networkCount    = 200
	hostsPerByte    = 254
)

// retryInterval is the pause between two attempts to open a port.
const retryInterval = 5 * time.Millisecond

// Addresses assigns the addresses 127.N.x.y of one loopback network N. It is not safe for concurrent use.
type Addresses struct {
	network int
	// last is the number of the last assigned address. Assignment begins at 2; guard has number 0.
	last int
	// guard is open as long as the network is in use.
	guard net.Listener
}

// New chooses a network that no other deployment uses. It listens on the network's first address, which fails for a
// network in use.
func New() (*Addresses, error) {
	for range networkAttempts {
		network := firstNetwork + rand.IntN(networkCount)
		guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, PortAdmin))
		if err == nil {
			return &Addresses{network: network, last: 1, guard: guard}, nil
		}
	}
	return nil, errors.New("loopback: all networks tried among 127.10.0.0/16 to 127.209.0.0/16 are in use")
}

// Next returns an address that it has not returned before.
func (a *Addresses) Next() string {
	a.last++
	return fmt.Sprintf("127.%d.%d.%d", a.network, a.last/hostsPerByte, a.last%hostsPerByte+1)
}

// Release lets other deployments use the network.
func (a *Addresses) Release() { _ = a.guard.Close() }

// WithPort returns the host:port of an address.
func WithPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// Listen opens ports on an address. It retries until the context ends, since the ports of a process that has just been
// killed may still be in use.
func Listen(ctx context.Context, ip string, ports ...int) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, port := range ports {
		listener, err := listenOne(ctx, WithPort(ip, port))
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func listenOne(ctx context.Context, address string) (net.Listener, error) {
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(err, "loopback: listen on %s", address)
		case <-time.After(retryInterval):
		}
	}
}
