package routing

import (
	"sync"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Splitter distributes the requests of a route over its services by weight. It uses smooth weighted round robin instead
// of random selection, so that the shares are exact after a few hundred requests. It is safe for concurrent use.
type Splitter struct {
	shares []bundle.Share
	total  int // sum of the weights

	mu      sync.Mutex
	credits []int // of each share; the one with the largest credit is next
}

// NewSplitter returns a splitter for the shares of a route. It skips the given number of turns: if all processes
// started with the same turn, they would together send too many requests to the first shares.
func NewSplitter(shares []bundle.Share, skip int) *Splitter {
	s := &Splitter{shares: shares, credits: make([]int, len(shares))}
	for _, share := range shares {
		s.total += share.Weight
	}
	for range skip {
		s.Next()
	}
	return s
}

// Next returns the service of the next request.
func (s *Splitter) Next() string {
	if len(s.shares) == 1 {
		return s.shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.best()
	for i, share := range s.shares {
		s.credits[i] += share.Weight
	}
	s.credits[best] -= s.total
	return s.shares[best].Service
}

// Peek returns what Next would return, and takes no turn.
func (s *Splitter) Peek() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shares[s.best()].Service
}

// best returns the share whose turn is next. The caller holds s.mu.
func (s *Splitter) best() int {
	best := 0
	for i, share := range s.shares {
		if s.credits[i]+share.Weight > s.credits[best]+s.shares[best].Weight {
			best = i
		}
	}
	return best
}
