package job

import (
	"context"

	"snipehub.example/ticket"
)

// Await waits until the job ends or ctx does, and returns the job's answer so far.
func (o *Owner) Await(ctx context.Context, c Caller, id ticket.JobID) (Answer, error) {
	e, err := o.entry(c, id)
	if err != nil {
		return Answer{}, err
	}
	awaitEnd(ctx, e)
	return o.answer(e)
}

func (o *Owner) entry(c Caller, id ticket.JobID) (*entry, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id.Owner != o.self {
		return nil, o.foreignRefusal(id.Owner)
	}
	return o.ticketTable.lookup(o.now(), c.Name, id)
}
