package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
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
		awaitListening(callers)
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

var _ = Describe("A node whose callers and monitors keep opening connections until it has stopped", func() {
	const (
		grace   = 6 * time.Second
		callers = 100
		polls   = 8
	)

	// Guards against a process that the instance ends by force: the steps after the last response had times of their own,
	// which together were longer than what a stop leaves for them.
	DescribeTable("exits within its grace time", func(readsLog bool) {
		folder := GinkgoT().TempDir()
		caller, ready, announcements := freeAddress(), freeAddress(), freeAddress()
		file := writeSettings(folder, "node", map[string]any{
			"instance": "node", "zone": "zone", "callers": caller, "mesh": freeAddress(), "admin": freeAddress(),
			"join": []string{freeAddress()}, "tls": map[string]any{"insecure": true}, "trusted_operators": []string{"ana"},
			"limits": map[string]any{"drain_timeout": grace.String()},
			"platform": map[string]any{
				"service": "promotion", "upstream": freeAddress(), "announcements": announcements, "ready": ready,
			},
		})
		command := exec.Command(build(folder, "sapphiregate"), "node", "--settings", file)
		if !readsLog {
			command.Stdout = fullPipe()
		}
		Expect(command.Start()).To(Succeed())
		DeferCleanup(func() { _ = command.Process.Kill() })
		awaitListening(caller)
		awaitListening(ready)
		exited := make(chan struct{})
		var clients sync.WaitGroup
		for range callers {
			clients.Go(func() { requestUntil(exited, caller, slowRequest, 0) })
			clients.Go(func() { requestUntil(exited, caller, unfinishedRequest, 0) })
			time.Sleep(time.Second / callers) // Some of them are always in the middle of a request.
		}
		for range polls {
			clients.Go(func() { requestUntil(exited, ready, wholeRequest, 20*time.Millisecond) })
			clients.Go(func() { requestUntil(exited, announcements, wholeRequest, 20*time.Millisecond) })
		}
		Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		signaled := time.Now()
		_ = command.Wait() // It is an error if the stop gave up a step, as it does here.
		elapsed := time.Since(signaled)
		close(exited)
		clients.Wait()
		Expect(command.ProcessState.ExitCode()).To(BeElementOf(0, 1), "it ended neither by a signal nor by a panic")
		Expect(elapsed).To(BeNumerically(">", grace*5/6), "the callers keep the stop busy until its end")
		Expect(elapsed).To(BeNumerically("<", grace))
	},
		Entry("while its log is read", true),
		Entry("while nobody reads its log", false),
	)
})

// fullPipe returns a pipe that takes no more bytes.
func fullPipe() *os.File {
	reader, writer, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _, _ = reader.Close(), writer.Close() })
	Expect(writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
	_, err = writer.Write(make([]byte, 1<<20))
	Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	return writer
}

func awaitListening(address string) {
	Eventually(func() error {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		return connection.Close()
	}).WithTimeout(eventTimeout).Should(Succeed())
}

const (
	wholeRequest = "GET /promotions HTTP/1.1\r\nHost: promotion\r\n\r\n"
	// slowRequest waits for control members, which there are none of, for two seconds.
	slowRequest = "GET /.sapphire/outcome?key=k HTTP/1.1\r\nHost: promotion\r\n\r\n"
	// unfinishedRequest is refused at once; the node waits for its body for a second, so that the caller gets the response.
	unfinishedRequest = "POST /promotions HTTP/1.1\r\nHost: promotion\r\nContent-Length: 10\r\n\r\n"
)

// requestUntil sends requests to an address, each once the response to the one before has arrived, until the channel is
// closed. It opens another connection when one ends.
func requestUntil(done <-chan struct{}, address, request string, pause time.Duration) {
	for {
		select {
		case <-done:
			return
		default:
		}
		connection, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(time.Millisecond) // The process does not listen any more.
			continue
		}
		reader := bufio.NewReader(connection)
		for err == nil {
			_ = connection.SetDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(connection, request)
			var response *http.Response
			if response, err = http.ReadResponse(reader, nil); err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				time.Sleep(pause)
			}
		}
		_ = connection.Close()
	}
}
