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
	// BeatEvery is the longest silence of a process on a session that either side
	// watches.
	BeatEvery = 200 * time.Millisecond
	// DownAfter is the silence after which a watched session is given up: three lost
	// heartbeats. It bounds how long a frozen process holds up others, and must
	// leave time to stop its runs before a caller's repetition can start them
	// again somewhere else.
	DownAfter = 650 * time.Millisecond
	// QuietAfter is the silence of a watched member that is told: a heartbeat is late.
	QuietAfter = 250 * time.Millisecond
	// IdleBeatEvery and IdleDownAfter are the same for a session that nobody watches.
	// Most sessions of a large cell are such, and their heartbeats were most of what a
	// process with a hundred members did.
	IdleBeatEvery = 2 * time.Second
	IdleDownAfter = 6500 * time.Millisecond
	// greetFor bounds the greeting on a new connection. On a small VM that meets a
	// hundred members at once it takes far longer than a heartbeat.
	greetFor = 2 * time.Second
	// crossFor is how close together two sessions with a member begin if both sides
	// have dialled at once.
	crossFor = time.Second
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
	// Quiet: a watched member is late with its heartbeat.
	Quiet
	// Back: a member that was quiet has shown itself.
	Back
)

// Event is what the mesh tells its owner.
type Event[M any] struct {
	Kind   Kind
	Member Member
	// Session numbers the sessions of this process. Messages of a session that
	// is over must be ignored.
	Session uint64
	Mail    []M
	// Heard is, with Quiet and Down, when the member was last heard.
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
// changed, Watch while the sender watches the receiver.
type batch[M any] struct {
	From  *Member `cbor:"1,keyasint,omitzero"`
	Mail  []M     `cbor:"2,keyasint,omitzero"`
	Watch bool    `cbor:"3,keyasint,omitzero"`
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
	// watch are the members whose silence must be noticed soon.
	watch map[ID]struct{}
	known map[netip.AddrPort]*address
	last  uint64
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
		watch:    make(map[ID]struct{}),
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

// Watch begins or ends the watch over a member: its silence is noticed after DownAfter,
// counted from now at the earliest, in place of IdleDownAfter. The other side needs no
// watch of its own for that.
func (m *Mesh[M]) Watch(id ID, on bool) {
	m.mu.Lock()
	if on {
		m.watch[id] = struct{}{}
	} else {
		delete(m.watch, id)
	}
	s := m.sessions[id.Address]
	m.mu.Unlock()
	if s != nil && s.id == id {
		s.watch(on)
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
		m.connect(ctx, c, false)
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

// dial tries an address until a session has begun there or the try has failed. Another try
// before that would replace the connection that is about to become a session.
func (m *Mesh[M]) dial(ctx context.Context, a netip.AddrPort) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := m.open(bounded, "tcp", a.String())
	if err == nil {
		s := m.connect(ctx, c, true)
		select {
		case <-s.met:
		case <-s.done:
		}
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
func (m *Mesh[M]) connect(ctx context.Context, c net.Conn, dialed bool) *session[M] {
	m.mu.Lock()
	m.last++
	s := &session[M]{
		mesh:   m,
		number: m.last,
		dialed: dialed,
		heard:  time.Now(),
		wake:   make(chan struct{}, 1),
		met:    make(chan struct{}),
		done:   make(chan struct{}),
	}
	m.mu.Unlock()
	s.codec.take = s.handle
	stream := jsonrpc2.NewBufferedStream(peer.Patient(c, DownAfter), &s.codec)
	s.conn = jsonrpc2.NewConn(ctx, stream, unused{}, jsonrpc2.SetLogger(quiet))
	m.wg.Go(func() { s.run(ctx) })
	return s
}

// quiet takes what the library logs by itself: that a connection has ended, which
// the end of the session tells as well.
var quiet = log.New(io.Discard, "", 0)

// begin makes a session the one with its member, and tells whether it is. An older session
// with the same address is over: whoever connects anew has none in its own eyes, unless
// both have connected at once.
func (m *Mesh[M]) begin(s *session[M], h hello) bool {
	m.mu.Lock()
	now := time.Now()
	a := h.From.ID.Address
	old := m.sessions[a]
	if old != nil && m.crossed(now, old, s, h.From.ID) {
		m.mu.Unlock()
		return false
	}
	s.began = now
	m.sessions[a] = s
	_, watch := m.watch[h.From.ID]
	m.learn(now, a)
	if k := m.known[a]; k != nil {
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
	s.watch(watch)
	return true
}

// crossed tells whether a new session gives way to one that began just before: both sides
// have dialled at once, and both keep the connection that the lower address has opened.
// Would each keep the one that it saw last, both could be closed, and the next two too.
func (m *Mesh[M]) crossed(now time.Time, old, s *session[M], id ID) bool {
	if old.id != id || old.dialed == s.dialed || now.Sub(old.began) > crossFor {
		return false
	}
	lower := m.self.ID.Address.Compare(id.Address) < 0
	return old.dialed == lower
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
