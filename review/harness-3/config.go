package main

import (
	"fmt"
	"time"
)

// route is a route of a configuration.
type route struct {
	name, host, prefix, kind, service string
	timeout, target                   time.Duration
	attempts                          int
}

// tenant is a tenant of a configuration.
type tenant struct {
	name, key   string
	rate, burst float64
}

// configuration returns a configuration in the platform's format.
func configuration(version int, routes []route, services []string, tenants []tenant) map[string]any {
	milliseconds := func(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
	table := map[string]any{}
	for _, r := range routes {
		table[r.name] = map[string]any{
			"Host": r.host, "PathPrefix": r.prefix, "Type": r.kind, "Timeout": milliseconds(r.timeout),
			"TargetLatency": milliseconds(r.target), "Priority": 1, "Service": r.service, "Attempts": r.attempts,
		}
	}
	named := map[string]any{}
	for _, name := range services {
		named[name] = map[string]any{"HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false}
	}
	c := map[string]any{
		"Version": fmt.Sprintf("r%d", version), "Routes": table, "Services": named,
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms",
		},
	}
	if len(tenants) == 0 {
		return c
	}
	keyed := map[string]any{}
	for _, t := range tenants {
		keyed[t.name] = map[string]any{"ApiKeys": []string{t.key}, "Priority": 1, "RatePerS": t.rate, "Burst": t.burst}
	}
	c["Tenants"] = keyed
	for name := range table {
		table[name].(map[string]any)["Public"] = false
	}
	return c
}

// put sends a configuration and returns an error unless it is acknowledged.
func (d *deployment) put(base int, c map[string]any) error {
	status, answer := d.order("/v1/config/put", map[string]string{"Base-Version": fmt.Sprintf("r%d", base)}, c)
	if status != 200 {
		return fmt.Errorf("the configuration was not acknowledged: %d %s", status, answer)
	}
	return nil
}
