package job

import (
	"context"

	"snipehub.example/ticket"
)

// Await tells where a job stands at its end, or when ctx ends.
func (o *Owner) Await(ctx context.Context, c Caller, id ticket.JobID) (Answer, error) {
	e, err := o.entry(c, id)
	if err != nil {
		return Answer{}, err
	}
	await(ctx, e)
	return o.answer(e)
}

func (o *Owner) entry(c Caller, id ticket.JobID) (*entry, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id.Owner != o.self {
		return nil, o.foreign(id.Owner)
	}
	return o.book.lookup(o.now(), c.Name, id)
}
