package shape

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// idleReadBytes is the size of the first read buffer. It is small because thousands of idle connections are open at
	// once. A connection that fills it gets a buffer of busyReadBytes.
	idleReadBytes = 1 << 10
	busyReadBytes = 32 << 10
)

// conn is a shaped connection. One goroutine reads from the raw connection and sets the arrival time of inbound data.
// Outbound data is written by a goroutine that runs only while data is due.
type conn struct {
	network       *Network
	raw           net.Conn
	local, remote Endpoint

	mu       sync.Mutex
	cond     *sync.Cond
	inbound  *direction
	outbound *direction
	// flushing is set while a goroutine writes to raw.
	flushing      bool
	closed        bool
	reset         bool
	writeErr      error
	readDeadline  deadline
	writeDeadline deadline
}

// deadline is a read or write deadline. It wakes the waiting goroutines of a connection when it passes.
type deadline struct {
	time  time.Time
	timer *time.Timer
}

func (d *deadline) set(at time.Time, wake func()) {
	if d.timer != nil {
		d.timer.Stop()
	}
	d.time = at
	if !at.IsZero() {
		d.timer = time.AfterFunc(time.Until(at), wake)
	}
}

func (d *deadline) passed() bool { return !d.time.IsZero() && !time.Now().Before(d.time) }

func newConn(n *Network, raw net.Conn, local, remote Endpoint) *conn {
	c := &conn{network: n, raw: raw, local: local, remote: remote}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case c.headArrived(c.inbound):
			return c.readQueued(p)
		}
		c.cond.Wait()
	}
}

// headArrived reports whether the first queued packet has arrived and no partition blocks it. If a partition drops
// data, it discards the queue.
func (c *conn) headArrived(l *direction) bool {
	if len(l.queue) == 0 || time.Now().Before(l.queue[0].arrival) {
		return false
	}
	switch c.network.conditions.Load().cutMode(l.from, l.to) {
	case CutHold:
		return false
	case CutDrop:
		l.drop()
		return false
	default:
		return true
	}
}

// readQueued copies data from the first inbound packet. The end of the stream stays in the queue.
func (c *conn) readQueued(p []byte) (int, error) {
	head := &c.inbound.queue[0]
	if head.err != nil {
		return 0, head.err
	}
	n := copy(p, head.data)
	head.data = head.data[n:]
	c.inbound.queuedBytes -= n
	if len(head.data) == 0 {
		c.inbound.pop()
	}
	c.schedule(c.inbound)
	c.cond.Broadcast()
	return n, nil
}

// schedule wakes the reader of inbound data, or the writer of outbound data, when the first packet arrives.
func (c *conn) schedule(l *direction) {
	if len(l.queue) == 0 {
		return
	}
	wake := c.wakeReader
	if l == c.outbound {
		wake = c.wakeWriter
	}
	if due := l.queue[0].arrival; due.After(time.Now()) {
		c.network.scheduler.schedule(due, wake)
	} else if l == c.outbound {
		c.startFlush()
	}
}

// wakeReader wakes all waiting goroutines. It locks the mutex so that a goroutine that is about to wait does not miss
// the wake-up.
func (c *conn) wakeReader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cond.Broadcast()
}

func (c *conn) wakeWriter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startFlush()
}

// startFlush starts writing the outbound data that has arrived, on a goroutine because a slow receiver blocks the
// write.
func (c *conn) startFlush() {
	if !c.flushing && c.headArrived(c.outbound) {
		c.flushing = true
		go c.flush()
	}
}

// flush writes the outbound packets that have arrived to the raw connection, and closes it at the end of the stream.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.headArrived(c.outbound) {
		p := c.outbound.pop()
		if p.err != nil {
			c.closeRaw()
			break
		}
		c.mu.Unlock()
		_, err := c.raw.Write(p.data)
		c.mu.Lock()
		c.recordWriteError(err)
		c.cond.Broadcast()
	}
	c.flushing = false
	c.schedule(c.outbound)
}

// recordWriteError keeps the first write error, which later writes return.
func (c *conn) recordWriteError(err error) {
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
}

// Write implements net.Conn. It returns when the data is queued for the link, or written if the link needs no queue.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.outbound.queuedBytes >= maxQueuedBytes && c.writeStatus() == nil {
		c.cond.Wait()
	}
	if err := c.writeStatus(); err != nil {
		return 0, err
	}
	c.outbound.sentBytes.Add(int64(len(p)))
	if c.outbound.broken {
		return len(p), nil
	}
	s := c.network.conditions.Load()
	due := c.outbound.arrivalTime(time.Now(), s.link(c.local, c.remote), len(p))
	if c.canWriteDirectly(s, due) {
		return c.writeDirect(p)
	}
	c.outbound.push(packet{data: append([]byte(nil), p...), arrival: due})
	if len(c.outbound.queue) == 1 {
		c.schedule(c.outbound)
	}
	return len(p), nil
}

// writeStatus returns the error that a write must return now, if any.
func (c *conn) writeStatus() error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.writeErr != nil:
		return c.writeErr
	case c.writeDeadline.passed():
		return os.ErrDeadlineExceeded
	default:
		return nil
	}
}

// canWriteDirectly reports whether a write needs no queue: the link adds no delay, no earlier data is queued or being
// written, and no partition blocks it.
func (c *conn) canWriteDirectly(s *conditions, due time.Time) bool {
	return len(c.outbound.queue) == 0 && !c.flushing && !due.After(time.Now()) && s.cutMode(c.local, c.remote) == 0
}

// writeDirect writes to the raw connection and unlocks the mutex meanwhile.
func (c *conn) writeDirect(p []byte) (int, error) {
	c.flushing = true
	c.mu.Unlock()
	n, err := c.raw.Write(p)
	c.mu.Lock()
	c.flushing = false
	c.recordWriteError(err)
	c.schedule(c.outbound)
	return n, err
}

// receiveLoop reads from the raw connection and queues the data until the connection ends.
func (c *conn) receiveLoop() {
	buffer := make([]byte, idleReadBytes)
	for {
		n, err := c.raw.Read(buffer)
		if n > 0 {
			c.queueInbound(buffer[:n])
		}
		if err != nil {
			c.queueEnd(err)
			return
		}
		if n == len(buffer) && n < busyReadBytes {
			buffer = make([]byte, busyReadBytes)
		}
	}
}

// queueInbound queues received data. It waits while too much is queued.
func (c *conn) queueInbound(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.inbound.queuedBytes >= maxQueuedBytes && !c.closed {
		c.cond.Wait()
	}
	c.inbound.sentBytes.Add(int64(len(data)))
	c.pushInbound(packet{data: append([]byte(nil), data...)})
}

// queueEnd queues the end of the stream, so that the link delays it and a partition hides it.
func (c *conn) queueEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pushInbound(packet{err: err})
}

// pushInbound sets the arrival time of a packet and queues it.
func (c *conn) pushInbound(p packet) {
	if c.closed || c.inbound.broken {
		return
	}
	link := c.network.conditions.Load().link(c.remote, c.local)
	p.arrival = c.inbound.arrivalTime(time.Now(), link, len(p.data))
	c.inbound.push(p)
	if len(c.inbound.queue) > 1 {
		return
	}
	c.schedule(c.inbound)
	c.cond.Broadcast()
}

// resume continues after a partition has healed. Held data arrives one link delay later, as if it were retransmitted at
// once.
func (c *conn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.network.conditions.Load()
	for _, l := range []*direction{c.inbound, c.outbound} {
		if s.cutMode(l.from, l.to) != 0 || len(l.queue) == 0 || l.queue[0].arrival.After(time.Now()) {
			continue
		}
		l.delayUntil(time.Now().Add(s.link(l.from, l.to).Delay))
		c.schedule(l)
	}
	c.cond.Broadcast()
}

// Close implements net.Conn. The remote end sees the close after the data in flight, and after the end of a partition.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.inbound.queue = nil
	c.inbound.queuedBytes = 0
	c.cond.Broadcast()
	if c.outbound.broken {
		return nil
	}
	link := c.network.conditions.Load().link(c.local, c.remote)
	c.outbound.push(packet{err: io.EOF, arrival: c.outbound.arrivalTime(time.Now(), link, 0)})
	if len(c.outbound.queue) == 1 {
		c.schedule(c.outbound)
	}
	return nil
}

// abort closes the connection with a TCP reset, as the kernel does for a process that crashed.
func (c *conn) abort() {
	c.mu.Lock()
	c.reset = true
	c.mu.Unlock()
	_ = c.Close()
}

// closeRaw closes the raw connection, with a TCP reset after abort, and removes the connection from the network.
func (c *conn) closeRaw() {
	if tcp, ok := c.raw.(*net.TCPConn); ok && c.reset {
		_ = tcp.SetLinger(0)
	}
	_ = c.raw.Close()
	go c.network.removeConn(c)
}

// destroy closes both ends immediately, without delay and despite partitions.
func (c *conn) destroy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cond.Broadcast()
	c.closeRaw()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline.set(t, c.wakeReader)
	c.writeDeadline.set(t, c.wakeReader)
	c.cond.Broadcast()
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline.set(t, c.wakeReader)
	c.cond.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline.set(t, c.wakeReader)
	c.cond.Broadcast()
	return nil
}
