//go:build !race || matrix

package matrix_test

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

// memNet is a network in memory for tests on a fake clock. Its hosts are IP
// numbers. A link between two hosts can be cut in one direction (what is sent
// is held back, as by TCP during a partition), a host can be frozen (all its
// links are held back), and a host can be killed (its connections are reset
// and new ones are refused).
type memNet struct {
	latency time.Duration

	mu        sync.Mutex
	changed   chan struct{}
	listeners map[string]*memListener
	cut       map[[2]netip.Addr]bool
	frozen    map[netip.Addr]bool
	conns     map[*memConn]struct{}
}

func newMemNet(latency time.Duration) *memNet {
	return &memNet{
		latency:   latency,
		changed:   make(chan struct{}),
		listeners: make(map[string]*memListener),
		cut:       make(map[[2]netip.Addr]bool),
		frozen:    make(map[netip.Addr]bool),
		conns:     make(map[*memConn]struct{}),
	}
}

// memHost is the network as one host sees it.
type memHost struct {
	net  *memNet
	ip   netip.Addr
	dead atomic.Bool
}

func (n *memNet) host(ip string) *memHost {
	return &memHost{net: n, ip: netip.MustParseAddr(ip)}
}

// update changes the state of the links and wakes what waits for them.
func (n *memNet) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *memNet) setCut(from, to netip.Addr, on bool) {
	n.update(func() { n.cut[[2]netip.Addr{from, to}] = on })
}

func (n *memNet) setFrozen(h netip.Addr, on bool) {
	n.update(func() { n.frozen[h] = on })
}

// reset closes all connections of a host and its listeners.
func (n *memNet) reset(h netip.Addr) {
	var gone []*memConn
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
func (n *memNet) open(from, to netip.Addr, stop <-chan struct{}) bool {
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

type memListener struct {
	net    *memNet
	addr   netip.AddrPort
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen makes a listener of the host.
func (h *memHost) Listen(_, addr string) (net.Listener, error) {
	l := &memListener{
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

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.listeners[l.addr.String()] == l {
		delete(l.net.listeners, l.addr.String())
	}
	l.shut()
	return nil
}

func (l *memListener) shut() { l.once.Do(func() { close(l.closed) }) }

func (l *memListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// DialContext connects the host to a listener.
func (h *memHost) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
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

// memConn is one end of a connection.
type memConn struct {
	net.Conn
	net      *memNet
	from, to netip.Addr
	closed   chan struct{}
	once     *sync.Once
	inner    []net.Conn
}

// pair joins two pipes by two pumps that hold data back while the link is cut.
func (n *memNet) pair(a, b netip.Addr) (*memConn, *memConn) {
	a1, a2 := net.Pipe()
	b1, b2 := net.Pipe()
	closed := make(chan struct{})
	once := new(sync.Once)
	inner := []net.Conn{a1, a2, b1, b2}
	near := &memConn{Conn: a1, net: n, from: a, to: b, closed: closed, once: once, inner: inner}
	far := &memConn{Conn: b1, net: n, from: b, to: a, closed: closed, once: once, inner: inner}
	n.mu.Lock()
	n.conns[near] = struct{}{}
	n.mu.Unlock()
	go n.pump(a2, b2, near, a, b)
	go n.pump(b2, a2, near, b, a)
	return near, far
}

// Close lets what was written arrive and then ends both directions.
func (c *memConn) Close() error {
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
func (n *memNet) pump(src, dst net.Conn, c *memConn, from, to netip.Addr) {
	queue := make(chan []byte, 4096)
	go func() {
		defer close(queue)
		buf := make([]byte, 32<<10)
		for {
			k, err := src.Read(buf)
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
		time.Sleep(n.latency)
		if _, err := dst.Write(b); err != nil {
			if err != io.ErrClosedPipe {
				_ = c.Close()
			}
			return
		}
	}
}
