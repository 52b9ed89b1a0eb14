package hub

import (
	"context"
	"encoding/json"
	"net/netip"

	"snipehub.example/job"
	"snipehub.example/peer"
	"snipehub.example/refusal"
	"snipehub.example/tables"
	"snipehub.example/ticket"
)

// desk takes the callers' requests: it gives those about identities of this
// process to its owner, and the rest to the forwarder.
type desk struct {
	self   ticket.Owner
	owner  *job.Owner
	fwd    *forwarder
	keys   keys
	tables func() *tables.State
}

// keys finds the identity that stands for a caller's own key.
type keys interface {
	Resolve(ctx context.Context, caller, key string) (ticket.JobID, error)
}

// The methods between dispatchers.
const (
	methodBeat    = "beat"
	methodSubmit  = "submit"
	methodRequest = "request"
	methodLookup  = "lookup"
	methodCancel  = "cancel"
	methodAwait   = "await"
	methodStatus  = "status"
	methodFind    = "find"
	methodHeld    = "held"
	methodHold    = "hold"
)

// reference names a caller's job between dispatchers.
type reference struct {
	Caller job.Caller   `json:"caller"`
	ID     ticket.JobID `json:"id"`
}

// handle sets the methods by which peers reach this process. They answer from
// this process alone and never forward.
func (d *desk) handle(s *peer.Server) {
	peer.Handle(s, methodSubmit, d.submitHere)
	peer.Handle(s, methodAwait, d.awaitHere)
	peer.Handle(s, methodRequest, d.owner.Request)
	peer.Handle(s, methodLookup, func(_ context.Context, r reference) (job.Answer, error) {
		return d.owner.Lookup(r.Caller, r.ID)
	})
	peer.Handle(s, methodCancel, func(_ context.Context, r reference) (job.Answer, error) {
		return d.owner.Cancel(r.Caller, r.ID)
	})
	peer.Handle(s, methodFind, d.fwd.find)
	peer.Handle(s, methodHeld, d.fwd.answerHeld)
	peer.Handle(s, methodHold, d.fwd.hold)
}

// Mint makes a ticket of this process.
func (d *desk) Mint(_ context.Context, c job.Caller) (job.Grant, error) {
	return d.owner.Mint(c)
}

// Submit starts the job here, or forwards it to the owner of its identity.
func (d *desk) Submit(ctx context.Context, s job.Submission) (job.Answer, error) {
	if s.Key != "" {
		id, err := d.keys.Resolve(ctx, s.Caller.Name, s.Key)
		if err != nil {
			return job.Answer{}, err
		}
		s.ID, s.Key = id, ""
	}
	if s.ID.Owner == d.self {
		return d.submitHere(ctx, s)
	}
	q := question{caller: s.Caller.Name, id: s.ID, sum: s.Digest(), method: methodSubmit, params: s}
	return forward(ctx, d.fwd, q, job.Outcome.AsAnswer)
}

// Request passes one request through.
func (d *desk) Request(ctx context.Context, r job.Request) (job.Reply, error) {
	if r.ID == nil && r.Key == "" {
		return d.pass(ctx, r)
	}
	if r.Key != "" {
		id, err := d.keys.Resolve(ctx, r.Caller.Name, r.Key)
		if err != nil {
			return job.Reply{}, err
		}
		r.ID, r.Key = &id, ""
	}
	if r.ID.Owner == d.self {
		return d.owner.Request(ctx, r)
	}
	q := question{caller: r.Caller.Name, id: *r.ID, sum: r.Digest(), method: methodRequest, params: r}
	return forward(ctx, d.fwd, q, job.Outcome.AsReply)
}

// pass takes a request without an identity, if its kind may be repeated: the
// caller that hears nothing sends it again, and both may run.
func (d *desk) pass(ctx context.Context, r job.Request) (job.Reply, error) {
	route, ok := d.tables().Route(r.Kind)
	switch {
	case !ok:
		return job.Reply{}, refusal.New(refusal.NoRoute, r.Kind)
	case !route.Repeatable:
		return job.Reply{}, refusal.New(refusal.NeedsID, r.Kind)
	}
	return d.owner.PassThrough(ctx, r)
}

// Lookup tells where a job stands.
func (d *desk) Lookup(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error) {
	if id.Owner == d.self {
		return d.owner.Lookup(c, id)
	}
	q := question{caller: c.Name, id: id, method: methodLookup, params: reference{c, id}}
	return forward(ctx, d.fwd, q, job.Outcome.AsAnswer)
}

// Cancel asks that no more tasks of the job start. A stopped owner's job is
// past cancelling, and is shown as it ended.
func (d *desk) Cancel(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error) {
	if id.Owner == d.self {
		return d.owner.Cancel(c, id)
	}
	q := question{caller: c.Name, id: id, method: methodCancel, params: reference{c, id}}
	return forward(ctx, d.fwd, q, job.Outcome.AsAnswer)
}

// dialed makes the peer package's calls a caller.
type dialed struct{ d *peer.Dialer }

// Call calls a peer and decodes its answer into result.
func (c dialed) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	raw, err := peer.Call[json.RawMessage](ctx, c.d, to, method, params)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}
