package hub

import (
	"context"
	"time"

	"snipehub.example/dispatch"
	"snipehub.example/event"
	"snipehub.example/refusal"
	"snipehub.example/roster"
	"snipehub.example/tables"
)

// standing is what decides whether a process may place work.
type standing struct {
	now time.Time
	// confirmed is when the tables were last known to be the newest.
	confirmed time.Time
	version   tables.Version
	// settle is the bound in which a change is in force everywhere, reach how
	// old an answer may be to show that a neighbour is reached.
	settle, reach time.Duration
	// thawed is when the process last was frozen.
	thawed     time.Time
	neighbours []roster.Neighbour
}

// fresh tells whether the tables are confirmed within the settle time.
func (s standing) fresh() bool {
	return !s.confirmed.IsZero() && s.now.Sub(s.confirmed) <= s.settle
}

// mayPlace tells whether the process may place work.
//
// With tables older than the settle time it might use a backend server that
// already works for the other half. But a data centre that is cut off from the
// platform must go on with what it has, and may: its backend servers get work
// from its own dispatchers only, which all have the same tables. So the question
// is whether it is the data centre that is cut off or this process alone. It is
// the data centre if a neighbour answers and knows nothing newer; a neighbour
// with a fresh confirmation passes it on with its answer, so one that answers is
// as old. It is the process if neighbours are known and none answers. With no
// neighbour known, the process is all there is of its data centre.
func (s standing) mayPlace() bool {
	if s.fresh() {
		return true
	}
	reached := false
	for _, n := range s.neighbours {
		if n.LastAnswered.Before(s.thawed) || s.now.Sub(n.LastAnswered) > s.reach {
			continue
		}
		if s.knowsMore(n) {
			return false
		}
		reached = true
	}
	return reached || len(s.neighbours) == 0
}

// knowsMore tells whether a neighbour has newer tables, or had them confirmed
// within the settle time and this process could not use that.
func (s standing) knowsMore(n roster.Neighbour) bool {
	age := n.Advertised.Age + s.now.Sub(n.LastAnswered)
	return n.Advertised.Tables > s.version || n.Advertised.Confirmed && age <= s.settle
}

// standingEvery is how often the slow part of the rule is worked out.
const standingEvery = 100 * time.Millisecond

// watchStanding works out whether this process may place work, and after a
// freeze makes it confirm its tables anew.
func (h *Hub) watchStanding(ctx context.Context) error {
	sub := h.clock.Subscribe(standingEvery)
	defer sub.Stop()
	gaps := h.clock.Gaps()
	var thawed time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case g := <-gaps:
			event.ProcessSuspended.Log(h.log, "gap", g.To.Sub(g.From).Round(time.Millisecond))
			thawed = g.To
			h.cutOffOK.Store(false)
			h.tables.Resumed(g.To)
		case <-sub.C:
			h.judge(thawed)
		}
	}
}

func (h *Hub) judge(thawed time.Time) {
	s := standing{
		now:       h.clock.Now(),
		confirmed: h.tables.Confirmed(),
		version:   h.tables.State().Version,
		settle:    h.cfg.Tables.Settle.D(),
		reach:     h.cfg.Peers.SuspectAfter.D(),
		thawed:    thawed,
	}
	fresh := s.fresh()
	if !fresh {
		s.neighbours = h.roster.Neighbours()
	}
	ok := s.mayPlace()
	h.cutOffOK.Store(ok && !fresh)
	if was := h.allowed.Swap(ok); was == ok {
		return
	}
	id := event.PlacingStopped
	if ok {
		id = event.PlacingResumed
	}
	id.Log(h.log, "version", s.version, "confirmed", s.confirmed, "neighbours", len(s.neighbours))
}

// mayPlace tells whether this process may start work now. The age is looked at
// for each task; whether the data centre is cut off is worked out before.
func (h *Hub) mayPlace(now time.Time) bool {
	s := standing{now: now, confirmed: h.tables.Confirmed(), settle: h.cfg.Tables.Settle.D()}
	return s.fresh() || h.cutOffOK.Load()
}

// cutOffRetryAfter is when a caller should come back, over another entry VM.
const cutOffRetryAfter = time.Second

// gate turns new jobs of the own tickets away while this process must not place
// work. It stands between the owner and the queue, so that the refusal burns the
// identity like any other "not run", and submissions of known identities still
// get their answers.
type gate struct{ h *Hub }

// Submit passes the submission on or refuses all of it.
func (g gate) Submit(s dispatch.Submission) error {
	if !g.h.mayPlace(g.h.clock.Now()) {
		return refusal.New(refusal.CutOff, "").WithRetryAfter(cutOffRetryAfter)
	}
	return g.h.place.Submit(s)
}

// Cancel passes the cancellation on.
func (g gate) Cancel(job string) { g.h.place.Cancel(job) }
