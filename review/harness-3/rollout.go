package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["rollout"] = playRollout }

const rolloutDuration = 40 * time.Second

// Workers of svc-b fail greyShare of their requests for greyTime, with a good health check.
const (
	greyShare = 0.44
	greyTime  = 6600 * time.Millisecond
)

// playRollout orders the rollout of a good version of svc-a, whose workers call svc-b, while the workers of svc-b are grey.
// The system rightly rolls it back. Long after svc-b has recovered, the operator orders the rollout again. Right after the
// acknowledgement the processes of the core are killed.
func playRollout(c *caseRun) (bool, error) {
	c.sheet = lankajobs
	c.addControls(5, 2)
	var greyUntil atomic.Pointer[time.Time]
	start := func(n *process, id, version string) (*worker, error) {
		w := newWorker(n, id, version, 9)
		w.work = func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			if n.service == "svc-a" && version == "v1" {
				time.Sleep(22 * time.Millisecond) // About as long as the calls of the other version take.
			}
			until := greyUntil.Load()
			switch {
			case n.service == "svc-b" && until != nil && time.Now().Before(*until) && rand.Float64() < greyShare:
				rw.WriteHeader(http.StatusInternalServerError)
				return
			case version == "v2":
				got := call{method: "GET", host: "h.example", path: "/b/x", deadline: time.Second}.send(n, newID())
				if got.status != http.StatusOK {
					rw.WriteHeader(http.StatusInternalServerError)
					return
				}
			}
			_, _ = rw.Write([]byte("done"))
		}
		return w, w.start()
	}
	for i := range 3 {
		if _, err := start(c.addNode("svc-a"), fmt.Sprintf("i-old-%d", i+1), "v1"); err != nil {
			return false, err
		}
	}
	var newNodes []*process
	for range 3 {
		newNodes = append(newNodes, c.addNode("svc-a"))
	}
	for i := range 2 {
		if _, err := start(c.addNode("svc-b"), fmt.Sprintf("i-other-%d", i+1), "v1"); err != nil {
			return false, err
		}
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.put(0, configuration(3,
		[]route{
			{"r-1", "h.example", "/a/", "safe", "svc-a", 2 * time.Second, 500 * time.Millisecond, 2},
			{"r-2", "h.example", "/b/", "safe", "svc-b", time.Second, 200 * time.Millisecond, 1},
		}, []string{"svc-a", "svc-b"}, nil)); err != nil {
		return false, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	for i := range 15 {
		node := c.nodes[i%3]
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(12 * time.Millisecond):
				}
				id := newID()
				got := call{method: "GET", host: "h.example", path: "/a/x", deadline: 2 * time.Second}.send(node, id)
				c.record.line("%s answers %s: %d %v", node.name, id, got.status, got.err)
			}
		})
	}
	time.Sleep(3 * time.Second)

	var workers []*worker
	startNew := func(suffix string) error {
		workers = nil
		for i, n := range newNodes {
			w, err := start(n, fmt.Sprintf("i-new-%s-%d", suffix, i+1), "v2")
			if err != nil {
				return err
			}
			workers = append(workers, w)
		}
		return nil
	}
	if err := startNew("a"); err != nil {
		return false, err
	}
	if c.trouble {
		until := time.Now().Add(greyTime)
		greyUntil.Store(&until)
		c.record.say("the workers of svc-b are grey for %s", greyTime)
	}
	if err := c.orderRollout(); err != nil {
		return false, err
	}
	state := c.awaitRollout(rolloutDuration + 2*time.Second)
	c.record.say("the first rollout is %s", state)
	if want := map[bool]string{true: "rolled_back", false: "completed"}[c.trouble]; state != want {
		return false, fmt.Errorf("the first rollout is not %s", want)
	}
	if c.trouble {
		time.Sleep(2 * time.Second)
		var leaving sync.WaitGroup
		for _, w := range workers {
			leaving.Go(w.leave)
		}
		leaving.Wait()
		// An order may be resent for Ack (4 s) at most; the next one comes later, and is another order.
		time.Sleep(8 * time.Second)
		if err := startNew("b"); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}
	runs := func() int {
		sum := 0
		for _, w := range workers {
			sum += len(w.all())
		}
		return sum
	}
	before := runs()
	if err := c.orderRollout(); err != nil {
		c.record.say("the second order is refused: %v", err)
		return false, nil
	}
	ordered := time.Now()
	c.record.say("the second order is acknowledged; the final fault: all processes of the core are killed")
	for _, p := range c.controls {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range c.controls {
		<-p.end()
	}
	time.Sleep(time.Second)
	for _, p := range c.controls {
		if err := p.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery)
	// The operator reads the state for longer than Contact.
	state = c.rolloutState()
	for began := time.Now(); time.Since(began) < 4*time.Second && state != "running" && state != "completed"; state = c.rolloutState() {
		time.Sleep(200 * time.Millisecond)
	}
	c.record.say("%.0f s after the second order, of %s, the rollout is %s; the new workers got %d requests since", time.Since(ordered).Seconds(),
		rolloutDuration, state, runs()-before)
	return state != "running" && state != "completed", nil
}

func (d *deployment) orderRollout() error {
	status, answer := d.order("/v1/rollouts/start", nil, map[string]any{
		"Service": "svc-a", "TargetVersion": "v2", "Duration": fmt.Sprintf("%ds", int(rolloutDuration.Seconds())),
	})
	if status != http.StatusOK {
		return fmt.Errorf("status %d %s", status, answer)
	}
	return nil
}

// rolloutState asks for the state of the rollout.
func (d *deployment) rolloutState() string {
	for _, p := range d.controls {
		status, data, err := request("GET", "http://"+address(p.ip, d.ports.control)+"/v1/rollouts/svc-a/get", nil, nil,
			time.Second)
		d.record.line("operator: state of the rollout from %s: %d %s %v", p.name, status, data, err)
		var got struct {
			State         string
			TargetVersion string
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(data, &got) == nil {
			return got.State
		}
	}
	return "unknown"
}

// awaitRollout asks for the state until the rollout has ended.
func (d *deployment) awaitRollout(within time.Duration) string {
	began := time.Now()
	state := d.rolloutState()
	for state != "completed" && state != "rolled_back" && time.Since(began) < within {
		time.Sleep(400 * time.Millisecond)
		state = d.rolloutState()
	}
	return state
}
