package soak

import (
	"net"
	"sync"
	"time"
)

// proxyBuffer is the size of the read buffer in bytes; a delay applies to each read.
const proxyBuffer = 32 << 10

// cutPollInterval is the pause between two checks whether a link is still cut.
const cutPollInterval = 20 * time.Millisecond

// linkFault says how a proxy impairs the data that it forwards. The zero value is a healthy link.
type linkFault struct {
	// delay applies to data in both directions.
	delay time.Duration
	// dropRequests and dropResponses discard data to and from the target while connections stay open.
	dropRequests, dropResponses bool
	// cut keeps back all data from and to the process until the fault is over, and new connections as well.
	cut bool
	// cutMembers does so on the links with control members only.
	cutMembers bool
}

// proxy forwards TCP connections to one process and impairs them by the current fault.
type proxy struct {
	listener net.Listener
	// target is the address of the process.
	target string
	// member is set if the process is a control member.
	member bool
	// clientOf returns the proxy of the process that has opened a connection; nil if it is not known.
	clientOf func(client net.Conn) *proxy

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]bool
	// silences counts the calls of silence.
	silences int
}

func newProxy(target string) (*proxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // The listener is closed.
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	var opener *proxy
	if p.clientOf != nil {
		opener = p.clientOf(client)
	}
	p.awaitLink(opener)
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return // The process is down. The client sees a closed connection.
	}
	defer target.Close()
	p.track(client, target)
	defer p.untrack(client, target)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(target, client, opener, func(f linkFault) bool { return f.dropRequests }) })
	directions.Go(func() { p.forward(client, target, opener, func(f linkFault) bool { return f.dropResponses }) })
	directions.Wait()
}

// forward copies data until either side closes. After the first dropped data it forwards nothing more on this stream,
// also when the fault is over: a TCP stream cannot continue with a gap.
func (p *proxy) forward(to, from net.Conn, opener *proxy, isDropped func(linkFault) bool) {
	defer to.Close()
	buffer := make([]byte, proxyBuffer)
	broken := false
	opened := p.silenceCount()
	for {
		n, err := from.Read(buffer)
		p.awaitLink(opener)
		fault := p.currentFault()
		broken = broken || n > 0 && (isDropped(fault) || p.silenceCount() > opened)
		if !broken && n > 0 {
			time.Sleep(fault.delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitLink waits while the link between two processes is cut. The data arrives late by half as long again, like segments
// that are retransmitted with a growing timeout.
func (p *proxy) awaitLink(opener *proxy) {
	began := time.Now()
	for p.isCutFrom(opener) || opener != nil && opener.isCutFrom(p) {
		time.Sleep(cutPollInterval)
	}
	if held := time.Since(began); held >= cutPollInterval {
		time.Sleep(held / 2)
	}
}

func (p *proxy) isCutFrom(other *proxy) bool {
	fault := p.currentFault()
	return fault.cut || fault.cutMembers && other != nil && other.member
}

// silence makes the open connections discard all further data. New ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silences++
}

func (p *proxy) silenceCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silences
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// close stops accepting connections and resets the open ones.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
