package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/invariant"
	"sapphiregate.example/sapphiregate/node"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// teamBundle returns testBundle with teams; /small is public.
func teamBundle(teams ...bundle.Team) *bundle.Bundle {
	b := testBundle()
	b.Teams, b.Access = teams, bundle.AccessKeys
	for i := range b.Routes {
		b.Routes[i].Public = b.Routes[i].Name == "small"
	}
	bundle.Canonicalize(b)
	return b
}

var _ = Describe("a node whose callers belong to teams", func() {
	const key, bearer = "secret-key-1", "Bearer secret-key-1"
	alpha := bundle.Team{Name: "alpha", Keys: []string{key, "secret-key-2"}, Priority: 3}
	var logs *logBuffer
	var member string // the ledger's address

	// start returns a fixture with team alpha, whose upstream responds with the team, the key and the trailers that it got.
	start := func(remote bool, configure ...func(*node.Options)) *fixture {
		logs = &logBuffer{}
		configure = append(configure, func(o *node.Options) { o.Logger = zerolog.New(logs) })
		member = newFakeLedger().server.Address()
		f := newFixture(remote, member, 4, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprint(w, r.Header["Sapphire-Team"], r.Header["Authorization"], r.Trailer)
		}, configure...)
		Expect(f.ingress.PutInForce(bundle.Approval{Version: 2}, teamBundle(alpha))).To(Succeed())
		return f
	}
	// exchange sends a request as text and returns the response.
	exchange := func(f *fixture, request string) (status int, header http.Header, body string) {
		GinkgoHelper()
		conn, err := net.Dial("tcp", f.callers)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(eventuallyTimeout))).To(Succeed())
		_, err = io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, response.Header, string(data)
	}

	// Guards against an upstream that gets a key, or a team that the caller made up.
	DescribeTable("tells the upstream the team of the key, and nothing else that the caller says of it",
		func(path, fields string, status int, want string) {
			for _, remote := range []bool{false, true} {
				f := start(remote)
				got, header, body := exchange(f, "POST "+path+" HTTP/1.1\r\nHost: desk\r\n"+fields+"Content-Length: 0\r\n\r\n")
				Expect(got).To(Equal(status))
				Expect(body).To(HavePrefix(want))
				Expect(body).NotTo(ContainSubstring("secret"))
				if status == http.StatusUnauthorized {
					Expect(header.Get("WWW-Authenticate")).To(Equal("Bearer"))
				}
			}
		},
		Entry("a key", "/lookup", "Authorization: "+bearer+"\r\n", 200, "[alpha] []"),
		Entry("odd case", "/lookup", "aUTHORIZATION: bEARER  secret-key-2 \r\n", 200, "[alpha] []"),
		Entry("a forged team", "/lookup", "Authorization: "+bearer+"\r\nsapphire-team: beta\r\n", 200, "[alpha] []"),
		Entry("a forged team that is to be dropped", "/lookup",
			"Authorization: "+bearer+"\r\nConnection: Sapphire-Team, Authorization\r\nSapphire-Team: beta\r\n", 200, "[alpha] []"),
		Entry("no key", "/lookup", "Sapphire-Team: alpha\r\n", 401, "not-run"),
		Entry("an unknown key", "/lookup", "Authorization: Bearer secret-key-3\r\n", 401, "not-run"),
		Entry("an empty key", "/lookup", "Authorization: Bearer \r\n", 401, "not-run"),
		Entry("another scheme", "/lookup", "Authorization: Basic secret-key-1\r\n", 401, "not-run"),
		Entry("two keys", "/lookup", "Authorization: "+bearer+"\r\nAuthorization: Bearer secret-key-3\r\n", 401, "not-run"),
		Entry("two keys in one field", "/lookup", "Authorization: "+bearer+", Bearer secret-key-2\r\n", 401, "not-run"),
		Entry("an unknown key with an idempotency key", "/promote", "Authorization: Bearer x\r\nIdempotency-Key: k\r\n", 401, "unknown"),
		Entry("an unknown key for an outcome", node.PathOutcome+"?key=k", "", 401, "unknown"),
		Entry("a public route", "/small", "Sapphire-Team: alpha\r\n", 200, "[] []"),
		Entry("an unknown key on a public route", "/small", "Authorization: Basic secret\r\n", 200, "[] []"),
		Entry("a key on a public route", "/small", "Authorization: "+bearer+"\r\n", 200, "[alpha] []"),
	)

	DescribeTable("passes on no key and no team in trailers", func(remote bool, size int) {
		f := start(remote)
		for _, declared := range []string{"", "Trailer: X-Sum, Authorization, Sapphire-Team\r\n"} {
			body := fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Sum: 1\r\nAuthorization: %s\r\nSapphire-Team: beta\r\n\r\n", size,
				strings.Repeat("x", size), bearer)
			status, _, text := exchange(f, "POST /stream HTTP/1.1\r\nHost: desk\r\nAuthorization: "+bearer+
				"\r\nTransfer-Encoding: chunked\r\n"+declared+"\r\n"+body)
			Expect(status).To(Equal(http.StatusOK))
			Expect(text).To(HavePrefix("[alpha] []"))
			Expect(text).NotTo(Or(ContainSubstring("secret"), ContainSubstring("beta")))
			if declared != "" {
				Expect(text).To(ContainSubstring("X-Sum"))
			}
		}
	},
		Entry("of a buffered body", false, 10), Entry("of a streamed body", false, 80_000),
		Entry("of a buffered body, through another node", true, 10), Entry("of a streamed body, through another node", true, 80_000),
	)

	// Guards against a node that has just started and reads out the response to another caller's request, although it does not
	// know yet whether callers need a key.
	It("tells no outcome before it has a configuration", func() {
		f := start(false)
		Expect(f.post("/promote", "", "Authorization", bearer, protocol.HeaderIdempotencyKey, "k1").status).To(Equal(http.StatusOK))
		callers := listen()
		started := node.New(node.Options{
			ID: "started", Zone: "a", Callers: callers, Mesh: listen(), Admin: listen(), Members: []string{member},
			Keys: bundle.NewKeyring(nil), Logger: zerolog.Nop(),
		})
		started.Start()
		DeferCleanup(started.Kill)
		outcome := func(callers string) callResult {
			return (&fixture{client: f.client, callers: callers}).post(node.PathOutcome+"?key=k1", "")
		}
		got := outcome(callers.Addr().String())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get(protocol.HeaderReason)).To(Equal(string(protocol.ReasonNotReady)))
		Expect(outcome(f.callers).status).To(Equal(http.StatusUnauthorized))
	})

	// Guards against a key that works on as long as its caller keeps the connection.
	It("refuses a removed key on a connection that is open", func() {
		f := start(true)
		conn, err := net.Dial("tcp", f.callers)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		reader := bufio.NewReader(conn)
		send := func() int {
			_, err := io.WriteString(conn, "GET /lookup HTTP/1.1\r\nHost: desk\r\nAuthorization: "+bearer+"\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			return response.StatusCode
		}
		Expect(send()).To(Equal(http.StatusOK))
		withoutKey := bundle.Team{Name: "alpha", Keys: []string{"secret-key-2"}}
		Expect(f.ingress.PutInForce(bundle.Approval{Version: 3}, teamBundle(withoutKey))).To(Succeed())
		Expect(send()).To(Equal(http.StatusUnauthorized))
		Expect(f.ingress.PutInForce(bundle.Approval{Version: 4}, teamBundle(alpha))).To(Succeed())
		Expect(send()).To(Equal(http.StatusOK), "the key was added again")
	})

	// Guards against a removed key that works again because a late message has an older version.
	It("does not take up a removed key with an older version", func() {
		f := start(true)
		withoutKey := teamBundle(bundle.Team{Name: "alpha", Keys: []string{"secret-key-2"}})
		Expect(f.ingress.PutInForce(bundle.Approval{Version: 4}, withoutKey)).To(Succeed())
		Expect(f.ingress.Activate(bundle.Approval{Version: 3}, teamBundle(alpha))).To(Succeed())
		Expect(f.post("/lookup", "", "Authorization", bearer).status).To(Equal(http.StatusUnauthorized))
		violationsMu.Lock()
		defer violationsMu.Unlock()
		Expect(violations).To(ConsistOf(ContainSubstring(string(invariant.VersionRollback))))
		violations = nil // This one was brought about.
	})

	DescribeTable("judges keys by how recently its configuration was confirmed",
		func(limits node.KeyLimits, age time.Duration, known, unknown int) {
			f := start(false)
			f.ingress.SetKeyLimits(limits)
			if age > 0 {
				f.ingress.SetConfirmedAge(age)
			}
			Expect(f.post("/lookup", "", "Authorization", bearer).status).To(Equal(known))
			got := f.post("/lookup", "", "Authorization", "Bearer x")
			Expect(got.status).To(Equal(unknown))
			Expect(got.outcome()).To(Equal("not-run"))
			Expect(f.post("/small", "").status).To(Equal(http.StatusOK), "a public route")
		},
		Entry("recently", node.KeyLimits{AddedWithin: time.Minute, RevokedWithin: time.Minute}, time.Second, 200, 401),
		Entry("long ago", node.KeyLimits{AddedWithin: time.Second}, time.Minute, 200, 503),
		Entry("never", node.KeyLimits{AddedWithin: time.Second}, time.Duration(0), 200, 503),
		Entry("long ago, strict", node.KeyLimits{AddedWithin: time.Second, RevokedWithin: 2 * time.Second}, time.Minute, 503, 503),
		Entry("never, strict", node.KeyLimits{RevokedWithin: time.Second}, time.Duration(0), 503, 503),
	)

	// Guards against a node out of touch that goes on admitting every caller although a list of teams may have come since.
	DescribeTable("judges requests without a key by how recently an open configuration was confirmed",
		func(limits node.KeyLimits, age time.Duration, status int) {
			f := start(false)
			b := teamBundle()
			b.Access = bundle.AccessOpen
			Expect(f.ingress.PutInForce(bundle.Approval{Version: 3}, b)).To(Succeed())
			f.ingress.SetKeyLimits(limits)
			f.ingress.SetConfirmedAge(age)
			Expect(f.post("/lookup", "").status).To(Equal(status))
			Expect(f.post("/small", "").status).To(Equal(http.StatusOK), "a public route")
		},
		Entry("recently", node.KeyLimits{AddedWithin: time.Second, RevokedWithin: time.Minute}, 10*time.Second, 200),
		Entry("long ago", node.KeyLimits{AddedWithin: time.Second}, time.Hour, 200),
		Entry("long ago, strict", node.KeyLimits{AddedWithin: time.Second, RevokedWithin: 2 * time.Second}, time.Minute, 503),
	)

	It("does not let a team use the idempotency key of another team's request", func() {
		f := start(false)
		beta := bundle.Team{Name: "beta", Keys: []string{"b"}}
		Expect(f.ingress.PutInForce(bundle.Approval{Version: 3}, teamBundle(alpha, beta))).To(Succeed())
		send := func(key string) int {
			return f.post("/promote", "", "Authorization", "Bearer "+key, protocol.HeaderIdempotencyKey, "k1").status
		}
		Expect(send(key)).To(Equal(http.StatusOK))
		Expect(send("secret-key-2")).To(Equal(http.StatusOK), "another key of the team")
		Expect(send("b")).To(Equal(http.StatusUnprocessableEntity))
	})

	It("shows keys neither in its logs nor in its dump", func() {
		f := start(true)
		for i := range 20 { // Further lines would pass the bound of the log.
			header := []string{"Authorization", bearer, "X-Request", fmt.Sprint(i)}
			Expect(f.post("/lookup", "", header...).status).To(Equal(http.StatusOK))
			Expect(f.post("/none", "", header...).status).To(Equal(http.StatusNotFound))
			Expect(f.post("/lookup", "", "Authorization", "Bearer secret").status).To(Equal(http.StatusUnauthorized))
		}
		f.upstream.CloseClientConnections()
		f.upstream.Close()
		_ = f.post("/promote", "", "Authorization", bearer, protocol.HeaderIdempotencyKey, "k2")
		Expect(logs.String()).To(And(ContainSubstring("unknown-key"), ContainSubstring(`"team":"alpha"`), Not(ContainSubstring("secret"))))
		response, err := http.Get("http://" + f.admin + node.PathDump)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		dump, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(dump)).NotTo(ContainSubstring("secret"))
	})

	It("puts the team's priority before the route's", func() {
		f := start(false)
		blocked, release := make(chan struct{}, 8), make(chan struct{})
		var order []string
		f.upstream.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			blocked <- struct{}{}
			<-release
			order = append(order, r.Header.Get("Sapphire-Team"))
		})
		b := teamBundle(bundle.Team{Name: "first", Keys: []string{"1"}, Priority: 1}, bundle.Team{Name: "last", Keys: []string{"2"}, Priority: 9},
			bundle.Team{Name: "route", Keys: []string{"3"}})
		b.Services[0].MaxConcurrency = 1
		for i := range b.Routes {
			b.Routes[i].Priority = 5
		}
		Expect(f.ingress.PutInForce(bundle.Approval{Version: 3}, b)).To(Succeed())
		var results []<-chan callResult
		for i, key := range []string{"2", "2", "3", "1"} {
			results = append(results, f.async(context.Background(), "/lookup", "", "Authorization", "Bearer "+key))
			if i == 0 {
				<-blocked
			}
			Eventually(f.executor.InFlight, eventuallyTimeout).Should(Equal(i + 1))
		}
		close(release)
		for _, result := range results {
			Expect((<-result).status).To(Equal(http.StatusOK))
		}
		Expect(order).To(Equal([]string{"last", "first", "route", "last"}))
	})
})
