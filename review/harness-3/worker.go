package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	at                   time.Time
	worker, id, uri, who string
	tenant               string
}

// worker is a stand-in for the application worker beside a node.
type worker struct {
	node    *process
	id      string
	version string
	slots   int
	// work answers a request that got a slot.
	work func(w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	runs    []run
	state   string
	seq     int
	born    int64
	running atomic.Int64
	server  *http.Server
	stop    chan struct{}
	// beats counts the heartbeats that were acknowledged.
	beats atomic.Int64
}

func newWorker(n *process, id, version string, slots int) *worker {
	return &worker{node: n, id: id, version: version, slots: slots, state: "ready", stop: make(chan struct{})}
}

const heartbeatInterval = 1500 * time.Millisecond

// start listens at the worker's address and sends heartbeats to the node beside it.
func (w *worker) start() error {
	d := w.node.deployment
	listener, err := net.Listen("tcp", address(w.node.ip, d.ports.worker))
	if err != nil {
		return err
	}
	w.born = time.Now().UnixMilli()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.sendHeartbeats()
	return nil
}

func (w *worker) sendHeartbeats() {
	for {
		if w.heartbeat() {
			w.beats.Add(1)
		}
		interval := heartbeatInterval
		if w.beats.Load() == 0 {
			interval = 200 * time.Millisecond // The node may not listen yet.
		}
		select {
		case <-w.stop:
			return
		case <-time.After(interval):
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (w *worker) heartbeat() bool {
	w.mu.Lock()
	w.seq++
	body, _ := json.Marshal(map[string]any{
		"Service": w.node.service, "Address": address(w.node.ip, w.node.deployment.ports.worker), "Zone": w.node.zone,
		"Version": w.version, "Slots": w.slots, "State": w.state, "ColdLeft": "0ms", "Seq": w.seq, "born": w.born,
	})
	state := w.state
	w.mu.Unlock()
	url := "http://" + address(w.node.ip, w.node.deployment.ports.control) + "/v1/instances/" + w.id + "/heartbeat"
	status, _, err := request("POST", url, map[string]string{"Content-Type": "application/json"}, body, time.Second)
	if state != "ready" {
		w.node.deployment.record.line("worker %s says %s: %d %v", w.id, state, status, err)
	}
	return err == nil && status == http.StatusOK
}

// leave says that the worker is draining, serves on for the time of a drain, and ends.
func (w *worker) leave() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	for range 5 {
		if w.heartbeat() {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	url := "http://" + address(w.node.ip, w.node.deployment.ports.control) + "/v1/instances/" + w.id + "/deregister"
	_, _, _ = request("POST", url, nil, nil, time.Second)
	w.end()
}

// end ends the worker at once.
func (w *worker) end() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	_ = w.server.Close()
}

// ServeHTTP answers as the pages say of workers.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	draining := w.state != "ready"
	w.mu.Unlock()
	header := rw.Header()
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
	if r.URL.Path == "/health" {
		header.Set("Instance-Id", w.id)
		if draining {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	refuse := func(status int) {
		header.Set("Not-Executed", "1")
		rw.WriteHeader(status)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if w.running.Add(1) > int64(w.slots) {
		w.running.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	w.mu.Lock()
	w.runs = append(w.runs, run{
		at: time.Now(), worker: w.id, id: id, uri: r.RequestURI, who: r.Header.Get("Caller-Service"),
		tenant: r.Header.Get("Tenant"),
	})
	w.mu.Unlock()
	w.node.deployment.record.line("worker %s runs %s %s %s", w.id, id, r.Method, r.RequestURI)
	header.Set("Response-Signature", "s."+id)
	if w.work == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = rw.Write([]byte("done " + id))
		return
	}
	w.work(rw, r)
}

// all returns the runs so far.
func (w *worker) all() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run{}, w.runs...)
}

// drainBody reads the rest of a request's body.
func drainBody(r *http.Request) []byte {
	var buffer bytes.Buffer
	_, _ = io.Copy(&buffer, r.Body)
	return buffer.Bytes()
}
