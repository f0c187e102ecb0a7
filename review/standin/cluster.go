package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine. Each machine has a loopback address of its own, and ports are the same on all machines.
const (
	portWorker   = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portMesh     = 7620
)

// Bounds of the site kalasag-belts.
const (
	boundDrain       = 2 * time.Second
	boundContact     = 3 * time.Second
	boundConfigApply = 2 * time.Second
	boundGrace       = 6 * time.Second
)

// machine is one machine of the deployment with the process that runs on it.
type machine struct {
	name, role, zone, service, ip string
	folder                        string
	cluster                       *cluster
	// adminPort differs between machines: nodes listen on it at 127.0.0.1, which all machines of this stand-in share.
	adminPort int

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// cluster is a deployment of five core machines and of sidecar machines.
type cluster struct {
	record   *record
	folder   string
	cores    []*machine
	sidecars []*machine
	seeds    []string
	first    bool
}

var zones = []string{"luzon-a", "luzon-b", "luzon-c"}

// newCluster prepares a deployment with the given service on each sidecar machine.
func newCluster(r *record, services []string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, folder: folder, first: true}
	network, err := freeNetwork(5 + len(services))
	if err != nil {
		return nil, err
	}
	adminPorts, err := freePorts(5 + len(services))
	if err != nil {
		return nil, err
	}
	add := func(role, name, zone, service string) *machine {
		m := &machine{
			name: name, role: role, zone: zone, service: service, cluster: c,
			ip: fmt.Sprintf("%s.%d", network, 1+len(c.cores)+len(c.sidecars)), folder: filepath.Join(folder, name),
			adminPort: adminPorts[len(c.cores)+len(c.sidecars)],
		}
		return m
	}
	for i := range 5 {
		c.cores = append(c.cores, add("control", fmt.Sprintf("core-%d", i), zones[i%3], ""))
	}
	for i, service := range services {
		c.sidecars = append(c.sidecars, add("node", fmt.Sprintf("sidecar-%d", i), zones[i%3], service))
	}
	for _, m := range c.cores[:3] {
		c.seeds = append(c.seeds, m.address(portControl))
	}
	return c, nil
}

// freeNetwork returns the first three bytes of loopback addresses on which all ports are free.
func freeNetwork(machines int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for i := 1; i <= machines && free; i++ {
			for _, port := range []int{portWorker, portReady, portOutbound, portControl, portMesh} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// freePorts returns different free ports of 127.0.0.1.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start starts all processes, and lets later starts take place without Bootstrap.
func (c *cluster) start() error {
	for _, m := range append(append([]*machine{}, c.cores...), c.sidecars...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	c.first = false
	return nil
}

// close kills all processes and removes the folder.
func (c *cluster) close() {
	for _, m := range append(append([]*machine{}, c.cores...), c.sidecars...) {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept", c.folder)
	}
}

// fields returns the platform's settings of a machine, by the names that the templates use.
func (m *machine) fields() map[string]any {
	fields := map[string]any{
		"NodeName": m.name, "Zone": m.zone, "Ip": m.ip, "Bootstrap": m.cluster.first, "Seeds": m.cluster.seeds,
		"InternalPorts.0": portMesh, "InternalPorts.1": m.adminPort,
		"Listen.Outbound": m.address(portOutbound), "Listen.Control": m.address(portControl), "Listen.Ready": m.address(portReady),
		"FaultTolerance.Machines": 2, "FaultTolerance.Zones": 0, "Limits.MaxFds": 4100, "Limits.MemoryMb": 284,
		"Bounds.Grace": "6s", "Bounds.Drain": "2000ms", "Bounds.ConfigApply": "2000ms", "Bounds.CatchUp": "4s",
		"Bounds.RetryBudgetRatio": 0.2, "Bounds.RetryBudgetSlack": 56, "Bounds.BudgetWindow": "10s",
	}
	if m.role == "node" {
		fields["Service"], fields["AppAddr"], fields["Limits.LinkMbps"] = m.service, m.address(portWorker), 1000.0
	} else {
		fields["DataDir"], fields["Limits.MemoryMb"] = filepath.Join(m.folder, "data"), 280
	}
	return fields
}

var (
	sectionPresent = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	sectionMissing = regexp.MustCompile(`(?s)\{\{\^([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder    = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a settings template as the platform does.
func render(template string, fields map[string]any) string {
	section := func(expression *regexp.Regexp, wanted bool) func(string) string {
		return func(match string) string {
			groups := expression.FindStringSubmatch(match)
			if _, present := fields[groups[1]]; present == wanted {
				return groups[2]
			}
			return ""
		}
	}
	text := sectionPresent.ReplaceAllStringFunc(template, section(sectionPresent, true))
	text = sectionMissing.ReplaceAllStringFunc(text, section(sectionMissing, false))
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		groups := placeholder.FindStringSubmatch(match)
		if groups[2] == "" {
			return fmt.Sprint(fields[groups[1]])
		}
		encoded, _ := json.Marshal(fields[groups[1]])
		return string(encoded)
	})
}

// start starts the process of a machine with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := os.MkdirAll(m.folder, 0o700); err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join("platform", m.role+".json.tmpl"))
	if err != nil {
		return err
	}
	settings := filepath.Join(m.folder, "settings")
	if err := os.WriteFile(settings, []byte(render(string(template), m.fields())), 0o600); err != nil {
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(m.folder, "log")); err != nil {
			return err
		}
	}
	m.command = exec.Command("target/sapphiregate", m.role)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "SAPPHIREGATE_NODE_FILE=" + settings}
	m.command.Stdout, m.command.Stderr = m.log, m.log
	// No process outlives the case, also if that is killed.
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(m.command, m.exited)
	return nil
}

// signal sends a signal to the process that runs on the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// isReady asks the node whether it is ready.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(portReady) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all given nodes are ready.
func awaitReady(timeout time.Duration, machines ...*machine) error {
	until := time.Now().Add(timeout)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// route is a route of a configuration.
type route map[string]any

func newRoute(host, prefix, kind, service string) route {
	return route{
		"Host": host, "PathPrefix": prefix, "Type": kind, "Timeout": "3000ms", "TargetLatency": "400ms", "Priority": 1,
		"Service": service, "Attempts": 2,
	}
}

// put sends a configuration to the operators' interface until it is acknowledged or refused.
func (c *cluster) put(version, base string, routes map[string]route, services []string) (int, error) {
	table := map[string]any{}
	for _, name := range services {
		table[name] = map[string]any{"HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false}
	}
	body, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": table,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
	until := time.Now().Add(20 * time.Second)
	client := http.Client{Timeout: time.Second}
	for i := 0; time.Now().Before(until); i++ {
		request, _ := http.NewRequest(http.MethodPost, "http://"+c.cores[i%len(c.cores)].address(portControl)+"/v1/config/put", bytes.NewReader(body))
		request.Header.Set("Base-Version", base)
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			answer, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429 {
				c.record.add("operator: put %s on top of %s: %d %s", version, base, response.StatusCode, strings.TrimSpace(string(answer)))
				return response.StatusCode, nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, fmt.Errorf("configuration %s was not acknowledged", version)
}
