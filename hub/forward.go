package hub

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/event"
	"snipehub.example/job"
	"snipehub.example/peer"
	"snipehub.example/refusal"
	"snipehub.example/roster"
	"snipehub.example/ticket"
)

// Mint makes a ticket of this process.
func (h *Hub) Mint(_ context.Context, c job.Caller) (job.Grant, error) {
	return h.owner.Mint(c)
}

// The methods between dispatchers.
const (
	methodBeat   = "beat"
	methodSubmit = "submit"
	methodLookup = "lookup"
	methodCancel = "cancel"
)

// reference names a caller's job between dispatchers.
type reference struct {
	Caller job.Caller   `json:"caller"`
	ID     ticket.JobID `json:"id"`
}

func (h *Hub) handlePeers() {
	h.handleMembers()
	peer.Handle(h.peers, methodSubmit, h.owner.Submit)
	peer.Handle(h.peers, methodLookup, func(_ context.Context, r reference) (job.Answer, error) {
		return h.owner.Lookup(r.Caller, r.ID)
	})
	peer.Handle(h.peers, methodCancel, func(_ context.Context, r reference) (job.Answer, error) {
		return h.owner.Cancel(r.Caller, r.ID)
	})
}

// Submit starts the job here, or forwards it to the owner of its ticket.
func (h *Hub) Submit(ctx context.Context, s job.Submission) (job.Answer, error) {
	if s.ID.Owner == h.self {
		return h.owner.Submit(ctx, s)
	}
	return forward[job.Answer](ctx, h, s.ID.Owner, methodSubmit, s)
}

// Lookup tells where a job stands.
func (h *Hub) Lookup(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error) {
	if id.Owner == h.self {
		return h.owner.Lookup(c, id)
	}
	return forward[job.Answer](ctx, h, id.Owner, methodLookup, reference{c, id})
}

// Cancel asks that no more tasks of the job start.
func (h *Hub) Cancel(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error) {
	if id.Owner == h.self {
		return h.owner.Cancel(c, id)
	}
	return forward[job.Answer](ctx, h, id.Owner, methodCancel, reference{c, id})
}

// forwardRetryAfter is when a caller should ask again about an identity whose
// owner does not answer.
const forwardRetryAfter = time.Second

// forward asks the owner of an identity. Whatever goes wrong on the way is
// "unknown": this process can't know what the owner has done.
func forward[R any](ctx context.Context, h *Hub, to ticket.Owner, method string, params any) (R, error) {
	var none R
	k, ok := h.roster.Find(h.clock.Now(), to)
	switch {
	case !ok:
		return none, refusal.New(refusal.OwnerUnreachable, "not known here").After(forwardRetryAfter)
	case k.State == roster.Gone:
		return none, refusal.New(refusal.OwnerGone, "")
	case k.State == roster.Suspect:
		return none, refusal.New(refusal.OwnerUnreachable, "").After(forwardRetryAfter)
	}
	out, err := peer.Call[R](ctx, h.dialer, k.Address, method, params)
	if err == nil {
		return out, nil
	}
	var f *peer.Failure
	if errors.As(err, &f) {
		var r refusal.Refusal
		if json.Unmarshal(f.Data, &r) == nil && r.Code != "" {
			return none, &r
		}
	}
	event.JobForwardFailed.Log(h.log, "owner", to, "error", err)
	return none, refusal.New(refusal.OwnerUnreachable, "").After(forwardRetryAfter)
}

// Request passes one request through.
func (h *Hub) Request(context.Context, job.Request) (job.Reply, error) {
	return job.Reply{}, refusal.New(refusal.Internal, "not there yet")
}
