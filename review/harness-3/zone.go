package main

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["zone"] = playZone }

// zoneDown is how long the process of the single machine in its zone is down.
const zoneDown = 5 * time.Second

// playZone restarts one member of a core that must bear the loss of a zone, and later takes a zone with its disks away,
// right after a configuration was acknowledged. RESTART=0 leaves out the former.
func playZone(c *caseRun) (bool, error) {
	c.addControls(5, 1)
	inZones := []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b"}
	for i, p := range c.controls {
		p.zone = inZones[i]
		p.settings["zone"] = p.zone
		p.settings["platform"].(map[string]any)["tolerated_zones"] = 1
	}
	for i := range 3 {
		if err := newWorker(c.addNode("svc-a"), newID()[:4]+string(rune('a'+i)), "v1", 9).start(); err != nil {
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
	if c.trouble && os.Getenv("RESTART") != "0" {
		alone := c.controls[2]
		alone.kill()
		time.Sleep(zoneDown)
		if err := alone.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(c.sheet.catchUp + 6*time.Second)
	if err := c.put(3, configuration(5, routes, []string{"svc-a"}, nil)); err != nil {
		return false, err
	}
	if c.trouble {
		c.record.say("zone-a loses its machines' disks")
		lost := []*process{c.controls[0], c.controls[3]}
		for _, p := range lost {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range lost {
			<-p.end()
			if err := os.RemoveAll(filepath.Join(c.folder, p.name)); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Second)
		for _, p := range lost {
			if err := p.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(recovery)
	// The operator reads the configuration for longer than Contact.
	newest, answers := "", map[int]int{}
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(300 * time.Millisecond) {
		for _, p := range c.controls {
			status, data, err := request("GET", "http://"+address(p.ip, c.ports.control)+"/v1/config/get", nil, nil, time.Second)
			c.record.line("operator: reads the configuration from %s: %d %.80q %v", p.name, status, data, err)
			answers[status]++
			var got struct{ Version string }
			if err == nil && status == http.StatusOK && json.Unmarshal(data, &got) == nil {
				newest = got.Version
			}
		}
		if newest != "" {
			break
		}
	}
	c.record.say("the operator reads version %q; answers by status: %v", newest, answers)
	return newest != "r5", nil
}
