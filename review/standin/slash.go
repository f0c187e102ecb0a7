package main

import (
	"fmt"
	"net/http"
	"time"
)

// slash: a configuration adds a route below another one. Clients send requests whose paths the new prefix does not begin.
func slash(r *record, trouble bool) error {
	c, workers, err := deploy(r)
	if err != nil {
		return err
	}
	defer c.close()
	time.Sleep(boundContact)
	paths := []string{"/promote/archive", "/promote//archive/17"}
	round := func(name string) {
		for i := range 20 {
			for n, path := range paths {
				id := fmt.Sprintf("%s-%d-%d", name, i, n)
				status, _ := send(r, c.sidecars[i%12], id, "POST", path, "grant")
				r.add("client: %s %s gets %d", id, path, status)
			}
		}
	}
	round("before")
	routes := standardRoutes()
	if trouble {
		routes["r-archive"] = newRoute("desk.example", "/promote/archive/", "safe", "exams")
	} else {
		routes["r-archive"] = newRoute("desk.example", "/archive/", "safe", "exams")
	}
	if status, err := c.put("r2", "r1", routes, serviceNames); err != nil || status != http.StatusOK {
		return fmt.Errorf("r2: status %d, %v", status, err)
	}
	time.Sleep(boundConfigApply + boundContact)
	round("after")
	time.Sleep(500 * time.Millisecond)
	for _, w := range workers {
		for _, done := range w.list() {
			if w.machine.service != "promotions" {
				r.breaks("request %s with path %s is run by service %s; the only prefix that begins its path leads to promotions",
					done.id, done.path, w.machine.service)
			}
		}
	}
	return nil
}
