package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// binary is the program that the build of the deploy file makes; the scripts run in the root of the repository.
const binary = "target/sapphiregate"

var zones = []string{"luzon-a", "luzon-b", "luzon-c"}

// upstreamSpec describes one machine with an upstream beside its node.
type upstreamSpec struct {
	service string
	slots   int
}

// process is one process of the system under test.
type process struct {
	name, role, ip, file string
	settings             map[string]any
	operators            string // of a control member
	callers, control     string // of a node
	ready                string
	command              *exec.Cmd
	exited               chan struct{}
}

// deployment holds the processes of one script. Each machine has a loopback address of its own.
type deployment struct {
	folder         string
	members, nodes []*process
	workers        []*worker
	// spares holds further members that a script has prepared.
	spares      []*process
	meshPort    int
	adminPort   int
	controlPort int
	seeds       []string
}

// machineIP returns the loopback address of a machine; other runs on this computer use other addresses.
func machineIP(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+pid/200%250, number)
}

// takenPorts holds the ports that freePort has returned.
var takenPorts = map[int]bool{}

// freePort returns another port that is free on all the given addresses.
func freePort(ips ...string) int {
	for {
		first, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			cannotRun("no free port: %v", err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		free := !takenPorts[port]
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			other.Close()
		}
		first.Close()
		if free {
			takenPorts[port] = true
			return port
		}
	}
}

// newDeployment prepares five control members and a machine for each upstream, with the settings that the templates in
// platform/ make of the settings of the site kalasag-belts.
func newDeployment(upstreams []upstreamSpec) *deployment {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	d := &deployment{folder: folder}
	var ips []string
	const members = 5
	for i := range members + len(upstreams) {
		ips = append(ips, machineIP(i+1))
	}
	for i := range maxSpares {
		ips = append(ips, machineIP(firstSpare+i))
	}
	d.meshPort, d.adminPort, d.controlPort = freePort(ips...), freePort(ips...), freePort(ips...)
	callersPort := freePort(ips...)
	readyPort := freePort(ips...)
	appPort := freePort(ips...)
	address := func(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	for i := range 3 {
		d.seeds = append(d.seeds, address(ips[i], d.controlPort))
	}
	for i := range members {
		d.members = append(d.members, d.newMember(fmt.Sprintf("core-%d", i+1), ips[i], zones[i%3], true))
	}
	for i, u := range upstreams {
		ip := ips[members+i]
		p := &process{
			name: fmt.Sprintf("sidecar-%d", i+1), role: "node", ip: ip, callers: address(ip, callersPort),
			control: address(ip, d.controlPort), ready: address(ip, readyPort),
		}
		p.settings = map[string]any{
			"instance": p.name, "zone": zones[i%3], "callers": p.callers, "mesh": address(ip, d.meshPort),
			"admin": address(ip, d.adminPort), "join": d.seeds, "join_port": d.meshPort, "tls": map[string]any{"insecure": true},
			"trusted_operators": []string{"platform"},
			"platform": map[string]any{
				"service": u.service, "upstream": address(ip, appPort), "announcements": p.control, "ready": p.ready,
			},
			"objectives": map[string]any{
				"apply_within": "2000ms", "drain_within": "2000ms", "retry_share": 0.2, "retry_allowance": 56, "retry_window": "10s",
			},
			"limits": map[string]any{
				"drain_timeout": "6s", "max_descriptors": 4100, "memory_mb": 284, "link_mbps": 1000.0, "max_body_bytes": 67108864,
			},
		}
		d.nodes = append(d.nodes, p)
		d.workers = append(d.workers, newWorker(u, address(ip, appPort), p.control, zones[i%3]))
	}
	return d
}

// newMember prepares a control member. bootstrap is set if the whole system starts for the first time.
func (d *deployment) newMember(name, ip, zone string, bootstrap bool) *process {
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	p := &process{name: name, role: "control", ip: ip, operators: address(d.controlPort)}
	p.settings = map[string]any{
		"instance": p.name, "zone": zone, "mesh": address(d.meshPort), "admin": address(d.adminPort),
		"data_folder": filepath.Join(d.folder, p.name), "tls": map[string]any{"insecure": true},
		"trusted_operators": []string{"platform"}, "ledger_groups": 0, "join": d.seeds, "join_port": d.meshPort,
		"platform": map[string]any{
			"operators": p.operators, "first_start": bootstrap, "tolerated_instances": 2, "tolerated_zones": 0,
		},
		"objectives": map[string]any{"repair_within": "4s", "apply_within": "2000ms"},
		"limits":     map[string]any{"memory_mb": 280, "stop_timeout": "6s"},
	}
	return p
}

// firstSpare is the number of the first machine that a script may add, maxSpares how many there are.
const (
	firstSpare = 250
	maxSpares  = 3
)

// spareMember prepares an empty machine of the core at another address.
func (d *deployment) spareMember() *process {
	n := len(d.spares)
	p := d.newMember(fmt.Sprintf("core-spare-%d", n+1), machineIP(firstSpare+n), zones[(n+2)%len(zones)], false)
	d.spares = append(d.spares, p)
	return p
}

// processes lists all processes of the system.
func (d *deployment) processes() []*process { return slices.Concat(d.members, d.spares, d.nodes) }

// startAll starts all processes and workers.
func (d *deployment) startAll() {
	for _, p := range slices.Concat(d.members, d.nodes) {
		d.startProcess(p)
	}
	for _, w := range d.workers {
		w.start(time.Now().UnixMilli(), w.id)
	}
}

// start starts all processes and workers, and puts the first configuration.
func (d *deployment) start(configuration map[string]any) {
	d.startAll()
	d.put(configuration, "r0")
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range d.nodes {
		for !isReady(n) {
			if time.Now().After(deadline) || n.hasEnded() {
				cannotRun("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // Upstreams become known everywhere.
}

func isReady(n *process) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startProcess runs the command of the deploy file with a settings file.
func (d *deployment) startProcess(p *process) {
	p.file = filepath.Join(d.folder, p.name+".json")
	data, err := json.Marshal(p.settings)
	if err != nil {
		cannotRun("settings: %v", err)
	}
	if err := os.WriteFile(p.file, data, 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	output, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	p.command = exec.Command(binary, p.role)
	p.command.Env = append(os.Environ(), "SAPPHIREGATE_NODE_FILE="+p.file)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		cannotRun("start %s: %v", p.name, err)
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		err := command.Wait()
		output.Close()
		record("%s ended: %v", p.name, err)
		close(exited)
	}(p.command, p.exited)
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends a process without a shutdown.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// hasEnded reports whether the process has exited.
func (p *process) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// close ends all processes of the script and removes the folder.
func (d *deployment) close() {
	for _, p := range d.processes() {
		if p.command != nil && p.command.Process != nil && !p.hasEnded() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	for _, w := range d.workers {
		w.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println(d.folder)
	}
}

// put sends a configuration until it is accepted.
func (d *deployment) put(configuration map[string]any, base string) {
	deadline := time.Now().Add(25 * time.Second)
	for i := 0; ; i++ {
		status, err := d.putOnce(d.members[i%len(d.members)], configuration, base)
		if status == http.StatusOK {
			record("operator: %v acknowledged by %s", configuration["Version"], d.members[i%len(d.members)].name)
			return
		}
		if time.Now().After(deadline) {
			cannotRun("the configuration is not accepted: %d %v", status, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (d *deployment) putOnce(m *process, configuration map[string]any, base string) (int, error) {
	data, err := json.Marshal(configuration)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+m.operators+"/v1/config/put", bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Base-Version", base)
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, fmt.Errorf("%s", text)
}

// route and configuration build messages of the operator.
func route(host, prefix, kind, timeout, service string) map[string]any {
	return map[string]any{
		"Host": host, "PathPrefix": prefix, "Type": kind, "Timeout": timeout, "TargetLatency": "400ms", "Priority": 1,
		"Service": service, "Attempts": 2,
	}
}

func configuration(version string, routes map[string]any, services ...string) map[string]any {
	described := map[string]any{}
	for _, name := range services {
		described[name] = map[string]any{"HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false}
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": described,
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms",
		},
	}
}

// wipe ends the process of a member and removes its disk.
func (d *deployment) wipe(p *process) {
	p.kill()
	if err := os.RemoveAll(filepath.Join(d.folder, p.name)); err != nil {
		cannotRun("wipe: %v", err)
	}
}

// restartMember starts a member again, no longer for the first time.
func (d *deployment) restartMember(p *process) {
	p.settings["platform"].(map[string]any)["first_start"] = false
	d.startProcess(p)
}

// read returns the version that a member answers to a read of the configuration, or why it answers none.
func read(m *process) (version, problem string) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.operators + "/v1/config/get")
	if err != nil {
		return "", err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	var message struct{ Version string }
	if response.StatusCode != http.StatusOK || json.Unmarshal(text, &message) != nil {
		return "", fmt.Sprintf("%d %s", response.StatusCode, text)
	}
	return message.Version, ""
}
