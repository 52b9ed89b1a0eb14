package tables

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"snipehub.example/event"
	"snipehub.example/ledger"
)

// Stream is the name of the tables' stream on the platform's log.
const Stream = "tables"

type reader interface {
	Read(ctx context.Context, stream string, from ledger.Offset, wait time.Duration) (ledger.Page, error)
}

// Follower keeps the newest state that is known to this process. It is a
// suture service.
type Follower struct {
	log  *slog.Logger
	r    reader
	poll time.Duration

	state     atomic.Pointer[State]
	confirmed atomic.Int64
	from      ledger.Offset
	changed   func(*State)
}

// New makes a follower that polls the log with the given wait and calls
// changed after each change.
func New(log *slog.Logger, r reader, poll time.Duration, changed func(*State)) *Follower {
	f := &Follower{log: log, r: r, poll: poll, changed: changed}
	f.state.Store(Empty())
	return f
}

// State returns the state in force.
func (f *Follower) State() *State { return f.state.Load() }

// Confirmed returns the time at which the state was last known to be the
// newest.
func (f *Follower) Confirmed() time.Time { return time.Unix(0, f.confirmed.Load()) }

// Serve follows the log until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			event.LogUnreachable.Log(f.log, "error", err)
			sleep(ctx, time.Second)
		}
	}
	return ctx.Err()
}

func (f *Follower) step(ctx context.Context) error {
	asked := time.Now()
	p, err := f.r.Read(ctx, Stream, f.from, f.poll)
	if err != nil {
		return err
	}
	before := f.State()
	for _, rec := range p.Records {
		f.take(rec)
	}
	f.from = p.Next
	f.confirmed.Store(asked.UnixNano())
	if s := f.State(); s != before {
		event.TablesInForce.Log(f.log, "version", s.Version)
		f.changed(s)
	}
	return nil
}

func (f *Follower) take(rec ledger.Record) {
	var e Edit
	if err := json.Unmarshal(rec.Data, &e); err != nil {
		event.TablesUnreadable.Log(f.log, "offset", rec.Offset, "error", err)
		return
	}
	s, err := f.State().Apply(rec.Offset, e)
	if err != nil {
		event.EditRejected.Log(f.log, "offset", rec.Offset, "edit", e.ID, "error", err)
		return
	}
	f.state.Store(s)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
