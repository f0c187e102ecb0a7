package node_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
)

// endlessUpstream responds to a request for a path that ends with the index of an endlessCase with its start and its
// part, which it repeats until the connection closes, and to others with "good".
type endlessUpstream struct {
	// pause is the time between two parts; 0 sends them as fast as the reader takes them.
	pause time.Duration
	// endless counts the connections on which the upstream sends without end.
	endless atomic.Int32
	// parts counts the parts that were sent.
	parts atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// fastPartBytes is the size of the writes of an upstream that sends as fast as it can.
const fastPartBytes = 64 << 10

func (u *endlessUpstream) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		u.mu.Unlock()
		go u.serveConn(conn)
	}
}

func (u *endlessUpstream) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if i, err := strconv.Atoi(path.Base(request.URL.Path)); err == nil {
			u.sendEndless(conn, endlessCases[i])
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
	}
}

func (u *endlessUpstream) sendEndless(conn net.Conn, response endlessCase) {
	u.endless.Add(1)
	defer u.endless.Add(-1)
	// The reader of the rest notices when the node closes the connection between two parts.
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	part := []byte(response.part)
	if u.pause == 0 {
		part = bytes.Repeat(part, fastPartBytes/len(part)+1)
	}
	_, err := io.WriteString(conn, response.start)
	for err == nil {
		_, err = conn.Write(part)
		u.parts.Add(1)
		if u.pause == 0 {
			continue
		}
		select {
		case <-closed:
			return
		case <-time.After(u.pause):
		}
	}
}

func (u *endlessUpstream) closeConns() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, conn := range u.conns {
		_ = conn.Close()
	}
}

// newEndlessFixture returns a fixture with an endlessUpstream.
func newEndlessFixture(remote bool, slots int, upstream *endlessUpstream) *fixture {
	listener := listen()
	go upstream.serve(listener)
	f := newFixture(remote, newFakeLedger().server.Address(), slots, http.NotFound)
	Expect(f.executor.AcceptUpstream(node.Announcement{
		Service: "desk", Address: listener.Addr().String(), Slots: slots,
	})).To(Succeed())
	DeferCleanup(func() {
		_ = listener.Close()
		upstream.closeConns()
	})
	return f
}

// endlessCase is a response without an end. Requests for the path of its index get it.
type endlessCase struct{ name, start, part string }

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	oneChunk    = "10\r\n0123456789abcdef\r\n"
)

var endlessCases = []endlessCase{
	{"bytes that are no HTTP", "", "\x00\xff\x13\x37"},
	{"lines that are no HTTP", "", "no answer\r\n"},
	{"a status line", "HTTP/1.1 200 ", "O"},
	{"a header field", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	{"a field name", "HTTP/1.1 200 OK\r\nX-", "x"},
	{"header fields", "HTTP/1.1 200 OK\r\n", "X-Many: x\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	{"a protocol that was not asked for", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", "x"},
	{"a status code below 100", "HTTP/1.1 099 OK\r\n\r\n", "x"},
	{"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
	{"chunks", chunkedHead, oneChunk},
	{"a chunk size", chunkedHead, "0"},
	{"a chunk extension", chunkedHead + "10;", "x"},
	{"a trailer field", chunkedHead + oneChunk + "0\r\nX-Long: ", "x"},
	{"trailer fields", chunkedHead + oneChunk + "0\r\n", "X-Many: x\r\n"},
	{"a byte at a time after a long start", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 80_000), "x"},
	{"a body with an announced length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
}

// Indices of endlessCases.
const (
	endlessBody  = 9
	endlessBytes = 15
)

const (
	// endlessDeadline is the deadline of calls that get such a response.
	endlessDeadline = 600 * time.Millisecond
	// endlessLimit is the time after which such a call must have ended, also on a busy machine.
	endlessLimit = 10 * time.Second
	// endlessSlots are as many as the largest upstream of the deployments has; each case runs at the same time.
	endlessSlots = 20
	// endlessMemory bounds the heap that these calls may add, in bytes: half of the memory of a node on the platform.
	endlessMemory = 92 << 20
)

// heapPeak samples the heap until stop is called, which returns how much it grew.
func heapPeak() (stop func() uint64) {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	before, peak := stats.HeapAlloc, stats.HeapAlloc
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-quit:
				return
			case <-time.After(5 * time.Millisecond):
			}
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc)
		}
	}()
	return func() uint64 {
		close(quit)
		<-done
		return peak - before
	}
}

// discard makes a call and reads the response without keeping it.
func (f *fixture) discard(path string, header ...string) callResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers+path, nil)
	if err != nil {
		return callResult{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := f.client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return callResult{status: response.StatusCode, header: response.Header, err: err}
}

// callAll makes one call for each case at the same time and returns their results.
func callAll(f *fixture, path string) []callResult {
	results := make([]callResult, len(endlessCases))
	var calls sync.WaitGroup
	for i := range endlessCases {
		calls.Go(func() {
			results[i] = f.discard(fmt.Sprintf("%s/%d", path, i),
				protocol.HeaderDeadline, strconv.FormatInt(endlessDeadline.Milliseconds(), 10), keyHeader, fmt.Sprint("k", i))
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		calls.Wait()
	}()
	Eventually(done, endlessLimit).Should(BeClosed())
	return results
}

// distinctFields returns header fields with different short names and no value.
func distinctFields(count int) string {
	const letters = 26
	var fields strings.Builder
	for i := range count {
		for _, digit := range []int{i % letters, i / letters % letters, i / letters / letters} {
			fields.WriteByte(byte('a' + digit))
		}
		fields.WriteString(":\r\n")
	}
	return fields.String()
}

var _ = Describe("responses without an end", func() {
	for _, remote := range []bool{false, true} {
		path := map[bool]string{false: "on the local upstream", true: "through another node"}[remote]
		for pace, pause := range map[string]time.Duration{"as fast as possible": 0, "slowly": 5 * time.Millisecond} {
			for _, route := range []string{"/lookup", "/promote"} {
				// Guards against slots, connections and memory that an upstream holds by sending without end, and against callers
				// that take the part which arrived for a complete response.
				It(fmt.Sprintf("end at the deadline, %s, sent %s, %s", path, pace, route), func() {
					upstream := &endlessUpstream{pause: pause}
					f := newEndlessFixture(remote, endlessSlots, upstream)
					Expect(string(f.post("/lookup/good", "").body)).To(Equal("good"))
					peak := heapPeak()
					other := make(chan struct{})
					go func() {
						defer GinkgoRecover()
						defer close(other)
						for range 20 {
							Expect(string(f.post("/lookup/good", "").body)).To(Equal("good"))
							time.Sleep(20 * time.Millisecond)
						}
					}()
					for i, got := range callAll(f, route) {
						name := endlessCases[i].name
						if got.err != nil {
							continue
						}
						Expect(got.status).To(Or(Equal(http.StatusBadGateway), Equal(http.StatusGatewayTimeout)), name)
						Expect(got.outcome()).To(Equal(string(protocol.OutcomeUnknown)), name)
					}
					<-other
					grown := peak()
					GinkgoWriter.Println("heap grew by", grown>>10, "KiB")
					if route == "/lookup" {
						Expect(grown).To(BeNumerically("<", uint64(endlessMemory)))
					}
					limit := endlessLimit
					if route == "/promote" {
						// The response to an irreversible call is awaited for 10 s longer, to be recorded.
						limit += 10 * time.Second
					}
					Eventually(f.executor.InFlight, limit).Should(BeZero())
					Eventually(upstream.endless.Load, limit).Should(BeZero())
					Expect(string(f.post("/lookup/good", "").body)).To(Equal("good"))
				})
			}
		}

		// Guards against irreversible calls that use up the memory of the node: their bodies are read whole, up to 16 MiB. A
		// short response must still arrive beside them.
		It("take a bounded part of the memory for irreversible calls, "+path, func() {
			upstream := &endlessUpstream{}
			f := newEndlessFixture(remote, endlessSlots, upstream)
			peak := heapPeak()
			var calls sync.WaitGroup
			for i := range endlessSlots - 1 {
				calls.Go(func() {
					defer GinkgoRecover()
					got := f.discard(fmt.Sprint("/promote/", endlessBody), keyHeader, fmt.Sprint("long", i))
					Expect(got.err).NotTo(HaveOccurred())
					Expect(got.status).To(Equal(http.StatusBadGateway))
					Expect(got.outcome()).To(Equal(string(protocol.OutcomeUnknown)))
				})
			}
			for i := range 20 {
				Expect(string(f.post("/promote/good", "", keyHeader, fmt.Sprint("short", i)).body)).To(Equal("good"))
			}
			calls.Wait()
			grown := peak()
			GinkgoWriter.Println("heap grew by", grown>>10, "KiB")
			Expect(grown).To(BeNumerically("<", uint64(endlessMemory)))
			Eventually(f.executor.InFlight, endlessLimit).Should(BeZero())
		})

		// Guards against heads that take far more memory than bytes: each field costs some in every copy of the head.
		It("take a bounded part of the memory whatever their heads are, "+path, func() {
			head := "HTTP/1.1 200 OK\r\n" + distinctFields(10_000)
			body := strings.Repeat("x", fastPartBytes)
			var heads atomic.Int32
			f := newBrokenFixture(remote, func(conn *net.TCPConn, _ *http.Request) {
				heads.Add(1)
				_, err := io.WriteString(conn, head+"\r\n")
				for err == nil {
					_, err = io.WriteString(conn, body)
				}
			})
			peak := heapPeak()
			for range 2 * endlessSlots {
				startCall(f, fmt.Sprintf("POST /lookup HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n%s: %d\r\n\r\n",
					protocol.HeaderDeadline, endlessDeadline.Milliseconds())) // It does not read its response.
			}
			Eventually(heads.Load, endlessLimit).Should(BeNumerically(">=", endlessSlots))
			Eventually(f.ingress.RequestsInFlight, endlessLimit).Should(BeZero())
			grown := peak()
			GinkgoWriter.Println("heap grew by", grown>>10, "KiB")
			Expect(grown).To(BeNumerically("<", uint64(endlessMemory)))
		})

		// Guards against responses with an end that use up the memory of the node together, while their callers read little.
		It("take a bounded part of the memory for long responses to irreversible calls, "+path, func() {
			body := bytes.Repeat([]byte("x"), 4<<20)
			var sent atomic.Int32
			f := newBrokenFixture(remote, func(conn *net.TCPConn, request *http.Request) {
				response := []byte("good")
				if path := request.URL.Path; path != "/promote/good" {
					sent.Add(1)
					response = body
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(response))
				_, _ = conn.Write(response)
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			})
			peak := heapPeak()
			const calls = 3 * endlessSlots
			for i := range calls {
				conn := startCall(f, fmt.Sprintf("POST /promote HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n%s: k%d\r\n%s: 2000\r\n\r\n",
					keyHeader, i, protocol.HeaderDeadline)) // It does not read its response.
				Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
			}
			Eventually(sent.Load, endlessLimit).Should(BeNumerically(">=", endlessSlots))
			Expect(string(f.post("/promote/good", "", keyHeader, "short").body)).To(Equal("good"))
			Eventually(f.ingress.RequestsInFlight, 2*endlessLimit).Should(BeZero())
			grown := peak()
			GinkgoWriter.Println("heap grew by", grown>>10, "KiB")
			Expect(grown).To(BeNumerically("<", uint64(endlessMemory)))
			// What was held counts no longer.
			Eventually(f.executor.InFlight, endlessLimit).Should(BeZero())
			Eventually(f.executor.LongBodyBytes, endlessLimit).Should(BeZero())
			got := f.post("/promote", "", keyHeader, "long")
			Expect(got.body).To(HaveLen(len(body)), string(got.body[:min(len(got.body), 100)]))
		})

		// Guards against a buffer of 64 KiB that is allocated for each byte which an upstream sends on its own.
		It("cost no more memory for being sent a byte at a time, "+path, func() {
			upstream := &endlessUpstream{pause: 100 * time.Microsecond}
			f := newEndlessFixture(remote, 1, upstream)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got := f.discard(fmt.Sprint("/lookup/", endlessBytes), protocol.HeaderDeadline, strconv.FormatInt(endlessDeadline.Milliseconds(), 10))
			Expect(got.err).To(HaveOccurred())
			Eventually(upstream.endless.Load, endlessLimit).Should(BeZero())
			runtime.ReadMemStats(&after)
			// The first MiB is for the call itself.
			allocated := after.TotalAlloc - before.TotalAlloc - min(1<<20, after.TotalAlloc-before.TotalAlloc)
			Expect(allocated / uint64(upstream.parts.Load())).To(BeNumerically("<", protocol.ChunkBytes/8))
		})
	}
})
