package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"snipehub.example/event"
)

// session is one connection with one member.
type session[M any] struct {
	mesh   *Mesh[M]
	number uint64
	conn   *jsonrpc2.Conn
	codec  codec
	wake   chan struct{}
	// dialed is set if this side opened the connection; registeredAt is when it became
	// the session with its member.
	dialed       bool
	registeredAt time.Time
	// greeted is closed when the member's greeting has been accepted.
	greeted chan struct{}
	// done is closed when the session has ended and Down has been delivered.
	done chan struct{}
	// id is set before the session is visible to other goroutines.
	id ID
	// sentRevision is the revision of the advertised state that was last sent to the
	// member. Only the goroutine that writes uses it. It is compared with the current
	// revision before each write: otherwise a change between the greeting and the
	// registration of the session would never be sent, and the member would use the old
	// state for as long as both live.
	sentRevision uint64

	// deliverMu orders the delivery of events: none before Up, none after Down. Without
	// it, a session that ends while Up is being delivered would be taken for one that
	// lasts.
	deliverMu sync.Mutex
	up, down  bool

	mu sync.Mutex
	// member is the member's state. It is zero until the greeting has been accepted and Up
	// has been delivered.
	member    Member
	ended     bool
	reason    string
	lastHeard time.Time
	// usedAt is when the session began or a message was last sent or received on it.
	usedAt time.Time
	// handling is set while a notification is being handled, since delivering it may
	// block.
	handling bool
	// watchingSince is when this side began to watch the member, zero while it doesn't;
	// watchedByMember is set while the member watches this side.
	watchingSince   time.Time
	watchedByMember bool
	// overdueReported is set if Overdue has been delivered for the current silence of a
	// watched member.
	overdueReported bool
	queue           []M
}

// unused is the handler that the library requires; the codec passes notifications
// directly to the session.
type unused struct{}

// Handle does nothing.
func (unused) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// run sends the greeting, then writes queued messages and heartbeats until the session
// ends.
func (s *session[M]) run(ctx context.Context) {
	defer close(s.done)
	defer s.mesh.removeSession(s)
	defer func() { _ = s.conn.Close() }()
	defer s.deliverDown()
	h, revision := s.mesh.hello()
	s.sentRevision = revision
	if err := s.notify(ctx, methodHello, h); err != nil {
		s.end("greeting failed: " + err.Error())
		return
	}
	t := time.NewTimer(HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.end("this process stops")
		case <-s.conn.DisconnectNotify():
			s.end("connection closed")
		case <-s.wake:
		case <-t.C:
		}
		now := time.Now()
		if s.checkEnded(now) {
			return
		}
		if heard, overdue := s.overdue(now); overdue {
			s.deliver(Event[M]{Kind: Overdue, Member: Member{ID: s.id}, Session: s.number, LastHeard: heard})
		}
		if err := s.flush(ctx); err != nil {
			s.end("write failed: " + err.Error())
		}
		t.Reset(s.maxWait())
	}
}

// maxWait returns how long run may wait before it writes a heartbeat or checks for an
// overdue one.
func (s *session[M]) maxWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.member.ID != (ID{}) && s.watchingSince.IsZero() && !s.watchedByMember:
		return IdleHeartbeatInterval
	case s.overdueReported || s.watchingSince.IsZero():
		return HeartbeatInterval
	}
	return min(HeartbeatInterval, max(time.Until(s.heartbeatDeadline()), 0)+overdueCheckDelay)
}

// overdueCheckDelay puts the check for an overdue heartbeat just after its deadline.
const overdueCheckDelay = time.Millisecond

// heartbeatDeadline returns when the heartbeat of a watched member becomes overdue.
func (s *session[M]) heartbeatDeadline() time.Time {
	if s.watchingSince.After(s.lastHeard) {
		return s.watchingSince.Add(HeartbeatOverdueAfter)
	}
	return s.lastHeard.Add(HeartbeatOverdueAfter)
}

// overdue reports, once for each silence, whether the heartbeat of a watched member is
// overdue, and when the member was last heard from.
func (s *session[M]) overdue(now time.Time) (heard time.Time, overdue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overdueReported || s.handling || s.watchingSince.IsZero() || s.member.ID == (ID{}) || now.Before(s.heartbeatDeadline()) {
		return time.Time{}, false
	}
	s.overdueReported = true
	return s.lastHeard, true
}

// checkEnded reports whether the session has ended, and ends it if the member has been
// silent for too long.
func (s *session[M]) checkEnded(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended && !s.handling && now.Sub(s.lastHeard) > s.silenceTimeout() {
		s.ended, s.reason = true, "silent"
	}
	return s.ended
}

// silenceTimeout returns the silence after which the session ends. If this side has not
// heard from the member since it began to watch it, SessionTimeout counts from that time.
func (s *session[M]) silenceTimeout() time.Duration {
	switch {
	case s.member.ID == (ID{}):
		return greetingTimeout
	case s.watchingSince.IsZero():
		return IdleSessionTimeout
	}
	return min(IdleSessionTimeout, SessionTimeout+max(0, s.watchingSince.Sub(s.lastHeard)))
}

// watch starts or stops watching the member.
func (s *session[M]) watch(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !on:
		s.watchingSince = time.Time{}
	case s.watchingSince.IsZero():
		s.watchingSince = time.Now()
		s.wakeWriter()
	}
}

func (s *session[M]) deliverUp(h hello) {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	if s.down {
		return
	}
	s.up = true
	event.SessionUp.Log(s.mesh.log, "member", h.From.VM, "id", h.From.ID, "number", h.From.Number)
	s.mesh.deliver(Event[M]{Kind: Up, Member: h.From, Session: s.number})
}

func (s *session[M]) deliverDown() {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	s.down = true
	if !s.up {
		return
	}
	s.mu.Lock()
	member, reason, heard := s.member, s.reason, s.lastHeard
	s.mu.Unlock()
	event.SessionDown.Log(s.mesh.log, "member", member.VM, "id", member.ID, "why", reason, "silent_ms", time.Since(heard).Milliseconds())
	s.mesh.deliver(Event[M]{Kind: Down, Member: member, Session: s.number, LastHeard: heard, Reason: reason})
}

// deliver delivers an event if the session is up.
func (s *session[M]) deliver(e Event[M]) {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	if s.up && !s.down {
		s.mesh.deliver(e)
	}
}

// flush writes the queued messages, or a heartbeat if there is nothing to send. Before
// the member's greeting has been accepted it writes nothing.
func (s *session[M]) flush(ctx context.Context) error {
	s.mu.Lock()
	if s.member.ID == (ID{}) {
		s.mu.Unlock()
		return nil
	}
	b := batch[M]{Messages: s.queue, Watch: !s.watchingSince.IsZero()}
	s.queue = nil
	s.mu.Unlock()
	if self, revision := s.mesh.localMember(); revision != s.sentRevision {
		b.From, s.sentRevision = &self, revision
	}
	switch {
	case b.From != nil || len(b.Messages) > 0:
		return s.notify(ctx, methodMessages, b)
	case b.Watch:
		return s.notify(ctx, methodWatch, nil)
	}
	return s.notify(ctx, methodHeartbeat, nil)
}

// notify writes a notification, with content unless v is nil.
func (s *session[M]) notify(ctx context.Context, method string, v any) error {
	if err := s.codec.setNext(method, v); err != nil {
		return errors.Wrap(err, "mesh: encode")
	}
	return s.conn.Notify(ctx, method, nil)
}

func (s *session[M]) send(messages []M) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue)+len(messages) > maxQueuedMessages {
		s.ended, s.reason = true, "too many messages wait"
	} else {
		s.queue = append(s.queue, messages...)
	}
	s.usedAt = time.Now()
	s.wakeWriter()
}

// unused reports whether neither side has had anything to do with the other for a while.
func (s *session[M]) unused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchingSince.IsZero() && !s.watchedByMember && now.Sub(s.usedAt) > unneededSessionRetention
}

func (s *session[M]) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// end marks the session as ended and wakes the goroutine that delivers Down.
func (s *session[M]) end(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended, s.reason = true, reason
	}
	s.wakeWriter()
}

// handlePiece handles the arrival of a piece of a notification, which shows that the member
// lives: the rest may take seconds, in which it can send nothing else. A greeting is small, so
// whoever takes long for one is not waited for.
func (s *session[M]) handlePiece() {
	if s.id != (ID{}) {
		s.heard(false)
	}
}

// handle handles one notification of the member.
func (s *session[M]) handle(method string) {
	s.heard(true)
	defer s.noteMessage(false)
	if err := s.dispatch(method); err != nil {
		event.PeerRefused.Log(s.mesh.log, "member", s.id, "error", err)
		s.end("unreadable message")
	}
}

// heard records that the member was heard from, and delivers Recovered if that ends a silence
// for which Overdue was delivered.
func (s *session[M]) heard(handling bool) {
	if s.noteMessage(handling) {
		s.deliver(Event[M]{Kind: Recovered, Member: Member{ID: s.id}, Session: s.number})
	}
}

// noteMessage records that the member was heard from and whether its notification is
// still being handled. It reports whether that ends a silence for which Overdue was
// delivered.
func (s *session[M]) noteMessage(handling bool) (recovered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recovered = s.overdueReported
	s.lastHeard, s.handling, s.overdueReported = time.Now(), handling, false
	return recovered
}

func (s *session[M]) dispatch(method string) error {
	switch method {
	case methodHeartbeat:
		s.setWatchedByMember(false)
		return nil
	case methodWatch:
		s.setWatchedByMember(true)
		return nil
	case methodHello:
		var h hello
		if err := s.codec.decode(&h); err != nil {
			return errors.Wrap(err, "mesh: decode")
		}
		s.handleHello(h)
		return nil
	case methodMessages:
		var b batch[M]
		if err := s.codec.decode(&b); err != nil {
			return errors.Wrap(err, "mesh: decode")
		}
		s.setWatchedByMember(b.Watch)
		s.handleBatch(b)
		return nil
	}
	return errors.Errorf("mesh: unknown method %q", method)
}

// handleHello begins the session. It ends it instead if this process has dialled itself
// (a seed can be its own address) or the member has greeted before.
func (s *session[M]) handleHello(h hello) {
	if self, _ := s.mesh.localMember(); s.id != (ID{}) || h.From.ID.Address == self.ID.Address {
		s.end("second greeting, or own address")
		return
	}
	s.id = h.From.ID
	if !s.mesh.registerSession(s, h) {
		s.end("both sides have connected at once")
		return
	}
	close(s.greeted)
	s.deliverUp(h)
	s.mu.Lock()
	s.member = h.From
	s.mu.Unlock()
	s.wakeWriter()
}

// setWatchedByMember records whether the member watches this side. When the member begins
// to, it expects a heartbeat from then on, so one is sent at once.
func (s *session[M]) setWatchedByMember(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.watchedByMember {
		s.wakeWriter()
	}
	s.watchedByMember = on
}

func (s *session[M]) handleBatch(b batch[M]) {
	if b.From != nil {
		s.mu.Lock()
		s.member = *b.From
		s.mu.Unlock()
		s.deliver(Event[M]{Kind: Changed, Member: *b.From, Session: s.number})
	}
	if len(b.Messages) > 0 {
		s.mu.Lock()
		s.usedAt = time.Now()
		s.mu.Unlock()
		s.deliver(Event[M]{Kind: Received, Member: Member{ID: s.id}, Session: s.number, Messages: b.Messages})
	}
}
