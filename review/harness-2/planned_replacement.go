package main

import (
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { scripts["planned-replacement"] = plannedReplacement }

// plannedReplacement replaces a machine of the core as planned: the new one first, then SIGTERM for the old one. A change
// is acknowledged, and two of the other machines lose their disks.
func plannedReplacement() {
	const (
		catchUp  = 4 * time.Second
		grace    = 6 * time.Second
		down     = time.Second
		recovery = 15 * time.Second
	)
	d := newDeployment([]upstreamSpec{{"rankdesk", 9}})
	active = d
	spare := d.spareMember()
	versionOf := func(version, timeout string) map[string]any {
		return configuration(version, map[string]any{
			"look": route("a.example", "/look/", "safe", timeout, "rankdesk"),
		}, "rankdesk")
	}
	d.start(versionOf("r1", "1000ms"))
	time.Sleep(catchUp)

	running := d.members
	// REPLACE=0 is for a comparison: two disks are lost, and no machine was replaced.
	if os.Getenv("REPLACE") != "0" {
		d.startProcess(spare)
		record("%s starts, empty", spare.name)
		time.Sleep(catchUp + 200*time.Millisecond)
		old := d.members[4]
		old.signal(syscall.SIGTERM)
		record("SIGTERM to %s, whose successor has had CatchUp", old.name)
		select {
		case <-old.exited:
		case <-time.After(grace):
			old.kill()
		}
		running = []*process{d.members[0], d.members[1], d.members[2], d.members[3], spare}
	}
	time.Sleep(2 * time.Second)
	base := "r1"
	for _, version := range []string{"r2", "r3"} {
		d.put(versionOf(version, "1100ms"), base)
		base = version
	}
	if trouble {
		for _, m := range d.members[:2] {
			d.wipe(m)
			record("%s has lost power and its disk", m.name)
		}
		time.Sleep(down)
		for _, m := range d.members[:2] {
			d.restartMember(m)
			record("%s is back, empty", m.name)
		}
	}
	back := time.Now()
	newest, acknowledged := "", false
	for time.Since(back) < recovery+10*time.Second && (newest == "" || !acknowledged) {
		for _, m := range running {
			version, problem := read(m)
			record("operator: read at %s: %s%s", m.name, version, problem)
			if version != "" {
				newest = version
			}
			status, answer := d.putOnce(m, versionOf("r4", "1200ms"), "r3")
			record("operator: r4 to %s: %d %v", m.name, status, answer)
			acknowledged = acknowledged || status == http.StatusOK
		}
		time.Sleep(500 * time.Millisecond)
	}
	conclude(newest == "", "r3 was acknowledged; %.0f s after all machines were back the newest version read is %q, a further change is acknowledged: %v",
		time.Since(back).Seconds(), newest, acknowledged)
}
