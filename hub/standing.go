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

// placementState holds the inputs of the decision whether a process may place work.
type placementState struct {
	now time.Time
	// confirmedAt is when the tables were last known to be the newest version.
	confirmedAt time.Time
	version     tables.Version
	// settleTime is the time within which a change takes effect everywhere. maxAnswerAge
	// is the greatest age of an answer that still shows that a neighbour is reachable.
	settleTime, maxAnswerAge time.Duration
	// resumedAt is when the process last resumed after a suspension.
	resumedAt  time.Time
	neighbours []roster.Neighbour
}

// fresh reports whether the tables were confirmed within the settle time.
func (s placementState) fresh() bool {
	return !s.confirmedAt.IsZero() && s.now.Sub(s.confirmedAt) <= s.settleTime
}

// mayPlace reports whether the process may place work.
//
// With tables older than the settle time, the process might use a backend server that
// already works for the other half. A data centre that is cut off from the platform,
// however, must continue with the tables that it has. That is safe: its backend servers
// get work only from its own dispatchers, which all have the same tables. So the decision
// depends on whether the whole data centre is cut off or this process alone. The data
// centre is cut off if a neighbour answers and is not ahead: a neighbour with a fresh
// confirmation includes it in its answer, so a neighbour that answers without one is as
// stale as this process. The process alone is cut off if neighbours are known and none
// answers. If no neighbour is known, this process is the only dispatcher of its data
// centre.
func (s placementState) mayPlace() bool {
	if s.fresh() {
		return true
	}
	reached := false
	for _, n := range s.neighbours {
		if n.LastAnswered.Before(s.resumedAt) || s.now.Sub(n.LastAnswered) > s.maxAnswerAge {
			continue
		}
		if s.isAhead(n) {
			return false
		}
		reached = true
	}
	return reached || len(s.neighbours) == 0
}

// isAhead reports whether a neighbour has newer tables, or has a confirmation from within
// the settle time that this process could not adopt.
func (s placementState) isAhead(n roster.Neighbour) bool {
	age := n.Advertised.Age + s.now.Sub(n.LastAnswered)
	return n.Advertised.Tables > s.version || n.Advertised.Confirmed && age <= s.settleTime
}

// placementInterval is the interval at which updatePlacement compares this process with
// its neighbours, which is too slow to do for each task.
const placementInterval = 100 * time.Millisecond

// watchPlacement keeps the decision whether this process may place work up to date, and
// has the tables confirmed again after the process was suspended.
func (h *Hub) watchPlacement(ctx context.Context) error {
	sub := h.clock.Subscribe(placementInterval)
	defer sub.Stop()
	gaps := h.clock.Gaps()
	var resumedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case g := <-gaps:
			event.ProcessSuspended.Log(h.log, "gap", g.To.Sub(g.From).Round(time.Millisecond))
			resumedAt = g.To
			h.placingAllowedUnconfirmed.Store(false)
			h.tables.Resumed(g.To)
		case <-sub.C:
			h.updatePlacement(resumedAt)
		}
	}
}

// updatePlacement decides whether this process may place work, and logs each change of
// that.
func (h *Hub) updatePlacement(resumedAt time.Time) {
	s := placementState{
		now:          h.clock.Now(),
		confirmedAt:  h.tables.Confirmed(),
		version:      h.tables.State().Version,
		settleTime:   h.cfg.Tables.Settle.D(),
		maxAnswerAge: h.cfg.Peers.SuspectAfter.D(),
		resumedAt:    resumedAt,
	}
	fresh := s.fresh()
	if !fresh {
		s.neighbours = h.roster.Neighbours()
	}
	ok := s.mayPlace()
	h.placingAllowedUnconfirmed.Store(ok && !fresh)
	if was := h.placingAllowed.Swap(ok); was == ok {
		return
	}
	id := event.PlacingStopped
	if ok {
		id = event.PlacingResumed
	}
	id.Log(h.log, "version", s.version, "confirmed", s.confirmedAt, "neighbours", len(s.neighbours))
}

// mayPlace reports whether this process may start work now. The age of the confirmation
// is checked on each call; whether the data centre is cut off was decided by
// updatePlacement.
func (h *Hub) mayPlace(now time.Time) bool {
	s := placementState{now: now, confirmedAt: h.tables.Confirmed(), settleTime: h.cfg.Tables.Settle.D()}
	return s.fresh() || h.placingAllowedUnconfirmed.Load()
}

// cutOffRetryAfter is the delay after which a caller should retry through another entry
// VM.
const cutOffRetryAfter = time.Second

// gate refuses new jobs under tickets of this process while the process must not place
// work. It stands between the owner and the dispatcher's queue, so that the refusal burns
// the identity like any other "not run", while submissions of known identities still get
// their answers.
type gate struct{ h *Hub }

// Submit forwards the submission to the dispatcher or refuses it as a whole.
func (g gate) Submit(s dispatch.Submission) error {
	if !g.h.mayPlace(g.h.clock.Now()) {
		return refusal.New(refusal.CutOff, "").WithRetryAfter(cutOffRetryAfter)
	}
	return g.h.dispatcher.Submit(s)
}

// Cancel forwards the cancellation to the dispatcher.
func (g gate) Cancel(job string) { g.h.dispatcher.Cancel(job) }
