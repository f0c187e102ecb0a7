package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a worker has begun to work on.
type run struct {
	worker, id, method, uri, host, caller, expect string
	body                                          []byte
	at                                            time.Time
}

// worker is an application worker as PROTOCOL.md describes it.
type worker struct {
	spec                   upstreamSpec
	address, control, zone string
	id                     string
	mu                     sync.Mutex
	listener               net.Listener
	connections            map[net.Conn]bool
	runs                   []run
	state                  string
	born                   int64
	sequence               uint64
	stopped                chan struct{}
	running                atomic.Int64
	// handle answers a request that runs; nil answers at once.
	handle func(w *worker, c net.Conn, r run)
	// beforeBody is called with the header of a request; it returns true if it has answered.
	beforeBody func(w *worker, c net.Conn, reader *bufio.Reader, r *http.Request) bool
}

func newWorker(spec upstreamSpec, address, control, zone string) *worker {
	host, _, _ := net.SplitHostPort(address)
	return &worker{
		spec: spec, address: address, control: control, zone: zone,
		id: "i-" + strings.ReplaceAll(host, ".", "x"), state: "ready",
	}
}

// start begins a new incarnation.
func (w *worker) start(born int64, id string) {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		cannotRun("worker: %v", err)
	}
	w.mu.Lock()
	w.listener, w.connections, w.born, w.id, w.sequence = listener, map[net.Conn]bool{}, born, id, 0
	w.state, w.stopped = "ready", make(chan struct{})
	stopped := w.stopped
	w.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.connections[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	go func() {
		for {
			w.beat()
			select {
			case <-stopped:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
}

// stop ends the worker without a word, as a crash does.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	w.listener.Close()
	for c := range w.connections {
		c.Close()
	}
	w.listener = nil
	close(w.stopped)
}

// beatMessage returns the next heartbeat.
func (w *worker) beatMessage() (id string, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	body, _ = json.Marshal(map[string]any{
		"Service": w.spec.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.spec.slots,
		"State": w.state, "ColdLeft": "0ms", "Seq": w.sequence, "born": w.born,
	})
	return w.id, body
}

func (w *worker) beat() int {
	id, body := w.beatMessage()
	return post("http://"+w.control+"/v1/instances/"+id+"/heartbeat", body)
}

func post(url string, body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			w.mu.Lock()
			ok := w.state == "ready"
			w.mu.Unlock()
			status := "200 OK"
			if !ok {
				status = "503 Service Unavailable"
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", status, w.id, w.spec.slots)
			continue
		}
		r := run{
			worker: w.id, id: request.Header.Get("Request-Id"), method: request.Method, uri: request.RequestURI,
			host: request.Host, caller: request.Header.Get("Caller-Service"), expect: request.Header.Get("Expect-Instance"),
		}
		if r.expect != "" && r.expect != w.id {
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id, w.id)
			continue
		}
		if w.beforeBody != nil && w.beforeBody(w, c, reader, request) {
			continue
		}
		if r.body, err = io.ReadAll(request.Body); err != nil {
			return
		}
		r.at = time.Now()
		w.mu.Lock()
		w.runs = append(w.runs, r)
		w.mu.Unlock()
		w.running.Add(1)
		if w.handle != nil {
			w.handle(w, c, r)
		} else {
			answer(c, r, 200, []byte("answer to "+r.id))
		}
		w.running.Add(-1)
	}
}

// answer sends a whole response with the worker's signature.
func answer(c net.Conn, r run, status int, body []byte) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n", status,
		http.StatusText(status), r.id, signature(r.worker, body), len(body))
	_, _ = c.Write(body)
}

func signature(id string, body []byte) string {
	return id + "." + strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16)
}

// runsOf lists the runs of a request at all workers.
func (d *deployment) runsOf(id string) []run {
	var found []run
	for _, w := range d.workers {
		w.mu.Lock()
		for _, r := range w.runs {
			if r.id == id {
				found = append(found, r)
			}
		}
		w.mu.Unlock()
	}
	return found
}
