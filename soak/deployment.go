package soak

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
)

const (
	memberCount = 3
	zoneCount   = 3
	// minSignalAge is the age of a process before which it is not sent SIGTERM or SIGHUP: until the Go runtime has
	// installed its handlers, either signal terminates the process.
	minSignalAge = 500 * time.Millisecond
	// dumpTime lets a process that has not exited in time print its goroutines.
	dumpTime     = 100 * time.Millisecond
	operatorName = "soak"
	service      = "desk"
	keyringFile  = "keyring.json"
)

// errGraceExceeded reports a process that had to be killed after a SIGTERM.
var errGraceExceeded = errors.New("soak: the grace period has passed")

// process is a control member or node that runs as an operating system process. Every start uses the same settings.
type process struct {
	name string
	// role is the daemon's command: "control" or "node".
	role     string
	settings map[string]any
	// folder holds the settings and log files of all processes of the seed.
	folder string
	binary string
	// dataFolder is the data folder of a member.
	dataFolder    string
	callerAddress string
	adminAddress  string
	// announcements is the address to which the upstream of a node on a platform announces itself.
	announcements string
	// proxy carries all mesh traffic to the process.
	proxy *proxy
	// ready is set while a node reports that it is ready.
	ready atomic.Bool

	mu      sync.Mutex
	command *exec.Cmd
	started time.Time
	exited  chan struct{}
	logFile *os.File
}

// host is the loopback address on which the processes of this soak listen. Other soaks use other addresses, derived
// from their process ids, and outgoing connections come from 127.0.0.1, so that nothing else takes the port of a
// process while it is down.
var host = fmt.Sprintf("127.%d.%d.1", 10+os.Getpid()%200, 1+os.Getpid()/200%250)

// reservedAddresses holds all addresses that listen returned, whether a process listens there at present or not.
var reservedAddresses sync.Map

// listen opens a port of host that is not reserved yet, and reserves it.
func listen() (net.Listener, error) {
	for {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, errors.Wrap(err, "soak: listen")
		}
		if _, taken := reservedAddresses.LoadOrStore(listener.Addr().String(), true); !taken {
			return listener, nil
		}
		_ = listener.Close()
	}
}

// freeAddress reserves an address for a process to listen on.
func freeAddress() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// deployment is a self-managed group of control members, and nodes with one upstream each.
type deployment struct {
	members, nodes []*process
	key            bundle.PrivateKey
	upstreams      []*upstream
}

// newDeployment prepares the settings of all processes and starts the proxies and upstreams. Upstreams report to the
// recorder.
func newDeployment(options Options, folder string, recorder *recorder) (*deployment, error) {
	d := &deployment{}
	slots := 8
	if options.Planned {
		slots = plannedSlots
	}
	var err error
	if d.key, err = bundle.GenerateKey(operatorName, rand.Reader); err != nil {
		return nil, err
	}
	if err := d.key.SavePublic(filepath.Join(folder, keyringFile)); err != nil {
		return nil, err
	}
	for i := range options.memberTotal() {
		p, err := newProcess(options.Binary, folder, "control", fmt.Sprintf("member-%d", i))
		if err != nil {
			return nil, err
		}
		p.dataFolder = filepath.Join(folder, p.name)
		d.members = append(d.members, p)
	}
	for i := range options.Nodes {
		p, err := newProcess(options.Binary, folder, "node", fmt.Sprintf("node-%d", i))
		if err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, p)
	}
	var join []string
	for _, m := range d.members {
		join = append(join, m.proxy.address())
	}
	for i, m := range d.members {
		operatorAddress, err := freeAddress()
		if err != nil {
			return nil, err
		}
		m.settings["data_folder"] = m.dataFolder
		m.settings["zone"] = fmt.Sprintf("zone-%d", i%zoneCount)
		m.settings["join"] = join
		m.settings["ledger_groups"] = 0
		if options.Teams {
			m.settings["objectives"] = objectives()
		}
		m.settings["platform"] = map[string]any{"operators": operatorAddress, "first_start": true, "tolerated_instances": options.toleratedMembers()}
	}
	for i, n := range d.nodes {
		u, err := newUpstream(recorder, n.name)
		if err != nil {
			return nil, err
		}
		d.upstreams = append(d.upstreams, u)
		n.settings["zone"] = fmt.Sprintf("zone-%d", i%zoneCount)
		n.settings["join"] = join
		n.settings["callers"] = n.callerAddress
		if options.Core {
			if err := n.usePlatform(u.address()); err != nil {
				return nil, err
			}
			if options.Teams {
				go u.announce(n)
			}
			continue
		}
		n.settings["upstream"] = map[string]any{"service": service, "address": u.address(), "slots": slots}
		n.settings["limits"] = map[string]any{
			"drain_timeout": gracePeriod.String(), "leave_notice": "2500ms", "max_body_bytes": 2 * largeUploadBytes,
		}
	}
	return d, nil
}

// usePlatform gives a node the settings of a deployment on a platform, with its objectives. The upstream announces itself
// only with teams.
func (p *process) usePlatform(upstream string) error {
	announcements, err := freeAddress()
	if err != nil {
		return err
	}
	ready, err := freeAddress()
	if err != nil {
		return err
	}
	p.settings["platform"] = map[string]any{
		"service": service, "upstream": upstream, "announcements": announcements, "ready": ready,
	}
	p.announcements = announcements
	p.settings["objectives"] = objectives()
	return nil
}

func newProcess(binary, folder, role, name string) (*process, error) {
	p := &process{name: name, role: role, folder: folder, binary: binary}
	var addresses []string
	for range 3 {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	p.callerAddress, p.adminAddress = addresses[1], addresses[2]
	var err error
	if p.proxy, err = newProxy(addresses[0]); err != nil {
		return nil, err
	}
	p.settings = map[string]any{
		"instance": name, "mesh": addresses[0], "admin": p.adminAddress, "advertise": p.proxy.address(),
		"tls": map[string]any{"insecure": true}, "keyring": filepath.Join(folder, keyringFile),
	}
	if p.logFile, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, errors.Wrap(err, "soak: create a log file")
	}
	return p, nil
}

func (d *deployment) processes() []*process {
	return append(append([]*process{}, d.members...), d.nodes...)
}

func (d *deployment) start() error {
	for _, p := range d.processes() {
		p.proxy.member, p.proxy.clientOf = p.role == "control", d.clientOf
	}
	for _, p := range d.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// clientOf returns the proxy of the process that has opened a connection; nil if that has closed it already.
func (d *deployment) clientOf(client net.Conn) *proxy {
	inode, ok := socketInode(client.RemoteAddr(), client.LocalAddr())
	if !ok {
		return nil
	}
	for _, p := range d.processes() {
		if pid, started := p.pid(); started && holdsSocket(pid, inode) {
			return p.proxy
		}
	}
	return nil
}

// pid returns the ID of the process; false if it was not started yet.
func (p *process) pid() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0, false
	}
	return p.command.Process.Pid, true
}

// joinOnRestart changes the members' settings so that a restarted member joins the group instead of forming a new one.
func (d *deployment) joinOnRestart() {
	for _, m := range d.members {
		m.mu.Lock()
		m.settings["platform"].(map[string]any)["first_start"] = false
		m.mu.Unlock()
	}
}

// close kills all processes and stops the proxies and upstreams.
func (d *deployment) close() {
	for _, p := range d.processes() {
		p.resume()
		p.kill()
		p.proxy.close()
		_ = p.logFile.Close()
	}
	for _, u := range d.upstreams {
		u.close()
	}
}

// start writes the settings file and starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := json.Marshal(p.settings)
	if err != nil {
		return errors.Wrap(err, "soak: encode settings")
	}
	file := filepath.Join(p.folder, p.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Wrap(err, "soak: write settings")
	}
	p.command = exec.Command(p.binary, p.role, "--settings", file)
	p.command.Stdout, p.command.Stderr = p.logFile, p.logFile
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "soak: start %s", p.name)
	}
	p.started, p.exited = time.Now(), make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait() // stop reads the exit code from ProcessState.
		close(exited)
	}(p.command, p.exited)
	return nil
}

// signal sends a signal and returns a channel that is closed when the process has exited.
func (p *process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s) // Fails if the process has exited already.
	return p.exited
}

// kill terminates the process without a shutdown and waits until it has exited.
func (p *process) kill() { <-p.signal(syscall.SIGKILL) }

func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// awaitSignalHandlers waits until the process is minSignalAge old.
func (p *process) awaitSignalHandlers() { time.Sleep(time.Until(p.started.Add(minSignalAge))) }

// reload sends SIGHUP to the process and reports whether it did: a process that has not installed its signal handlers
// yet is left alone.
func (p *process) reload() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.started) < minSignalAge {
		return false
	}
	return p.command.Process.Signal(syscall.SIGHUP) == nil
}

// stop shuts the process down gracefully with SIGTERM. It returns an error if the process exits with a code other than
// 0, or kills it and returns an error if it has not exited within gracePeriod.
func (p *process) stop() error {
	exited := p.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		p.signal(syscall.SIGQUIT) // The Go runtime prints its goroutines to the log.
		time.Sleep(dumpTime)
		p.kill()
		return errors.Wrapf(errGraceExceeded, "%s did not exit within %v of SIGTERM", p.name, gracePeriod)
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		return errors.Newf("%s exited with code %d after SIGTERM; 0 is expected", p.name, code)
	}
	return nil
}

// wipe deletes a member's data folder. The process must be down.
func (p *process) wipe() error { return errors.Wrap(os.RemoveAll(p.dataFolder), "soak: wipe data") }
