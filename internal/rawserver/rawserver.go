// Package rawserver is a stand-in for tests: a server that responds with any bytes, also with those that are no HTTP.
package rawserver

import (
	"bufio"
	"net"
	"net/http"
)

// Respond gets a connection, on which the head of a request has arrived, and the reader of the rest. The connection is
// closed when it returns.
type Respond func(conn *net.TCPConn, rest *bufio.Reader, request *http.Request)

// Test is the part of a test that Start needs.
type Test interface {
	Helper()
	Cleanup(func())
	Fatal(...any)
}

// Start starts a server on a loopback address and returns the address. The server accepts connections until the end of the
// test.
func Start(t Test, respond Respond) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), respond)
		}
	}()
	return listener.Addr().String()
}

func serve(conn *net.TCPConn, respond Respond) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if request, err := http.ReadRequest(reader); err == nil {
		respond(conn, reader, request)
	}
}
