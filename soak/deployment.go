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
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
)

const (
	memberCount = 3
	nodeCount   = 4
	// stopTimeout bounds a planned stop; the nodes' drain timeout is 5 s.
	stopTimeout = 10 * time.Second
	// minSignalAge is the least age at which a process gets SIGTERM or SIGHUP. In the first milliseconds the Go runtime has not
	// installed its handlers yet, and either signal ends the process.
	minSignalAge = 500 * time.Millisecond
	operatorName = "soak"
	service      = "desk"
	keyringFile  = "keyring.json"
)

// process is one process of the deployment. It is started again with the same settings.
type process struct {
	name     string
	role     string
	settings map[string]any
	folder   string
	binary   string
	// dataFolder is the dataFolder folder of a member.
	dataFolder    string
	callerAddress string
	adminAddress  string
	proxy         *proxy

	mu      sync.Mutex
	command *exec.Cmd
	started time.Time
	exited  chan struct{}
	logFile *os.File
}

// host is where the processes of this soak listen. Outgoing connections come from 127.0.0.1 and other soaks use other
// hosts, so that no port is taken while its process is down.
var host = fmt.Sprintf("127.%d.%d.1", 10+os.Getpid()%200, 1+os.Getpid()/200%250)

// reservedAddresses holds the addresses that were handed out, whether a process listens there at present or not.
var reservedAddresses sync.Map

// listen opens a port of host that was not handed out before.
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

// freeAddress returns an address for a process to listen on.
func freeAddress() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// deployment is a group of members that manages itself, and nodes with an upstream each.
type deployment struct {
	members, nodes []*process
	key            bundle.PrivateKey
	upstreams      []*upstream
}

func newDeployment(binary, folder string, recorder *recorder) (*deployment, error) {
	d := &deployment{}
	var err error
	if d.key, err = bundle.GenerateKey(operatorName, rand.Reader); err != nil {
		return nil, err
	}
	if err := d.key.SavePublic(filepath.Join(folder, keyringFile)); err != nil {
		return nil, err
	}
	for i := range memberCount {
		p, err := newProcess(binary, folder, "control", fmt.Sprintf("member-%d", i))
		if err != nil {
			return nil, err
		}
		p.dataFolder = filepath.Join(folder, p.name)
		d.members = append(d.members, p)
	}
	for i := range nodeCount {
		p, err := newProcess(binary, folder, "node", fmt.Sprintf("node-%d", i))
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
		m.settings["zone"] = fmt.Sprintf("zone-%d", i)
		m.settings["join"] = join
		m.settings["ledger_groups"] = 0
		m.settings["platform"] = map[string]any{"operators": operatorAddress, "first_start": true, "tolerated_instances": 1}
	}
	for i, n := range d.nodes {
		u, err := newUpstream(recorder)
		if err != nil {
			return nil, err
		}
		d.upstreams = append(d.upstreams, u)
		n.settings["zone"] = fmt.Sprintf("zone-%d", i%memberCount)
		n.settings["join"] = join
		n.settings["callers"] = n.callerAddress
		n.settings["upstream"] = map[string]any{"service": service, "address": u.address(), "slots": 8}
		n.settings["limits"] = map[string]any{"drain_timeout": "5s"}
	}
	return d, nil
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
		return nil, errors.Wrap(err, "soak: create a log")
	}
	return p, nil
}

func (d *deployment) processes() []*process {
	return append(append([]*process{}, d.members...), d.nodes...)
}

func (d *deployment) start() error {
	for _, p := range d.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// joinOnRestart makes further starts of members join the group instead of forming it.
func (d *deployment) joinOnRestart() {
	for _, m := range d.members {
		m.mu.Lock()
		m.settings["platform"].(map[string]any)["first_start"] = false
		m.mu.Unlock()
	}
}

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
		_ = command.Wait() // The exit code is read from the state.
		close(exited)
	}(p.command, p.exited)
	return nil
}

func (p *process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s) // The process may have ended already.
	return p.exited
}

func (p *process) kill() { <-p.signal(syscall.SIGKILL) }

func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// awaitSignalHandlers waits until the process handles signals.
func (p *process) awaitSignalHandlers() { time.Sleep(time.Until(p.started.Add(minSignalAge))) }

// stop ends the process as planned. It returns an error if that takes too long or the process reports a failure.
func (p *process) stop() error {
	p.awaitSignalHandlers()
	exited := p.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		p.kill()
		return errors.Newf("%s did not stop within %v", p.name, stopTimeout)
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		return errors.Newf("%s stopped with code %d", p.name, code)
	}
	return nil
}

// wipe empties a member's disk while the process is down.
func (p *process) wipe() error { return errors.Wrap(os.RemoveAll(p.dataFolder), "soak: wipe a disk") }
