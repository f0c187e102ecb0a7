package main

import (
	"strings"
	"time"
)

func init() { scripts["path"] = path }

// path sends requests whose paths hold characters that many clients leave unescaped, and compares what the workers run.
// Without the disruption the clients escape them.
func path() {
	d := newDeployment([]upstreamSpec{{"rankdesk", 9}, {"promotions", 9}, {"rankdesk", 9}})
	active = d
	d.start(configuration("r1", map[string]any{
		"look":    route("a.example", "/look/", "safe", "1000ms", "rankdesk"),
		"promote": route("a.example", "/promote/", "unsafe", "1200ms", "promotions"),
	}, "rankdesk", "promotions"))
	escape := strings.NewReplacer("|", "%7C", "^", "%5E", "{", "%7B", "}", "%7D")
	changed, answered, requests := 0, 0, 0
	for _, prefix := range []string{"/look/", "/promote/"} {
		for _, name := range []string{"dan-3", "cebu|dan-3", "cebu%2Fmandaue|dan-3", "a^b", "{7f3a}", "cebu%2Fmandaue"} {
			uri := prefix + name
			if !trouble {
				uri = escape.Replace(uri)
			}
			for _, n := range d.nodes {
				method, body := "GET", []byte(nil)
				if prefix == "/promote/" {
					method, body = "POST", []byte(`{"student":"7f3a","grade":"dan-3"}`)
				}
				id := newID()
				r := once(n.callers, method, "a.example", uri, id, time.Second, body)
				requests++
				if r.status == 200 {
					answered++
				}
				record("client at %s: %s %s (%s): %d %v", n.name, method, uri, id, r.status, r.err)
				for _, ran := range d.runsOf(id) {
					record("  worker %s runs %s %s", ran.worker, ran.method, ran.uri)
					if ran.uri != uri || ran.method != method || string(ran.body) != string(body) {
						changed++
					}
				}
			}
		}
	}
	if answered == 0 {
		cannotRun("no request was served")
	}
	conclude(changed > 0, "%d of %d requests ran with another path than the client sent", changed, requests)
}
