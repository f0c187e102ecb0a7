package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["tenants"] = playTenants }

// configApply and revoke are the bounds in defaultBounds.
const (
	configApply = 2 * time.Second
	revoke      = 5 * time.Second
)

// playTenants removes the only tenant from the configuration and sends requests with its key, and with a key that no
// configuration ever held.
func playTenants(c *caseRun) (bool, error) {
	c.sheet = lankajobs
	c.addControls(5, 2)
	type seen struct{ id, authorization, tenant string }
	var mu sync.Mutex
	var runs []seen
	for i := range 3 {
		w := newWorker(c.addNode("svc-a"), fmt.Sprintf("i-%d", i+1), "v1", 9)
		w.work = func(rw http.ResponseWriter, r *http.Request) {
			s := seen{r.Header.Get("Request-Id"), r.Header.Get("Authorization"), r.Header.Get("Tenant")}
			c.record.line("worker %s runs %s with Authorization %q and Tenant %q", w.id, s.id, s.authorization, s.tenant)
			mu.Lock()
			runs = append(runs, s)
			mu.Unlock()
			_, _ = io.WriteString(rw, "done")
		}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	routes := []route{{"r-1", "h.example", "/a/", "safe", "svc-a", 2 * time.Second, 500 * time.Millisecond, 2}}
	tenants := []tenant{{"t1", "key-of-t1", 0, 0}}
	if err := c.put(0, configuration(3, routes, []string{"svc-a"}, tenants)); err != nil {
		return false, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(configApply + time.Second)
	broken := 0
	// ask sends a request with each key to each node. allowed says whether the configuration in force allows the key.
	ask := func(key string, allowed bool) {
		for _, n := range c.nodes {
			id := newID()
			got := call{
				method: "GET", host: "h.example", path: "/a/x", deadline: 2 * time.Second,
				header: map[string]string{"Authorization": "Bearer " + key},
			}.send(n, id)
			mu.Lock()
			for _, s := range runs {
				switch {
				case s.id != id:
				case !allowed:
					broken++
					c.record.say("%s: a request with %q ran, which the configuration does not allow", n.name, key)
				case s.tenant != "t1":
					broken++
					c.record.say("%s: a request with %q ran with Tenant %q", n.name, key, s.tenant)
				}
				if s.id == id && s.authorization != "" {
					broken++
					c.record.say("%s: the key %q was passed on to the worker", n.name, key)
				}
			}
			mu.Unlock()
			c.record.say("%s answers a request with %q: %d %v", n.name, key, got.status, got.err)
		}
	}
	ask("key-of-t1", true)
	ask("key-of-nobody", false)
	if broken > 0 {
		return false, fmt.Errorf("the keys are not judged before the change")
	}
	next := configuration(5, routes, []string{"svc-a"}, tenants)
	if c.trouble {
		next["Tenants"] = map[string]any{}
		c.record.say("the operator takes the tenant away")
	}
	status, body := c.order("/v1/config/put", map[string]string{"Base-Version": "r3"}, next)
	c.record.say("the operator gets %d %s", status, body)
	if status != http.StatusOK {
		return false, nil // Not acknowledged, so that the former configuration stays in force.
	}
	time.Sleep(max(configApply, revoke) + time.Second)
	ask("key-of-t1", !c.trouble)
	ask("key-of-nobody", false)
	read, data, err := request("GET", "http://"+address(c.controls[0].ip, c.ports.control)+"/v1/config/get", nil, nil, time.Second)
	c.record.line("operator: reads the configuration: %d %s %v", read, data, err)
	return broken > 0, nil
}
