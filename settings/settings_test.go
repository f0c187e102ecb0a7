package settings_test

import (
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 20261204
	RunSpecs(t, "settings", suite, reporter)
}

// examples returns the JSON examples of the reference page.
func examples() (page, node, control string) {
	data, err := os.ReadFile("../docs/settings.md")
	Expect(err).NotTo(HaveOccurred())
	blocks := regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(string(data), -1)
	Expect(blocks).To(HaveLen(2))
	return string(data), blocks[0][1], blocks[1][1]
}

func problemLines(err error) []string {
	GinkgoHelper()
	Expect(err).To(BeAssignableToTypeOf(settings.Problems{}))
	return strings.Split(err.Error(), "\n")[1:]
}

var _ = Describe("Settings", func() {
	It("accepts the examples of the reference page and fills in defaults", func() {
		_, nodeText, controlText := examples()
		node, err := settings.ParseNode("node.json", []byte(nodeText))
		Expect(err).NotTo(HaveOccurred())
		Expect(node.Advertise).To(Equal(node.Mesh))
		Expect(node.Upstream.HealthPath).To(Equal("/health"))
		Expect(node.ZoneDelays["luzon-b"].Std()).To(Equal(4 * time.Millisecond))
		control, err := settings.ParseControl("control.json", []byte(controlText))
		Expect(err).NotTo(HaveOccurred())
		Expect(control.Limits).To(Equal(settings.DefaultControl().Limits))
		Expect(control.AdvertiseAdmin).To(Equal(control.Admin))
		again, err := json.Marshal(control)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.ParseControl("again.json", again)).To(Equal(control))
	})

	It("finds every field on the reference page", func() {
		page, _, _ := examples()
		var visit func(t reflect.Type)
		visit = func(t reflect.Type) {
			for i := range t.NumField() {
				name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
				Expect(page).To(ContainSubstring("`" + name + "`"))
				inner := t.Field(i).Type
				for inner.Kind() == reflect.Pointer || inner.Kind() == reflect.Slice {
					inner = inner.Elem()
				}
				if inner.Kind() == reflect.Struct {
					visit(inner)
				}
			}
		}
		visit(reflect.TypeFor[settings.Node]())
		visit(reflect.TypeFor[settings.Control]())
	})

	It("reports all faults of a node at once", func() {
		_, err := settings.ParseNode("n.json", []byte(`{"instance":"A","zone":"z","callers":"nowhere","mesh":":7000",
			"admin":":7000","join":["h:1"],"tls":{"insecure":true,"ca":"x"},"keyring":"k","listen":1,
			"upstream":{"service":"s","address":"127.0.0.1:1","slots":0,"health_interval":"fast"},
			"limits":{"drain_timeout":5}}`))
		Expect(problemLines(err)).To(Equal([]string{
			`n.json: listen: got unknown field, allowed: one of instance, zone, callers, mesh, admin, advertise, join, ` +
				`join_port, tls, keyring, trusted_operators, platform, upstream, zone_delays, other_zone_delay, objectives, limits`,
			`n.json: upstream.health_interval: got "fast", allowed: a duration such as "250ms" or "3s"`,
			`n.json: limits.drain_timeout: got 5, allowed: a duration such as "250ms" or "3s"`,
			`n.json: instance: got "A", allowed: 1 to 63 of a-z, 0-9, - and .`,
			`n.json: callers: got "nowhere", allowed: an IP address and a port such as 10.0.0.1:7000`,
			`n.json: advertise: got ":7000", allowed: an IP address that others can dial, and a port such as 10.0.0.1:7000`,
			`n.json: mesh: got ":7000", allowed: an address other than that of admin`,
			`n.json: join[0]: got "h:1", allowed: an IP address that others can dial, and a port such as 10.0.0.1:7000`,
			`n.json: tls.ca: got "x", allowed: no value when tls.insecure is true`,
			`n.json: upstream.slots: got 0, allowed: 1 to 10000`,
		}))
	})

	DescribeTable("refuses figures of a deployment that cannot be met, with the related key",
		func(fields, want string) {
			_, node, _ := examples()
			_, err := settings.ParseNode("n.json", []byte(strings.Replace(node, `"zone"`, fields+`,"zone"`, 1)))
			Expect(problemLines(err)).To(ContainElement("n.json: " + want))
		},
		Entry("a notice that leaves no time for the requests", `"limits":{"drain_timeout":"2s","leave_notice":"1500ms"}`,
			`limits.leave_notice: got "1.5s", allowed: 0s to 1s, half of limits.drain_timeout`),
		Entry("a stop without time", `"limits":{"drain_timeout":"100ms"}`,
			`limits.drain_timeout: got "100ms", allowed: 500ms to 10m0s`),
		Entry("versions in force at once", `"objectives":{"apply_within":"100ms"}`,
			`objectives.apply_within: got "100ms", allowed: 600ms to 1h0m0s`),
		Entry("a negative share", `"objectives":{"retry_share":-0.1}`, `objectives.retry_share: got -0.1, allowed: 0 to 1`),
		Entry("a share that is no number", `"objectives":{"retry_share":"half"}`,
			`objectives.retry_share: got "half", allowed: a number`),
		Entry("too little memory", `"limits":{"memory_mb":1}`, `limits.memory_mb: got 1, allowed: 32 to 1048576`),
	)

	DescribeTable("refuses invalid control settings",
		func(old, changed, want string) {
			_, _, text := examples()
			Expect(text).To(ContainSubstring(old))
			_, err := settings.ParseControl("c.json", []byte(strings.Replace(text, old, changed, 1)))
			Expect(problemLines(err)).To(ContainElement(HavePrefix("c.json: " + want)))
		},
		Entry("a heartbeat interval so long that one lost message could start an election", `"zone"`,
			`"limits":{"election_timeout":"200ms","heartbeat_interval":"150ms"},"zone"`, "limits.heartbeat_interval"),
		Entry("a first membership without the member itself", `"address": "10.1.0.2:7000"`,
			`"address": "10.1.0.9:7000"`, "peers: "),
		Entry("both peers and join", `"zone"`, `"join":["10.1.0.9:7000"],"zone"`, "join"),
		Entry("a peer twice", `"10.2.0.2:7000"`, `"10.3.0.2:7000"`, "peers[2].address"),
		Entry("no certificate", `"certificate": "/etc/sapphiregate/control.pem",`, ``, "tls.certificate"),
		Entry("no data folder", `/var/lib/sapphiregate`, ``, "data_folder"),
	)

	It("finds unusable TLS files at the start", func() {
		_, err := settings.TLS{Certificate: "none", Key: "none", CA: "none"}.ServerConfig()
		Expect(err).To(MatchError(settings.ErrTLS))
		Expect(settings.TLS{Insecure: true}.ClientConfig()).To(BeNil())
	})
})

// issuedCertificate is a certificate with its key and their files.
type issuedCertificate struct {
	certificate *x509.Certificate
	key         ed25519.PrivateKey
	tls         settings.TLS
}

// issueCertificate writes a certificate for 127.0.0.1 that the issuer signs; without an issuer, it signs itself.
func issueCertificate(folder, name string, issuer *issuedCertificate) *issuedCertificate {
	public, key, err := ed25519.GenerateKey(nil)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: issuer == nil,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	own := &issuedCertificate{certificate: template, key: key, tls: settings.TLS{
		Certificate: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+".key")}}
	if issuer == nil {
		issuer = own
	}
	der, err := x509.CreateCertificate(nil, template, issuer.certificate, public, issuer.key)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	for file, block := range map[string]*pem.Block{
		own.tls.Certificate: {Type: "CERTIFICATE", Bytes: der}, own.tls.Key: {Type: "PRIVATE KEY", Bytes: encoded},
	} {
		Expect(os.WriteFile(file, pem.EncodeToMemory(block), 0o600)).To(Succeed())
	}
	return own
}

var _ = Describe("TLS", func() {
	It("connects both sides, serves a renewed certificate without a restart and refuses strangers", func() {
		folder := GinkgoT().TempDir()
		ca, other := issueCertificate(folder, "ca", nil), issueCertificate(folder, "other", nil)
		trusting := func(own *issuedCertificate) settings.TLS {
			own.tls.CA = ca.tls.Certificate
			return own.tls
		}
		serverTLS, err := trusting(issueCertificate(folder, "server", ca)).ServerConfig()
		Expect(err).NotTo(HaveOccurred())
		server := httptest.NewUnstartedServer(http.NotFoundHandler())
		server.Config.ErrorLog = log.New(io.Discard, "", 0)
		// StartTLS would add a certificate of its own, which takes precedence.
		server.Listener = tls.NewListener(server.Listener, serverTLS)
		server.Start()
		DeferCleanup(server.Close)
		get := func(name string, issuer *issuedCertificate) ([]byte, error) {
			config, err := trusting(issueCertificate(folder, name, issuer)).ClientConfig()
			Expect(err).NotTo(HaveOccurred())
			client := http.Client{Transport: &http.Transport{TLSClientConfig: config}}
			defer client.CloseIdleConnections()
			response, err := client.Get(strings.Replace(server.URL, "http:", "https:", 1))
			if err != nil {
				return nil, err
			}
			defer response.Body.Close()
			return response.TLS.PeerCertificates[0].Raw, nil
		}
		first, err := get("client", ca)
		Expect(err).NotTo(HaveOccurred())
		issueCertificate(folder, "server", ca)
		second, err := get("client", ca)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).NotTo(Equal(first))
		_, err = get("stranger", other)
		Expect(err).To(HaveOccurred())
	})
})
