package main

import (
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { scripts["planned-replacement"] = plannedReplacement }

// These are bounds of the site, and figures of the disruptions.
const (
	catchUp   = 4 * time.Second
	recovery  = 15 * time.Second
	stopGap   = 1300 * time.Millisecond
	diskDown  = time.Second
	lostDisks = 2
)

// plannedReplacement replaces three machines of the core as planned: the new ones first, then SIGTERM for the old ones in
// turn. With VARIANT=disks it replaces one, and then two others lose their disks.
func plannedReplacement() {
	losesDisks := os.Getenv("VARIANT") == "disks"
	replaced := 3
	if losesDisks {
		replaced = 1
	}
	d := newDeployment([]upstreamSpec{{"rankdesk", 9}})
	active = d
	var successors []*process
	for range replaced {
		successors = append(successors, d.spareMember())
	}
	versionOf := func(version, timeout string) map[string]any {
		return configuration(version, map[string]any{
			"look": route("a.example", "/look/", "safe", timeout, "rankdesk"),
		}, "rankdesk")
	}
	d.start(versionOf("r1", "1000ms"))
	time.Sleep(catchUp)
	for _, m := range successors {
		d.startProcess(m)
		record("%s starts, empty", m.name)
	}
	time.Sleep(catchUp + 200*time.Millisecond)
	d.put(versionOf("r2", "1100ms"), "r1")

	kept := d.members[:len(d.members)-replaced]
	if trouble || losesDisks {
		for _, old := range d.members[len(kept):] {
			old.signal(syscall.SIGTERM)
			record("SIGTERM to %s, whose successor has had CatchUp", old.name)
			time.Sleep(stopGap)
		}
	}
	newest := "r2"
	if losesDisks {
		time.Sleep(2*time.Second - stopGap)
		d.put(versionOf("r3", "1200ms"), "r2")
		newest = "r3"
		if trouble {
			d.loseDisks(kept[:lostDisks])
		}
	}
	d.watchConfiguration(append(append([]*process{}, kept...), successors...), newest, versionOf("r4", "1300ms"))
}

// loseDisks makes machines lose power and their disks. They come back empty.
func (d *deployment) loseDisks(machines []*process) {
	for _, m := range machines {
		d.wipe(m)
		record("%s has lost power and its disk", m.name)
	}
	time.Sleep(diskDown)
	for _, m := range machines {
		d.restartMember(m)
		record("%s is back, empty", m.name)
	}
}

// watchConfiguration reads the configuration, and sends a change on top of the newest version, until both succeed or
// Recovery is over by 10 s. The reads of the last round count.
func (d *deployment) watchConfiguration(members []*process, newest string, change map[string]any) {
	began := time.Now()
	answered, acknowledged := "", false
	for time.Since(began) < recovery+10*time.Second && (answered == "" || !acknowledged) {
		answered = ""
		for _, m := range members {
			version, problem := read(m)
			record("operator: read at %s: %s%s", m.name, version, problem)
			if version != "" {
				answered = version
			}
			status, answer := d.putOnce(m, change, newest)
			record("operator: %v to %s: %d %v", change["Version"], m.name, status, answer)
			acknowledged = acknowledged || status == http.StatusOK
		}
		time.Sleep(500 * time.Millisecond)
	}
	conclude(answered == "", "%s was acknowledged; %.0f s later the newest version read is %q, a further change is acknowledged: %v",
		newest, time.Since(began).Seconds(), answered, acknowledged)
}
