package web_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/transport/web"
)

const drainTimeout = 10 * time.Second

// interruptedListener returns from its first waits at their deadline without looking for connections, like a process
// that does not run between setting a deadline and accepting.
type interruptedListener struct {
	*net.TCPListener
	pauses []time.Duration
}

func (l *interruptedListener) Accept() (net.Conn, error) {
	if len(l.pauses) > 0 {
		time.Sleep(l.pauses[0])
		l.pauses = l.pauses[1:]
		return nil, os.ErrDeadlineExceeded
	}
	return l.TCPListener.Accept()
}

var _ = Describe("DrainListener", func() {
	var listener *web.DrainListener
	var server *http.Server
	var served chan error

	dial := func() net.Conn {
		connection, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(connection.Close)
		return connection
	}
	sendRequest := func(connection net.Conn, path string) {
		_, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: desk\r\n\r\n", path)
		Expect(err).NotTo(HaveOccurred())
	}
	expectResponse := func(connection net.Conn) {
		GinkgoHelper()
		Expect(connection.SetReadDeadline(time.Now().Add(drainTimeout))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("whole"))
	}
	serve := func() { go func() { served <- server.Serve(listener) }() }
	drain := func() <-chan error {
		done := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
			defer cancel()
			done <- listener.Drain(ctx)
		}()
		return done
	}
	expectDrained := func(done <-chan error) {
		GinkgoHelper()
		Eventually(done, drainTimeout).Should(Receive(BeNil()))
		Eventually(served, drainTimeout).Should(Receive(Equal(http.ErrServerClosed)))
		_, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).To(HaveOccurred())
	}

	BeforeEach(func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener = web.NewDrainListener(inner)
		served = make(chan error, 1)
		server = &http.Server{
			ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, ConnState: listener.ConnState,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					select {
					case <-time.After(300 * time.Millisecond):
					case <-r.Context().Done():
						panic(http.ErrAbortHandler)
					}
				}
				fmt.Fprint(w, "whole")
			}),
		}
		DeferCleanup(server.Close)
	})

	// Guards against closing a listener with connections that wait to be accepted.
	It("serves the requests on connections that were not accepted yet", func() {
		var connections []net.Conn
		for range 20 {
			connection := dial()
			sendRequest(connection, "/")
			connections = append(connections, connection)
		}
		done := drain()
		time.Sleep(5 * time.Millisecond)
		serve()
		for _, connection := range connections {
			expectResponse(connection)
		}
		expectDrained(done)
	})

	// Guards against taking a wait for quiet in which nothing was accepted because its deadline had passed before.
	It("serves them also if its first waits for connections are interrupted", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener = web.NewDrainListener(&interruptedListener{
			TCPListener: inner.(*net.TCPListener), pauses: []time.Duration{0, 0, 30 * time.Millisecond, 0},
		})
		server.ConnState = listener.ConnState
		connection := dial()
		sendRequest(connection, "/")
		done := drain()
		time.Sleep(5 * time.Millisecond)
		serve()
		expectResponse(connection)
		expectDrained(done)
	})

	// Guards against closing a kept connection on which a request has arrived, because its goroutine did not run yet.
	It("serves a request on an idle connection that was not read yet", func() {
		held := make(chan struct{})
		server.ConnState = func(connection net.Conn, state http.ConnState) {
			listener.ConnState(connection, state)
			if state == http.StateIdle {
				<-held
			}
		}
		serve()
		connection := dial()
		sendRequest(connection, "/")
		expectResponse(connection)
		sendRequest(connection, "/")
		done := drain()
		time.Sleep(200 * time.Millisecond)
		close(held)
		expectResponse(connection)
		expectDrained(done)
	})

	// Guards against a drain that ends a request which is running, or waits for connections without one.
	It("waits for running requests and closes connections without one", func() {
		serve()
		running, idle, silent := dial(), dial(), dial()
		sendRequest(idle, "/")
		expectResponse(idle)
		sendRequest(running, "/slow")
		Eventually(func() int { active, _ := listener.Connections(); return active }, drainTimeout).Should(Equal(1))
		Eventually(func() int { _, waiting := listener.Connections(); return waiting }, drainTimeout).Should(Equal(2))
		done := drain()
		for _, connection := range []net.Conn{idle, silent} {
			Expect(connection.SetReadDeadline(time.Now().Add(drainTimeout))).To(Succeed())
			_, err := connection.Read(make([]byte, 1))
			Expect(err).To(Equal(io.EOF))
		}
		expectResponse(running)
		expectDrained(done)
	})

	// Guards against a drain that waits for quiet until its time is over, so that the process is killed.
	It("ends before its context although callers keep opening connections", func() {
		serve()
		stop := make(chan struct{})
		var callers sync.WaitGroup
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(3 * time.Millisecond):
				}
				connection, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					continue
				}
				_, _ = fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n\r\n")
				defer connection.Close()
			}
		})
		DeferCleanup(func() { close(stop); callers.Wait() })
		Eventually(func() int { active, waiting := listener.Connections(); return active + waiting }, drainTimeout).
			Should(BeNumerically(">", 0))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Expect(listener.Drain(ctx)).To(Succeed())
		Eventually(served, drainTimeout).Should(Receive(Equal(http.ErrServerClosed)))
	})

	It("ends with its context while a request is running", func() {
		serve()
		connection := dial()
		sendRequest(connection, "/slow")
		Eventually(func() int { active, _ := listener.Connections(); return active }, drainTimeout).Should(Equal(1))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(listener.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
	})
})
