// Package memnet is a network in memory, for tests on a fake clock: hosts with IP
// numbers, links with a delay that can be cut in one direction, hosts that freeze
// or whose connections are reset.
//
// Limits: a connection holds what is in flight in memory, up to a few thousand
// writes; there is no bandwidth and no loss.
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

// Net is a network. What is sent over a link that is cut is held back, as by TCP
// during a partition.
type Net struct {
	latency time.Duration

	mu        sync.Mutex
	changed   chan struct{}
	listeners map[string]*listener
	cut       map[[2]netip.Addr]bool
	frozen    map[netip.Addr]bool
	conns     map[*conn]struct{}
	written   map[netip.Addr]int64
}

// New makes a network whose links have the delay.
func New(latency time.Duration) *Net {
	return &Net{
		latency:   latency,
		changed:   make(chan struct{}),
		listeners: make(map[string]*listener),
		cut:       make(map[[2]netip.Addr]bool),
		frozen:    make(map[netip.Addr]bool),
		conns:     make(map[*conn]struct{}),
		written:   make(map[netip.Addr]int64),
	}
}

// Written returns how many bytes a host has sent.
func (n *Net) Written(h netip.Addr) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.written[h]
}

// Host is the network as one host sees it.
type Host struct {
	net  *Net
	ip   netip.Addr
	dead atomic.Bool
}

// Kill resets the host's connections, and refuses new ones either way.
func (h *Host) Kill() {
	h.dead.Store(true)
	h.net.Reset(h.ip)
}

// Host returns the host with the IP number.
func (n *Net) Host(ip string) *Host {
	return &Host{net: n, ip: netip.MustParseAddr(ip)}
}

// update changes the state of the links and wakes what waits for them.
func (n *Net) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetCut cuts the link from one host to another, or mends it.
func (n *Net) SetCut(from, to netip.Addr, on bool) {
	n.update(func() { n.cut[[2]netip.Addr{from, to}] = on })
}

// SetFrozen holds back all that comes from or goes to a host.
func (n *Net) SetFrozen(h netip.Addr, on bool) {
	n.update(func() { n.frozen[h] = on })
}

// Mute has all connections that a host has now carry nothing any more, without a
// reset; new ones work.
func (n *Net) Mute(h netip.Addr) {
	n.update(func() {
		for c := range n.conns {
			if c.from == h || c.to == h {
				c.mute.Store(true)
			}
		}
	})
}

// Reset closes all connections of a host and its listeners.
func (n *Net) Reset(h netip.Addr) {
	var gone []*conn
	n.update(func() {
		for c := range n.conns {
			if c.from == h || c.to == h {
				gone = append(gone, c)
			}
		}
		for a, l := range n.listeners {
			if netip.MustParseAddrPort(a).Addr() == h {
				l.shut()
				delete(n.listeners, a)
			}
		}
	})
	for _, c := range gone {
		_ = c.Close()
	}
}

// open waits until data may pass from one host to the other.
func (n *Net) open(from, to netip.Addr, stop <-chan struct{}) bool {
	for {
		n.mu.Lock()
		held := n.cut[[2]netip.Addr{from, to}] || n.frozen[from] || n.frozen[to]
		changed := n.changed
		n.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

// Close mends all links and closes everything.
func (n *Net) Close() {
	var all []*conn
	n.update(func() {
		clear(n.cut)
		clear(n.frozen)
		for c := range n.conns {
			all = append(all, c)
		}
		for _, l := range n.listeners {
			l.shut()
		}
	})
	for _, c := range all {
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

// Listen makes a listener of the host.
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
	l.shut()
	return nil
}

func (l *listener) shut() { l.once.Do(func() { close(l.closed) }) }

// Addr returns the address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// DialContext connects the host to a listener.
func (h *Host) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	to := netip.MustParseAddrPort(addr)
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
	}
	if h.dead.Load() {
		return fail(syscall.ENETDOWN)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !h.net.open(h.ip, to.Addr(), ctx.Done()) || !h.net.open(to.Addr(), h.ip, ctx.Done()) {
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
	inner    []net.Conn
	mute     atomic.Bool
}

// pair joins two pipes by two pumps that hold data back while the link is cut.
func (n *Net) pair(a, b netip.Addr) (*conn, *conn) {
	a1, a2 := net.Pipe()
	b1, b2 := net.Pipe()
	closed := make(chan struct{})
	once := new(sync.Once)
	inner := []net.Conn{a1, a2, b1, b2}
	near := &conn{Conn: a1, net: n, from: a, to: b, closed: closed, once: once, inner: inner}
	far := &conn{Conn: b1, net: n, from: b, to: a, closed: closed, once: once, inner: inner}
	n.mu.Lock()
	n.conns[near] = struct{}{}
	n.mu.Unlock()
	go n.pump(a2, b2, near, a, b)
	go n.pump(b2, a2, near, b, a)
	return near, far
}

// Close lets what was written arrive and then ends both directions.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
		for _, p := range c.inner {
			_ = p.Close()
		}
	})
	return nil
}

// pump carries bytes from one host to the other; what was taken from the
// sender is held in memory while the link is cut.
func (n *Net) pump(src, dst net.Conn, c *conn, from, to netip.Addr) {
	queue := make(chan []byte, 4096)
	go func() {
		defer close(queue)
		buf := make([]byte, 32<<10)
		for {
			k, err := src.Read(buf)
			n.mu.Lock()
			n.written[from] += int64(k)
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
		if !n.open(from, to, c.closed) {
			return
		}
		if c.mute.Load() {
			continue
		}
		time.Sleep(n.latency)
		if _, err := dst.Write(b); err != nil {
			if err != io.ErrClosedPipe {
				_ = c.Close()
			}
			return
		}
	}
}
