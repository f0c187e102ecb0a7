package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call is a request of a client.
type call struct {
	method, host, path string
	header             map[string]string
	body               string
	// deadline is how long the client waits.
	deadline time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// text returns the request as it is sent.
func (c call) text(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, c.host, id,
		c.deadline.Milliseconds())
	for name, value := range c.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if c.body != "" || c.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.WriteString(c.body)
	return b.String()
}

// send sends the request on a new connection and reads the answer.
func (c call) send(node *process, id string) answer {
	connection, err := net.DialTimeout("tcp", address(node.ip, node.deployment.ports.callers), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(c.deadline))
	if _, err := io.WriteString(connection, c.text(id)); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(connection), c.method)
}

func readAnswer(reader *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}
