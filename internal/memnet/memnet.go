// Package memnet is an in-memory network for tests on a fake clock: hosts with IP
// addresses that can be frozen or have their connections reset, links that have a delay and
// can be cut in one direction, and hosts with a limited bandwidth.
//
// Limits: a connection buffers up to a few thousand writes in memory, or some 80 KB if the
// bandwidth of one of its hosts is limited; packet loss is not simulated.
package memnet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Net is a network. Data sent over a link that is cut is held back, as by TCP during a
// partition.
type Net struct {
	latency time.Duration

	mu           sync.Mutex
	linksChanged chan struct{}
	listeners    map[string]*listener
	cutLinks     map[[2]netip.Addr]bool
	frozenHosts  map[netip.Addr]bool
	// conns holds the dialing end of each connection.
	conns     map[*conn]struct{}
	sentBytes map[netip.Addr]int64
	access    map[netip.Addr]*access
}

// New returns a network whose links have the delay latency.
func New(latency time.Duration) *Net {
	return &Net{
		latency:      latency,
		linksChanged: make(chan struct{}),
		listeners:    make(map[string]*listener),
		cutLinks:     make(map[[2]netip.Addr]bool),
		frozenHosts:  make(map[netip.Addr]bool),
		conns:        make(map[*conn]struct{}),
		sentBytes:    make(map[netip.Addr]int64),
		access:       make(map[netip.Addr]*access),
	}
}

// SentBytes returns how many bytes the host has sent.
func (n *Net) SentBytes(h netip.Addr) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sentBytes[h]
}

// Host is the network as seen from one host.
type Host struct {
	net    *Net
	ip     netip.Addr
	killed atomic.Bool
}

// Kill resets the host's connections and closes its listeners; dials from it fail from
// then on.
func (h *Host) Kill() {
	h.killed.Store(true)
	h.net.Reset(h.ip)
}

// Host returns the host with the IP address.
func (n *Net) Host(ip string) *Host {
	return &Host{net: n, ip: netip.MustParseAddr(ip)}
}

// update changes the state of the links and wakes the goroutines that wait in awaitLink.
func (n *Net) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.linksChanged)
	n.linksChanged = make(chan struct{})
}

// SetCut cuts the link from one host to another, or restores it.
func (n *Net) SetCut(from, to netip.Addr, isCut bool) {
	n.update(func() { n.cutLinks[[2]netip.Addr{from, to}] = isCut })
}

// SetFrozen holds back all data from and to a host, or releases it.
func (n *Net) SetFrozen(h netip.Addr, isFrozen bool) {
	n.update(func() { n.frozenHosts[h] = isFrozen })
}

// Blackhole silently discards all data on the connections that a host has now, without a
// reset. New connections work.
func (n *Net) Blackhole(h netip.Addr) {
	n.update(func() {
		for c := range n.conns {
			if c.from == h || c.to == h {
				c.discard.Store(true)
			}
		}
	})
}

// Reset closes all connections and listeners of a host.
func (n *Net) Reset(h netip.Addr) {
	var hostConns []*conn
	n.update(func() {
		for c := range n.conns {
			if c.from == h || c.to == h {
				hostConns = append(hostConns, c)
			}
		}
		for a, l := range n.listeners {
			if netip.MustParseAddrPort(a).Addr() == h {
				l.stopAccepting()
				delete(n.listeners, a)
			}
		}
	})
	for _, c := range hostConns {
		_ = c.Close()
	}
}

// awaitLink waits until data may pass from one host to the other. It returns false if
// stop is closed first.
func (n *Net) awaitLink(from, to netip.Addr, stop <-chan struct{}) bool {
	for {
		n.mu.Lock()
		blocked := n.cutLinks[[2]netip.Addr{from, to}] || n.frozenHosts[from] || n.frozenHosts[to]
		linksChanged := n.linksChanged
		n.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-linksChanged:
		case <-stop:
			return false
		}
	}
}

// Close restores all links and closes all connections and listeners.
func (n *Net) Close() {
	var openConns []*conn
	n.update(func() {
		clear(n.cutLinks)
		clear(n.frozenHosts)
		for c := range n.conns {
			openConns = append(openConns, c)
		}
		for _, l := range n.listeners {
			l.stopAccepting()
		}
	})
	for _, c := range openConns {
		_ = c.Close()
	}
}

type listener struct {
	net    *Net
	addr   netip.AddrPort
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen opens a listener of the host.
func (h *Host) Listen(_, addr string) (net.Listener, error) {
	l := &listener{
		net:    h.net,
		addr:   netip.MustParseAddrPort(addr),
		accept: make(chan net.Conn, 128),
		closed: make(chan struct{}),
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if _, ok := h.net.listeners[addr]; ok {
		return nil, syscall.EADDRINUSE
	}
	h.net.listeners[addr] = l
	return l, nil
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *listener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.listeners[l.addr.String()] == l {
		delete(l.net.listeners, l.addr.String())
	}
	l.stopAccepting()
	return nil
}

func (l *listener) stopAccepting() { l.once.Do(func() { close(l.closed) }) }

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// DialContext connects the host to a listener.
func (h *Host) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	to := netip.MustParseAddrPort(addr)
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
	}
	if h.killed.Load() {
		return fail(syscall.ENETDOWN)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !h.net.awaitLink(h.ip, to.Addr(), ctx.Done()) || !h.net.awaitLink(to.Addr(), h.ip, ctx.Done()) {
		return fail(os.ErrDeadlineExceeded)
	}
	h.net.mu.Lock()
	l, ok := h.net.listeners[addr]
	h.net.mu.Unlock()
	if !ok {
		return fail(syscall.ECONNREFUSED)
	}
	near, far := h.net.pair(h.ip, to.Addr())
	select {
	case l.accept <- far:
		return near, nil
	case <-l.closed:
		_ = near.Close()
		return fail(syscall.ECONNREFUSED)
	}
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	net      *Net
	from, to netip.Addr
	closed   chan struct{}
	once     *sync.Once
	pipes    []net.Conn
	discard  atomic.Bool
}

// pair connects two pipes by two goroutines that hold data back while the link is cut,
// and returns the outer ends.
func (n *Net) pair(a, b netip.Addr) (*conn, *conn) {
	a1, a2 := net.Pipe()
	b1, b2 := net.Pipe()
	closed := make(chan struct{})
	once := new(sync.Once)
	pipes := []net.Conn{a1, a2, b1, b2}
	near := &conn{Conn: a1, net: n, from: a, to: b, closed: closed, once: once, pipes: pipes}
	far := &conn{Conn: b1, net: n, from: b, to: a, closed: closed, once: once, pipes: pipes}
	n.mu.Lock()
	n.conns[near] = struct{}{}
	n.mu.Unlock()
	go n.pump(a2, b2, near, a, b)
	go n.pump(b2, a2, near, b, a)
	return near, far
}

// Close closes both directions of the connection; data in flight is lost.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
		for _, p := range c.pipes {
			_ = p.Close()
		}
	})
	return nil
}

// The buffers of one direction of a connection: how many writes it holds, and how much of a
// write is sent at a time.
const (
	bufferedWrites        = 4096
	bufferBytes           = 32 << 10
	limitedBufferedWrites = 4
	limitedBufferBytes    = 16 << 10
)

// pump copies bytes from one host to the other. What it has read from the sender is kept
// in memory while the link is cut.
func (n *Net) pump(src, dst net.Conn, c *conn, from, to netip.Addr) {
	writes, size := bufferedWrites, bufferBytes
	if n.limited(from, to) {
		writes, size = limitedBufferedWrites, limitedBufferBytes
	}
	queue := make(chan []byte, writes)
	go func() {
		defer close(queue)
		buf := make([]byte, size)
		for {
			k, err := src.Read(buf)
			n.mu.Lock()
			n.sentBytes[from] += int64(k)
			n.mu.Unlock()
			if k > 0 {
				select {
				case queue <- append([]byte(nil), buf[:k]...):
				case <-c.closed:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() { _ = dst.Close() }()
	for b := range queue {
		if !n.awaitLink(from, to, c.closed) {
			return
		}
		if c.discard.Load() {
			continue
		}
		time.Sleep(n.transmit(from, to, len(b)) + n.latency)
		if _, err := dst.Write(b); err != nil {
			if err != io.ErrClosedPipe {
				_ = c.Close()
			}
			return
		}
	}
}
