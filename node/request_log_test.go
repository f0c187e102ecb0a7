package node_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
)

// logBuffer collects the log of a node.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(data)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.String()
}

// linesAbout returns the lines about a request; for "", those about any request.
func (l *logBuffer) linesAbout(request string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	decoder := json.NewDecoder(bytes.NewReader(l.data.Bytes()))
	for {
		var line map[string]any
		if err := decoder.Decode(&line); err != nil {
			Expect(err).To(MatchError(io.EOF))
			return found
		}
		if id, ok := line["request"]; ok && (request == "" || id == request) {
			found = append(found, line)
		}
	}
}

// metric returns one sample of a node's metrics, or 0 if the node has none of that name.
func metric(admin net.Addr, name string) float64 {
	response, err := http.Get("http://" + admin.String() + node.PathMetrics)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	sample := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(text)
	if sample == nil {
		return 0
	}
	value, err := strconv.ParseFloat(string(sample[1]), 64)
	Expect(err).NotTo(HaveOccurred())
	return value
}

var _ = Describe("the log about requests", func() {
	var logs *logBuffer
	var admin net.Addr
	start := func(handler http.HandlerFunc) string {
		logs = &logBuffer{}
		n, callers, upstream := startCustomDialectNode(handler, func(options *node.Options) {
			options.Logger, admin = zerolog.New(logs), options.Admin.Addr()
		})
		Expect(sendHeartbeat(n, upstream, "u1", 1, 1, false)).To(Succeed())
		mergeOwnRecord(n)
		return callers
	}
	respondValid := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request", r.Header.Get("X-Request"))
		w.Header().Set("X-Proof", "1")
	}

	// Guards against a failed request whose cause cannot be found afterwards: the ingress logs the instance that it
	// tried, and the executor there logs what happened.
	It("says at the ingress and the executor why a request failed", func() {
		callers := start(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		_, err := sendRequest(callers, "/promote", "r1")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(logs.linesAbout("r1")) }, eventuallyTimeout).Should(Equal(2))
		found := logs.linesAbout("r1")
		Expect(found[0]).To(HaveKeyWithValue("message", "call failed"))
		Expect(found[0]).To(HaveKeyWithValue("reason", string(protocol.ReasonUpstreamFailed)))
		Expect(found[1]).To(HaveKeyWithValue("message", "request failed"))
		Expect(found[1]).To(HaveKeyWithValue("outcome", "unknown"))
		Expect(found[1]).To(HaveKeyWithValue("tried", ConsistOf("n1")))
		Expect(found[1]).To(HaveKeyWithValue("version", BeEquivalentTo(1)))
		Expect(metric(admin, `sapphiregate_request_seconds_count{class="irreversible",outcome="unknown"}`)).To(Equal(1.0))
	})

	// Guards against log lines about refused calls that do not show the state on which the decision was based.
	It("says why a call got no slot", func() {
		release := make(chan struct{})
		callers := start(func(w http.ResponseWriter, r *http.Request) {
			<-release
			respondValid(w, r)
		})
		var running sync.WaitGroup
		for i := range 4 {
			running.Go(func() {
				defer GinkgoRecover()
				_, err := sendRequest(callers, "/lookup", fmt.Sprintf("held-%d", i))
				Expect(err).NotTo(HaveOccurred())
			})
		}
		DeferCleanup(running.Wait)
		DeferCleanup(func() { close(release) })
		Eventually(func() float64 { return metric(admin, "sapphiregate_upstream_running") }, eventuallyTimeout).Should(Equal(4.0))
		request, err := http.NewRequest(http.MethodGet, "http://"+callers+"/lookup", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("X-Request", "late")
		request.Header.Set("X-Left-Ms", "50")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Eventually(func() int { return len(logs.linesAbout("late")) }, eventuallyTimeout).Should(BeNumerically(">=", 2))
		found := logs.linesAbout("late")[0]
		Expect(found).To(HaveKeyWithValue("message", "call refused"))
		Expect(found).To(HaveKeyWithValue("slots", BeEquivalentTo(4)))
		Expect(found).To(HaveKeyWithValue("running", BeEquivalentTo(4)))
		Expect(found).To(HaveKeyWithValue("given_ms", BeNumerically("<=", 50)))
	})

	// Guards against a log that grows with the load: the ingress and the executor may each write 20 lines per second
	// and a burst of 100.
	It("stays within its limit when every request fails, and counts the dropped lines", func() {
		callers := start(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		const requests = 600
		started := time.Now()
		for i := range requests {
			_, err := sendRequest(callers, "/promote", fmt.Sprintf("r%d", i))
			Expect(err).NotTo(HaveOccurred())
		}
		bound := 2 * (100 + 20*(time.Since(started).Seconds()+1))
		written := len(logs.linesAbout(""))
		Expect(written).To(BeNumerically("<=", bound))
		Expect(metric(admin, "sapphiregate_log_lines_dropped_total")).To(BeEquivalentTo(2*requests - written))
		Expect(metric(admin, `sapphiregate_request_seconds_count{class="irreversible",outcome="unknown"}`)).
			To(BeEquivalentTo(requests))
	})

	// Guards against a log without successful requests with which to compare a failed one.
	It("contains a sample of the successful requests at the ingress and the executor", func() {
		callers := start(respondValid)
		for i := range 300 {
			_, err := sendRequest(callers, "/lookup", fmt.Sprintf("r%d", i))
			Expect(err).NotTo(HaveOccurred())
		}
		found := logs.linesAbout("")
		Expect(found).NotTo(BeEmpty())
		messages := make(map[any]int)
		for _, line := range found {
			messages[line["message"]]++
		}
		Expect(messages).To(HaveLen(2))
		Expect(messages["request answered"]).To(Equal(messages["call answered"]))
	})
})
