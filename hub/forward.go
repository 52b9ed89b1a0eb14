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

// peerClient calls methods of peers.
type peerClient interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// members is the part of the roster that forwarding needs.
type members interface {
	Find(now time.Time, o ticket.Owner) (roster.Known, bool)
	All(now time.Time) []roster.Known
}

const (
	// unreachableRetryAfter is the delay after which a caller should retry a request for
	// an identity whose owner does not answer.
	unreachableRetryAfter = time.Second
	// unknownRetryAfter is the same delay for an owner that no peer asked here knows:
	// either the owner or this process has just started.
	unknownRetryAfter = 100 * time.Millisecond
	// peerQueryTimeout bounds the queries to peers that precede the answer to a caller.
	peerQueryTimeout = 300 * time.Millisecond
	// watchInterval is the interval at which the owners of in-flight calls are checked.
	watchInterval = 250 * time.Millisecond
)

// forwarder sends a caller's request to the owner of its identity. It never starts work
// itself, and neither does a peer that it calls by mistake: peers answer forwarded calls
// from their own tickets only, so that a call can't be forwarded in a loop.
type forwarder struct {
	log         *slog.Logger
	meter       *meter.Meter
	self        ticket.Owner
	address     netip.AddrPort
	seeds       []netip.AddrPort
	now         func() time.Time
	net         peerClient
	members     members
	closedStore *job.ClosedStore
	// stopping reports whether this process is stopping.
	stopping func() bool

	// pendingQueries counts the queries to peers that are still open, including those
	// whose answers are no longer needed.
	pendingQueries sync.WaitGroup

	mu       sync.Mutex
	inFlight map[*inFlightCall]struct{}
	// unheldAt is when an owner's closed state was last found to be held by no process.
	unheldAt map[ticket.Owner]time.Time
}

// inFlightCall is a call to an owner that has not been answered.
type inFlightCall struct {
	owner  ticket.Owner
	cancel context.CancelCauseFunc
}

// ownerQuery is a caller's request about an identity, to be sent to the owner.
type ownerQuery struct {
	caller string
	id     ticket.JobID
	// digest is the digest of a submission, or 0 for a request without a body.
	digest uint64
	method string
	params any
}

// forward calls the owner of an identity or, once the owner has stopped, the holders of
// its closed state. Any failure on the way means "unknown", because this process can't
// know what the owner has done.
func forward[R any](ctx context.Context, f *forwarder, q ownerQuery, convert func(job.Outcome) (R, error)) (R, error) {
	var zero R
	addr, refused := f.locate(ctx, q.id.Owner)
	if refused == nil {
		var out R
		if refused = f.callOwner(ctx, addr, q, &out); refused == nil {
			return out, nil
		}
		if refused.Code != refusal.OwnerUnreachable && refused.Code != refusal.OwnerGone {
			return zero, refused
		}
	}
	heldOutcome, conclusive := f.heldOutcome(ctx, q)
	switch {
	case heldOutcome != nil:
		return convert(*heldOutcome)
	case refused.Code == refusal.OwnerGone && !conclusive:
		// A holder that does not answer now may have the caller's answer.
		return zero, refusal.New(refusal.OwnerUnreachable, "it has stopped, and who holds its answers does not answer").WithRetryAfter(unreachableRetryAfter)
	}
	return zero, refused
}

// locate returns the owner's address, or the refusal for an owner that can't be called.
func (f *forwarder) locate(ctx context.Context, o ticket.Owner) (netip.AddrPort, *refusal.Refusal) {
	k, ok := f.members.Find(f.now(), o)
	switch {
	case !ok && o.Precedes(f.self):
		return k.Address, refusal.New(refusal.OwnerGone, "")
	case !ok:
		return f.searchPeers(ctx, o)
	case k.State == roster.Gone:
		return k.Address, refusal.New(refusal.OwnerGone, "")
	case k.State == roster.Suspect:
		return k.Address, refusal.New(refusal.OwnerUnreachable, "").WithRetryAfter(unreachableRetryAfter)
	}
	return k.Address, nil
}

// searchAnswer is a peer's answer to a search for an owner's address.
type searchAnswer struct {
	Known   bool           `json:"known"`
	Gone    bool           `json:"gone,omitempty"`
	Address netip.AddrPort `json:"address"`
}

// searchPeers asks peers for an owner that is missing from the local roster. Without it,
// a caller that takes a ticket from a newly started process and submits through another
// one would have to wait for a Retry-After until a heartbeat has announced the owner.
func (f *forwarder) searchPeers(ctx context.Context, o ticket.Owner) (netip.AddrPort, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	answers := callPeers[searchAnswer](ctx, f, f.responsiblePeers(o, searchWidth), methodFind, o)
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

// answerSearch handles a peer's search for an owner.
func (f *forwarder) answerSearch(_ context.Context, o ticket.Owner) (searchAnswer, error) {
	if o == f.self {
		return searchAnswer{Known: true, Address: f.address}, nil
	}
	k, ok := f.members.Find(f.now(), o)
	return searchAnswer{Known: ok && k.State != roster.Suspect, Gone: k.State == roster.Gone, Address: k.Address}, nil
}

// callOwner calls the owner, and gives up if the roster reports the owner as suspect or
// gone meanwhile: otherwise a suspended or cut-off owner would keep the caller waiting
// without an answer.
func (f *forwarder) callOwner(ctx context.Context, addr netip.AddrPort, q ownerQuery, out any) *refusal.Refusal {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := &inFlightCall{owner: q.id.Owner, cancel: cancel}
	f.mu.Lock()
	f.inFlight[call] = struct{}{}
	f.mu.Unlock()
	f.meter.Count(meter.Forwards, 1)
	err := f.net.Call(ctx, addr, q.method, q.params, out)
	f.mu.Lock()
	delete(f.inFlight, call)
	f.mu.Unlock()
	if err == nil {
		return nil
	}
	if r := refusalFrom(err); r != nil {
		return r
	}
	f.meter.Count(meter.ForwardsFailed, 1)
	event.JobForwardFailed.Log(f.log, "owner", q.id.ID, "error", err)
	if r := refusalFrom(context.Cause(ctx)); r != nil {
		return r
	}
	return refusal.New(refusal.OwnerUnreachable, "").WithRetryAfter(unreachableRetryAfter)
}

// refusalFrom returns the refusal in err, or the refusal that a peer answered. It returns
// nil if err has neither.
func refusalFrom(err error) *refusal.Refusal {
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

// cancelLostCalls cancels the calls to owners that have become suspect or gone. It runs
// every watchInterval.
func (f *forwarder) cancelLostCalls(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for call := range f.inFlight {
		k, ok := f.members.Find(now, call.owner)
		switch {
		case ok && k.State == roster.Gone:
			call.cancel(refusal.New(refusal.OwnerGone, ""))
		case ok && k.State == roster.Suspect:
			call.cancel(refusal.New(refusal.OwnerUnreachable, "").WithRetryAfter(unreachableRetryAfter))
		}
	}
}

// peerReply is one peer's reply to a query that was sent to several.
type peerReply[R any] struct {
	value R
	err   error
}

// callPeers calls all peers concurrently and closes the channel after the last reply.
func callPeers[R any](ctx context.Context, f *forwarder, peers []netip.AddrPort, method string, params any) <-chan peerReply[R] {
	out := make(chan peerReply[R], len(peers))
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Add(1)
		f.pendingQueries.Go(func() {
			defer wg.Done()
			var r peerReply[R]
			r.err = f.net.Call(ctx, p, method, params, &r.value)
			out <- r
		})
	}
	f.pendingQueries.Go(func() {
		wg.Wait()
		close(out)
	})
	return out
}
