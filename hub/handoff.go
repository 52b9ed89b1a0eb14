package hub

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"snipehub.example/event"
	"snipehub.example/job"
	"snipehub.example/roster"
	"snipehub.example/ticket"
)

const (
	// holderCount is the number of peers that receive the closed state of a stopping
	// process.
	holderCount = 2
	// searchWidth is the number of peers that are asked for a closed state that they may
	// hold, or for an owner's address. It is larger than holderCount because members may
	// have joined since the transfer.
	searchWidth = 4
	// unheldTTL is how long the result that no peer holds a closed state is cached.
	unheldTTL = time.Second
	// maxUnheld bounds the memory of that cache.
	maxUnheld = 1024
)

// responsiblePeers returns the addresses of up to n peers that are responsible for an
// owner. These are the live and leaving members of the owner's data centre, ordered by a
// hash of owner and member, so that the process that stops and the one that searches
// select the same peers without communicating. If there are none it falls back to members
// of any data centre, then to the seeds.
func (f *forwarder) responsiblePeers(o ticket.Owner, n int) []netip.AddrPort {
	all := f.members.All(f.now())
	peers := rankPeers(o, all, func(k roster.Known) bool { return k.Owner.DataCenter == o.DataCenter })
	if len(peers) == 0 {
		peers = rankPeers(o, all, func(roster.Known) bool { return true })
	}
	if len(peers) == 0 {
		for _, a := range f.seeds {
			if a != f.address {
				peers = append(peers, a)
			}
		}
	}
	return peers[:min(n, len(peers))]
}

// rankPeers returns the addresses of the live or leaving members that are eligible, other
// than the owner itself, with the highest score first.
func rankPeers(o ticket.Owner, all []roster.Known, eligible func(roster.Known) bool) []netip.AddrPort {
	type scored struct {
		addr  netip.AddrPort
		score uint64
	}
	var s []scored
	for _, k := range all {
		if k.Owner != o && (k.State == roster.Live || k.State == roster.Leaving) && eligible(k) {
			s = append(s, scored{k.Address, score(o, k.Owner)})
		}
	}
	slices.SortFunc(s, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.addr.Compare(b.addr))
	})
	out := make([]netip.AddrPort, len(s))
	for i := range s {
		out[i] = s[i].addr
	}
	return out
}

// score returns the rendezvous hash of an owner and a member.
func score(o, member ticket.Owner) uint64 {
	return xxhash.Sum64String(ticket.ID{Owner: o}.String() + "/" + ticket.ID{Owner: member}.String())
}

// heldQuery asks a peer for the outcome of an identity in the closed state that it holds.
type heldQuery struct {
	Caller string       `json:"caller"`
	ID     ticket.JobID `json:"id"`
	Digest uint64       `json:"sum,omitempty"`
}

// heldAnswer is the reply to a heldQuery. Outcome is valid only if Held is set.
type heldAnswer struct {
	Held    bool        `json:"held"`
	Outcome job.Outcome `json:"outcome"`
}

// heldOutcome looks for an identity's outcome in the closed state of its owner, in this
// process and then at the peers that may hold that state. If there is no outcome,
// conclusive reports whether no process holds the state: all peers asked answered so, now
// or within unheldTTL, or there is no peer to ask because no other member is known.
func (f *forwarder) heldOutcome(ctx context.Context, q ownerQuery) (out *job.Outcome, conclusive bool) {
	if o, ok := f.closedStore.Answer(q.caller, q.id, q.digest); ok {
		return &o, true
	}
	if f.isKnownUnheld(q.id.Owner) {
		return nil, true
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	peers := f.responsiblePeers(q.id.Owner, searchWidth)
	conclusive = len(peers) > 0 || len(f.members.All(f.now())) == 0
	for a := range callPeers[heldAnswer](ctx, f, peers, methodHeld, heldQuery{q.caller, q.id, q.digest}) {
		switch {
		case a.err != nil:
			conclusive = false
		case a.value.Held:
			return &a.value.Outcome, true
		}
	}
	if conclusive {
		f.recordUnheld(q.id.Owner)
	}
	return nil, conclusive
}

func (f *forwarder) isKnownUnheld(o ticket.Owner) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.unheldAt[o]
	return ok && f.now().Sub(at) < unheldTTL
}

func (f *forwarder) recordUnheld(o ticket.Owner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.unheldAt) >= maxUnheld {
		clear(f.unheldAt)
	}
	f.unheldAt[o] = f.now()
}

// answerHeld handles a peer's heldQuery.
func (f *forwarder) answerHeld(_ context.Context, q heldQuery) (heldAnswer, error) {
	o, ok := f.closedStore.Answer(q.Caller, q.ID, q.Digest)
	return heldAnswer{Held: ok, Outcome: o}, nil
}

// errStopping is returned to a peer when this process is stopping and can't hold state.
var errStopping = errors.New("hub: stopping")

// holdPart stores a part of a peer's closed state. A process that is itself stopping
// refuses, so that the sender finds another holder: if two processes that stop at the
// same time held each other's state, nothing would be left of either.
func (f *forwarder) holdPart(_ context.Context, c job.ClosedPart) (struct{}, error) {
	if f.stopping() {
		return struct{}{}, errStopping
	}
	f.closedStore.AddPart(c)
	return struct{}{}, nil
}

// transferClosed transfers closed state to peers, both this process's own and what it
// holds for others. Without the transfer, each planned stop would lose all answers that
// callers have not yet fetched, and those callers would be told "outcome unknown" about
// orders that were done.
func (f *forwarder) transferClosed(ctx context.Context, parts []job.ClosedPart) {
	underReplicated := make(map[ticket.Owner]int)
	unresponsive := make(map[netip.AddrPort]bool)
	for _, p := range parts {
		if f.transferPart(ctx, p, unresponsive) < holderCount {
			underReplicated[p.Owner] += len(p.Tickets)
		}
	}
	for o, n := range underReplicated {
		event.HandoverFailed.Log(f.log, "owner", ticket.ID{Owner: o}, "tickets", n)
	}
}

// transferPart sends one part to peers until holderCount of them hold it, and returns the
// number that do. A peer that fails once is not tried for later parts: a suspended peer
// would otherwise use up the time left for the stop.
func (f *forwarder) transferPart(ctx context.Context, p job.ClosedPart, unresponsive map[netip.AddrPort]bool) int {
	n := 0
	for _, addr := range f.responsiblePeers(p.Owner, searchWidth) {
		switch {
		case n == holderCount || unresponsive[addr]:
		case f.sendPart(ctx, addr, p):
			n++
		default:
			unresponsive[addr] = true
		}
	}
	return n
}

const sendPartTimeout = 2 * time.Second

func (f *forwarder) sendPart(ctx context.Context, addr netip.AddrPort, p job.ClosedPart) bool {
	ctx, cancel := context.WithTimeout(ctx, sendPartTimeout)
	defer cancel()
	var empty struct{}
	return f.net.Call(ctx, addr, methodHold, p, &empty) == nil
}
