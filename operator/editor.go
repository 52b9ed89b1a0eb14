package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"snipehub.example/clock"
	"snipehub.example/ledger"
	"snipehub.example/tables"
)

// stream is what an editor needs of the log.
type stream interface {
	Append(ctx context.Context, stream string, data []byte) (ledger.Offset, error)
	Read(ctx context.Context, stream string, from ledger.Offset, wait time.Duration) (ledger.Page, error)
}

// ErrOpen means that the log's answer to the append was lost and the edit has
// not shown up. It may still do so.
var ErrOpen = errors.New("it is not known whether the edit is on the log")

// ErrForgotten means that the log no longer has the records that make the
// state, and no snapshot yet.
var ErrForgotten = errors.New("the log has forgotten older records and has no snapshot of the tables yet")

// Lost is the error of an edit that lost a race: another one took effect first.
// It has changed nothing and never will.
type Lost struct {
	Base, Current tables.Version
	// Put and Drop are what would still have to change.
	Put  tables.Rows
	Drop tables.Keys
	// state is the current one.
	state *tables.State
}

// Error makes Lost an error.
func (l *Lost) Error() string {
	return fmt.Sprintf("the edit lost a race: it was made for version %d, but version %d is in force", l.Base, l.Current)
}

// Outcome is what became of an edit.
type Outcome struct {
	Version tables.Version `json:"version"`
	// Edit is the id of the edit, "" when there was nothing to change.
	Edit string `json:"edit,omitempty"`
}

// editor follows the tables stream and appends edits.
type editor struct {
	log    stream
	replay *tables.Replay
}

func newEditor(log stream) *editor {
	return &editor{log: log, replay: tables.NewReplay()}
}

// Apply appends the edit that turns the current tables into want, and reads
// the log until the edit's fate is known.
func Apply(ctx context.Context, log *ledger.Client, want tables.Rows, author string) (tables.Version, error) {
	o, err := newEditor(log).change(ctx, func(tables.Rows) tables.Rows { return want }, nil, author)
	return o.Version, err
}

// catchUp reads the log to its end and returns the state.
func (e *editor) catchUp(ctx context.Context) (*tables.State, error) {
	for {
		p, err := e.log.Read(ctx, tables.Stream, e.replay.Next(), 0)
		if err != nil {
			return nil, err
		}
		e.replay.ApplyPage(p)
		if len(p.Records) > 0 {
			continue
		}
		if !e.replay.Complete() {
			return nil, ErrForgotten
		}
		return e.replay.State(), nil
	}
}

// change brings want into force. A base other than nil is the version that the
// operator saw.
func (e *editor) change(ctx context.Context, want func(cur tables.Rows) tables.Rows, base *tables.Version, author string) (Outcome, error) {
	cur, err := e.catchUp(ctx)
	if err != nil {
		return Outcome{}, err
	}
	rows := want(cur.Rows())
	if base != nil && *base != cur.Version {
		return Outcome{}, lost(*base, cur, rows)
	}
	// Rows that stand twice would pass as one in the edit.
	if _, err := tables.Build(cur.Version, rows); err != nil {
		return Outcome{}, usage(err)
	}
	edit := tables.Edit{ID: uuid.NewString(), Base: cur.Version, Author: author, At: time.Now()}
	edit.Put, edit.Drop = tables.Diff(cur.Rows(), rows)
	if empty(edit.Put, edit.Drop) {
		return Outcome{Version: cur.Version}, nil
	}
	if _, err := cur.Apply(e.replay.Next(), edit); err != nil {
		return Outcome{}, usage(err)
	}
	if err := e.append(ctx, edit); err != nil {
		return Outcome{}, err
	}
	return e.settle(ctx, edit, rows)
}

// rateRetry is the pause after the log has refused an append for its rate.
const rateRetry = 250 * time.Millisecond

// append puts the edit on the log once. Only a refusal for the rate, which
// certainly had no effect, is tried again. After a lost answer the edit may be
// on the log; whether it is, settle finds out by reading. A second append would
// do no harm to the tables, since its base has passed, but it would stand in
// the history as a race that the operator lost against himself.
func (e *editor) append(ctx context.Context, edit tables.Edit) error {
	b, err := json.Marshal(edit)
	if err != nil {
		return errors.Wrap(err, "edit")
	}
	for {
		_, err := e.log.Append(ctx, tables.Stream, b)
		if !errors.Is(err, ledger.ErrRateLimited) {
			return nil
		}
		if !clock.Sleep(ctx, rateRetry) {
			return err
		}
	}
}

// settleWait is how long one read waits for the edit to show up, and how long
// to pause when the log does not answer.
const settleWait = time.Second

// settle reads until the edit has taken effect or never can.
func (e *editor) settle(ctx context.Context, edit tables.Edit, want tables.Rows) (Outcome, error) {
	for {
		p, err := e.log.Read(ctx, tables.Stream, e.replay.Next(), settleWait)
		if err != nil {
			if !clock.Sleep(ctx, settleWait) {
				return Outcome{Edit: edit.ID}, errors.Wrapf(ErrOpen, "edit %s: %v", edit.ID, err)
			}
			continue
		}
		for _, n := range e.replay.ApplyPage(p) {
			if n.Edit == edit.ID && n.Applied {
				return Outcome{Version: n.Offset, Edit: edit.ID}, nil
			}
		}
		switch cur := e.replay.State(); {
		case cur.Version != edit.Base:
			return Outcome{Edit: edit.ID}, lost(edit.Base, cur, want)
		case ctx.Err() != nil:
			return Outcome{Edit: edit.ID}, errors.Wrapf(ErrOpen, "edit %s", edit.ID)
		}
	}
}

func lost(base tables.Version, cur *tables.State, want tables.Rows) error {
	l := &Lost{Base: base, Current: cur.Version, state: cur}
	l.Put, l.Drop = tables.Diff(cur.Rows(), want)
	return l
}

func empty(put tables.Rows, drop tables.Keys) bool {
	return len(put.Routes)+len(put.Teams)+len(put.Pools)+len(put.Servers)+
		len(drop.Routes)+len(drop.Teams)+len(drop.Pools)+len(drop.Servers) == 0
}
