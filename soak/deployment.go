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
	// startGrace is the least age at which a process gets SIGTERM or SIGHUP. In the first milliseconds the Go runtime has not
	// installed its handlers yet, and either signal ends the process.
	startGrace   = 500 * time.Millisecond
	operatorName = "soak"
	service      = "desk"
	keyringFile  = "keyring.json"
)

// program is one process of the deployment. It is started again with the same settings.
type program struct {
	name     string
	role     string
	settings map[string]any
	folder   string
	binary   string
	// data is the data folder of a member.
	data    string
	callers string
	admin   string
	proxy   *proxy

	mu      sync.Mutex
	command *exec.Cmd
	started time.Time
	ended   chan struct{}
	log     *os.File
}

// host is where the processes of this soak listen. Outgoing connections come from 127.0.0.1 and other soaks use other
// hosts, so that no port is taken while its process is down.
var host = fmt.Sprintf("127.%d.%d.1", 10+os.Getpid()%200, 1+os.Getpid()/200%250)

// reserved holds the addresses that were handed out, whether a process listens there at present or not.
var reserved sync.Map

// listen opens a port of host that was not handed out before.
func listen() (net.Listener, error) {
	for {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, errors.Wrap(err, "soak: listen")
		}
		if _, taken := reserved.LoadOrStore(listener.Addr().String(), true); !taken {
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
	members, nodes []*program
	key            bundle.PrivateKey
	upstreams      []*upstream
}

func newDeployment(binary, folder string, seen *history) (*deployment, error) {
	d := &deployment{}
	var err error
	if d.key, err = bundle.GenerateKey(operatorName, rand.Reader); err != nil {
		return nil, err
	}
	if err := d.key.SavePublic(filepath.Join(folder, keyringFile)); err != nil {
		return nil, err
	}
	for i := range memberCount {
		p, err := newProgram(binary, folder, "control", fmt.Sprintf("member-%d", i))
		if err != nil {
			return nil, err
		}
		p.data = filepath.Join(folder, p.name)
		d.members = append(d.members, p)
	}
	for i := range nodeCount {
		p, err := newProgram(binary, folder, "node", fmt.Sprintf("node-%d", i))
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
		platform, err := freeAddress()
		if err != nil {
			return nil, err
		}
		m.settings["data_folder"] = m.data
		m.settings["zone"] = fmt.Sprintf("zone-%d", i)
		m.settings["join"] = join
		m.settings["ledger_groups"] = 0
		m.settings["platform"] = map[string]any{"operators": platform, "first_start": true, "tolerated_instances": 1}
	}
	for i, n := range d.nodes {
		u, err := newUpstream(seen)
		if err != nil {
			return nil, err
		}
		d.upstreams = append(d.upstreams, u)
		n.settings["zone"] = fmt.Sprintf("zone-%d", i%memberCount)
		n.settings["join"] = join
		n.settings["callers"] = n.callers
		n.settings["upstream"] = map[string]any{"service": service, "address": u.address(), "slots": 8}
		n.settings["limits"] = map[string]any{"drain_timeout": "5s"}
	}
	return d, nil
}

func newProgram(binary, folder, role, name string) (*program, error) {
	p := &program{name: name, role: role, folder: folder, binary: binary}
	var addresses []string
	for range 3 {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	p.callers, p.admin = addresses[1], addresses[2]
	var err error
	if p.proxy, err = newProxy(addresses[0]); err != nil {
		return nil, err
	}
	p.settings = map[string]any{
		"instance": name, "mesh": addresses[0], "admin": p.admin, "advertise": p.proxy.address(),
		"tls": map[string]any{"insecure": true}, "keyring": filepath.Join(folder, keyringFile),
	}
	if p.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, errors.Wrap(err, "soak: create a log")
	}
	return p, nil
}

func (d *deployment) all() []*program { return append(append([]*program{}, d.members...), d.nodes...) }

func (d *deployment) start() error {
	for _, p := range d.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// formed makes further starts of members join the group instead of forming it.
func (d *deployment) formed() {
	for _, m := range d.members {
		m.mu.Lock()
		m.settings["platform"].(map[string]any)["first_start"] = false
		m.mu.Unlock()
	}
}

func (d *deployment) close() {
	for _, p := range d.all() {
		p.resume()
		p.kill()
		p.proxy.close()
		_ = p.log.Close()
	}
	for _, u := range d.upstreams {
		u.close()
	}
}

func (p *program) start() error {
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
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "soak: start %s", p.name)
	}
	p.started, p.ended = time.Now(), make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait() // The exit code is read from the state.
		close(ended)
	}(p.command, p.ended)
	return nil
}

func (p *program) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s) // The process may have ended already.
	return p.ended
}

func (p *program) kill() { <-p.signal(syscall.SIGKILL) }

func (p *program) pause()  { p.signal(syscall.SIGSTOP) }
func (p *program) resume() { p.signal(syscall.SIGCONT) }

// settle waits until the process handles signals.
func (p *program) settle() { time.Sleep(time.Until(p.started.Add(startGrace))) }

// stop ends the process as planned. It returns an error if that takes too long or the process reports a failure.
func (p *program) stop() error {
	p.settle()
	ended := p.signal(syscall.SIGTERM)
	select {
	case <-ended:
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
func (p *program) wipe() error { return errors.Wrap(os.RemoveAll(p.data), "soak: wipe a disk") }
