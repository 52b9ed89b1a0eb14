// Package registry follows the topics of the platform's store: the operator's
// configuration, the workers' records, and the members of this system.
//
// A topic is a log of keyed records of which the store keeps at least the latest
// for each key. A follower reads the latest record of each key once and then
// follows the log from there. After a gap (the store has dropped the records that
// come next) it reads the latest records again.
//
// Limits: the store can be down, slow, or silent on a connection that stays open,
// so a call fails when nothing arrives for its timeout, and failed calls are retried with
// an increasing delay. How long a large response takes depends on the link, so a call on
// which data arrives goes on. A follower lags for as long as the store is unreachable;
// Confirmed returns the time as of which its data is current.
package registry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
	"snipehub.example/event"
)

// Offset is the position of a record in its topic.
type Offset uint64

// Record is one record of a topic.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
	// Removed is set if the key was deleted.
	Removed bool
}

// ValidKey reports whether a key can name something: it is text, in UTF-8, and not empty. Keys go
// on in messages between processes, which carry nothing else. In JSON, what is not UTF-8 arrives
// as the replacement character.
func ValidKey(key string) bool {
	return key != "" && utf8.ValidString(key) && !strings.ContainsRune(key, utf8.RuneError)
}

// ErrGap is returned if the store no longer keeps the requested records.
var ErrGap = errors.New("registry: records are no longer kept")

// Source is one topic of the store.
type Source interface {
	// Newest returns the latest record of each key and the offset from which to
	// continue reading.
	Newest(ctx context.Context) ([]Record, Offset, error)
	// Read returns the records from an offset on and the offset after them. It
	// waits up to wait for the first one. It returns ErrGap if there is a gap.
	Read(ctx context.Context, from Offset, wait time.Duration) ([]Record, Offset, error)
}

// Update holds records that a follower has read. Without records, it confirms that nothing
// has changed.
type Update struct {
	// Recipient is for whom the records were read.
	Recipient string
	// Full is set if Records holds the latest record of every key; otherwise it
	// holds the records added since the previous update.
	Full    bool
	Records []Record
	// Next is the offset after the last record.
	Next Offset
	// At is when the read that returned the records began: they reflect the store
	// at that time or later.
	At time.Time
	// Since is when the first read began that could have returned the records: before At if
	// reads have failed in between.
	Since time.Time
}

// Config configures a follower.
type Config struct {
	// Name is the topic's name in log events.
	Name string
	// Wait is how long one read waits for a record; with 0 it returns at once.
	Wait time.Duration
	// Pause is the delay between two reads.
	Pause time.Duration
	// Pace, if not nil, returns the Wait and Pause of the next read.
	Pace func() (wait, pause time.Duration)
	// Timeout bounds the time in which nothing arrives, at first in addition to Wait. A
	// connection can go dead without a reset, which only a timeout detects.
	Timeout time.Duration
}

// The delay after a failed call doubles from minRetryDelay to maxRetryDelay. Jitter
// keeps the processes of a deployment from retrying all at once when the store
// recovers. The maximum is small compared to the two seconds within which a change
// must be in force.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Follower follows one topic.
type Follower struct {
	cfg    Config
	log    *slog.Logger
	source Source
	emit   func(ctx context.Context, u Update)
	// recipient names who gets the updates; "" suspends reading.
	recipient func() string
	// OnCall, if not nil, is called after each call to the source with whether it
	// succeeded, but not after one that returned ErrGap.
	OnCall func(ok bool)

	mu sync.Mutex
	// confirmed is the start of the last successful read.
	confirmed time.Time
	down      bool
}

// New returns a follower that passes updates to emit. If recipient is not nil, the
// follower reads only while recipient returns a name other than "", and reads
// everything again when the name changes, since earlier updates went to somebody else.
func New(cfg Config, log *slog.Logger, source Source, recipient func() string, emit func(context.Context, Update)) *Follower {
	if recipient == nil {
		recipient = func() string { return fixedRecipient }
	}
	return &Follower{cfg: cfg, log: log, source: source, emit: emit, recipient: recipient}
}

// fixedRecipient is the recipient of a follower that is created without a recipient
// function and always reads.
const fixedRecipient = "always"

// Confirmed returns the start of the last successful read, or zero before the first.
func (f *Follower) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Down reports whether the last call failed. A call that returns ErrGap does not change
// it.
func (f *Follower) Down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// Serve follows the topic until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	retryDelay := minRetryDelay
	next, full := Offset(0), true
	lastRecipient := ""
	var since time.Time
	for ctx.Err() == nil {
		recipient := f.recipient()
		full = full || recipient != lastRecipient
		lastRecipient = recipient
		if recipient == "" {
			clock.Sleep(ctx, idlePollInterval)
			continue
		}
		wait, pause := f.pace()
		began := time.Now()
		if since.IsZero() {
			since = began
		}
		u, err := f.readOnce(ctx, next, full, wait)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrGap):
			full = true
		case err != nil:
			f.recordFailure(err, time.Since(began))
			clock.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
		default:
			f.recordSuccess(u.At)
			retryDelay = minRetryDelay
			next, full = u.Next, false
			u.Recipient, u.Since = recipient, since
			u.Records = f.named(u.Records)
			since = time.Time{}
			f.emit(ctx, u)
			clock.Sleep(ctx, pause)
		}
	}
	return ctx.Err()
}

// named returns the records whose keys can name something.
func (f *Follower) named(records []Record) []Record {
	return slices.DeleteFunc(records, func(r Record) bool {
		if ValidKey(r.Key) {
			return false
		}
		event.RecordUnreadable.Log(f.log, "topic", f.cfg.Name, "offset", uint64(r.Offset), "error", "the key is empty or not UTF-8")
		return true
	})
}

// idlePollInterval is how often a follower without a recipient checks for one. It delays
// the first read of a process that becomes the planner.
const idlePollInterval = 50 * time.Millisecond

func (f *Follower) pace() (wait, pause time.Duration) {
	if f.cfg.Pace != nil {
		return f.cfg.Pace()
	}
	return f.cfg.Wait, f.cfg.Pause
}

func (f *Follower) readOnce(ctx context.Context, from Offset, full bool, wait time.Duration) (Update, error) {
	u := Update{Full: full, At: time.Now()}
	var err error
	if full {
		ctx, cancel := withSilenceTimeout(ctx, f.cfg.Timeout, f.cfg.Timeout)
		defer cancel()
		u.Records, u.Next, err = f.source.Newest(ctx)
		return u, err
	}
	ctx, cancel := withSilenceTimeout(ctx, f.cfg.Timeout+wait, f.cfg.Timeout)
	defer cancel()
	u.Records, u.Next, err = f.source.Read(ctx, from, wait)
	return u, err
}

func (f *Follower) recordFailure(err error, after time.Duration) {
	f.reportCall(false)
	f.mu.Lock()
	wasReachable := !f.down
	f.down = true
	f.mu.Unlock()
	if wasReachable {
		event.StoreLost.Log(f.log, "topic", f.cfg.Name, "after_ms", after.Milliseconds(), "error", err)
	}
}

func (f *Follower) reportCall(ok bool) {
	if f.OnCall != nil {
		f.OnCall(ok)
	}
}

func (f *Follower) recordSuccess(at time.Time) {
	f.reportCall(true)
	f.mu.Lock()
	becameReachable := f.down || f.confirmed.IsZero()
	f.confirmed, f.down = at, false
	f.mu.Unlock()
	if becameReachable {
		event.StoreReached.Log(f.log, "topic", f.cfg.Name)
	}
}
