package mesh

import (
	"context"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"snipehub.example/peer"
)

const (
	// BeatEvery is the longest silence of a process on a session.
	BeatEvery = 200 * time.Millisecond
	// DownAfter is the silence after which a session is given up: three lost
	// heartbeats. It bounds how long a frozen process holds up others, and must
	// leave time to stop its runs before a caller's repetition can start them
	// again somewhere else.
	DownAfter = 650 * time.Millisecond
	// dialTimeout bounds the opening of a connection: some hundred round trips
	// between data centres.
	dialTimeout = 300 * time.Millisecond
	// ring bounds the messages that wait to be written to one member. A busy
	// process sends some thousand a second.
	ring = 8192
	// lowFirst is how long the process with the higher address leaves it to
	// the other one to connect, so that two don't open two connections at once
	// and close each other's. The other one may be in a pause between two
	// attempts, and a process that has just started knows the planner only when
	// it has met it, so it is short: some round trips.
	lowFirst = 60 * time.Millisecond
	// redialLeast and redialMost bound the pause between two attempts.
	redialLeast = 100 * time.Millisecond
	redialMost  = time.Second
	// forgetAfter is how long an address is tried that nobody names any more.
	forgetAfter = 30 * time.Second
)

// Kind tells what an event is about.
type Kind int

// The kinds of event.
const (
	// Up: a session with the member has begun.
	Up Kind = iota + 1
	// Down: the session is over.
	Down
	// Changed: the member says something new of itself.
	Changed
	// Mail: messages of the member have arrived.
	Mail
)

// Event is what the mesh tells its owner.
type Event[M any] struct {
	Kind   Kind
	Member Member
	// Session numbers the sessions of this process. Messages of a session that
	// is over must be ignored.
	Session uint64
	Mail    []M
	// Heard is, with Down, when the member was last heard.
	Heard time.Time
	// Why is, with Down, the cause.
	Why string
}

// hello is what both sides say first.
type hello struct {
	From Member `cbor:"1,keyasint,omitzero"`
	// Known are addresses at which there are or were members.
	Known []netip.AddrPort `cbor:"2,keyasint,omitzero"`
}

// batch is what a notification carries. From is set when something of it has
// changed.
type batch[M any] struct {
	From *Member `cbor:"1,keyasint,omitzero"`
	Mail []M     `cbor:"2,keyasint,omitzero"`
}

// Mesh is the sessions of one process. It may be used from any goroutine.
type Mesh[M any] struct {
	log     *slog.Logger
	ln      net.Listener
	open    peer.Dial
	deliver func(Event[M])

	mu   sync.Mutex
	self Member
	// edition counts what this process has said of itself.
	edition  uint64
	sessions map[netip.AddrPort]*session[M]
	known    map[netip.AddrPort]*address
	last     uint64
	// changed tells that an address was learned or a session has ended.
	changed chan struct{}
	wg      sync.WaitGroup
}

// address is a place to look for a member at.
type address struct {
	// named is when it was last named; due when it may be tried again.
	named, due time.Time
	pause      time.Duration
	dialing    bool
}

// New makes a mesh that serves on the listener. It tells deliver what happens;
// deliver may block, which slows down the sender on the other side.
func New[M any](log *slog.Logger, self Member, ln net.Listener, open peer.Dial, deliver func(Event[M])) *Mesh[M] {
	return &Mesh[M]{
		log:      log,
		ln:       ln,
		open:     open,
		deliver:  deliver,
		self:     self,
		sessions: make(map[netip.AddrPort]*session[M]),
		known:    make(map[netip.AddrPort]*address),
		changed:  make(chan struct{}, 1),
	}
}

// Say sets what this process says of itself; the members learn it with the next
// message.
func (m *Mesh[M]) Say(self Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self = self
	m.edition++
	for _, s := range m.sessions {
		s.poke()
	}
}

// Learn names addresses at which there may be members.
func (m *Mesh[M]) Learn(addrs ...netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, a := range addrs {
		m.learn(now, a)
	}
}

func (m *Mesh[M]) learn(now time.Time, a netip.AddrPort) {
	if a == m.self.ID.Address || !a.IsValid() {
		return
	}
	if k, ok := m.known[a]; ok {
		k.named = now
		return
	}
	k := &address{named: now, due: now, pause: redialLeast}
	if m.self.ID.Address.Compare(a) > 0 {
		k.due = now.Add(lowFirst)
	}
	m.known[a] = k
	m.seekAgain()
}

// Send puts messages on the session with a member. Messages to a member without
// a session are dropped: its end has been told, or will be.
func (m *Mesh[M]) Send(to ID, mail ...M) {
	m.mu.Lock()
	s := m.sessions[to.Address]
	m.mu.Unlock()
	if s != nil && s.id == to {
		s.send(mail)
	}
}

// Serve accepts and opens connections until ctx ends.
func (m *Mesh[M]) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer m.wg.Wait()
	defer cancel()
	context.AfterFunc(ctx, func() { _ = m.ln.Close() })
	m.wg.Go(func() { m.seek(ctx) })
	for {
		c, err := m.ln.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "mesh: accept")
		}
		m.connect(ctx, c)
	}
}

// seekMost is the longest pause between two looks at which addresses are due.
const seekMost = time.Second

// seek tries the addresses without a session. The address with the lower number
// dials at once, the other one only if nobody came.
func (m *Mesh[M]) seek(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
		case <-t.C:
		}
		out, next := m.due(time.Now())
		for _, a := range out {
			m.wg.Go(func() { m.dial(ctx, a) })
		}
		t.Reset(next)
	}
}

// due returns the addresses to try now, and when the next one is due.
func (m *Mesh[M]) due(now time.Time) (out []netip.AddrPort, next time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next = seekMost
	for a, k := range m.known {
		switch {
		case k.dialing || m.sessions[a] != nil:
		case now.Before(k.due):
			next = min(next, k.due.Sub(now))
		case now.Sub(k.named) > forgetAfter:
			delete(m.known, a)
		default:
			k.dialing = true
			out = append(out, a)
		}
	}
	return out, next
}

// seekAgain has addresses that have become due noticed.
func (m *Mesh[M]) seekAgain() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Mesh[M]) dial(ctx context.Context, a netip.AddrPort) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := m.open(bounded, "tcp", a.String())
	if err == nil {
		m.connect(ctx, c)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[a]; k != nil {
		k.dialing = false
		k.due = time.Now().Add(k.pause/2 + rand.N(k.pause))
		k.pause = min(2*k.pause, redialMost)
	}
	m.seekAgain()
}

// connect begins a session on a new connection, on which both sides greet.
func (m *Mesh[M]) connect(ctx context.Context, c net.Conn) {
	m.mu.Lock()
	m.last++
	s := &session[M]{mesh: m, number: m.last, heard: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	m.mu.Unlock()
	stream := jsonrpc2.NewBufferedStream(peer.Patient(c, DownAfter), &s.codec)
	s.conn = jsonrpc2.NewConn(ctx, stream, handler(s.handle), jsonrpc2.SetLogger(quiet))
	m.wg.Go(func() { s.run(ctx) })
}

// quiet takes what the library logs by itself: that a connection has ended, which
// the end of the session tells as well.
var quiet = log.New(io.Discard, "", 0)

// begin makes a session the one with its member. An older session with the same
// address is over: whoever connects anew has none in its own eyes.
func (m *Mesh[M]) begin(s *session[M], h hello) {
	m.mu.Lock()
	now := time.Now()
	old := m.sessions[h.From.ID.Address]
	m.sessions[h.From.ID.Address] = s
	m.learn(now, h.From.ID.Address)
	if k := m.known[h.From.ID.Address]; k != nil {
		k.pause = redialLeast
	}
	for _, a := range h.Known {
		m.learn(now, a)
	}
	m.mu.Unlock()
	if old != nil {
		old.end("replaced by a new connection")
		<-old.done
	}
}

// forget removes a session that is over.
func (m *Mesh[M]) forget(s *session[M]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := s.id.Address
	if m.sessions[a] != s {
		return
	}
	delete(m.sessions, a)
	if k := m.known[a]; k != nil {
		k.named = time.Now()
		k.due = k.named
		if m.self.ID.Address.Compare(a) > 0 {
			k.due = k.named.Add(lowFirst)
		}
	}
	m.seekAgain()
}

// hello returns the greeting, and the edition of what it says of this process.
func (m *Mesh[M]) hello() (h hello, edition uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.From = m.self
	for a := range m.known {
		h.Known = append(h.Known, a)
	}
	slices.SortFunc(h.Known, netip.AddrPort.Compare)
	return h, m.edition
}

// me returns what this process says of itself, and its edition.
func (m *Mesh[M]) me() (Member, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self, m.edition
}
