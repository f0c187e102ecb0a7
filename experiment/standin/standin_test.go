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

func (a *fakeAdmin) seen() (methods []string, last Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.methods...), a.last
}

// start starts an upstream with one millisecond of service time.
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

// get sends one request and returns the response with its body, or the error of either.
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
	It("answers with the request's echo and digest, and records the run", func() {
		u, truth, _ := start(nil)
		response, body, err := get(u)
		Expect(err).NotTo(HaveOccurred())
		answer, err := CheckResponse(response.Header, body, "r")
		Expect(err).NotTo(HaveOccurred())
		Expect(truth.Runs()).To(HaveLen(1))
		run := truth.Runs()[0]
		Expect(run.Receipt).To(Equal(answer.Receipt))
		Expect(run.Attempt).To(Equal("r#0"))
		Expect(run.Finished).To(BeTrue())
	})

	// Guards against a checker that lets crossed, altered or cut answers pass.
	It("makes crossed, altered and cut answers detectable", func() {
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

	// Guards against a shed request that counts as run, which would make every not-run a false one.
	It("sheds without a run", func() {
		u, truth, _ := start(nil)
		u.SetFaults(Faults{ShedRate: 1})
		response, _, err := get(u)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(HeaderOutcome)).To(Equal(OutcomeNotRun))
		Expect(truth.Runs()).To(BeEmpty())
	})

	// Guards against a truncated answer that HTTP clients take for complete, or whose run is lost.
	It("truncates an answer visibly after a finished run", func() {
		u, truth, _ := start(nil)
		u.SetFaults(Faults{TruncateRate: 1})
		_, _, err := get(u)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(truth.Runs()[0].Finished).To(BeTrue())
	})

	It("crashes on a marked request, refuses connections and comes back on the same address", func() {
		u, truth, _ := start(nil)
		_, _, err := get(u, HeaderCrash, "1")
		Expect(err).To(HaveOccurred())
		Expect(truth.Runs()[0].Crashed).To(BeTrue())
		_, _, err = get(u)
		Expect(err).To(MatchError(ContainSubstring("refused")))
		Eventually(func() error { _, _, err := get(u); return err }, 5*time.Second).Should(Succeed())
	})

	It("announces itself, and announces draining while it goes on serving", func() {
		u, truth, admin := start(nil)
		Eventually(func() []string { m, _ := admin.seen(); return m }).Should(ContainElement("PUT /v1/upstream"))
		_, announced := admin.seen()
		Expect(announced).To(Equal(Announcement{
			Service: "rank", Address: u.Address(), Slots: 2, Connections: 4, HealthPath: "/health", LoadPath: "/load",
		}))
		Expect(u.Drain(context.Background())).To(Succeed())
		methods, _ := admin.seen()
		Expect(methods[len(methods)-1]).To(Equal("DELETE /v1/upstream"))
		_, _, err := get(u)
		Expect(err).NotTo(HaveOccurred())
		Expect(truth.LateRequests()).To(HaveLen(1))
	})

	// Guards against a graceful stop that interrupts the upstream's own requests.
	It("completes requests in flight when it stops", func() {
		u, truth, _ := start(func(o *Options) { o.TimeScale = 200 })
		result := make(chan error, 1)
		go func() { _, _, err := get(u); result <- err }()
		Eventually(truth.Runs, 5*time.Second).Should(HaveLen(1))
		Expect(u.Stop(context.Background())).To(Succeed())
		Expect(<-result).NotTo(HaveOccurred())
		Expect(truth.Runs()[0].Finished).To(BeTrue())
	})

	It("lies about health and load on demand", func() {
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
		var truth *Recorder
		u, truth, _ = start(func(o *Options) {
			o.NodeAddress, o.NestPaths, o.Slots, o.Connections = strings.TrimPrefix(node.URL, "http://"), []string{"/rank/lookup"}, 8, 8
		})
		response, _, err := get(u, HeaderNest, "3", HeaderDeadline, "5000", HeaderDepth, "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(truth.Runs()).To(HaveLen(4))
		Expect(headers).To(HaveLen(3))
		Expect(headers[2].Get(HeaderNest)).To(Equal("0"))
		Expect(headers[2].Get(HeaderDepth)).To(Equal("1"))
		Expect(headers[2].Get(HeaderDeadline)).NotTo(BeEmpty())
	})
})
