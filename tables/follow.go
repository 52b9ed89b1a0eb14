package tables

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"snipehub.example/clock"
	"snipehub.example/event"
	"snipehub.example/ledger"
)

// logClient is the part of the platform's log client that a follower uses.
type logClient interface {
	Read(ctx context.Context, stream string, from ledger.Offset, wait time.Duration) (ledger.Page, error)
	Append(ctx context.Context, stream string, data []byte) (ledger.Offset, error)
}

// Config configures a follower.
type Config struct {
	// Poll is how long one read waits for new records.
	Poll time.Duration
	// SnapshotInterval is the shortest time between two snapshots on the log.
	SnapshotInterval time.Duration
	// Settle is the time within which a change is in force everywhere.
	Settle time.Duration
	// Changed is called after each change of the version in force. It must not block.
	Changed func()
}

// Follower keeps the newest state that this process knows. It is a suture service and
// safe for concurrent use.
type Follower struct {
	log    *slog.Logger
	client logClient
	cfg    Config

	state     atomic.Pointer[State]
	confirmed atomic.Pointer[time.Time]

	holdsMu sync.RWMutex
	holds   *Holds

	compressedMu       sync.Mutex
	compressedSnapshot compressedSnapshot

	mu       sync.Mutex
	replay   *Replay
	schedule *SnapshotSchedule
	complete bool
	// interrupt cancels the read that waits at the log; skipWait makes the next read
	// return at once.
	interrupt context.CancelFunc
	skipWait  bool
	// notBefore is the end of the last suspension: answers to earlier calls confirm
	// nothing.
	notBefore time.Time
	// downSince is the first failure since the log last answered, or zero; lastRead is
	// when it last answered.
	downSince time.Time
	lastRead  time.Time
}

// New returns a follower.
func New(log *slog.Logger, client logClient, cfg Config, rnd *rand.Rand) *Follower {
	f := &Follower{
		log:       log,
		client:    client,
		cfg:       cfg,
		replay:    NewReplay(),
		complete:  true,
		holds:     NewHolds(cfg.Settle),
		schedule:  NewSnapshotSchedule(time.Now(), cfg.SnapshotInterval, rnd),
		interrupt: func() {},
		skipWait:  true,
	}
	f.state.Store(f.replay.State())
	f.confirmed.Store(new(time.Time))
	return f
}

// State returns the state in force.
func (f *Follower) State() *State { return f.state.Load() }

// Confirmed returns the time at which the state was last known to be the newest, from a
// read of the log by this process or by a peer. It is zero before the first confirmation.
func (f *Follower) Confirmed() time.Time { return *f.confirmed.Load() }

// retryDelay is the delay after a failed read.
const retryDelay = time.Second

// Serve follows the log until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.readOnce(ctx) {
			clock.Sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// readOnce reads once and reports whether the log can be read again without a delay.
func (f *Follower) readOnce(ctx context.Context) bool {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.interrupt = cancel
	from := f.replay.Next()
	wait := f.cfg.Poll
	if f.skipWait {
		wait = 0
	}
	f.skipWait = false
	f.mu.Unlock()
	readStart := time.Now()
	p, err := f.client.Read(readCtx, Stream, from, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		return f.readFailed(ctx, readCtx, err)
	}
	f.readSucceeded()
	f.applyPage(readStart, p)
	return true
}

// readFailed handles a failed read and reports whether it was only interrupted, which is
// no failure.
func (f *Follower) readFailed(ctx, readCtx context.Context, err error) bool {
	if readCtx.Err() != nil {
		return true
	}
	if f.downSince.IsZero() && ctx.Err() == nil {
		f.downSince = time.Now()
		event.LogUnreachable.Log(f.log, "error", err)
	}
	return false
}

func (f *Follower) readSucceeded() {
	f.lastRead = time.Now()
	if f.downSince.IsZero() {
		return
	}
	event.LogReachable.Log(f.log, "after", time.Since(f.downSince).Round(time.Millisecond))
	f.downSince = time.Time{}
}

// applyPage applies a page of the log. A page that reaches the end of the log confirms
// the state as of the start of the read.
func (f *Follower) applyPage(readStart time.Time, p ledger.Page) {
	if p.End != 0 && p.End < f.replay.Next() {
		event.LogTruncated.Log(f.log, "end", p.End, "read", f.replay.Next())
		return
	}
	for _, result := range f.replay.ApplyPage(p) {
		f.logResult(result)
	}
	f.publish()
	if f.replay.Complete() && p.Next >= p.End {
		f.confirm(f.replay.State().Version, readStart, 0)
	}
}

func (f *Follower) logResult(result RecordResult) {
	switch {
	case result.Snapshot:
		f.schedule.Restart(time.Now())
	case result.Discarded:
		event.HeldEditsDropped.Log(f.log, "offset", result.Offset)
	case result.Err == nil:
	case result.Edit == "":
		event.TablesUnreadable.Log(f.log, "offset", result.Offset, "error", result.Err)
	default:
		event.EditRejected.Log(f.log, "offset", result.Offset, "edit", result.Edit, "error", result.Err)
	}
}

// publish makes the replay's state the one in force.
func (f *Follower) publish() {
	if c := f.replay.Complete(); c != f.complete {
		f.complete = c
		if c {
			event.TablesComplete.Log(f.log, "version", f.replay.State().Version)
		} else {
			event.TablesIncomplete.Log(f.log, "version", f.replay.State().Version, "next", f.replay.Next())
		}
	}
	before, now := f.State(), f.replay.State()
	if before == now {
		return
	}
	// The holds come first: placing must not see a moved server before it sees that the
	// server is held back.
	if n := f.holdMoved(before, now); n > 0 {
		event.ServersHeld.Log(f.log, "version", now.Version, "servers", n)
	}
	f.state.Store(now)
	if before.Version == now.Version {
		return
	}
	event.TablesInForce.Log(f.log, "version", now.Version)
	f.cfg.Changed()
}

func (f *Follower) holdMoved(before, now *State) int {
	f.holdsMu.Lock()
	defer f.holdsMu.Unlock()
	return f.holds.Update(time.Now(), before, now)
}

// Held reports whether a backend server is held back after a move between halves.
func (f *Follower) Held(now time.Time, server netip.AddrPort) bool {
	f.holdsMu.RLock()
	defer f.holdsMu.RUnlock()
	return f.holds.Held(now, server)
}

// Confirm applies a peer's confirmation that v is the newest version. The peer's
// confirmation was as old as age when it answered a call that was sent at the given time.
// It has no effect if the state here is older than v.
func (f *Follower) Confirm(v Version, sent time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirm(v, sent, age)
}

func (f *Follower) confirm(v Version, sent time.Time, age time.Duration) {
	at := sent.Add(-age)
	if f.State().Version >= v && !sent.Before(f.notBefore) && at.After(f.Confirmed()) {
		f.confirmed.Store(&at)
	}
}

// Resumed is called after this process was suspended until the given time. The clock may
// have stood still as well (a suspended VM), so the age of the confirmation is not known:
// the state counts as unconfirmed, and the log is read at once. Answers to calls from
// before that time confirm nothing.
func (f *Follower) Resumed(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notBefore = until
	f.confirmed.Store(new(time.Time))
	f.skipWait = true
	f.interrupt()
}

// ShouldFetch reports whether to send a FetchRequest to a peer that has the version: if it
// is newer and the log does not answer here, or if a snapshot is missing. While the log
// answers, it delivers the edit itself, and a peer would only deliver it a second time.
func (f *Follower) ShouldFetch(now time.Time, v Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.replay.Complete() {
		return v >= f.State().Version
	}
	return v > f.State().Version && now.Sub(f.lastRead) > 2*f.cfg.Poll
}

// FetchRequest returns the request to send to a peer.
func (f *Follower) FetchRequest() FetchRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replay.FetchRequest()
}

// FetchReply returns the answer to a peer's request.
func (f *Follower) FetchReply(req FetchRequest) (FetchReply, error) {
	f.mu.Lock()
	p, ok := f.replay.EditsSince(req)
	st, through, hasBasis := f.replay.SnapshotBasis()
	f.mu.Unlock()
	switch {
	case ok:
		return FetchReply{Page: &p}, nil
	case !hasBasis:
		return FetchReply{}, nil
	}
	b, err := f.snapshot(st, through, req.From)
	return FetchReply{Snapshot: b}, err
}

// compressedSnapshot is a compressed snapshot with the state and offset that it was made
// from.
type compressedSnapshot struct {
	state   *State
	through ledger.Offset
	bytes   []byte
}

// snapshot returns the compressed snapshot of a state. It reuses the previous one if
// possible, since hundreds of new processes may ask for the same one at once. A snapshot
// whose last offset is below from-1 is not reused: the process that asked needs the
// records from the offset from on, so those in between could be missing there.
func (f *Follower) snapshot(st *State, through, from ledger.Offset) ([]byte, error) {
	f.compressedMu.Lock()
	defer f.compressedMu.Unlock()
	if f.compressedSnapshot.state == st && f.compressedSnapshot.through >= from-1 {
		return f.compressedSnapshot.bytes, nil
	}
	b, err := NewSnapshot(st, through).Encode()
	if err != nil {
		return nil, err
	}
	f.compressedSnapshot = compressedSnapshot{st, through, b}
	return b, nil
}

// ApplyReply applies a peer's answer.
func (f *Follower) ApplyReply(reply FetchReply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	results, err := f.replay.ApplyReply(reply)
	if err != nil {
		return err
	}
	for _, result := range results {
		f.logResult(result)
	}
	f.publish()
	return nil
}

// PutSnapshot appends a snapshot to the log when it is due. A lost answer does no harm:
// the record is seen when the log is read, and a second snapshot changes nothing.
func (f *Follower) PutSnapshot(ctx context.Context, now time.Time) error {
	f.mu.Lock()
	if !f.schedule.Due(now) {
		f.mu.Unlock()
		return nil
	}
	f.schedule.Restart(now)
	st, through, ok := f.replay.SnapshotBasis()
	f.mu.Unlock()
	if !ok {
		return nil
	}
	b, err := NewSnapshot(st, through).Encode()
	if err != nil {
		return err
	}
	off, err := f.client.Append(ctx, Stream, b)
	if err != nil {
		event.SnapshotFailed.Log(f.log, "version", st.Version, "error", err)
		return nil
	}
	event.SnapshotAppended.Log(f.log, "version", st.Version, "offset", off, "bytes", len(b))
	return nil
}
