package hub

import (
	"context"
	"time"

	"snipehub.example/job"
	"snipehub.example/ticket"
)

// awaitEvery is how often the owner looks whether a job that somebody waits
// for with GET has ended.
const awaitEvery = 20 * time.Millisecond

// query asks the owner of a job to wait for its end.
type query struct {
	Caller job.Caller    `json:"caller"`
	ID     ticket.JobID  `json:"id"`
	For    time.Duration `json:"for"`
}

// submitHere submits to the owner in this process. The bound on waiting is kept
// here and not by the process that forwards: its call would only break off,
// and the caller would be told "unknown" about a job that runs as it should.
func (h *Hub) submitHere(ctx context.Context, s job.Submission) (job.Answer, error) {
	if s.WaitFor > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.WaitFor)
		defer cancel()
	}
	return h.owner.Submit(ctx, s)
}

// Await tells where a job stands, at its end or after d.
func (h *Hub) Await(ctx context.Context, c job.Caller, id ticket.JobID, d time.Duration) (job.Answer, error) {
	q := query{c, id, d}
	if id.Owner == h.self {
		return h.awaitHere(ctx, q)
	}
	return forward[job.Answer](ctx, h, id.Owner, methodAwait, q)
}

func (h *Hub) awaitHere(ctx context.Context, q query) (job.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.For)
	defer cancel()
	sub := h.clock.Subscribe(awaitEvery)
	defer sub.Stop()
	for {
		a, err := h.owner.Lookup(q.Caller, q.ID)
		if err != nil || a.State != job.Queued {
			return a, err
		}
		select {
		case <-sub.C:
		case <-ctx.Done():
			return a, nil
		}
	}
}
