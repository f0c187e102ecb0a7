package node

import (
	"math/rand/v2"
	"slices"
	"sync"

	"sapphiregate.example/sapphiregate/coordination/relay"
)

// controlMembers holds the addresses at which this node asks the control members. Its one source is the distribution tree,
// which passes on the members of the registry's group; the addresses in the settings serve until it has told any, and where
// none of those responds. Each list may be old: any control process names the present leader. It is safe for concurrent
// use.
type controlMembers struct {
	mu sync.Mutex
	// learned is what the distribution tree told last, configured is what the settings say.
	learned, configured []string
}

func newControlMembers(configured []string) *controlMembers {
	return &controlMembers{configured: slices.Clone(configured)}
}

// learn takes the members that the distribution tree names. Their order differs between nodes, so that not all of them ask
// the same member first.
func (c *controlMembers) learn(members []relay.MemberInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned = nil
	for _, m := range members {
		c.learned = append(c.learned, m.Address)
	}
	rand.Shuffle(len(c.learned), func(i, j int) { c.learned[i], c.learned[j] = c.learned[j], c.learned[i] })
}

// configure adds the addresses of changed settings.
func (c *controlMembers) configure(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		if !slices.Contains(c.configured, address) {
			c.configured = append(c.configured, address)
		}
	}
}

// addresses lists the addresses in the order in which they should be tried.
func (c *controlMembers) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Clone(c.learned)
	for _, address := range c.configured {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}
