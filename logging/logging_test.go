package logging_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/logging"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

// patience bounds waits for the goroutine that writes lines.
const patience = 10 * time.Second

// slowReader holds every write until it is opened.
type slowReader struct {
	open  chan struct{}
	mu    sync.Mutex
	lines bytes.Buffer
}

func (s *slowReader) Write(data []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.Write(data)
}

func (s *slowReader) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.String()
}

var _ = Describe("NonBlocking", func() {
	// Guards against a process whose last lines are lost, among them the one that says that it stopped.
	It("writes the lines that wait before it is closed", func() {
		var lines bytes.Buffer
		output := logging.NonBlocking(&lines)
		for i := range 1000 {
			fmt.Fprintf(output, "line %d\n", i)
		}
		Expect(output.Close()).To(Succeed())
		Expect(strings.Count(lines.String(), "\n")).To(Equal(1000))
		Expect(lines.String()).To(HaveSuffix("line 999\n"))
	})

	// Guards against a process that cannot end, and against requests that wait, because nobody reads its log.
	It("neither waits for a reader that has stopped nor hides how many lines it dropped", func() {
		reader := &slowReader{open: make(chan struct{})}
		output := logging.NonBlocking(reader)
		written := make(chan struct{})
		go func() {
			defer close(written)
			for range 20_000 {
				io.WriteString(output, "line\n")
			}
		}()
		Eventually(written).WithTimeout(patience).Should(BeClosed())
		closed := make(chan error, 1)
		go func() { closed <- output.Close() }()
		Eventually(closed).WithTimeout(patience).Should(Receive(MatchError(logging.ErrNotFlushed)))
		close(reader.open)
		Eventually(reader.text).WithTimeout(patience).Should(ContainSubstring("log lines dropped"))
	})
})
