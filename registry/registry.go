// Package registry follows what the platform's store says: the operator's
// configuration, the workers' own records, and the members of this system.
//
// A topic is a log of records with keys, of which the store keeps at least the
// newest for each key. A follower takes the newest of each key once and then
// follows the log from there. After a gap (the store has dropped what comes
// next) it takes the newest again.
//
// Limits: the store can be down, slow, or silent on a connection that stays
// open, so each call has a timeout of its own and failures are repeated with a
// growing pause. A reader can be behind for as long as the store is away; who
// needs to know asks for the age.
package registry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
	"snipehub.example/event"
)

// Offset is the place of a record in its topic.
type Offset uint64

// Record is one record of a topic.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
	// Dropped tells that the key has no value any more.
	Dropped bool
}

// ErrForgotten means that the store has dropped the records asked for.
var ErrForgotten = errors.New("registry: records are no longer kept")

// Source is one topic of the store.
type Source interface {
	// Newest returns the newest record of each key and the offset at which to
	// go on reading.
	Newest(ctx context.Context) ([]Record, Offset, error)
	// Read returns the records from an offset on and the offset after them. It
	// waits up to wait for the first one. ErrForgotten tells of a gap.
	Read(ctx context.Context, from Offset, wait time.Duration) ([]Record, Offset, error)
}

// News is what a follower passes on.
type News struct {
	// Whole tells that Records are all keys there are; else they are what was
	// added since.
	Whole   bool
	Records []Record
	// Next is the offset after the last record.
	Next Offset
	// At is when the read that brought them began: what the store said is no
	// older than that.
	At time.Time
}

// Config sets a follower.
type Config struct {
	// Name names the topic in the logs.
	Name string
	// Wait is how long one read waits for a record; 0 asks for what is there.
	Wait time.Duration
	// Pause is the time between two reads.
	Pause time.Duration
	// Timeout bounds a call besides its wait. An open connection can go dead
	// without a reset, and only a timeout shows it.
	Timeout time.Duration
}

// The pause after a failed call grows from minRetryDelay to maxRetryDelay, each with a
// random part, so that the processes of a deployment don't come back to a store
// that recovers all at once. The upper end keeps the delay of a change small
// beside the two seconds in which it must be in force.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Follower follows one topic.
type Follower struct {
	cfg       Config
	log       *slog.Logger
	source    Source
	emit      func(ctx context.Context, n News)
	recipient func() string
	// Count is told of each call and whether it succeeded; nil for nobody.
	Count func(ok bool)

	mu sync.Mutex
	// confirmed is when the last successful read began.
	confirmed time.Time
	down      bool
}

// New makes a follower that passes news to emit. Where turn is not nil, it reads
// only while turn does not return "", and starts afresh when what turn returns has
// changed: what was emitted before has gone to somebody else.
func New(cfg Config, log *slog.Logger, source Source, recipient func() string, emit func(context.Context, News)) *Follower {
	if recipient == nil {
		recipient = func() string { return fixedRecipient }
	}
	return &Follower{cfg: cfg, log: log, source: source, emit: emit, recipient: recipient}
}

// fixedRecipient is the turn of a follower that fixedRecipient reads.
const fixedRecipient = "always"

// Confirmed returns when the last successful read began; zero before the first.
func (f *Follower) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Down tells that the last call failed.
func (f *Follower) Down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// Serve follows until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	retryDelay := minRetryDelay
	next, full := Offset(0), true
	lastRecipient := ""
	for ctx.Err() == nil {
		recipient := f.recipient()
		full = full || recipient != lastRecipient
		lastRecipient = recipient
		if recipient == "" {
			clock.Sleep(ctx, idlePollInterval)
			continue
		}
		n, err := f.readOnce(ctx, next, full)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrForgotten):
			full = true
		case err != nil:
			f.recordFailure(err)
			clock.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
		default:
			f.recordSuccess(n.At)
			retryDelay = minRetryDelay
			next, full = n.Next, false
			if n.Whole || len(n.Records) > 0 {
				f.emit(ctx, n)
			}
			clock.Sleep(ctx, f.cfg.Pause)
		}
	}
	return ctx.Err()
}

// idlePollInterval is how often a follower that needn't read looks whether it must. It
// delays the first read of a process that begins to plan.
const idlePollInterval = 50 * time.Millisecond

func (f *Follower) readOnce(ctx context.Context, from Offset, full bool) (News, error) {
	n := News{Whole: full, At: time.Now()}
	var err error
	if full {
		ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
		defer cancel()
		n.Records, n.Next, err = f.source.Newest(ctx)
		return n, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout+f.cfg.Wait)
	defer cancel()
	n.Records, n.Next, err = f.source.Read(ctx, from, f.cfg.Wait)
	return n, err
}

func (f *Follower) recordFailure(err error) {
	f.reportCall(false)
	f.mu.Lock()
	wasReachable := !f.down
	f.down = true
	f.mu.Unlock()
	if wasReachable {
		event.StoreLost.Log(f.log, "topic", f.cfg.Name, "error", err)
	}
}

func (f *Follower) reportCall(ok bool) {
	if f.Count != nil {
		f.Count(ok)
	}
}

func (f *Follower) recordSuccess(at time.Time) {
	f.reportCall(true)
	f.mu.Lock()
	reconnected := f.down || f.confirmed.IsZero()
	f.confirmed, f.down = at, false
	f.mu.Unlock()
	if reconnected {
		event.StoreReached.Log(f.log, "topic", f.cfg.Name)
	}
}
