// Package load generates calls in an open loop and records what callers were told.
package load

import (
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Route names a class of calls to a service.
type Route struct {
	Service string
	Class   bundle.Class
}

// Rates are arrivals per second by route.
type Rates map[Route]float64
