package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scripts["frozen-read"] = frozenRead }

// frozenRead freezes one control member at a time while it handles orders. Meanwhile a change is acknowledged by others,
// and more than ConfigApply later the operator reads the configuration at the member, which then wakes.
func frozenRead() {
	const (
		configApply = 2 * time.Second
		watch       = 95 * time.Second
		// longestFreeze is the largest dose of node_freeze at the site.
		longestFreeze = 4 * time.Second
		// addedRoutes is one big_config; orders and the next change make eight orders in progress.
		addedRoutes = 350
		orders      = 7
		reads       = 4
		// tolerated is the number of machines that may be lost at once.
		tolerated = 2
	)
	d := newDeployment([]upstreamSpec{{"rankdesk", 9}})
	active = d
	versionOf := func(n int) map[string]any {
		routes := map[string]any{"look": route("a.example", "/look/", "safe", fmt.Sprintf("%dms", 1000+n), "rankdesk")}
		for i := range addedRoutes {
			routes[fmt.Sprintf("r-%d", i)] = route("b.example", fmt.Sprintf("/p%d/", i), "safe", "1000ms", "rankdesk")
		}
		return configuration(fmt.Sprintf("r%d", n), routes, "rankdesk")
	}
	d.start(versionOf(1))
	newest, freezes, stale := 1, 0, 0
	// lostUntil holds the time until which a machine counts as lost: CatchUp after it was back.
	lostUntil := make(map[*process]time.Time)
	for end := time.Now().Add(watch); time.Now().Before(end) && stale == 0; {
		frozen := d.members[rand.IntN(len(d.members))]
		if countOthersLost(lostUntil, frozen) >= tolerated {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var others []*process
		for _, m := range d.members {
			if m != frozen {
				others = append(others, m)
			}
		}
		// All orders in progress build on the newest version: one of them may win.
		var sending sync.WaitGroup
		for k := range orders {
			order, base := versionOf(newest+1+k), fmt.Sprintf("r%d", newest)
			sending.Go(func() { _, _ = d.putOnce(frozen, order, base) })
		}
		if trouble {
			time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			frozen.signal(syscall.SIGSTOP)
		}
		began := time.Now()
		acknowledged := d.acknowledgeNext(others, versionOf, &newest)
		if acknowledged.Add(configApply + 150*time.Millisecond).After(began.Add(longestFreeze)) {
			// The election of another leader took too long.
			frozen.signal(syscall.SIGCONT)
			lostUntil[frozen] = time.Now().Add(catchUp)
			sending.Wait()
			continue
		}
		time.Sleep(time.Until(acknowledged.Add(configApply + 50*time.Millisecond)))
		answers := make(chan string, reads)
		sent := time.Now()
		for range reads {
			go func() {
				version, problem := read(frozen)
				answers <- version + problem
			}()
		}
		time.Sleep(50 * time.Millisecond)
		frozen.signal(syscall.SIGCONT)
		lostUntil[frozen] = time.Now().Add(catchUp)
		freezes++
		record("%s is back after %.2f s; r%d was acknowledged %.2f s before the reads were sent", frozen.name,
			time.Since(began).Seconds(), newest, sent.Sub(acknowledged).Seconds())
		for range reads {
			answer := <-answers
			record("  it answers a read: %.90s", answer)
			if n, err := strconv.Atoi(strings.TrimPrefix(answer, "r")); err == nil && n < newest {
				stale++
			}
		}
		sending.Wait()
	}
	conclude(stale > 0, "%d reads were answered with an older version after %d freezes", stale, freezes)
}

// countOthersLost counts the machines other than the given one that count as lost.
func countOthersLost(lostUntil map[*process]time.Time, but *process) int {
	count := 0
	for m, until := range lostUntil {
		if m != but && time.Now().Before(until) {
			count++
		}
	}
	return count
}

// acknowledgeNext sends a change on top of the newest version to the given members until it is acknowledged, and returns
// when it was.
func (d *deployment) acknowledgeNext(members []*process, versionOf func(int) map[string]any, newest *int) time.Time {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		m := members[rand.IntN(len(members))]
		if version, _ := read(m); version != "" {
			if n, err := strconv.Atoi(strings.TrimPrefix(version, "r")); err == nil {
				*newest = max(*newest, n)
			}
		}
		next := *newest + 10
		if status, _ := d.putOnce(m, versionOf(next), fmt.Sprintf("r%d", *newest)); status == http.StatusOK {
			*newest = next
			record("operator: r%d acknowledged by %s", next, m.name)
			return time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("no change is acknowledged")
	return time.Time{}
}
