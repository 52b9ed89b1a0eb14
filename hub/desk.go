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

// jobService handles the callers' requests. Requests for identities of this process go to
// its owner, all others to the forwarder.
type jobService struct {
	self   ticket.Owner
	owner  *job.Owner
	fwd    *forwarder
	keys   keys
	tables func() *tables.State
}

// keys resolves a caller's own key to the identity that it stands for.
type keys interface {
	Resolve(ctx context.Context, caller, key string) (ticket.JobID, error)
}

// Methods that dispatchers call on each other, besides methodTables and methodHandover.
const (
	methodHeartbeat = "beat"
	methodSubmit    = "submit"
	methodRequest   = "request"
	methodLookup    = "lookup"
	methodCancel    = "cancel"
	methodAwait     = "await"
	methodStatus    = "status"
	methodFind      = "find"
	methodHeld      = "held"
	methodHold      = "hold"
)

// jobReference identifies a caller's job in calls between dispatchers.
type jobReference struct {
	Caller job.Caller   `json:"caller"`
	ID     ticket.JobID `json:"id"`
}

// registerMethods registers the methods for requests that peers forward. They are
// answered from the state of this process only and are never forwarded again.
func (d *jobService) registerMethods(s *peer.Server) {
	peer.Handle(s, methodSubmit, d.submitLocally)
	peer.Handle(s, methodAwait, d.awaitLocally)
	peer.Handle(s, methodRequest, d.owner.Request)
	peer.Handle(s, methodLookup, func(_ context.Context, r jobReference) (job.Answer, error) {
		return d.owner.Lookup(r.Caller, r.ID)
	})
	peer.Handle(s, methodCancel, func(_ context.Context, r jobReference) (job.Answer, error) {
		return d.owner.Cancel(r.Caller, r.ID)
	})
	peer.Handle(s, methodFind, d.fwd.answerSearch)
	peer.Handle(s, methodHeld, d.fwd.answerHeld)
	peer.Handle(s, methodHold, d.fwd.holdPart)
}

// Mint issues a ticket of this process.
func (d *jobService) Mint(_ context.Context, c job.Caller) (job.Grant, error) {
	return d.owner.Mint(c)
}

// Submit starts the job here, or forwards the submission to the owner of its identity.
func (d *jobService) Submit(ctx context.Context, s job.Submission) (job.Answer, error) {
	if s.Key != "" {
		id, err := d.keys.Resolve(ctx, s.Caller.Name, s.Key)
		if err != nil {
			return job.Answer{}, err
		}
		s.ID, s.Key = id, ""
	}
	if s.ID.Owner == d.self {
		return d.submitLocally(ctx, s)
	}
	q := ownerQuery{caller: s.Caller.Name, id: s.ID, digest: s.Digest(), method: methodSubmit, params: s}
	return forward(ctx, d.fwd, q, job.Outcome.AsAnswer)
}

// Request passes a single request through to a backend server.
func (d *jobService) Request(ctx context.Context, r job.Request) (job.Reply, error) {
	if r.ID == nil && r.Key == "" {
		return d.passThrough(ctx, r)
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
	q := ownerQuery{caller: r.Caller.Name, id: *r.ID, digest: r.Digest(), method: methodRequest, params: r}
	return forward(ctx, d.fwd, q, job.Outcome.AsReply)
}

// passThrough handles a request without an identity, which is allowed only for kinds that
// may be repeated: a caller that gets no answer sends the request again, and both copies
// may run.
func (d *jobService) passThrough(ctx context.Context, r job.Request) (job.Reply, error) {
	route, ok := d.tables().Route(r.Kind)
	switch {
	case !ok:
		return job.Reply{}, refusal.New(refusal.NoRoute, r.Kind)
	case !route.Repeatable:
		return job.Reply{}, refusal.New(refusal.NeedsID, r.Kind)
	}
	return d.owner.PassThrough(ctx, r)
}

// Lookup returns the state of a job.
func (d *jobService) Lookup(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error) {
	if id.Owner == d.self {
		return d.owner.Lookup(c, id)
	}
	q := ownerQuery{caller: c.Name, id: id, method: methodLookup, params: jobReference{c, id}}
	return forward(ctx, d.fwd, q, job.Outcome.AsAnswer)
}

// Cancel requests that no more tasks of the job start. If the job's owner has stopped,
// the job can't be cancelled any more and its outcome is returned.
func (d *jobService) Cancel(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error) {
	if id.Owner == d.self {
		return d.owner.Cancel(c, id)
	}
	q := ownerQuery{caller: c.Name, id: id, method: methodCancel, params: jobReference{c, id}}
	return forward(ctx, d.fwd, q, job.Outcome.AsAnswer)
}

// dialerClient implements peerClient with a peer.Dialer.
type dialerClient struct{ d *peer.Dialer }

// Call calls a peer's method and decodes its answer into result.
func (c dialerClient) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	raw, err := peer.Call[json.RawMessage](ctx, c.d, to, method, params)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}
