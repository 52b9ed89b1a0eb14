package hub

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/event"
	"snipehub.example/job"
	"snipehub.example/meter"
	"snipehub.example/peer"
	"snipehub.example/refusal"
	"snipehub.example/roster"
	"snipehub.example/ticket"
)

// caller makes calls to peers.
type caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// members is what forwarding needs of the roster.
type members interface {
	Find(now time.Time, o ticket.Owner) (roster.Known, bool)
	All(now time.Time) []roster.Known
}

const (
	// unreachableRetryAfter is when a caller should ask again about an
	// identity whose owner does not answer.
	unreachableRetryAfter = time.Second
	// unknownRetryAfter is the same for an owner of which nobody here has
	// heard: it has just started, or this process has.
	unknownRetryAfter = 100 * time.Millisecond
	// askTimeout bounds the questions to peers on the way.
	askTimeout = 300 * time.Millisecond
	// watchEvery is how often the owners are looked at whose answers are
	// awaited.
	watchEvery = 250 * time.Millisecond
)

// forwarder brings a caller's request to the owner of its identity. It never
// starts anything itself, and neither does a peer that it calls by mistake:
// peers answer forwarded calls from their own tickets only, so a call can't go
// in circles.
type forwarder struct {
	log         *slog.Logger
	meter       *meter.Meter
	self        ticket.Owner
	address     netip.AddrPort
	seeds       []netip.AddrPort
	now         func() time.Time
	net         caller
	members     members
	closedStore *job.ClosedStore
	// stopping tells that this process is stopping.
	stopping func() bool

	// asking counts the questions to peers whose answers may no longer matter.
	asking sync.WaitGroup

	mu      sync.Mutex
	waiting map[*awaited]struct{}
	unheld  map[ticket.Owner]time.Time
}

// awaited is a call to an owner that has not been answered.
type awaited struct {
	owner  ticket.Owner
	cancel context.CancelCauseFunc
}

// question is a caller's request about an identity, as it goes to the owner.
type question struct {
	caller string
	id     ticket.JobID
	// sum is the digest of a submission, 0 where there is no body.
	sum    uint64
	method string
	params any
}

// forward asks the owner of an identity, or the holders of its closed state
// once it has stopped. Whatever goes wrong on the way is "unknown": this
// process can't know what the owner has done.
func forward[R any](ctx context.Context, f *forwarder, q question, show func(job.Outcome) (R, error)) (R, error) {
	var none R
	at, failed := f.locate(ctx, q.id.Owner)
	if failed == nil {
		var out R
		if failed = f.ask(ctx, at, q, &out); failed == nil {
			return out, nil
		}
		if failed.Code != refusal.OwnerUnreachable && failed.Code != refusal.OwnerGone {
			return none, failed
		}
	}
	held, certain := f.held(ctx, q)
	switch {
	case held != nil:
		return show(*held)
	case failed.Code == refusal.OwnerGone && !certain:
		// A holder that does not answer now may have the caller's answer.
		return none, refusal.New(refusal.OwnerUnreachable, "it has stopped, and who holds its answers does not answer").WithRetryAfter(unreachableRetryAfter)
	}
	return none, failed
}

// locate finds the owner's address.
func (f *forwarder) locate(ctx context.Context, o ticket.Owner) (netip.AddrPort, *refusal.Refusal) {
	k, ok := f.members.Find(f.now(), o)
	switch {
	case !ok && o.Precedes(f.self):
		return k.Address, refusal.New(refusal.OwnerGone, "")
	case !ok:
		return f.search(ctx, o)
	case k.State == roster.Gone:
		return k.Address, refusal.New(refusal.OwnerGone, "")
	case k.State == roster.Suspect:
		return k.Address, refusal.New(refusal.OwnerUnreachable, "").WithRetryAfter(unreachableRetryAfter)
	}
	return k.Address, nil
}

// found is a peer's answer about where an owner is.
type found struct {
	Known   bool           `json:"known"`
	Gone    bool           `json:"gone,omitempty"`
	Address netip.AddrPort `json:"address"`
}

// search asks peers about an owner that the roster here doesn't have. Without
// it, a caller who takes a ticket from a process that has just started, and
// submits over another one, waits for a Retry-After until a heartbeat has come
// round.
func (f *forwarder) search(ctx context.Context, o ticket.Owner) (netip.AddrPort, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := gather[found](ctx, f, f.near(o, searchWidth), methodFind, o)
	for a := range answers {
		switch {
		case a.err != nil || !a.value.Known:
		case a.value.Gone:
			return netip.AddrPort{}, refusal.New(refusal.OwnerGone, "")
		default:
			return a.value.Address, nil
		}
	}
	return netip.AddrPort{}, refusal.New(refusal.OwnerUnreachable, "not known here").WithRetryAfter(unknownRetryAfter)
}

// find answers a peer's search.
func (f *forwarder) find(_ context.Context, o ticket.Owner) (found, error) {
	if o == f.self {
		return found{Known: true, Address: f.address}, nil
	}
	k, ok := f.members.Find(f.now(), o)
	return found{Known: ok && k.State != roster.Suspect, Gone: k.State == roster.Gone, Address: k.Address}, nil
}

// ask calls the owner, and gives up when the roster loses it meanwhile: a
// frozen or cut-off owner would else keep the caller waiting without an answer.
func (f *forwarder) ask(ctx context.Context, at netip.AddrPort, q question, out any) *refusal.Refusal {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &awaited{owner: q.id.Owner, cancel: cancel}
	f.mu.Lock()
	f.waiting[w] = struct{}{}
	f.mu.Unlock()
	f.meter.Count(meter.Forwards, 1)
	err := f.net.Call(ctx, at, q.method, q.params, out)
	f.mu.Lock()
	delete(f.waiting, w)
	f.mu.Unlock()
	if err == nil {
		return nil
	}
	if r := given(err); r != nil {
		return r
	}
	f.meter.Count(meter.ForwardsFailed, 1)
	event.JobForwardFailed.Log(f.log, "owner", q.id.ID, "error", err)
	if r := given(context.Cause(ctx)); r != nil {
		return r
	}
	return refusal.New(refusal.OwnerUnreachable, "").WithRetryAfter(unreachableRetryAfter)
}

// given returns the refusal in an error, or the one that a peer answered.
func given(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	var f *peer.Failure
	if errors.As(err, &f) {
		r = new(refusal.Refusal)
		if json.Unmarshal(f.Data, r) == nil && r.Code != "" {
			return r
		}
	}
	return nil
}

// watch ends the calls to owners that are no longer live. It runs each
// watchEvery.
func (f *forwarder) watch(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for w := range f.waiting {
		k, ok := f.members.Find(now, w.owner)
		switch {
		case ok && k.State == roster.Gone:
			w.cancel(refusal.New(refusal.OwnerGone, ""))
		case ok && k.State == roster.Suspect:
			w.cancel(refusal.New(refusal.OwnerUnreachable, "").WithRetryAfter(unreachableRetryAfter))
		}
	}
}

// reply is one peer's answer to a question that went to several.
type reply[R any] struct {
	value R
	err   error
}

// gather asks all peers at once; the channel closes after the last answer.
func gather[R any](ctx context.Context, f *forwarder, peers []netip.AddrPort, method string, params any) <-chan reply[R] {
	out := make(chan reply[R], len(peers))
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Add(1)
		f.asking.Go(func() {
			defer wg.Done()
			var r reply[R]
			r.err = f.net.Call(ctx, p, method, params, &r.value)
			out <- r
		})
	}
	f.asking.Go(func() {
		wg.Wait()
		close(out)
	})
	return out
}
