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

// stream is the part of ledger.Client that an editor uses to reach the tables stream.
type stream interface {
	Append(ctx context.Context, stream string, data []byte) (ledger.Offset, error)
	Read(ctx context.Context, stream string, from ledger.Offset, wait time.Duration) (ledger.Page, error)
}

// ErrOutcomeUnknown means that the log's answer to the append was lost and the edit has
// not appeared on the log. It may still appear.
var ErrOutcomeUnknown = errors.New("it is not known whether the edit is on the log")

// ErrRecordsExpired means that the log no longer has all the records that make up the
// tables, and has no snapshot yet.
var ErrRecordsExpired = errors.New("the log has forgotten older records and has no snapshot of the tables yet")

// ConflictError reports that another edit took effect first. The edit that lost the race
// has changed nothing and never will.
type ConflictError struct {
	Base, Current tables.Version
	// Put and Drop are the changes that would still turn the current tables into the
	// wanted ones.
	Put  tables.Rows
	Drop tables.Keys
	// currentState is the state of the tables at version Current.
	currentState *tables.State
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the edit lost a race: it was made for version %d, but version %d is in force", e.Base, e.Current)
}

// Outcome is the result of an edit.
type Outcome struct {
	Version tables.Version `json:"version"`
	// Edit is the id of the edit, "" if there was nothing to change.
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

// Apply appends the edit that turns the current tables into want, and reads the log until
// the edit has taken effect or never can, or ctx ends.
func Apply(ctx context.Context, log *ledger.Client, want tables.Rows, author string) (tables.Version, error) {
	o, err := newEditor(log).change(ctx, func(tables.Rows) tables.Rows { return want }, nil, author)
	return o.Version, err
}

// catchUp reads the log to its end and returns the state of the tables.
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
			return nil, ErrRecordsExpired
		}
		return e.replay.State(), nil
	}
}

// change replaces the tables by the rows that want returns for the current ones. If base
// is not nil, it does so only if that version is in force.
func (e *editor) change(ctx context.Context, want func(cur tables.Rows) tables.Rows, base *tables.Version, author string) (Outcome, error) {
	cur, err := e.catchUp(ctx)
	if err != nil {
		return Outcome{}, err
	}
	rows := want(cur.Rows())
	if base != nil && *base != cur.Version {
		return Outcome{}, newConflictError(*base, cur, rows)
	}
	// Build rejects rows that occur twice; in the edit they would be merged into one.
	if _, err := tables.Build(cur.Version, rows); err != nil {
		return Outcome{}, usageError(err)
	}
	edit := tables.Edit{ID: uuid.NewString(), Base: cur.Version, Author: author, At: time.Now()}
	edit.Put, edit.Drop = tables.Diff(cur.Rows(), rows)
	if noChanges(edit.Put, edit.Drop) {
		return Outcome{Version: cur.Version}, nil
	}
	if _, err := cur.Apply(e.replay.Next(), edit); err != nil {
		return Outcome{}, usageError(err)
	}
	if err := e.append(ctx, edit); err != nil {
		return Outcome{}, err
	}
	return e.awaitOutcome(ctx, edit, rows)
}

// rateLimitBackoff is the pause after the log refused an append because of its rate
// limit.
const rateLimitBackoff = 250 * time.Millisecond

// append appends the edit to the log once. Only a refusal by the rate limit, which
// certainly had no effect, is retried. Any other error counts as a lost answer and is not
// returned: the edit may be on the log, and awaitOutcome finds out by reading. A second
// append would not harm the tables, since its base version has passed, but the history
// would show it as a race that the operator lost against their own edit.
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
		if !clock.Sleep(ctx, rateLimitBackoff) {
			return err
		}
	}
}

// outcomeWait is how long one read waits for the edit to appear, and the pause after a
// read that failed.
const outcomeWait = time.Second

// awaitOutcome reads the log until the edit has taken effect or never can, or ctx ends.
func (e *editor) awaitOutcome(ctx context.Context, edit tables.Edit, want tables.Rows) (Outcome, error) {
	for {
		p, err := e.log.Read(ctx, tables.Stream, e.replay.Next(), outcomeWait)
		if err != nil {
			if !clock.Sleep(ctx, outcomeWait) {
				return Outcome{Edit: edit.ID}, errors.Wrapf(ErrOutcomeUnknown, "edit %s: %v", edit.ID, err)
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
			return Outcome{Edit: edit.ID}, newConflictError(edit.Base, cur, want)
		case ctx.Err() != nil:
			return Outcome{Edit: edit.ID}, errors.Wrapf(ErrOutcomeUnknown, "edit %s", edit.ID)
		}
	}
}

func newConflictError(base tables.Version, cur *tables.State, want tables.Rows) error {
	conflict := &ConflictError{Base: base, Current: cur.Version, currentState: cur}
	conflict.Put, conflict.Drop = tables.Diff(cur.Rows(), want)
	return conflict
}

func noChanges(put tables.Rows, drop tables.Keys) bool {
	return len(put.Routes)+len(put.Teams)+len(put.Pools)+len(put.Servers)+
		len(drop.Routes)+len(drop.Teams)+len(drop.Pools)+len(drop.Servers) == 0
}
