package claim

import (
	"time"

	"snipehub.example/ledger"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// Config holds the limits of a claimer.
type Config struct {
	// Claims is the maximum number of stored first claims.
	Claims int
	// Pending is the maximum number of keys that wait for the log at once.
	Pending int
	// Skew is the maximum difference between two clocks.
	Skew time.Duration
	// LogTimeout is the timeout of a key that waits for the log, and of the first
	// read of a process that starts while the log fails.
	LogTimeout time.Duration
	// MarkerInterval is the maximum age of the newest record, after which an empty one
	// (a marker) is appended. If the log's retention had dropped all records, a
	// process that starts could not know since when it has read everything, and
	// would refuse all keys.
	MarkerInterval time.Duration
}

// Pending is a key whose claim has not been read back from the log yet.
type Pending struct {
	// Done is closed when the key is decided.
	Done chan struct{}
	// ID and Err are set when Done is closed.
	ID  ticket.JobID
	Err error

	claim       Claim
	requestedAt time.Time
}

// Core decides about keys. It is a deterministic state machine without I/O, driven by
// the Claimer.
type Core struct {
	cfg     Config
	table   *Table
	pending map[CallerKey]*Pending
	// unappended queues the claims to append: those not sent to the log yet, and
	// those whose append failed.
	unappended []*Pending
	// logDown is set if the last read failed. lastRecordAt is when a record was
	// last read or a marker last returned by Batch; without either, the time of the
	// first read.
	logDown      bool
	lastRecordAt time.Time
	// nextMarkerAt is when a marker may be appended again while records are
	// missing, because the previous one may have been lost.
	nextMarkerAt time.Time
	// reserve reserves an identity of this process for a caller's key.
	reserve func(caller string) (ticket.JobID, error)
}

// NewCore returns a core that has read nothing of the log yet.
func NewCore(cfg Config, reserve func(caller string) (ticket.JobID, error)) *Core {
	return &Core{cfg: cfg, table: NewTable(cfg.Claims, cfg.Skew), pending: make(map[CallerKey]*Pending), reserve: reserve}
}

const retryAfter = time.Second

// Request looks up or claims the identity of a key. It returns the identity, or a pending
// claim, or a refusal. Only a malformed key is refused as "not run": any other key may be
// known to another process that runs its job.
func (c *Core) Request(now time.Time, caller, key string) (ticket.JobID, *Pending, error) {
	k, ok := ParseKey(key)
	if !ok {
		return ticket.JobID{}, nil, refusal.New(refusal.BadKey, "")
	}
	callerKey := CallerKey{caller, k}
	v, id := c.table.Lookup(callerKey)
	switch {
	case v == Claimed:
		return id, nil, nil
	case v == TooOld:
		return id, nil, refusalFor(TooOld)
	case v == NothingRead || c.logDown:
		return id, nil, refusal.New(refusal.LogDown, "").WithRetryAfter(retryAfter)
	case KeyTime(k).After(now.Add(c.cfg.Skew)):
		return id, nil, refusalFor(TooEarly)
	}
	p, err := c.addPending(now, callerKey)
	return id, p, err
}

func (c *Core) addPending(now time.Time, key CallerKey) (*Pending, error) {
	if p := c.pending[key]; p != nil {
		return p, nil
	}
	if len(c.pending) >= c.cfg.Pending {
		return nil, refusal.New(refusal.KeysBusy, "too many keys wait for the log").WithRetryAfter(retryAfter)
	}
	id, err := c.reserve(key.Caller)
	if err != nil {
		return nil, refusal.New(refusal.KeysBusy, err.Error()).WithRetryAfter(retryAfter)
	}
	p := &Pending{Done: make(chan struct{}), claim: Claim{key, id}, requestedAt: now}
	c.pending[key] = p
	c.unappended = append(c.unappended, p)
	return p, nil
}

func refusalFor(v Verdict) error {
	if v == TooEarly {
		return refusal.New(refusal.KeyEarly, "").WithRetryAfter(retryAfter)
	}
	return refusal.New(refusal.Forgotten, "the key is older than what the log remembers")
}

// Ready reports whether a process that was started age ago should be sent new keys.
//
// Before its first read a process would refuse every new key as "outcome unknown"
// even though the log works, so it is not ready until that read has succeeded, however
// long this takes on a busy VM. If the log fails, the process is ready after the same
// timeout as a key has: every process then refuses new keys, and tickets need no log.
func (c *Core) Ready(age time.Duration) bool {
	return c.table.hasRead || c.logDown && age >= c.cfg.LogTimeout
}

// Offset returns the offset from which to read the stream.
func (c *Core) Offset() ledger.Offset { return c.table.Next() }

// Batch returns the claims for the next record, and the record. If no claim is
// queued, it returns a marker if one is due, else no record.
func (c *Core) Batch(now time.Time) (batch []*Pending, record []byte) {
	c.expire(now)
	n := min(len(c.unappended), MaxBatch)
	if n == 0 && !c.markerDue(now) {
		return nil, nil
	}
	batch, c.unappended = c.unappended[:n:n], c.unappended[n:]
	claims := make([]Claim, n)
	for i, p := range batch {
		claims[i] = p.claim
	}
	record, err := Encode(claims)
	if err != nil {
		return nil, nil
	}
	if n == 0 {
		c.lastRecordAt = now
	}
	return batch, record
}

// markerDue reports whether to append an empty record: the stream was silent for too
// long, or records are missing and the table needs the time of a further record to know
// up to when they are.
func (c *Core) markerDue(now time.Time) bool {
	if c.table.hasGap && !now.Before(c.nextMarkerAt) {
		c.nextMarkerAt = now.Add(c.cfg.LogTimeout)
		return true
	}
	return c.table.hasRead && now.Sub(c.lastRecordAt) >= c.cfg.MarkerInterval
}

// AppendFailed queues a batch again whose append failed. If the first append took effect
// after all, the second does no harm, because both records name the same identities.
func (c *Core) AppendFailed(batch []*Pending) {
	for _, p := range batch {
		if c.pending[p.claim.CallerKey] == p {
			c.unappended = append(c.unappended, p)
		}
	}
}

// ReadFailed records that the log could not be read. Until a read succeeds, new keys are
// refused at once; keys that are pending already stay so.
func (c *Core) ReadFailed() { c.logDown = true }

// Read applies a page of the log and settles the pending keys that it decides.
func (c *Core) Read(now time.Time, p ledger.Page) {
	c.logDown = false
	if len(p.Records) > 0 || c.lastRecordAt.IsZero() {
		c.lastRecordAt = now
	}
	for _, d := range c.table.ApplyPage(p) {
		waiting := c.pending[d.CallerKey]
		if waiting == nil {
			continue
		}
		if d.Verdict != Claimed {
			c.settle(waiting, ticket.JobID{}, refusalFor(d.Verdict))
			continue
		}
		c.settle(waiting, d.ID, nil)
	}
}

// expire refuses pending keys that have timed out. The claim of such a key may still
// appear on the log. It then names the identity that was reserved for it, under which
// nothing was started; the caller was told to retry with the same key, and gets that
// identity.
func (c *Core) expire(now time.Time) {
	for _, p := range c.pending {
		if now.Sub(p.requestedAt) > c.cfg.LogTimeout {
			c.settle(p, ticket.JobID{}, refusal.New(refusal.LogDown, "").WithRetryAfter(retryAfter))
		}
	}
	unsettled := c.unappended[:0]
	for _, p := range c.unappended {
		if c.pending[p.claim.CallerKey] == p {
			unsettled = append(unsettled, p)
		}
	}
	c.unappended = unsettled
}

func (c *Core) settle(p *Pending, id ticket.JobID, err error) {
	delete(c.pending, p.claim.CallerKey)
	p.ID, p.Err = id, err
	close(p.Done)
}
