package routing

import (
	"sync"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Splitter spreads the requests of a route over its services by weight. It takes turns (smooth weighted round robin)
// instead of drawing at random, so that the shares hold over a few hundred requests already. It is safe for concurrent
// use.
type Splitter struct {
	shares []bundle.Share
	total  int

	mu      sync.Mutex
	credits []int
}

// NewSplitter returns a splitter for the parts of a route. The first turns are skipped: processes that all start with
// the same turn would together favour the first parts.
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
	best := 0
	for i, share := range s.shares {
		s.credits[i] += share.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= s.total
	return s.shares[best].Service
}
