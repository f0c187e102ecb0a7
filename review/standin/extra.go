package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// extraEvery is the number of complete answers after one of which the faulty worker sends additional bytes: 3 in 100.
	extraEvery = 34
	// extraFor is the time for which the worker is faulty, from its first additional bytes.
	extraFor = 5 * time.Second
)

// additional are the bytes that the faulty worker sends after a complete answer, by turns. They have no Request-Id.
var additional = []string{
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
}

// faultyWorker takes the place of a worker's server. It serves one request at a time on a connection, as all workers do.
type faultyWorker struct {
	worker  *worker
	trouble bool

	mu      sync.Mutex
	answers int
	extras  int
	since   time.Time
}

// replaceServer lets a faulty server take over the address of a worker, which keeps its identity.
func (w *worker) replaceServer(trouble bool) (*faultyWorker, error) {
	_ = w.server.Close()
	listener, err := net.Listen("tcp", w.machine.address(portWorker))
	if err != nil {
		return nil, err
	}
	f := &faultyWorker{worker: w, trouble: trouble}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(conn)
		}
	}()
	return f, nil
}

// due reports whether additional bytes follow the answer that is sent now, and returns them.
func (f *faultyWorker) due() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers++
	if !f.trouble || f.answers%extraEvery != 0 {
		return ""
	}
	if f.since.IsZero() {
		f.since = time.Now()
	}
	if time.Since(f.since) > extraFor {
		return ""
	}
	f.extras++
	return additional[f.extras%len(additional)]
}

// serve answers the requests of one connection. Additional bytes come late: when the next request has arrived.
func (f *faultyWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if request.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", f.worker.id)
			continue
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != f.worker.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		f.worker.mu.Lock()
		f.worker.runs = append(f.worker.runs, run{at: time.Now(), worker: f.worker.id, id: id, method: request.Method, body: string(body)})
		f.worker.mu.Unlock()
		f.worker.record.add("worker %s (%s): runs %s", f.worker.id, f.worker.machine.service, id)
		if late != "" {
			f.worker.record.add("worker %s: sends additional bytes after an earlier answer: %q", f.worker.id, late)
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		time.Sleep(f.worker.work)
		answer := "answer of " + f.worker.id + " to " + id
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Length: %d\r\n\r\n%s",
			id, id, len(answer), answer); err != nil {
			return
		}
		late = f.due()
	}
}

// extra: one of the three workers of a service sends additional bytes after some of its complete answers. Clients send
// requests of an unsafe route, each once.
func extra(r *record, trouble bool) error {
	c, workers, err := deploy(r)
	if err != nil {
		return err
	}
	defer c.close()
	if _, err := workers[3].replaceServer(trouble); err != nil {
		return err
	}
	time.Sleep(boundContact + time.Second)
	var mu sync.Mutex
	statuses := map[string]int{}
	var clients sync.WaitGroup
	for n := range 3 {
		clients.Go(func() {
			for i := range 150 {
				id := fmt.Sprintf("grant-%d-%d", n, i)
				status, _ := send(r, c.sidecars[3*n], id, "POST", "/promote/x", "grant "+id)
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	runs := map[string][]string{}
	for _, w := range workers {
		for _, done := range w.list() {
			runs[done.id] = append(runs[done.id], w.id)
		}
	}
	for id, status := range statuses {
		if len(runs[id]) > 1 {
			r.breaks("TWICE: request %s ran on %v; the client got %d", id, runs[id], status)
		}
	}
	for id, status := range statuses {
		switch status {
		case 408, 421, 429, 503:
			if len(runs[id]) > 0 {
				// Only recorded: the rule of the case is TWICE.
				r.add("REFUSED is broken too: request %s ran on %v; the client got %d, which says that it did not run", id, runs[id], status)
			}
		}
	}
	return nil
}
