package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

const (
	// grace, uploadDeadline and uploadTarget are those of the sheet of csupf-mesh-grown.
	grace          = 6 * time.Second
	uploadDeadline = 6 * time.Second
	uploadTarget   = time.Second
	// uploadBytes is the largest of holdings-upload on that site, and usualWork is the mean; the longest work is 2.2 s.
	uploadBytes = 360_000
	usualWork   = 210 * time.Millisecond
	longWork    = 1700 * time.Millisecond

	usualPath = "/up/file"
	longPath  = "/up/long"

	// workSlice is what a worker does before it looks at its deadline again.
	workSlice = 10 * time.Millisecond

	hubs = 4
	// The clients of the machine send batchSize uploads at once each batchInterval, which takes 0.87 of its link.
	batchSize     = 5
	batchInterval = 1800 * time.Millisecond
	batches       = 8
	// lastBatchAfter is when the last batch is sent after SIGTERM, before a second check of the node can have failed.
	lastBatchAfter = 900 * time.Millisecond

	// deadlineMargin is the time before its deadline from which on a request counts as having reached it.
	deadlineMargin = 200 * time.Millisecond
)

// What a worker did with an upload.
const (
	resultDone     = "done"
	resultDeadline = "deadline"
	resultClosed   = "connection closed"
	resultBodyCut  = "body cut"
)

// upload is one request of a client, and the part of the worker in it. The times of the worker are zero if it did not run.
type upload struct {
	id          string
	sent, ended time.Time
	answer      answer
	began, left time.Time
	result      string
}

// uploads holds the requests by id. It is safe for concurrent use.
type uploads struct {
	mu   sync.Mutex
	byID map[string]*upload
}

// change calls f with the request while it holds the lock.
func (u *uploads) change(id string, f func(*upload)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byID[id] == nil {
		u.byID[id] = &upload{id: id}
	}
	f(u.byID[id])
}

// playStop stops the machine that takes uploads, and looks for uploads that it breaks off while their worker is at work.
func playStop(c *caseRun) (bool, error) {
	c.sheet = csupf
	c.addControls(5, 2)
	all := &uploads{byID: make(map[string]*upload)}
	for i := range 1 + hubs {
		service, zone := "order-desk", zones[0]
		if i > 0 {
			service, zone = "price-hub", zones[1+i%2]
		}
		n := c.addNode(service)
		n.zone = zone
		n.settings["zone"] = zone
		w := newWorker(n, fmt.Sprintf("i-%d", i+1), "v1", 9)
		w.work = func(rw http.ResponseWriter, r *http.Request) { c.runUpload(all, w, rw, r) }
		if err := w.start(); err != nil {
			return false, err
		}
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	routes := []route{{"r-up", "h.example", "/up/", "upload", "price-hub", uploadDeadline, uploadTarget, 2}}
	if err := c.put(0, configuration(3, routes, []string{"order-desk", "price-hub"}, nil)); err != nil {
		return false, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(configApply + time.Second)
	var clients sync.WaitGroup
	batch := func(path string) {
		for range batchSize {
			clients.Go(func() { c.sendUpload(all, c.nodes[0], path) })
		}
	}
	for range batches {
		batch(usualPath)
		time.Sleep(batchInterval)
	}
	term := time.Now()
	var stops sync.WaitGroup
	if c.trouble {
		stops.Go(func() { c.nodes[0].stop(term) })
	}
	time.Sleep(lastBatchAfter)
	batch(longPath)
	clients.Wait()
	stops.Wait()
	return c.judgeStop(all, term)
}

// stop sends SIGTERM, and SIGKILL after the grace time.
func (p *process) stop(term time.Time) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.end():
		p.deployment.record.say("%s has ended %d ms after SIGTERM", p.name, time.Since(term).Milliseconds())
	case <-time.After(grace):
		p.deployment.record.say("%s has not ended", p.name)
		p.kill()
	}
}

// runUpload works on an upload until it is done, or until the deadline that the worker was given.
func (c *caseRun) runUpload(all *uploads, w *worker, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	given, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(given) * time.Millisecond)
	_, err := io.Copy(io.Discard, r.Body)
	began := time.Now()
	all.change(id, func(u *upload) { u.began = began })
	takes := usualWork
	if r.URL.Path == longPath {
		takes = longWork
	}
	result := ""
	for result == "" {
		switch {
		case err != nil:
			result = resultBodyCut
		case r.Context().Err() != nil:
			result = resultClosed
		case !time.Now().Before(deadline):
			result = resultDeadline
		case time.Since(began) >= takes:
			result = resultDone
		default:
			time.Sleep(workSlice)
		}
	}
	left := time.Now()
	all.change(id, func(u *upload) { u.left, u.result = left, result })
	c.record.line("worker %s worked on %s for %d ms: %s (given %d ms)", w.id, id, left.Sub(began).Milliseconds(), result, given)
	if result == resultDeadline {
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = io.WriteString(rw, "done "+id)
}

// sendUpload sends one upload on a new connection.
func (c *caseRun) sendUpload(all *uploads, n *process, path string) {
	id, sent := newID(), time.Now()
	all.change(id, func(u *upload) { u.sent = sent })
	got := answer{}
	connection, err := net.DialTimeout("tcp", address(n.ip, c.ports.callers), time.Second)
	if err == nil {
		defer connection.Close()
		_ = connection.SetDeadline(sent.Add(uploadDeadline))
		request := call{
			method: "POST", host: "h.example", path: path, body: strings.Repeat("0", uploadBytes), deadline: uploadDeadline,
		}
		_, err = io.WriteString(connection, request.text(id))
	}
	if err == nil {
		got = readAnswer(bufio.NewReader(connection), "POST")
		err = got.err
	}
	got.err = err
	ended := time.Now()
	all.change(id, func(u *upload) { u.answer, u.ended = got, ended })
	c.record.line("client of %s: %s: %d after %d ms %v", n.name, id, got.status, ended.Sub(sent).Milliseconds(), err)
}

// judgeStop counts the requests that the node broke off while their worker was at work: the worker's connection was closed,
// and the client got no answer or one without a worker's signature. Not counted are those whose own deadline was reached,
// and those that were broken off in the last sixth of the grace time.
func (c *caseRun) judgeStop(all *uploads, term time.Time) (bool, error) {
	all.mu.Lock()
	defer all.mu.Unlock()
	since := func(t time.Time) int64 { return t.Sub(term).Milliseconds() }
	begun, unfinished, broken := 0, 0, 0
	for _, u := range all.byID {
		if u.ended.Before(term) || u.began.IsZero() {
			continue
		}
		begun++
		if u.result == resultDone && u.answer.status == http.StatusOK {
			continue
		}
		unfinished++
		c.record.line("%s: sent %d ms after SIGTERM, at work from %d to %d (%s), answered at %d: %d, signature %q",
			u.id, since(u.sent), since(u.began), since(u.left), u.result, since(u.ended), u.answer.status,
			u.answer.header.Get("Response-Signature"))
		own := u.answer.err != nil || u.answer.header.Get("Response-Signature") == ""
		if own && u.result == resultClosed && u.ended.Sub(term) < grace*5/6 && u.ended.Sub(u.sent) < uploadDeadline-deadlineMargin {
			broken++
			c.record.say("%s: sent %d ms after SIGTERM, at work from %d, broken off with %d at %d ms, %d ms before its deadline",
				u.id, since(u.sent), since(u.began), u.answer.status, since(u.ended), (uploadDeadline - u.ended.Sub(u.sent)).Milliseconds())
		}
	}
	c.record.say("%d requests were at a worker after SIGTERM, %d were not finished, %d were broken off by the node before the last sixth",
		begun, unfinished, broken)
	if begun == 0 {
		return false, fmt.Errorf("no request was at a worker")
	}
	return broken > 0, nil
}
