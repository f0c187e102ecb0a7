package main

import (
	"net/http"
	"time"
)

func init() { scripts["first-start"] = firstStart }

// firstStart starts a deployment for the first time. One of the machines that the seeds name loses power as its process
// starts and is gone for good; an empty one takes its place at another address a second later.
func firstStart() {
	const (
		contact = 3 * time.Second
		ack     = 4 * time.Second
		watch   = 45 * time.Second
	)
	d := newDeployment([]upstreamSpec{{"rankdesk", 9}, {"promotions", 9}})
	active = d
	spare := d.spareMember()
	d.startAll()
	running := d.members
	if trouble {
		lost := d.members[2]
		lost.kill()
		record("%s is gone for good", lost.name)
		time.Sleep(time.Second)
		d.startProcess(spare)
		record("%s takes its place at %s, empty", spare.name, spare.ip)
		running = []*process{d.members[0], d.members[1], d.members[3], d.members[4], spare}
	}
	stable := time.Now().Add(contact)
	first := configuration("r1", map[string]any{
		"look":    route("a.example", "/look/", "safe", "1000ms", "rankdesk"),
		"promote": route("a.example", "/promote/", "unsafe", "1200ms", "promotions"),
	}, "rankdesk", "promotions")
	orders, served, requests := 0, 0, 0
	acknowledged := time.Time{}
	statuses := map[int]int{}
	for end := time.Now().Add(watch); time.Now().Before(end); {
		if acknowledged.IsZero() {
			m := running[orders%len(running)]
			status, answer := d.putOnce(m, first, "r0")
			orders++
			if orders <= 10 || status == http.StatusOK || orders%25 == 0 {
				record("operator: r1 to %s: %d %v", m.name, status, answer)
			}
			if status == http.StatusOK {
				acknowledged = time.Now()
			}
		}
		for i, n := range d.nodes {
			r := once(n.callers, "GET", "a.example", "/look/"+n.name, newID(), time.Second, nil)
			requests++
			statuses[r.status]++
			if r.status == http.StatusOK {
				served++
			}
			if requests <= 10 || requests%100 == i {
				record("client: GET at %s: %d %v", n.name, r.status, r.err)
			}
		}
		if served > 100 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	for _, m := range running {
		if m.hasEnded() {
			record("%s has ended", m.name)
		}
	}
	record("%d orders, %d requests, %d served, answers %v", orders, requests, served, statuses)
	late := acknowledged.IsZero() || acknowledged.After(stable.Add(ack))
	conclude(late && served == 0, "acknowledged %v after the core was stable, %d of %d requests served",
		!acknowledged.IsZero(), served, requests)
}
