// Package loopback hands out loopback addresses to the processes of a deployment that runs in one process. Each process
// has an address of its own, as instances have in a real deployment, so that a restarted process finds its ports free.
package loopback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// The ports of a process.
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

// retryInterval is the time between two attempts to open a port.
const retryInterval = 5 * time.Millisecond

// Addresses hands out loopback addresses 127.N.x.y of one network N. It is not safe for concurrent use.
type Addresses struct {
	network int
	next    int
	guard   net.Listener
}

// New takes a free network. The listener on its first address keeps other deployments away.
func New() (*Addresses, error) {
	for range networkAttempts {
		network := firstNetwork + rand.IntN(networkCount)
		guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, PortAdmin))
		if err == nil {
			return &Addresses{network: network, next: 1, guard: guard}, nil
		}
	}
	return nil, errors.New("loopback: no free loopback network")
}

// Next returns the next address.
func (a *Addresses) Next() string {
	a.next++
	return fmt.Sprintf("127.%d.%d.%d", a.network, a.next/hostsPerByte, a.next%hostsPerByte+1)
}

// Release gives the network back.
func (a *Addresses) Release() { _ = a.guard.Close() }

// WithPort returns the host:port of an address.
func WithPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// Listen opens the ports of a process; a port of a process that has just died may take a moment to become free.
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
