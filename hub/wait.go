package hub

import (
	"context"
	"time"

	"snipehub.example/job"
	"snipehub.example/ticket"
)

// query asks the owner of a job to wait for its end.
type query struct {
	Caller job.Caller    `json:"caller"`
	ID     ticket.JobID  `json:"id"`
	For    time.Duration `json:"for"`
}

// submitHere submits to the owner in this process. The bound on waiting is kept
// here and not by the process that forwards: its call would only break off,
// and the caller would be told "unknown" about a job that runs as it should.
func (d *desk) submitHere(ctx context.Context, s job.Submission) (job.Answer, error) {
	if s.WaitFor > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.WaitFor)
		defer cancel()
	}
	return d.owner.Submit(ctx, s)
}

// Await tells where a job stands, at its end or after wait.
func (d *desk) Await(ctx context.Context, c job.Caller, id ticket.JobID, wait time.Duration) (job.Answer, error) {
	q := query{c, id, wait}
	if id.Owner == d.self {
		return d.awaitHere(ctx, q)
	}
	return forward(ctx, d.fwd, question{caller: c.Name, id: id, method: methodAwait, params: q}, job.Outcome.AsAnswer)
}

func (d *desk) awaitHere(ctx context.Context, q query) (job.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.For)
	defer cancel()
	return d.owner.Await(ctx, q.Caller, q.ID)
}
