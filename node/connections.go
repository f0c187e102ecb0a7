package node

import (
	"net"
	"net/http"
	"sync"
)

// connectionCounter counts the callers' connections by state.
type connectionCounter struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// changed implements the ConnState hook of http.Server.
func (c *connectionCounter) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// count returns the number of connections in a state. New and idle connections wait for a request, or have one that is
// not read yet.
func (c *connectionCounter) count(state http.ConnState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, current := range c.states {
		if current == state {
			count++
		}
	}
	return count
}
