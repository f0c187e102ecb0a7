package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["turnover"] = playTurnover }

// playTurnover exchanges the seeds in the settings for other machines that serve control, and then kills all processes.
func playTurnover(c *caseRun) (bool, error) {
	c.addControls(8, 2)
	for i := range 3 {
		if err := newWorker(c.addNode("svc-a"), fmt.Sprintf("i-%d", i+1), "v1", 9).start(); err != nil {
			return false, err
		}
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	routes := []route{{"r-1", "h.example", "/a/", "safe", "svc-a", 2 * time.Second, 500 * time.Millisecond, 2}}
	if err := c.put(0, configuration(3, routes, []string{"svc-a"}, nil)); err != nil {
		return false, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	t := c.startTraffic(nil)
	defer t.end()
	time.Sleep(4 * time.Second)
	var seeds []string
	voters := c.voters()
	for _, p := range c.controls {
		if !voters[address(p.ip, c.ports.mesh)] {
			seeds = append(seeds, address(p.ip, c.ports.control))
		}
	}
	c.record.say("the other seeds are %v", seeds)
	if len(seeds) != 3 {
		return false, fmt.Errorf("%d machines have no vote", len(seeds))
	}
	before := t.phase("before the final fault")
	if err := c.put(3, configuration(5, routes, []string{"svc-a"}, nil)); err != nil {
		return false, err
	}
	all := append(append([]*process{}, c.controls...), c.nodes...)
	if c.trouble {
		for _, p := range all {
			p.settings["join"] = seeds
		}
	}
	c.record.say("the final fault: all processes are killed")
	for _, p := range all {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all {
		<-p.end()
	}
	time.Sleep(time.Second)
	for _, p := range all {
		if err := p.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery)
	t.phase("during the recovery")
	time.Sleep(10 * time.Second)
	after := t.phase("later than Recovery after the machines are back")
	for _, p := range c.controls {
		status, _, err := request("GET", "http://"+address(p.ip, c.ports.control)+"/v1/config/get", nil, nil, time.Second)
		c.record.say("%s answers a read with %d %v", p.name, status, err)
	}
	return before >= 0.25 && after < 0.25, nil
}

// voters returns the mesh addresses of the members that vote, as the leader lists them.
func (d *deployment) voters() map[string]bool {
	voters := map[string]bool{}
	leader := d.leader()
	status, data, err := request("GET", "http://"+address(leader.ip, d.ports.admin)+"/v1/members", nil, nil, time.Second)
	var got struct {
		Members []struct {
			Address string `json:"address"`
			Learner bool   `json:"learner"`
		} `json:"members"`
	}
	if err == nil && status == http.StatusOK && json.Unmarshal(data, &got) == nil {
		for _, m := range got.Members {
			voters[m.Address] = !m.Learner
		}
	}
	return voters
}
