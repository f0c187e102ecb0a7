package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// beatInterval is the interval of a worker's heartbeats.
const beatInterval = 1500 * time.Millisecond

// run is one request that a worker has begun to work on.
type run struct {
	at                                            time.Time
	worker, id, method, path, callerService, body string
}

// worker is a stand-in for an application worker beside a node.
type worker struct {
	record  *record
	id      string
	machine *machine
	born    int64
	work    time.Duration

	mu       sync.Mutex
	sequence int
	state    string
	silent   bool
	leaving  bool
	runs     []run
	listener net.Listener
	server   *http.Server
	stop     chan struct{}
}

// startWorker starts a worker that sends heartbeats to the node on its machine.
func startWorker(r *record, id string, m *machine, work time.Duration) (*worker, error) {
	w := &worker{record: r, id: id, machine: m, born: time.Now().UnixMilli(), work: work, state: "ready", stop: make(chan struct{})}
	listener, err := net.Listen("tcp", m.address(portWorker))
	if err != nil {
		return nil, err
	}
	w.listener = listener
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	return w, nil
}

func (w *worker) close() {
	w.mu.Lock()
	if !w.silent {
		w.silent = true
		close(w.stop)
	}
	w.mu.Unlock()
	_ = w.server.Close()
}

// ServeHTTP answers health checks and runs requests.
func (w *worker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.mu.Lock()
		leaving := w.leaving
		w.mu.Unlock()
		response.Header().Set("Instance-Id", w.id)
		if leaving {
			response.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	response.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		w.record.add("worker %s: %s expects %s: 421", w.id, id, expected)
		response.Header().Set("Not-Executed", "1")
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		response.Header().Set("Not-Executed", "1")
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	done := run{at: time.Now(), worker: w.id, id: id, method: r.Method, path: r.RequestURI, callerService: r.Header.Get("Caller-Service"), body: string(body)}
	w.mu.Lock()
	w.runs = append(w.runs, done)
	w.mu.Unlock()
	w.record.add("worker %s (%s): runs %s %s %s, %d bytes, caller %s", w.id, w.machine.service, id, r.Method, r.RequestURI, len(body), done.callerService)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	response.Header().Set("Response-Signature", "s."+id)
	_, _ = io.WriteString(response, "answer of "+w.id+" to "+id)
}

// list returns the runs so far.
func (w *worker) list() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run{}, w.runs...)
}

// nextBeat returns the next heartbeat.
func (w *worker) nextBeat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	data, _ := json.Marshal(map[string]any{
		"Service": w.machine.service, "Address": w.machine.address(portWorker), "Zone": w.machine.zone, "Version": "v1",
		"Slots": 9, "State": w.state, "ColdLeft": "0ms", "Seq": w.sequence, "born": w.born,
	})
	return data
}

// beat sends heartbeats until the worker falls silent.
func (w *worker) beat() {
	for {
		w.post("heartbeat", w.nextBeat())
		select {
		case <-time.After(beatInterval):
		case <-w.stop:
			return
		}
	}
}

// post sends a message to the node on the worker's machine and returns the status; 0 without a response.
func (w *worker) post(call string, body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/v1/instances/%s/%s", w.machine.address(portControl), w.id, call)
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// deregister tells the node that the worker stops. The worker sends no heartbeats afterwards and goes on serving.
func (w *worker) deregister() int {
	w.mu.Lock()
	w.leaving = true
	if !w.silent {
		w.silent = true
		close(w.stop)
	}
	w.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"born": w.born})
	return w.post("deregister", data)
}
