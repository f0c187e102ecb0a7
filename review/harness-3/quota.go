package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["quota"] = playQuota }

// The tenant's quota. It lets the tenant send a batch at once, and little afterwards.
const (
	quotaRate  = 8.0
	quotaBurst = 640.0
	// quotaWindow, quotaOvershoot and quotaSlack are the bounds in defaultBounds.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// playQuota sends the batch that the tenant may send, takes the leader and two further control members away for some
// seconds, and counts what runs within any window.
func playQuota(c *caseRun) (bool, error) {
	c.addControls(5, 2)
	var workers []*worker
	for i := range 4 {
		w := newWorker(c.addNode("svc-a"), fmt.Sprintf("i-%d", i+1), "v1", 100)
		workers = append(workers, w)
		if err := w.start(); err != nil {
			return false, err
		}
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.put(0, configuration(3,
		[]route{{"r-1", "h.example", "/a/", "safe", "svc-a", 2 * time.Second, 500 * time.Millisecond, 1}},
		[]string{"svc-a"}, []tenant{{"t1", "key-of-t1", quotaRate, quotaBurst}})); err != nil {
		return false, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	began := time.Now()
	// The account fills at the rate; the tenant is idle until its burst is there.
	time.Sleep(time.Duration(quotaBurst/quotaRate*float64(time.Second)) + 3*time.Second)
	c.record.say("the tenant was idle for %.1f s", time.Since(began).Seconds())
	counts := map[int]*atomic.Int64{}
	for _, status := range []int{0, 200, 429, 503, 504} {
		counts[status] = new(atomic.Int64)
	}
	var sending sync.WaitGroup
	// send sends requests at a pace, to the nodes in turn.
	send := func(total int, every time.Duration) {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for i := range total {
			<-ticker.C
			node := c.nodes[i%len(c.nodes)]
			sending.Go(func() {
				id := newID()
				got := call{
					method: "GET", host: "h.example", path: "/a/x", deadline: 2 * time.Second,
					header: map[string]string{"Authorization": "Bearer key-of-t1"},
				}.send(node, id)
				c.record.line("%s answers %s: %d %v", node.name, id, got.status, got.err)
				if n := counts[got.status]; n != nil {
					n.Add(1)
				}
			})
		}
	}
	send(int(quotaBurst), 1200*time.Microsecond)
	sending.Wait()
	c.record.say("the batch was answered: %d with 200, %d with 429, %d with 503", counts[200].Load(), counts[429].Load(), counts[503].Load())
	var away []*process
	if c.trouble {
		leader := c.leader()
		away = append(away, leader)
		// The nodes know the first three members, so that two of those stay.
		for _, p := range slices.Backward(c.controls) {
			if p != leader && len(away) < 3 {
				away = append(away, p)
			}
		}
		for _, p := range away {
			p.signal(syscall.SIGKILL)
		}
	}
	send(1100, 4*time.Millisecond)
	for _, p := range away {
		<-p.end()
		if err := p.start(); err != nil {
			return false, err
		}
	}
	sending.Wait()
	time.Sleep(200 * time.Millisecond)
	var runs []run
	for _, w := range workers {
		runs = append(runs, w.all()...)
	}
	most, from := mostInWindow(runs, quotaWindow)
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	c.record.say("%d requests ran, %d of them within %s from %.1f s on; the bound is %.0f", len(runs), most, quotaWindow,
		from.Sub(c.record.start).Seconds(), bound)
	return float64(most) > bound, nil
}

// mostInWindow returns the greatest number of runs within any window, and the start of that window.
func mostInWindow(runs []run, window time.Duration) (most int, from time.Time) {
	sortRuns(runs)
	first := 0
	for i := range runs {
		for runs[i].at.Sub(runs[first].at) > window {
			first++
		}
		if i-first+1 > most {
			most, from = i-first+1, runs[first].at
		}
	}
	return most, from
}
