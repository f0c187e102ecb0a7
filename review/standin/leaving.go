package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

var allServices = []string{
	"rankdesk", "rankdesk", "rankdesk", "promotions", "promotions", "promotions",
	"lineage", "lineage", "lineage", "exams", "exams", "exams",
}

var serviceNames = []string{"rankdesk", "promotions", "lineage", "exams"}

// standardRoutes returns one route for each service.
func standardRoutes() map[string]route {
	return map[string]route{
		"r-rank":       newRoute("desk.example", "/rank/", "safe", "rankdesk"),
		"r-promotions": newRoute("desk.example", "/promote/", "unsafe", "promotions"),
		"r-lineage":    newRoute("desk.example", "/lineage/", "safe", "lineage"),
		"r-exams":      newRoute("desk.example", "/exams/", "safe", "exams"),
	}
}

// deploy starts a deployment with a worker beside each node, and the first configuration in force.
func deploy(r *record) (*cluster, []*worker, error) {
	c, err := newCluster(r, allServices)
	if err != nil {
		return nil, nil, err
	}
	if err := c.start(); err != nil {
		c.close()
		return nil, nil, err
	}
	var workers []*worker
	for i, m := range c.sidecars {
		w, err := startWorker(r, fmt.Sprintf("i-%d", i), m, 20*time.Millisecond)
		if err != nil {
			c.close()
			return nil, nil, err
		}
		workers = append(workers, w)
	}
	if status, err := c.put("r1", "r0", standardRoutes(), serviceNames); err != nil || status != http.StatusOK {
		c.close()
		return nil, nil, fmt.Errorf("first configuration: status %d, %v", status, err)
	}
	if err := awaitReady(15*time.Second, c.sidecars...); err != nil {
		c.close()
		return nil, nil, err
	}
	return c, workers, nil
}

// send sends one request to the node of a machine on a new connection.
func send(r *record, m *machine, id, method, path, body string) (int, string) {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, _ := http.NewRequest(method, "http://"+m.address(portOutbound)+path, strings.NewReader(body))
	request.Host = "desk.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2500")
	response, err := client.Do(request)
	if err != nil {
		r.add("client at %s: %s %s %s: %v", m.name, id, method, path, err)
		return 0, ""
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Request-Id")
}

// leaving: a worker tells its node that it stops; the node is killed and started again, and a heartbeat that the worker
// had sent before arrives late.
func leaving(r *record, trouble bool) error {
	c, workers, err := deploy(r)
	if err != nil {
		return err
	}
	defer c.close()
	client, leaver := c.sidecars[9], workers[3]
	time.Sleep(boundContact + 2*time.Second)
	served := 0
	for i := range 30 {
		if status, _ := send(r, client, fmt.Sprintf("before-%d", i), "POST", "/promote/x", "grant"); status == 200 {
			served++
		}
	}
	if served < 25 || len(leaver.list()) == 0 {
		return fmt.Errorf("%d of 30 requests were served before the disruption, %d by the worker", served, len(leaver.list()))
	}
	late := leaver.nextBeat()
	r.add("worker %s: sends the heartbeat that arrives late", leaver.id)
	time.Sleep(100 * time.Millisecond)
	status := leaver.deregister()
	acknowledged := time.Now()
	r.add("worker %s: deregister is acknowledged with %d", leaver.id, status)
	if status != http.StatusOK {
		return fmt.Errorf("deregister: %d", status)
	}
	time.Sleep(200 * time.Millisecond)
	// The node of the worker is in touch again Contact after its start. Requests before that are not judged.
	inTouch := time.Now()
	if trouble {
		c.sidecars[3].kill()
		r.add("platform: %s is killed", c.sidecars[3].name)
		time.Sleep(500 * time.Millisecond)
		if err := c.sidecars[3].start(); err != nil {
			return err
		}
		inTouch = time.Now().Add(boundContact)
		r.add("platform: %s is started again", c.sidecars[3].name)
		if err := awaitReady(10*time.Second, c.sidecars[3]); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(2 * time.Second)))
	r.add("worker %s: the late heartbeat arrives: %d", leaver.id, leaver.post("heartbeat", late))
	sent := map[string]time.Time{}
	for i := 0; time.Since(acknowledged) < 12*time.Second; i++ {
		id := fmt.Sprintf("after-%d", i)
		sent[id] = time.Now()
		status, _ := send(r, client, id, "POST", "/promote/x", "grant")
		r.add("client at %s: %s gets %d", client.name, id, status)
		time.Sleep(50 * time.Millisecond)
	}
	for _, done := range leaver.list() {
		if at, ok := sent[done.id]; ok && at.After(acknowledged.Add(boundDrain)) && at.After(inTouch) {
			r.breaks("request %s was sent %.1f s after the node had acknowledged that worker %s stops, and reached it",
				done.id, at.Sub(acknowledged).Seconds(), leaver.id)
		}
	}
	return nil
}
