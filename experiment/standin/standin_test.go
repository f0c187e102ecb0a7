package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/state/bundle"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

// fakeAdmin records the announcements that a node receives.
type fakeAdmin struct {
	*httptest.Server
	mu      sync.Mutex
	methods []string
	last    Announcement
}

func newFakeAdmin() *fakeAdmin {
	a := &fakeAdmin{}
	a.Server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.methods = append(a.methods, r.Method+" "+r.URL.Path)
		_ = json.NewDecoder(r.Body).Decode(&a.last)
	}))
	DeferCleanup(a.Close)
	return a
}

func (a *fakeAdmin) received() (methods []string, last Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.methods...), a.last
}

// start starts an upstream whose service time is one millisecond, with options that edit can change.
func start(edit func(*Options)) (*Upstream, *Recorder, *fakeAdmin) {
	GinkgoHelper()
	admin := newFakeAdmin()
	o := Options{
		Seed: 1, ID: "u", Service: "rank", NodeID: "n", NodeAdminAddress: strings.TrimPrefix(admin.URL, "http://"),
		Slots: 2, Connections: 4, Recorder: &Recorder{},
		ServiceTimes: map[bundle.Class]time.Duration{bundle.ClassLookup: time.Millisecond},
	}
	if edit != nil {
		edit(&o)
	}
	u := New(o)
	Expect(u.Start()).To(Succeed())
	DeferCleanup(u.Close)
	return u, o.Recorder, admin
}

// get sends one lookup with extra headers (name, value, ...) and returns the response and its body.
func get(u *Upstream, headers ...string) (*http.Response, []byte, error) {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodGet, "http://"+u.Address()+"/rank/lookup", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(HeaderRequest, "r")
	request.Header.Set(HeaderAttempt, "r#0")
	request.Header.Set(HeaderClass, string(bundle.ClassLookup))
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

var _ = Describe("Upstream", func() {
	It("responds with the request's identifier and the digest of the body, and records the run", func() {
		u, recorder, _ := start(nil)
		response, body, err := get(u)
		Expect(err).NotTo(HaveOccurred())
		content, err := CheckResponse(response.Header, body, "r")
		Expect(err).NotTo(HaveOccurred())
		Expect(recorder.Runs()).To(HaveLen(1))
		run := recorder.Runs()[0]
		Expect(run.Receipt).To(Equal(content.Receipt))
		Expect(run.Attempt).To(Equal("r#0"))
		Expect(run.Finished).To(BeTrue())
	})

	// Guards against a check that accepts a response which is altered, truncated or belongs to another request.
	It("rejects responses that are altered, truncated or belong to another request", func() {
		u, _, _ := start(nil)
		response, body, err := get(u)
		Expect(err).NotTo(HaveOccurred())
		_, err = CheckResponse(response.Header, body, "another")
		Expect(err).To(MatchError(ErrWrongResponse))
		_, err = CheckResponse(response.Header, body[:len(body)-1], "r")
		Expect(err).To(MatchError(ErrWrongResponse))
		body[20] ^= 1
		_, err = CheckResponse(response.Header, body, "r")
		Expect(err).To(MatchError(ErrWrongResponse))
	})

	// Guards against a shed request that is recorded as run: the checks would take every outcome not-run for false.
	It("sheds a request without running it", func() {
		u, recorder, _ := start(nil)
		u.SetFaults(Faults{ShedRate: 1})
		response, _, err := get(u)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeNotRun))
		Expect(recorder.Runs()).To(BeEmpty())
	})

	// Guards against a truncated response that HTTP clients take for complete, or whose run is not recorded.
	It("truncates the response of a finished run so that clients notice", func() {
		u, recorder, _ := start(nil)
		u.SetFaults(Faults{TruncateRate: 1})
		_, _, err := get(u)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(recorder.Runs()[0].Finished).To(BeTrue())
	})

	It("crashes on a marked request, refuses connections and restarts on the same address", func() {
		u, recorder, _ := start(nil)
		_, _, err := get(u, HeaderCrash, "1")
		Expect(err).To(HaveOccurred())
		Expect(recorder.Runs()[0].Crashed).To(BeTrue())
		_, _, err = get(u)
		Expect(err).To(MatchError(ContainSubstring("refused")))
		Eventually(func() error { _, _, err := get(u); return err }, 5*time.Second).Should(Succeed())
	})

	It("announces itself, and announces draining while it goes on serving", func() {
		u, recorder, admin := start(nil)
		Eventually(func() []string { m, _ := admin.received(); return m }).Should(ContainElement("PUT /v1/upstream"))
		_, announced := admin.received()
		Expect(announced).To(Equal(Announcement{
			Service: "rank", Address: u.Address(), Slots: 2, Connections: 4, HealthPath: "/health", LoadPath: "/load",
		}))
		Expect(u.Drain(context.Background())).To(Succeed())
		methods, _ := admin.received()
		Expect(methods[len(methods)-1]).To(Equal("DELETE /v1/upstream"))
		_, _, err := get(u)
		Expect(err).NotTo(HaveOccurred())
		Expect(recorder.LateRequests()).To(HaveLen(1))
	})

	// Guards against a graceful stop that interrupts requests in flight.
	It("completes requests in flight when it stops", func() {
		u, recorder, _ := start(func(o *Options) { o.TimeScale = 200 })
		result := make(chan error, 1)
		go func() { _, _, err := get(u); result <- err }()
		Eventually(recorder.Runs, 5*time.Second).Should(HaveLen(1))
		Expect(u.Stop(context.Background())).To(Succeed())
		Expect(<-result).NotTo(HaveOccurred())
		Expect(recorder.Runs()[0].Finished).To(BeTrue())
	})

	It("reports a healthy upstream on demand although it is unhealthy", func() {
		u, _, _ := start(nil)
		status := func() int {
			response, err := http.Get("http://" + u.Address() + "/health")
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.StatusCode
		}
		u.SetFaults(Faults{Unhealthy: true})
		Expect(status()).To(Equal(http.StatusServiceUnavailable))
		u.SetFaults(Faults{Unhealthy: true, ReportHealthy: true})
		Expect(status()).To(Equal(http.StatusOK))
	})

	// Guards against nested calls that stop early or lose the deadline and depth of their parent.
	It("makes nested calls through its node", func() {
		var u *Upstream
		var headers []http.Header
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			headers = append(headers, r.Header.Clone())
			r.URL.Scheme, r.URL.Host, r.RequestURI = "http", u.Address(), ""
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			defer response.Body.Close()
			w.Header().Set(HeaderDigest, response.Header.Get(HeaderDigest))
			w.WriteHeader(response.StatusCode)
			_, _ = io.Copy(w, response.Body)
		}))
		DeferCleanup(node.Close)
		var recorder *Recorder
		u, recorder, _ = start(func(o *Options) {
			o.NodeAddress, o.NestPaths, o.Slots, o.Connections = strings.TrimPrefix(node.URL, "http://"), []string{"/rank/lookup"}, 8, 8
		})
		response, _, err := get(u, HeaderNest, "3", HeaderDeadline, "5000", HeaderDepth, "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(recorder.Runs()).To(HaveLen(4))
		Expect(headers).To(HaveLen(3))
		Expect(headers[2].Get(HeaderNest)).To(Equal("0"))
		Expect(headers[2].Get(HeaderDepth)).To(Equal("1"))
		Expect(headers[2].Get(HeaderDeadline)).NotTo(BeEmpty())
	})
})
