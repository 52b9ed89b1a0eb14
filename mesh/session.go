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
	// dialed tells that this side opened the connection; began is when it became the
	// session with its member.
	dialed bool
	began  time.Time
	// met is closed when the member has greeted.
	met chan struct{}
	// done is closed when the end of the session has been told.
	done chan struct{}
	// id is set before the session is known to anybody else.
	id ID
	// told is the edition that the member was last told. Only the goroutine that
	// writes uses it. It is compared with the newest before each message: news that
	// came up between the greeting and the beginning of the session would else never
	// be told, and the member would believe the old for as long as both live.
	told uint64

	// telling orders what is told: nothing before Up, nothing after Down. A
	// session that ends while its beginning is told would else be taken for
	// one that lasts.
	telling  sync.Mutex
	up, down bool

	mu     sync.Mutex
	member Member
	over   bool
	why    string
	heard  time.Time
	// taking tells that a message is being passed on, which may block.
	taking bool
	// since is when this side began to watch the member, zero while it doesn't; watched
	// tells that the member watches this side.
	since   time.Time
	watched bool
	// quiet tells that the silence of a watched member has been told.
	quiet bool
	queue []M
}

// unused is the handler that the library asks for; the codec hands notifications to the
// session.
type unused struct{}

// Handle does nothing.
func (unused) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// run greets the member, then writes what there is to write until the session
// is over.
func (s *session[M]) run(ctx context.Context) {
	defer close(s.done)
	defer s.mesh.forget(s)
	defer func() { _ = s.conn.Close() }()
	defer s.tellDown()
	h, edition := s.mesh.hello()
	s.told = edition
	if err := s.notify(ctx, methodHello, h); err != nil {
		s.end("greeting failed: " + err.Error())
		return
	}
	t := time.NewTimer(BeatEvery)
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
		if s.ended(now) {
			return
		}
		if heard, late := s.late(now); late {
			s.tell(Event[M]{Kind: Quiet, Member: Member{ID: s.id}, Session: s.number, Heard: heard})
		}
		if err := s.flush(ctx); err != nil {
			s.end("write failed: " + err.Error())
		}
		t.Reset(s.pause())
	}
}

// pause is how long this side may be silent now.
func (s *session[M]) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.member.ID != (ID{}) && s.since.IsZero() && !s.watched:
		return IdleBeatEvery
	case s.quiet || s.since.IsZero():
		return BeatEvery
	}
	return min(BeatEvery, max(time.Until(s.due()), 0)+lateSlack)
}

// lateSlack keeps the look at a late heartbeat behind the time at which it is late.
const lateSlack = time.Millisecond

// due is when a watched member must have shown itself.
func (s *session[M]) due() time.Time {
	if s.since.After(s.heard) {
		return s.since.Add(QuietAfter)
	}
	return s.heard.Add(QuietAfter)
}

// late tells, once for each silence, that a watched member is late, and when it was last
// heard.
func (s *session[M]) late(now time.Time) (heard time.Time, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quiet || s.taking || s.since.IsZero() || s.member.ID == (ID{}) || now.Before(s.due()) {
		return time.Time{}, false
	}
	s.quiet = true
	return s.heard, true
}

// ended tells whether the session is over, for instance by silence.
func (s *session[M]) ended(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over && !s.taking && now.Sub(s.heard) > s.patience() {
		s.over, s.why = true, "silent"
	}
	return s.over
}

// patience is how long the member may have been silent. A member that was not watched
// until now has to show itself only from now on.
func (s *session[M]) patience() time.Duration {
	switch {
	case s.member.ID == (ID{}):
		return greetFor
	case s.since.IsZero():
		return IdleDownAfter
	}
	return min(IdleDownAfter, DownAfter+max(0, s.since.Sub(s.heard)))
}

// watch begins or ends the watch over the member.
func (s *session[M]) watch(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !on:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = time.Now()
		s.poke()
	}
}

func (s *session[M]) tellUp(h hello) {
	s.telling.Lock()
	defer s.telling.Unlock()
	if s.down {
		return
	}
	s.up = true
	event.SessionUp.Log(s.mesh.log, "member", h.From.VM, "id", h.From.ID, "number", h.From.Number)
	s.mesh.deliver(Event[M]{Kind: Up, Member: h.From, Session: s.number})
}

func (s *session[M]) tellDown() {
	s.telling.Lock()
	defer s.telling.Unlock()
	s.down = true
	if !s.up {
		return
	}
	s.mu.Lock()
	member, why, heard := s.member, s.why, s.heard
	s.mu.Unlock()
	event.SessionDown.Log(s.mesh.log, "member", member.VM, "id", member.ID, "why", why, "silent_ms", time.Since(heard).Milliseconds())
	s.mesh.deliver(Event[M]{Kind: Down, Member: member, Session: s.number, Heard: heard, Why: why})
}

// tell passes on what arrived while the session is up.
func (s *session[M]) tell(e Event[M]) {
	s.telling.Lock()
	defer s.telling.Unlock()
	if s.up && !s.down {
		s.mesh.deliver(e)
	}
}

// flush writes what waits, or a heartbeat. Nothing but the greeting is written
// before the member has greeted.
func (s *session[M]) flush(ctx context.Context) error {
	s.mu.Lock()
	if s.member.ID == (ID{}) {
		s.mu.Unlock()
		return nil
	}
	b := batch[M]{Mail: s.queue, Watch: !s.since.IsZero()}
	s.queue = nil
	s.mu.Unlock()
	if me, edition := s.mesh.me(); edition != s.told {
		b.From, s.told = &me, edition
	}
	switch {
	case b.From != nil || len(b.Mail) > 0:
		return s.notify(ctx, methodMail, b)
	case b.Watch:
		return s.notify(ctx, methodWatch, nil)
	}
	return s.notify(ctx, methodBeat, nil)
}

// notify writes a notification, with content if there is any.
func (s *session[M]) notify(ctx context.Context, method string, v any) error {
	if err := s.codec.set(method, v); err != nil {
		return errors.Wrap(err, "mesh: encode")
	}
	return s.conn.Notify(ctx, method, nil)
}

func (s *session[M]) send(mail []M) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue)+len(mail) > ring {
		s.over, s.why = true, "too many messages wait"
	} else {
		s.queue = append(s.queue, mail...)
	}
	s.poke()
}

func (s *session[M]) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// end marks the session as over; its goroutine tells it.
func (s *session[M]) end(why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over {
		s.over, s.why = true, why
	}
	s.poke()
}

// handle takes one notification of the member.
func (s *session[M]) handle(method string) {
	if s.took(true) {
		s.tell(Event[M]{Kind: Back, Member: Member{ID: s.id}, Session: s.number})
	}
	defer s.took(false)
	if err := s.take(method); err != nil {
		event.PeerRefused.Log(s.mesh.log, "member", s.id, "error", err)
		s.end("unreadable message")
	}
}

// took takes note of a message, and tells whether that ends a silence that was told.
func (s *session[M]) took(taking bool) (back bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	back = s.quiet
	s.heard, s.taking, s.quiet = time.Now(), taking, false
	return back
}

func (s *session[M]) take(method string) error {
	switch method {
	case methodBeat:
		s.watchedBy(false)
		return nil
	case methodWatch:
		s.watchedBy(true)
		return nil
	case methodHello:
		var h hello
		if err := s.codec.decode(&h); err != nil {
			return errors.Wrap(err, "mesh: decode")
		}
		s.greet(h)
		return nil
	case methodMail:
		var b batch[M]
		if err := s.codec.decode(&b); err != nil {
			return errors.Wrap(err, "mesh: decode")
		}
		s.watchedBy(b.Watch)
		s.receive(b)
		return nil
	}
	return errors.Errorf("mesh: unknown method %q", method)
}

// greet begins the session. A process that reaches itself (a seed can be its
// own address) ends it.
func (s *session[M]) greet(h hello) {
	if me, _ := s.mesh.me(); s.id != (ID{}) || h.From.ID.Address == me.ID.Address {
		s.end("second greeting, or own address")
		return
	}
	s.id = h.From.ID
	if !s.mesh.begin(s, h) {
		s.end("both sides have connected at once")
		return
	}
	close(s.met)
	s.tellUp(h)
	s.mu.Lock()
	s.member = h.From
	s.mu.Unlock()
	s.poke()
}

// watchedBy takes note whether the member watches this side. It waits for a sign of life
// from when it began to, so that goes out at once.
func (s *session[M]) watchedBy(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.watched {
		s.poke()
	}
	s.watched = on
}

func (s *session[M]) receive(b batch[M]) {
	if b.From != nil {
		s.mu.Lock()
		s.member = *b.From
		s.mu.Unlock()
		s.tell(Event[M]{Kind: Changed, Member: *b.From, Session: s.number})
	}
	if len(b.Mail) > 0 {
		s.tell(Event[M]{Kind: Mail, Member: Member{ID: s.id}, Session: s.number, Mail: b.Mail})
	}
}
