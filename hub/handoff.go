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
	// holderCount is how many peers get the closed state of a process that
	// stops.
	holderCount = 2
	// searchWidth is how many peers are asked who may hold it, or who may know
	// where an owner is. It is larger than holderCount, because members may
	// have come since the hand-over.
	searchWidth = 4
	// unheldFor is how long the answer that nobody holds a state is believed.
	unheldFor = time.Second
	// unheldMax bounds the memory of such answers.
	unheldMax = 1024
)

// near returns up to n peers that are responsible for an owner: those of its
// data centre that are live, in the order of a hash over the pair, so that
// whoever stops and whoever searches come to the same ones without asking.
// Without such peers it falls back to any peer, and to the seeds.
func (f *forwarder) near(o ticket.Owner, n int) []netip.AddrPort {
	all := f.members.All(f.now())
	pick := ranked(o, all, func(k roster.Known) bool { return k.Owner.DataCenter == o.DataCenter })
	if len(pick) == 0 {
		pick = ranked(o, all, func(roster.Known) bool { return true })
	}
	if len(pick) == 0 {
		for _, a := range f.seeds {
			if a != f.address {
				pick = append(pick, a)
			}
		}
	}
	return pick[:min(n, len(pick))]
}

func ranked(o ticket.Owner, all []roster.Known, may func(roster.Known) bool) []netip.AddrPort {
	type scored struct {
		at    netip.AddrPort
		score uint64
	}
	var s []scored
	for _, k := range all {
		if k.Owner != o && (k.State == roster.Live || k.State == roster.Leaving) && may(k) {
			s = append(s, scored{k.Address, score(o, k.Owner)})
		}
	}
	slices.SortFunc(s, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.at.Compare(b.at))
	})
	out := make([]netip.AddrPort, len(s))
	for i := range s {
		out[i] = s[i].at
	}
	return out
}

// score is the weight of a member for an owner.
func score(o, member ticket.Owner) uint64 {
	return xxhash.Sum64String(ticket.ID{Owner: o}.String() + "/" + ticket.ID{Owner: member}.String())
}

// heldQuestion asks a holder about an identity.
type heldQuestion struct {
	Caller string       `json:"caller"`
	ID     ticket.JobID `json:"id"`
	Sum    uint64       `json:"sum,omitempty"`
}

// heldAnswer is a holder's answer; Outcome counts only when Held.
type heldAnswer struct {
	Held    bool        `json:"held"`
	Outcome job.Outcome `json:"outcome"`
}

// held asks for the closed state of an identity's owner, here and at the peers
// that may hold it. Without an outcome, certain tells that all were asked and
// none holds it.
func (f *forwarder) held(ctx context.Context, q question) (out *job.Outcome, certain bool) {
	if o, ok := f.closedStore.Answer(q.caller, q.id, q.sum); ok {
		return &o, true
	}
	if f.knownUnheld(q.id.Owner) {
		return nil, true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := f.near(q.id.Owner, searchWidth)
	certain = len(peers) > 0 || len(f.members.All(f.now())) == 0
	for a := range gather[heldAnswer](ctx, f, peers, methodHeld, heldQuestion{q.caller, q.id, q.sum}) {
		switch {
		case a.err != nil:
			certain = false
		case a.value.Held:
			return &a.value.Outcome, true
		}
	}
	if certain {
		f.noteUnheld(q.id.Owner)
	}
	return nil, certain
}

func (f *forwarder) knownUnheld(o ticket.Owner) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.unheld[o]
	return ok && f.now().Sub(at) < unheldFor
}

func (f *forwarder) noteUnheld(o ticket.Owner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.unheld) >= unheldMax {
		clear(f.unheld)
	}
	f.unheld[o] = f.now()
}

// answerHeld answers a peer's question to the holder.
func (f *forwarder) answerHeld(_ context.Context, q heldQuestion) (heldAnswer, error) {
	o, ok := f.closedStore.Answer(q.Caller, q.ID, q.Sum)
	return heldAnswer{Held: ok, Outcome: o}, nil
}

// errStopping is the answer of a process that can't hold a closed state.
var errStopping = errors.New("hub: stopping")

// hold takes a part of a closed state. A process that stops too refuses, so
// that the giver finds another: of two that stop at once and hold each other's
// state, nothing would be left.
func (f *forwarder) hold(_ context.Context, c job.ClosedPart) (struct{}, error) {
	if f.stopping() {
		return struct{}{}, errStopping
	}
	f.closedStore.AddPart(c)
	return struct{}{}, nil
}

// handOver gives the closed states to peers: this process's own, and those
// that it holds of others. Without it every answer that a caller has not yet
// fetched is lost at each planned stop, and the caller is told "outcome
// unknown" of orders that were done.
func (f *forwarder) handOver(ctx context.Context, parts []job.ClosedPart) {
	short := make(map[ticket.Owner]int)
	silent := make(map[netip.AddrPort]bool)
	for _, p := range parts {
		if f.handPart(ctx, p, silent) < holderCount {
			short[p.Owner] += len(p.Tickets)
		}
	}
	for o, n := range short {
		event.HandoverFailed.Log(f.log, "owner", ticket.ID{Owner: o}, "tickets", n)
	}
}

// handPart gives one part to peers until enough of them hold it, and returns
// how many do. A peer that fails once is not tried with the next part: a frozen
// one would else use up the time that the stop has.
func (f *forwarder) handPart(ctx context.Context, p job.ClosedPart, silent map[netip.AddrPort]bool) int {
	n := 0
	for _, at := range f.near(p.Owner, searchWidth) {
		switch {
		case n == holderCount || silent[at]:
		case f.give(ctx, at, p):
			n++
		default:
			silent[at] = true
		}
	}
	return n
}

const giveTimeout = 2 * time.Second

func (f *forwarder) give(ctx context.Context, at netip.AddrPort, p job.ClosedPart) bool {
	ctx, cancel := context.WithTimeout(ctx, giveTimeout)
	defer cancel()
	var none struct{}
	return f.net.Call(ctx, at, methodHold, p, &none) == nil
}
