package daemon_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

const eventTimeout = 30 * time.Second

// authority is a certificate authority that writes its files to a folder.
type authority struct {
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(folder string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	writePEM(filepath.Join(folder, "ca.pem"), "CERTIFICATE", der)
	return &authority{folder: folder, certificate: certificate, key: key}
}

// issue writes a certificate and its key for one process, and returns the TLS settings that name the files.
func (a *authority) issue(name string) map[string]string {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		IPAddresses: []net.IP{net.ParseIP(host)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	files := map[string]string{
		"certificate": filepath.Join(a.folder, name+".pem"), "key": filepath.Join(a.folder, name+".key"),
		"ca": filepath.Join(a.folder, "ca.pem"),
	}
	writePEM(files["certificate"], "CERTIFICATE", der)
	writePEM(files["key"], "EC PRIVATE KEY", encoded)
	return files
}

func writePEM(file, kind string, der []byte) {
	Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

// host is the loopback address on which the processes of this test listen. Outgoing connections on loopback come from
// 127.0.0.1, so none of them can take a port of host between freeAddress and the start of the process that uses it.
var host = fmt.Sprintf("127.%d.%d.1", 10+os.Getpid()%200, 1+os.Getpid()/200%250)

var returnedAddresses = make(map[string]bool)

// freeAddress returns an address that no process listens on and that was not returned before.
func freeAddress() string {
	for {
		listener, err := net.Listen("tcp", host+":0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		if !returnedAddresses[address] {
			returnedAddresses[address] = true
			return address
		}
	}
}

// build compiles a command of this module into a folder and returns the path of the binary.
func build(folder, name string) string {
	binary := filepath.Join(folder, name)
	output, err := exec.Command("go", "build", "-o", binary, "sapphiregate.example/sapphiregate/cmd/"+name).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	return binary
}

// process is a command that was started. Its output may be read only after Wait has returned.
type process struct {
	*exec.Cmd
	output bytes.Buffer
}

// start starts a process, which is killed at the end of the test if it still runs.
func start(binary string, arguments ...string) *process {
	command := &process{Cmd: exec.Command(binary, arguments...)}
	command.Stdout, command.Stderr = io.MultiWriter(GinkgoWriter, &command.output), GinkgoWriter
	Expect(command.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

func writeSettings(folder, name string, content map[string]any) string {
	data, err := json.Marshal(content)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(folder, name+".json")
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	return file
}

const testBundle = `{
  "services": [{"name": "promotion"}],
  "routes": [{
    "name": "promote", "match": {"path_prefix": "/promotions", "methods": ["POST"]}, "service": "promotion",
    "class": "irreversible", "deadline_ms": 5000
  }]
}`

var _ = Describe("Processes", func() {
	// Guards against faults that appear only between separate processes: in settings files, mutual TLS, the creation of
	// the group, an approval by sapphirectl and calls through nodes. A control member is killed and a node stopped
	// between the first request and its resend.
	It("bring a signed bundle into force and run an irreversible call once", func() {
		folder := GinkgoT().TempDir()
		daemon, ctl := build(folder, "sapphiregate"), build(folder, "sapphirectl")
		certificates := newAuthority(folder)
		run := func(arguments ...string) (string, error) {
			ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
			defer cancel()
			output, err := exec.CommandContext(ctx, ctl, arguments...).CombinedOutput()
			return string(output), err
		}
		output, err := run("keys", "generate", "ana", "--folder", folder)
		Expect(err).NotTo(HaveOccurred(), output)
		keyFiles, err := filepath.Glob(filepath.Join(folder, "ana*"))
		Expect(err).NotTo(HaveOccurred())
		privateKey, keyring := keyFiles[0], keyFiles[0]
		for _, file := range keyFiles {
			if strings.Contains(file, "key.json") || strings.HasSuffix(file, ".key") {
				privateKey = file
			} else {
				keyring = file
			}
		}

		var mesh, admin []string
		var peers []map[string]any
		for i := range 3 {
			mesh, admin = append(mesh, freeAddress()), append(admin, freeAddress())
			peers = append(peers, map[string]any{"address": mesh[i], "zone": fmt.Sprintf("zone-%d", i), "admin": admin[i]})
		}
		var controls []*process
		for i := range 3 {
			name := fmt.Sprintf("control-%d", i)
			file := writeSettings(folder, name, map[string]any{
				"instance": name, "zone": fmt.Sprintf("zone-%d", i), "mesh": mesh[i], "admin": admin[i],
				"data_folder": filepath.Join(folder, name), "tls": certificates.issue(name), "keyring": keyring, "peers": peers,
			})
			controls = append(controls, start(daemon, "control", "--settings", file))
		}

		var runs atomic.Int64
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "promotion %d", runs.Add(1))
		}))
		DeferCleanup(upstream.Close)
		var callers []string
		var nodes []*process
		for i := range 2 {
			name := fmt.Sprintf("node-%d", i)
			callers = append(callers, freeAddress())
			file := writeSettings(folder, name, map[string]any{
				"instance": name, "zone": fmt.Sprintf("zone-%d", i), "callers": callers[i], "mesh": freeAddress(),
				"admin": freeAddress(), "join": mesh, "tls": certificates.issue(name), "keyring": keyring,
				"upstream": map[string]any{"service": "promotion", "address": upstream.Listener.Addr().String(), "slots": 4},
			})
			nodes = append(nodes, start(daemon, "node", "--settings", file))
		}

		Expect(os.MkdirAll(filepath.Join(folder, "bundle"), 0o700)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(folder, "bundle", "all.json"), []byte(testBundle), 0o600)).To(Succeed())
		operator := certificates.issue("operator")
		access := []string{
			"--control", strings.Join(admin, ","), "--key", privateKey, "--tls-cert", operator["certificate"],
			"--tls-key", operator["key"], "--tls-ca", operator["ca"],
		}
		approve := func(version string) (string, error) {
			return run(append([]string{"approve", filepath.Join(folder, "bundle"), "--version", version}, access...)...)
		}
		Eventually(func() error { _, err := approve("1"); return err }).WithTimeout(eventTimeout).Should(Succeed())
		output, err = run("status", "--control", strings.Join(admin, ","), "--insecure")
		Expect(err).To(HaveOccurred(), "operators without a certificate must be refused: "+output)

		promote := func(node int, key string) (int, string) {
			request, err := http.NewRequest(http.MethodPost, "http://"+callers[node]+"/promotions", strings.NewReader("belt"))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Idempotency-Key", key)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return 0, err.Error()
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			return response.StatusCode, string(bytes.TrimSpace(body))
		}
		Eventually(func() string { _, body := promote(0, "first"); return body }).
			WithTimeout(eventTimeout).Should(Equal("promotion 1"))

		// A resend through another node must get the first response although a control member and the first node are gone.
		Expect(controls[0].Process.Kill()).To(Succeed())
		Expect(nodes[0].Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(nodes[0].Wait()).To(Succeed(), "a planned stop must exit with 0")
		Expect(nodes[0].output.String()).To(ContainSubstring(`"node stopped"`), "the last line of a process must not be lost")
		if usage, ok := nodes[0].ProcessState.SysUsage().(*syscall.Rusage); ok {
			AddReportEntry("maximum resident set size of the node in KiB", usage.Maxrss)
		}
		Eventually(func() string { _, body := promote(1, "first"); return body }).
			WithTimeout(eventTimeout).Should(Equal("promotion 1"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Eventually(func() error { _, err := approve("1"); return err }).WithTimeout(eventTimeout).
			Should(Succeed(), "a resent approval must get the first result from the remaining members")
	})
})
