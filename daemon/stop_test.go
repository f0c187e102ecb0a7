package daemon_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// unansweredRequests counts the connections whose request gets no response, and returns the error of the last one.
func unansweredRequests(connections []net.Conn) (unanswered int, last error) {
	for _, connection := range connections {
		Expect(connection.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err == nil {
			response.Body.Close()
			continue
		}
		unanswered++
		last = err
	}
	return unanswered, last
}

func writeRequests(connections []net.Conn) {
	for _, connection := range connections {
		_, err := fmt.Fprintf(connection, "GET /promotions HTTP/1.1\r\nHost: promotion\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
	}
}

var _ = Describe("A node that stops while it is short of processor time", func() {
	const (
		connectionsOfEachKind = 20
		leaveNotice           = 2 * time.Second
		// pause is how long the process does not run; it begins before the end of the leave notice and ends after it.
		pause = 600 * time.Millisecond
	)

	// Guards against a stop whose timer runs before the network is polled: it closes the listener and the idle connections
	// although requests wait there.
	It("does not cut requests that have arrived but were not read yet", func() {
		folder := GinkgoT().TempDir()
		callers := freeAddress()
		file := writeSettings(folder, "node", map[string]any{
			"instance": "node", "zone": "zone", "callers": callers, "mesh": freeAddress(), "admin": freeAddress(),
			"join": []string{freeAddress()}, "tls": map[string]any{"insecure": true}, "trusted_operators": []string{"ana"},
			"limits": map[string]any{"drain_timeout": "5500ms", "leave_notice": leaveNotice.String()},
		})
		daemon := build(folder, "sapphiregate")
		GinkgoT().Setenv("GOMAXPROCS", "1") // A node's machine has one processor.
		process := start(daemon, "node", "--settings", file)
		dial := func() []net.Conn {
			var connections []net.Conn
			for range connectionsOfEachKind {
				connection, err := net.Dial("tcp", callers)
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(connection.Close)
				connections = append(connections, connection)
			}
			return connections
		}
		Eventually(func() error {
			connection, err := net.Dial("tcp", callers)
			if err != nil {
				return err
			}
			return connection.Close()
		}).WithTimeout(eventTimeout).Should(Succeed())
		kept := dial()
		writeRequests(kept)
		unanswered, err := unansweredRequests(kept)
		Expect(unanswered).To(BeZero(), "before the stop: %v", err)

		Expect(process.Process.Signal(syscall.SIGTERM)).To(Succeed())
		time.Sleep(leaveNotice - pause/2)
		Expect(process.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		writeRequests(kept)
		opened := dial()
		writeRequests(opened)
		time.Sleep(pause)
		Expect(process.Process.Signal(syscall.SIGCONT)).To(Succeed())

		keptUnanswered, keptErr := unansweredRequests(kept)
		openedUnanswered, openedErr := unansweredRequests(opened)
		Expect(process.Wait()).To(Succeed(), "a planned stop must exit with 0")
		Expect([]int{keptUnanswered, openedUnanswered}).To(Equal([]int{0, 0}),
			"requests cut on kept and on new connections: %v; %v", keptErr, openedErr)
	})
})
