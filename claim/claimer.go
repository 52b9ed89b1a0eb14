package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"snipehub.example/clock"
	"snipehub.example/ledger"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// Log is the part of the platform's log that a Claimer uses.
type Log interface {
	// Append appends a record to the stream. After an error the record may or may
	// not be on the stream.
	Append(ctx context.Context, stream string, data []byte) (ledger.Offset, error)
	Read(ctx context.Context, stream string, from ledger.Offset, wait time.Duration) (ledger.Page, error)
}

// Claimer drives a Core: one goroutine reads the stream, another appends to it. Both
// are suture services.
type Claimer struct {
	log Log
	now func() time.Time
	// appendRate returns this process's share of the append rate, in appends per
	// second.
	appendRate func() float64
	limiter    *rate.Limiter
	// startedAt is when the claimer was made, at the start of the process.
	startedAt time.Time

	mu   sync.Mutex
	core *Core
	wake chan struct{}
}

// New returns a claimer. It calls appendRate before each append, because the rate
// changes with the number of dispatchers.
//
// The marker intervals of the processes are randomized, so that most processes see
// the marker of another one and needn't append their own.
func New(cfg Config, log Log, now func() time.Time, appendRate func() float64, reserve func(caller string) (ticket.JobID, error)) *Claimer {
	cfg.MarkerInterval += rand.N(cfg.MarkerInterval + 1)
	return &Claimer{
		log:        log,
		now:        now,
		appendRate: appendRate,
		limiter:    rate.NewLimiter(rate.Limit(appendRate()), 1),
		startedAt:  now(),
		core:       NewCore(cfg, reserve),
		wake:       make(chan struct{}, 1),
	}
}

// Resolve returns the identity for a caller's key. If the key is unclaimed, Resolve
// claims it. Its errors are of type *refusal.Refusal.
func (c *Claimer) Resolve(ctx context.Context, caller, key string) (ticket.JobID, error) {
	c.mu.Lock()
	id, p, err := c.core.Request(c.now(), caller, key)
	c.mu.Unlock()
	if p == nil {
		return id, err
	}
	c.wakeAppender()
	select {
	case <-p.Done:
		return p.ID, p.Err
	case <-ctx.Done():
		return ticket.JobID{}, refusal.New(refusal.LogDown, "the caller has gone")
	}
}

// Ready reports whether callers with new keys should be sent to this process; see
// Core.Ready.
func (c *Claimer) Ready() bool {
	age := c.now().Sub(c.startedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Ready(age)
}

func (c *Claimer) wakeAppender() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

const (
	longPollWait = 5 * time.Second
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = time.Second
	// sweepInterval is how often the appender checks for claims that have timed out
	// and for a silent stream.
	sweepInterval = 250 * time.Millisecond
)

// ServeReads follows the stream until ctx ends.
func (c *Claimer) ServeReads(ctx context.Context) error {
	backoff := minBackoff
	// The first read after a start or an error doesn't wait for a record: on a
	// silent stream every new key would be refused until a record arrived.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		c.mu.Lock()
		from := c.core.Offset()
		c.mu.Unlock()
		p, err := c.log.Read(ctx, Stream, from, wait)
		if err != nil {
			wait = 0
			c.mu.Lock()
			c.core.ReadFailed()
			c.mu.Unlock()
			clock.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff, wait = minBackoff, longPollWait
		c.mu.Lock()
		c.core.Read(c.now(), p)
		c.mu.Unlock()
	}
	return ctx.Err()
}

// ServeAppends appends the queued claims in batches, within the append rate, until
// ctx ends.
func (c *Claimer) ServeAppends(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		case <-t.C:
		}
		for c.appendBatch(ctx) {
		}
	}
}

// appendBatch appends one batch. It returns false if there is none or the append
// failed.
func (c *Claimer) appendBatch(ctx context.Context) bool {
	c.mu.Lock()
	hasQueued := len(c.core.unappended) > 0
	c.mu.Unlock()
	if hasQueued {
		c.limiter.SetLimit(rate.Limit(c.appendRate()))
		if c.limiter.Wait(ctx) != nil {
			return false
		}
	}
	c.mu.Lock()
	batch, record := c.core.Batch(c.now())
	c.mu.Unlock()
	if record == nil {
		return false
	}
	if _, err := c.log.Append(ctx, Stream, record); err != nil {
		c.mu.Lock()
		c.core.AppendFailed(batch)
		c.mu.Unlock()
		clock.Sleep(ctx, jitter(minBackoff))
		return false
	}
	return true
}

// Stats returns the number of stored claims, of keys that wait for the log, and of
// evicted claims.
func (c *Claimer) Stats() (stored, pending int, evicted int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.table.Len(), len(c.core.pending), c.core.table.Evicted()
}

// jitter spreads the retries of processes that failed at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
