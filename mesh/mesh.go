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

	"snipehub.example/event"
	"snipehub.example/peer"
)

const (
	// HeartbeatInterval is the longest time that a process sends nothing on a session
	// that either side watches.
	HeartbeatInterval = 200 * time.Millisecond
	// SessionTimeout is the silence after which a watched session ends: three lost heartbeats.
	// It bounds how long a suspended process delays others, and must leave time to stop
	// its runs before a retry of the caller can start them again on another process.
	SessionTimeout = 650 * time.Millisecond
	// HeartbeatOverdueAfter is the silence after which the heartbeat of a watched member is
	// reported as overdue.
	HeartbeatOverdueAfter = 250 * time.Millisecond
	// IdleHeartbeatInterval and IdleSessionTimeout correspond to HeartbeatInterval and
	// SessionTimeout for sessions that neither side watches. These are most sessions of a
	// large cell, and their heartbeats were most of the work of a process with a hundred
	// members.
	IdleHeartbeatInterval = 2 * time.Second
	IdleSessionTimeout    = 6500 * time.Millisecond
	// greetingTimeout bounds the greeting on a new connection. On a small VM that
	// connects to a hundred members at once it takes far longer than a heartbeat.
	greetingTimeout = 2 * time.Second
	// simultaneousDialWindow is the time between two sessions with the same member within
	// which both sides are taken to have dialled at once.
	simultaneousDialWindow = time.Second
	// dialTimeout bounds the opening of a connection: some hundred round trips between
	// data centres.
	dialTimeout = 300 * time.Millisecond
	// maxQueuedMessages bounds the messages that wait to be written to one member. A busy
	// process sends some thousand a second.
	maxQueuedMessages = 8192
	// higherAddressDialDelay is how long the process with the higher address waits for
	// the other one to dial, so that the two don't open two connections at once and close
	// each other's. It is some round trips, and no longer, because the other process may
	// be in its redial backoff, and a process that has just started knows the planner
	// only once they are connected.
	higherAddressDialDelay = 60 * time.Millisecond
	// maxPeerDials bounds the connections to peers that are being opened at a time.
	maxPeerDials = 16
	// sizeUnknownPeriod is the time after its start in which a process may not know yet from
	// the store that the deployment is divided into cells, and would dial hundreds of
	// processes for nothing. It opens no more than maxEarlyDials connections at a time, and
	// dials no addresses that it has from members in other data centres alone.
	sizeUnknownPeriod = 400 * time.Millisecond
	maxEarlyDials     = 8
	// shortSession is the time below which a session with a peer counts as a failed dial.
	shortSession = time.Second
	// unneededSessionRetention is how long after its last message a session is closed that
	// this side has opened to a process which is no longer a peer.
	unneededSessionRetention = 5 * time.Second
	// minRedialBackoff and maxRedialBackoff bound the backoff between two dials of an
	// address.
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = time.Second
	// addressRetention is how long an address without a session is dialled after it was
	// last learned.
	addressRetention = 30 * time.Second
)

// Kind is the kind of an event.
type Kind int

// The kinds of event.
const (
	// Up: a session with the member has begun.
	Up Kind = iota + 1
	// Down: the session has ended.
	Down
	// Changed: the member advertises a new state.
	Changed
	// Received: messages of the member have arrived.
	Received
	// Overdue: the heartbeat of a watched member is overdue.
	Overdue
	// Recovered: a member whose heartbeat was overdue has sent something.
	Recovered
)

// Event is what the mesh reports to the process.
type Event[M any] struct {
	Kind Kind
	// Member is the member's state; only its ID is set with Received, Overdue and Recovered.
	Member Member
	// Session numbers the sessions of this process. Messages of a session that has ended
	// must be ignored.
	Session  uint64
	Messages []M
	// LastHeard is when the member was last heard from; set with Overdue and Down.
	LastHeard time.Time
	// Reason is the reason of the end of the session; set with Down.
	Reason string
}

// hello is the greeting, the first notification of both sides.
type hello struct {
	From Member `cbor:"1,keyasint,omitzero"`
	// Known lists addresses at which there are or were members: all, or those of the sender's
	// cell.
	Known []netip.AddrPort `cbor:"2,keyasint,omitzero"`
}

// batch is the content of a notification with messages. From is set if the sender's
// advertised state has changed, Watch if the sender watches the receiver.
type batch[M any] struct {
	From     *Member `cbor:"1,keyasint,omitzero"`
	Messages []M     `cbor:"2,keyasint,omitzero"`
	Watch    bool    `cbor:"3,keyasint,omitzero"`
}

// Mesh holds the sessions of one process. It is safe for concurrent use.
type Mesh[M any] struct {
	log      *slog.Logger
	ln       net.Listener
	dialPeer peer.DialFunc
	deliver  func(Event[M])

	mu   sync.Mutex
	self Member
	// revision counts the changes of self, the state that this process advertises.
	revision uint64
	sessions map[netip.AddrPort]*session[M]
	// watch holds the members whose silence must be noticed soon.
	watch     map[ID]struct{}
	addresses map[netip.AddrPort]*addressState
	// peers maps whom to keep sessions with to their DialDelay; it is nil for all addresses
	// that become known.
	peers       map[netip.AddrPort]time.Duration
	lastSession uint64
	createdAt   time.Time
	// dialWake wakes dialLoop when an address was learned or a session has ended.
	// jitter draws a random part of the pause before a redial, below the duration given.
	jitter   func(time.Duration) time.Duration
	dialWake chan struct{}
	wg       sync.WaitGroup
}

// New returns a Mesh that accepts connections on the listener once Serve is called. It
// calls deliver with each event; while deliver blocks, the sender on the other side is
// slowed down.
func New[M any](log *slog.Logger, self Member, ln net.Listener, dialPeer peer.DialFunc, deliver func(Event[M])) *Mesh[M] {
	return &Mesh[M]{
		log:       log,
		ln:        ln,
		dialPeer:  dialPeer,
		deliver:   deliver,
		self:      self,
		sessions:  make(map[netip.AddrPort]*session[M]),
		watch:     make(map[ID]struct{}),
		addresses: make(map[netip.AddrPort]*addressState),
		jitter:    rand.N[time.Duration],
		createdAt: time.Now(),
		dialWake:  make(chan struct{}, 1),
	}
}

// Advertise sets the state that this process advertises; the members receive it with the next
// message.
func (m *Mesh[M]) Advertise(self Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self = self
	m.revision++
	for _, s := range m.sessions {
		s.wakeWriter()
	}
}

// Send queues messages on the session with a member. Messages to a member without a
// session are dropped: Down has been delivered for that session, or will be.
func (m *Mesh[M]) Send(to ID, messages ...M) {
	m.mu.Lock()
	s := m.sessions[to.Address]
	m.mu.Unlock()
	if s != nil && s.id == to {
		s.send(messages)
	}
}

// Watch starts or stops watching a member: its silence ends the session after
// SessionTimeout, counted from now at the earliest, instead of IdleSessionTimeout. The
// other side need not watch this one for that.
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

// Serve accepts and dials connections until ctx ends.
func (m *Mesh[M]) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer m.wg.Wait()
	defer cancel()
	context.AfterFunc(ctx, func() { _ = m.ln.Close() })
	m.wg.Go(func() { m.dialLoop(ctx) })
	for {
		c, err := peer.Accept(ctx, m.ln, func(err error) { event.AcceptFailed.Log(m.log, "listener", "peers", "error", err) })
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "mesh: accept")
		}
		m.startSession(ctx, c, false)
	}
}

// startSession starts a session on a new connection, on which both sides send their
// greeting.
func (m *Mesh[M]) startSession(ctx context.Context, c net.Conn, dialed bool) *session[M] {
	m.mu.Lock()
	m.lastSession++
	s := &session[M]{
		mesh:      m,
		number:    m.lastSession,
		dialed:    dialed,
		lastHeard: time.Now(),
		usedAt:    time.Now(),
		wake:      make(chan struct{}, 1),
		greeted:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	m.mu.Unlock()
	s.codec.onNotification, s.codec.onPiece = s.handle, s.handlePiece
	stream := jsonrpc2.NewBufferedStream(peer.WithWriteTimeout(c, SessionTimeout), &s.codec)
	s.conn = jsonrpc2.NewConn(ctx, stream, unused{}, jsonrpc2.SetLogger(discardLogger))
	m.wg.Go(func() { s.run(ctx) })
	return s
}

// discardLogger discards what the library logs itself: only that a connection has ended,
// which the end of the session reports as well.
var discardLogger = log.New(io.Discard, "", 0)

// registerSession makes s the session with its member, and reports whether it did. It
// ends an older session with the same address: a process that connects again has lost it,
// unless both sides have dialled at once.
func (m *Mesh[M]) registerSession(s *session[M], h hello) bool {
	m.mu.Lock()
	now := time.Now()
	a := h.From.ID.Address
	old := m.sessions[a]
	if old != nil && m.losesSimultaneousDial(now, old, s, h.From.ID) {
		m.mu.Unlock()
		return false
	}
	s.registeredAt = now
	m.sessions[a] = s
	_, watch := m.watch[h.From.ID]
	m.addAddress(now, a)
	if known := m.addresses[a]; known != nil && m.peers == nil {
		known.backoff = minRedialBackoff
	}
	if h.From.DataCenter == m.self.DataCenter || h.From.Layout == 0 {
		m.addKnown(now, h)
	}
	m.mu.Unlock()
	if old != nil {
		old.end("replaced by a new connection")
		<-old.done
	}
	s.watch(watch)
	return true
}

// losesSimultaneousDial reports whether a new session gives way to one that was
// registered just before, because both sides have dialled at once. Both sides keep the
// connection that the lower address has opened. If each kept the one that it saw last,
// both could be closed, and so could the next two.
func (m *Mesh[M]) losesSimultaneousDial(now time.Time, old, s *session[M], id ID) bool {
	if old.id != id || old.dialed == s.dialed || now.Sub(old.registeredAt) > simultaneousDialWindow {
		return false
	}
	lower := m.self.ID.Address.Compare(id.Address) < 0
	return old.dialed == lower
}

// removeSession removes a session that has ended.
func (m *Mesh[M]) removeSession(s *session[M]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := s.id.Address
	if m.sessions[a] != s {
		return
	}
	delete(m.sessions, a)
	if known := m.addresses[a]; known != nil {
		now := time.Now()
		known.lastLearned = now
		known.nextDial = now.Add(m.dialDelay(a))
		if m.peers != nil && now.Sub(s.registeredAt) < shortSession {
			// The other side may have refused it.
			known.nextDial = now.Add(known.backoff/2 + m.jitter(known.backoff))
			known.backoff = min(2*known.backoff, maxRedialBackoff)
		} else {
			known.backoff = minRedialBackoff
		}
	}
	m.wakeDialer()
}

// hello returns the greeting, and the revision of the state in it.
func (m *Mesh[M]) hello() (h hello, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.From = m.self
	for a := range m.addresses {
		h.Known = append(h.Known, a)
	}
	slices.SortFunc(h.Known, netip.AddrPort.Compare)
	return h, m.revision
}

// localMember returns the state that this process advertises, and its revision.
func (m *Mesh[M]) localMember() (Member, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self, m.revision
}
