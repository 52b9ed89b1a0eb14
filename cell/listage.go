package cell

import (
	"time"

	"snipehub.example/event"
	"snipehub.example/mesh"
)

// MaxListAge is the age from which the worker list counts as late: more than two intervals
// between reads. Tasks must not start on a worker later than two seconds after it has
// reported that it drains.
const MaxListAge = time.Second

// ListAge returns how long ago the worker list was current for certain. Before it has been
// read, it counts as current when the previous planner may have fallen silent, at most
// mesh.SessionTimeout before this process became the planner.
func (pl *Planner) ListAge(now time.Time) time.Duration { return now.Sub(pl.listAsOf) }

// AwaitList has no tasks granted until the worker list has been read, for a short time at
// most: the store may be away from everybody. It is for a planner whose members, like
// itself, may not have run for a while, and have not been told which of their workers drain.
func (pl *Planner) AwaitList(now time.Time) { pl.awaitListUntil = now.Add(reportGracePeriod) }

func (pl *Planner) awaitsList(now time.Time) bool {
	return !pl.listRead && now.Before(pl.awaitListUntil)
}

// confirmList records that a member has read the list, which is known as of a time.
func (pl *Planner) confirmList(now time.Time, reader mesh.ID, asOf time.Time) {
	if !asOf.After(pl.listAsOf) {
		return
	}
	before := pl.ListAge(now)
	pl.listAsOf = asOf
	if pl.listLate && pl.ListAge(now) <= MaxListAge {
		pl.listLate = false
		event.WorkerListCurrent.Log(pl.log, "reader", reader, "was_ms_old", before.Milliseconds())
	}
}

func (pl *Planner) checkListAge(now time.Time) {
	if !pl.listLate && pl.ListAge(now) > MaxListAge {
		pl.listLate = true
		event.WorkerListLate.Log(pl.log, "age_ms", pl.ListAge(now).Milliseconds(), "read", pl.listRead)
	}
}
