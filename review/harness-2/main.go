// Command harness-2 runs one script of the second review: review-2 NAME.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
	active     *deployment
	// scripts holds the scripts by name.
	scripts = map[string]func(){}
	// trouble is false if the script runs without its disruption.
	trouble = os.Getenv("TROUBLE") != "0"
	nextID  atomic.Int64
)

// record writes a line to the record of the script.
func record(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(began).Seconds()) + fmt.Sprintf(format, arguments...)
	if recordFile != nil {
		fmt.Fprintln(recordFile, line)
	}
	if os.Getenv("SHOW") != "" {
		fmt.Println(line)
	}
}

func finish(code int) {
	if active != nil {
		active.close()
	}
	os.Exit(code)
}

// cannotRun ends the script with the code for a case that could not run.
func cannotRun(format string, arguments ...any) {
	record("cannot run: "+format, arguments...)
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", arguments...)
	finish(2)
}

// conclude ends the script: 1 if the rule was broken, 0 if it held.
func conclude(broken bool, format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	record("broken: %v; %s", broken, text)
	fmt.Printf("broken: %v; %s\n", broken, text)
	if broken {
		finish(1)
	}
	finish(0)
}

// newID returns the id of a new client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), nextID.Add(1)) }

// reply is what a client sees of one request.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// send writes a raw request on a connection and reads the response.
func send(c net.Conn, reader *bufio.Reader, raw []byte, method string, patience time.Duration) reply {
	sent := time.Now()
	_ = c.SetDeadline(sent.Add(patience))
	if _, err := c.Write(raw); err != nil {
		return reply{err: err, took: time.Since(sent)}
	}
	return receive(reader, method, sent)
}

// receive reads the response to a request that was sent at a time.
func receive(reader *bufio.Reader, method string, sent time.Time) reply {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err, took: time.Since(sent)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: body, err: err, took: time.Since(sent)}
}

// rawRequest encodes a request as a client of the platform does.
func rawRequest(method, host, uri, id string, deadline time.Duration, body []byte) []byte {
	text := method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " +
		strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n"
	if method == http.MethodPost {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return append([]byte(text+"\r\n"), body...)
}

// once sends one request on a new connection.
func once(address, method, host, uri, id string, deadline time.Duration, body []byte) reply {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	return send(c, bufio.NewReader(c), rawRequest(method, host, uri, id, deadline, body), method, deadline+time.Second)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 NAME RECORD")
		os.Exit(2)
	}
	script, ok := scripts[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown script")
		os.Exit(2)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		finish(2)
	}()
	time.AfterFunc(115*time.Second, func() { cannotRun("the script takes too long") })
	script()
	finish(2)
}
