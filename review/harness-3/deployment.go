package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are those of a machine; they are the same on all machines, which differ by their loopback address.
type ports struct{ callers, ready, control, worker, mesh, admin int }

// deployment is a small deployment on loopback addresses: control members and nodes as processes of their own.
type deployment struct {
	record   *record
	folder   string
	prefix   string // of the loopback addresses
	ports    ports
	bounds   map[string]any
	sheet    sheet
	controls []*process
	nodes    []*process
}

// sheet holds the settings that differ between the sheets of the deployments.
type sheet struct {
	catchUp        time.Duration
	retryAllowance int
	memoryMB       int
	linkMbps       float64
}

var (
	kalasag   = sheet{catchUp: 4 * time.Second, retryAllowance: 56, memoryMB: 284, linkMbps: 1000}
	lankajobs = sheet{catchUp: 6 * time.Second, retryAllowance: 170, memoryMB: 184, linkMbps: 6.5}
	csupf     = sheet{catchUp: 6 * time.Second, retryAllowance: 198, memoryMB: 184, linkMbps: 9.2}
)

// process is one process of the system on its machine.
type process struct {
	deployment *deployment
	role       string
	name, ip   string
	zone       string
	service    string
	settings   map[string]any

	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// down is set while the process is not to run.
	down bool
}

// defaultBounds are those of the sheet of kalasag-belts; the ones of the quotas and rollouts are those of
// lankajobs-mesh-grown.
func defaultBounds() map[string]any {
	return map[string]any{
		"quota_window": "5s", "quota_overshoot": 0.1, "quota_allowance": 20, "revoke_within": "5000ms",
		"canary_share": 0.1, "canary_allowance": 50, "rollback_within": "5000ms", "apply_within": "2000ms",
	}
}

func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, bounds: defaultBounds(), sheet: kalasag}
	d.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
	base := 20000 + rand.IntN(5000)
	next := func() int {
		for ; ; base++ {
			listener, err := net.Listen("tcp", "0.0.0.0:"+strconv.Itoa(base))
			if err != nil {
				continue
			}
			listener.Close()
			base++
			return base - 1
		}
	}
	d.ports = ports{callers: next(), ready: next(), control: next(), worker: next(), mesh: next(), admin: next()}
	return d, nil
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// seeds are the control addresses of the first three control machines.
func (d *deployment) seeds() []string {
	var list []string
	for _, c := range d.controls[:min(3, len(d.controls))] {
		list = append(list, address(c.ip, d.ports.control))
	}
	return list
}

func (d *deployment) addControls(count, tolerated int) {
	for i := range count {
		d.controls = append(d.controls, &process{
			deployment: d, role: "control", name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s%d", d.prefix, 101+i),
			zone: zones[i%len(zones)],
		})
	}
	for _, c := range d.controls {
		objectives := map[string]any{"repair_within": d.sheet.catchUp.String()}
		for name, value := range d.bounds {
			objectives[name] = value
		}
		c.settings = map[string]any{
			"instance": c.name, "zone": c.zone, "mesh": address(c.ip, d.ports.mesh), "admin": address(c.ip, d.ports.admin),
			"data_folder": filepath.Join(d.folder, c.name), "tls": map[string]any{"insecure": true},
			"trusted_operators": []string{"platform"},
			"platform": map[string]any{
				"operators": address(c.ip, d.ports.control), "first_start": true, "tolerated_instances": tolerated,
				"tolerated_zones": 0,
			},
			"ledger_groups": 0, "join": d.seeds(), "join_port": d.ports.mesh, "objectives": objectives,
			"limits": map[string]any{"memory_mb": 280, "stop_timeout": "6s"},
		}
	}
}

// move gives a control machine another address before its start.
func (p *process) move(ip string) {
	d := p.deployment
	p.ip = ip
	p.settings["mesh"], p.settings["admin"] = address(ip, d.ports.mesh), address(ip, d.ports.admin)
	p.settings["platform"].(map[string]any)["operators"] = address(ip, d.ports.control)
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// addNode adds the node beside a worker of a service.
func (d *deployment) addNode(service string) *process {
	i := len(d.nodes)
	n := &process{
		deployment: d, role: "node", name: fmt.Sprintf("sidecar-%d", i+1), ip: fmt.Sprintf("%s%d", d.prefix, 1+i),
		zone: zones[i%len(zones)], service: service,
	}
	objectives := map[string]any{
		"drain_within": "2000ms", "retry_share": 0.2, "retry_allowance": d.sheet.retryAllowance, "retry_window": "10s",
	}
	for name, value := range d.bounds {
		objectives[name] = value
	}
	n.settings = map[string]any{
		"instance": n.name, "zone": n.zone, "callers": address(n.ip, d.ports.callers), "mesh": address(n.ip, d.ports.mesh),
		// All nodes share one loopback address for this, so each has a port of its own.
		"admin": address("127.0.0.1", d.ports.admin+1+i),
		"join":  d.seeds(), "join_port": d.ports.mesh, "tls": map[string]any{"insecure": true},
		"trusted_operators": []string{"platform"},
		"platform": map[string]any{
			"service": service, "upstream": address(n.ip, d.ports.worker), "announcements": address(n.ip, d.ports.control),
			"ready": address(n.ip, d.ports.ready),
		},
		"objectives": objectives,
		"limits": map[string]any{
			"drain_timeout": "6s", "max_descriptors": 4100, "memory_mb": d.sheet.memoryMB, "link_mbps": d.sheet.linkMbps, "max_body_bytes": 67108864,
		},
	}
	d.nodes = append(d.nodes, n)
	return n
}

// restartDelay is the delay after which the platform starts a process again that has ended by itself.
const restartDelay = 500 * time.Millisecond

// start runs the process with the command of the deploy file, again whenever it ends by itself.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	return p.run()
}

// run starts the process. The caller holds p.mu.
func (p *process) run() error {
	d := p.deployment
	file := filepath.Join(d.folder, p.name+".json")
	data, err := json.MarshalIndent(p.settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	if p.role == "control" {
		// Later starts are not the first one of the deployment.
		p.settings["platform"].(map[string]any)["first_start"] = false
	}
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/sapphiregate", p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAPPHIREGATE_NODE_FILE=" + file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	d.record.line("%s starts as process %d", p.name, command.Process.Pid)
	go func() {
		_ = command.Wait()
		close(ended)
		p.mu.Lock()
		byItself := !p.down && p.ended == ended
		p.mu.Unlock()
		if !byItself {
			return
		}
		d.record.line("%s has ended by itself: %s", p.name, command.ProcessState)
		time.Sleep(restartDelay)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.down && p.ended == ended {
			if err := p.run(); err != nil {
				d.record.say("%s does not start again: %v", p.name, err)
			}
		}
	}()
	return nil
}

// end returns the channel that is closed once the present process has ended; nil if it never ran.
func (p *process) end() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// signal sends a signal that ends the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
	if p.command == nil {
		return
	}
	p.deployment.record.line("%s gets signal %d (%s)", p.name, int(s), s)
	_ = p.command.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.end()
}

// startAll starts all processes.
func (d *deployment) startAll() error {
	for _, p := range append(append([]*process{}, d.controls...), d.nodes...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that were started and removes the folder.
func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.controls...), d.nodes...) {
		p.signal(syscall.SIGKILL)
		if ended := p.end(); ended != nil {
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}

// request sends one request of an operator or of the platform's checks.
func request(method, url string, header map[string]string, body []byte, timeout time.Duration) (int, []byte, error) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	var data strings.Builder
	_, err = fmt.Fprint(&data, readAll(response))
	return response.StatusCode, []byte(data.String()), err
}

func readAll(response *http.Response) string {
	buffer := make([]byte, 1<<20)
	n, total := 0, 0
	var err error
	for err == nil && total < len(buffer) {
		n, err = response.Body.Read(buffer[total:])
		total += n
	}
	return string(buffer[:total])
}

// order sends an order of the operator to the control members in turn until one gives a clear response.
func (d *deployment) order(path string, header map[string]string, body any) (int, string) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err.Error()
	}
	headers := map[string]string{"Content-Type": "application/json"}
	for name, value := range header {
		headers[name] = value
	}
	began := time.Now()
	for attempt := 0; time.Since(began) < 20*time.Second; attempt++ {
		member := d.controls[attempt%len(d.controls)]
		status, answer, err := request("POST", "http://"+address(member.ip, d.ports.control)+path, headers, data, time.Second)
		d.record.line("operator: POST %s to %s: %d %s %v", path, member.name, status, strings.TrimSpace(string(answer)), err)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, string(answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, "no clear response"
}

// awaitReady waits until all nodes say that they are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	began := time.Now()
	for _, n := range d.nodes {
		for {
			status, _, err := request("GET", "http://"+address(n.ip, d.ports.ready)+"/v1/ready", nil, nil, time.Second)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Since(began) > within {
				return fmt.Errorf("%s is not ready after %s: %d %v", n.name, within, status, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
