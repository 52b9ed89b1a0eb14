package hub

import (
	"context"
	"time"

	"snipehub.example/job"
	"snipehub.example/ticket"
)

// awaitRequest asks the owner of a job to wait for the job's end.
type awaitRequest struct {
	Caller  job.Caller    `json:"caller"`
	ID      ticket.JobID  `json:"id"`
	MaxWait time.Duration `json:"for"`
}

// submitLocally submits to the owner in this process. The bound on waiting is enforced
// here and not by the process that forwards the call: there, its expiry would abort the
// call, and the caller would be told "unknown" about a job that is running normally.
func (d *jobService) submitLocally(ctx context.Context, s job.Submission) (job.Answer, error) {
	if s.WaitFor > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.WaitFor)
		defer cancel()
	}
	return d.owner.Submit(ctx, s)
}

// Await returns the state of a job when it ends, or after wait if that is earlier.
func (d *jobService) Await(ctx context.Context, c job.Caller, id ticket.JobID, wait time.Duration) (job.Answer, error) {
	req := awaitRequest{c, id, wait}
	if id.Owner == d.self {
		return d.awaitLocally(ctx, req)
	}
	return forward(ctx, d.fwd, ownerQuery{caller: c.Name, id: id, method: methodAwait, params: req}, job.Outcome.AsAnswer)
}

func (d *jobService) awaitLocally(ctx context.Context, req awaitRequest) (job.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, req.MaxWait)
	defer cancel()
	return d.owner.Await(ctx, req.Caller, req.ID)
}
