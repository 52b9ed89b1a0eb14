package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

const (
	// reportGracePeriod is how long a planner that is new, or was cut off, waits for the
	// members' reports before it assigns workers, unless all existing processes have
	// reported sooner. The look-ahead waits at most as long. Members
	// that were there under the previous planner report within milliseconds; processes
	// that start together find each other within about 400 ms.
	reportGracePeriod = 500 * time.Millisecond
	// assignmentRepeatInterval is when an assignment that no report confirms is repeated.
	// It is also the least time between two release messages for a worker.
	assignmentRepeatInterval = 500 * time.Millisecond
	// moveCooldown is how long a worker stays with its holder before it is moved to
	// balance the load, and how long another member is preferred to its former holder:
	// the platform forbids two holders that take turns within three seconds.
	moveCooldown = 4 * time.Second
	// minLoadGap is the least difference of load that is worth a move, in workers for a
	// member of average size. During a move no tasks start on the worker for two round
	// trips.
	minLoadGap = 2.0
	// unreachableTimeout is when a worker that its holder can't reach is moved to another
	// member, which may have a path to it.
	unreachableTimeout = 1500 * time.Millisecond
	// unlistedTimeout is when a worker that isn't listed and doesn't answer is released,
	// and then forgotten.
	unlistedTimeout = 2 * time.Second
)

// assign gives each worker without a holder to a member, repeats unconfirmed assignments,
// and asks leaving members to release their workers.
func (pl *Planner) assign(now time.Time) {
	if !pl.mayAssign(now) {
		return
	}
	load := pl.memberLoads()
	for _, w := range pl.sortedWorkers() {
		switch {
		case w.holder == (mesh.ID{}):
			pl.assignWorker(now, w, load)
		case !w.confirmed && now.Sub(w.assignedAt) > assignmentRepeatInterval:
			pl.assignWorker(now, w, load)
		case pl.members[w.holder].Leaving:
			pl.sendRelease(now, w)
		}
	}
}

// mayAssign reports whether this planner reaches enough of the cell to assign workers,
// and has the members' reports or has waited long enough for them. A planner that is cut
// off, or whose other members have just started, would take the workers of those that it
// can't reach. One that was cut off for a while would take them from the holders that they
// have had since, and give workers that drain to members that have not been told.
//
// If nobody in sight holds a worker, all processes have just started, as after a power
// failure. Then callers who are already waiting are served without waiting for the processes
// that are still missing. Otherwise the workers are better spread over all of them.
func (pl *Planner) mayAssign(now time.Time) bool {
	switch {
	case !pl.mayReassign:
		return false
	case !now.Before(pl.assignFrom):
		return true
	}
	return pl.allReported() && (pl.allReachable || !pl.foundHeld && len(pl.pending) > 0)
}

// assignsEarly reports whether workers are assigned before all processes are there. Then
// those of a data centre without a member wait: a holder elsewhere would lose them if either
// data centre were cut off before they are moved back.
func (pl *Planner) assignsEarly(now time.Time) bool {
	return now.Before(pl.assignFrom) && !pl.allReachable
}

// allReported reports whether all members have sent a full report.
func (pl *Planner) allReported() bool {
	for _, m := range pl.members {
		if !m.reported {
			return false
		}
	}
	return true
}

// sortedWorkers returns the workers in the order of their IDs. The result is cached until
// a worker is added or removed, since it is used many times a second.
func (pl *Planner) sortedWorkers() []*worker {
	if pl.byID != nil {
		return pl.byID
	}
	pl.byID = make([]*worker, 0, len(pl.workers))
	for _, w := range pl.workers {
		pl.byID = append(pl.byID, w)
	}
	slices.SortFunc(pl.byID, func(x, y *worker) int { return cmp.Compare(x.ID, y.ID) })
	return pl.byID
}

const (
	// shortHoldThreshold is the time below which a hold counts as short.
	shortHoldThreshold = time.Second
	// minAssignBackoff is the backoff after the second consecutive short hold. It doubles
	// up to maxAssignBackoff.
	minAssignBackoff = 100 * time.Millisecond
	maxAssignBackoff = 2 * time.Second
)

// countShortHold updates shortHolds when a hold ends. Holders that were asked to release
// the worker don't count.
func (w *worker) countShortHold(now time.Time) {
	switch {
	case now.Sub(w.heldSince) >= shortHoldThreshold:
		w.shortHolds = 0
	case w.releaseSentAt.IsZero():
		w.shortHolds++
	}
}

// assignBackoff returns how long a worker stays without a holder after its last one
// released it. A worker that has restarted but is still listed under its former
// incarnation is released by each member as soon as it contacts it; without a backoff it
// is reassigned hundreds of times a second.
func (w *worker) assignBackoff() time.Duration {
	if w.shortHolds < 2 {
		return 0
	}
	return min(minAssignBackoff<<min(w.shortHolds-2, 8), maxAssignBackoff)
}

// assignWorker chooses the holder of a worker, updates load, and sends the assignment.
func (pl *Planner) assignWorker(now time.Time, w *worker, load map[mesh.ID]float64) {
	if !w.listed || w.drains() && len(w.runs) == 0 || now.Sub(w.releasedAt) < w.assignBackoff() {
		return
	}
	m := pl.chooseHolder(now, w, load)
	if m == nil || pl.assignsEarly(now) && m.DataCenter != w.DataCenter {
		return
	}
	load[w.holder]--
	load[m.ID]++
	w.holder, w.heldSince, w.confirmed = m.ID, now, false
	pl.sendAssignment(now, w)
}

func (pl *Planner) sendAssignment(now time.Time, w *worker) {
	w.assignedAt, w.describedAt, w.described = now, now, w.Incarnation
	event.WorkerAssigned.Log(pl.log, "worker", w.ID, "member", w.holder, "former", w.formerHolder, "floor", w.fence, "list_age_ms", pl.ListAge(now).Milliseconds())
	pl.emit(Action{To: w.holder, Assignment: &Assignment{Worker: w.Worker, MinFence: w.fence, Speed: w.speed, Draining: w.drains()}})
}

// chooseHolder returns the member with the least load for its size in the worker's data
// centre, or in any if that one has no member. Within moveCooldown of its release, the
// worker's former holder comes last, even after members of other data centres. It returns
// nil if no member can hold workers.
func (pl *Planner) chooseHolder(now time.Time, w *worker, load map[mesh.ID]float64) *member {
	var best *member
	rank := func(m *member) (otherDataCenter bool, wasHolder bool, relativeLoad float64) {
		return m.DataCenter != w.DataCenter, m.ID == w.formerHolder && now.Sub(w.releasedAt) < moveCooldown, (load[m.ID] + 1) / max(m.Cores, 0.01)
	}
	better := func(m, o *member) bool {
		mOther, mWas, mLoad := rank(m)
		oOther, oWas, oLoad := rank(o)
		switch {
		case mWas != oWas:
			return !mWas
		case mOther != oOther:
			return !mOther
		case mLoad != oLoad:
			return mLoad < oLoad
		}
		return score(m.ID, w.ID) > score(o.ID, w.ID)
	}
	for _, m := range pl.members {
		if m.Leaving || m.Number == 0 {
			continue
		}
		if best == nil || better(m, best) {
			best = m
		}
	}
	return best
}

// score is a hash that breaks ties evenly.
func score(m mesh.ID, worker string) uint64 { return xxhash.Sum64String(m.String() + " " + worker) }

// memberLoads returns the load of each member: the workers that it holds, plus the cost
// of planning.
func (pl *Planner) memberLoads() map[mesh.ID]float64 {
	load := make(map[mesh.ID]float64, len(pl.members))
	for _, w := range pl.workers {
		load[w.holder]++
	}
	load[pl.self] += planningLoadPerWorker * float64(len(pl.workers))
	return load
}

// planningLoadPerWorker is the cost of planning for a worker, relative to the cost of
// holding one: the planner receives and sends some 190 bytes for each task, while a
// holder moves 3,500 with the job's text. The planner is assigned correspondingly fewer
// workers, so that its link or processor is not the first to be saturated.
const planningLoadPerWorker = 0.05

// sendRelease asks the holder to release the worker. The worker is assigned to another
// member once the holder reports that it has released it.
func (pl *Planner) sendRelease(now time.Time, w *worker) {
	if now.Sub(w.releaseSentAt) < assignmentRepeatInterval {
		return
	}
	w.releaseSentAt = now
	event.WorkerReleaseRequested.Log(pl.log, "worker", w.ID, "member", w.holder)
	pl.emit(Action{To: w.holder, Release: &Release{Worker: w.ID}})
}

// balance has at most one worker released, to move it to another member: away from one
// with more load, for instance when a member has just joined, back to the worker's data
// centre, or away from a holder that can't reach it.
func (pl *Planner) balance(now time.Time) {
	if !pl.mayAssign(now) {
		return
	}
	load := pl.memberLoads()
	gap := minLoadGap / pl.meanCores()
	least := pl.leastLoad(load)
	for _, w := range pl.sortedWorkers() {
		from := pl.members[w.holder]
		if from == nil || from.Leaving || now.Sub(w.heldSince) < moveCooldown || !w.releaseSentAt.IsZero() {
			continue
		}
		holderCannotReach := w.failures > 0 && now.Sub(w.failingSince) > unreachableTimeout
		otherDataCenter := from.DataCenter != w.DataCenter
		// chooseHolder compares all members, and this loop runs for each worker twenty
		// times a second, so skip the workers that cannot be moved.
		if !holderCannotReach && !otherDataCenter && load[from.ID]/from.Cores-least[from.DataCenter] < gap {
			continue
		}
		m := pl.chooseHolder(now, w, load)
		if m == nil || m.ID == w.holder || m.DataCenter != w.DataCenter && !otherDataCenter {
			continue
		}
		evensLoad := load[from.ID]/from.Cores-load[m.ID]/m.Cores >= gap
		returnsHome := m.DataCenter == w.DataCenter && otherDataCenter
		if evensLoad || returnsHome || holderCannotReach && m.DataCenter == from.DataCenter {
			pl.sendRelease(now, w)
			return
		}
	}
}

// leastLoad returns, for each data centre, the lowest load of any member relative to its
// size: a worker does not leave its data centre for balance.
func (pl *Planner) leastLoad(load map[mesh.ID]float64) map[string]float64 {
	least := make(map[string]float64)
	for id, m := range pl.members {
		l := load[id] / max(m.Cores, 0.01)
		if have, ok := least[m.DataCenter]; !ok || l < have {
			least[m.DataCenter] = l
		}
	}
	return least
}

func (pl *Planner) meanCores() float64 {
	sum := 0.0
	for _, m := range pl.members {
		sum += m.Cores
	}
	return max(sum/float64(max(len(pl.members), 1)), 0.01)
}

// forgetUnlisted removes workers that are neither listed nor held, and has unlisted
// workers released that have not answered for unlistedTimeout.
func (pl *Planner) forgetUnlisted(now time.Time) {
	for _, w := range pl.sortedWorkers() {
		if w.listed {
			continue
		}
		if w.holder == (mesh.ID{}) {
			delete(pl.workers, w.ID)
			pl.byID = nil
			event.WorkerForgotten.Log(pl.log, "worker", w.ID)
			continue
		}
		if w.failures > 0 && now.Sub(w.failingSince) > unlistedTimeout {
			pl.sendRelease(now, w)
		}
	}
}

// Holder returns the holder of a worker and its fence, or zero values if the worker is
// unknown.
func (pl *Planner) Holder(id string) (mesh.ID, lease.Fence) {
	if w := pl.workers[id]; w != nil {
		return w.holder, w.fence
	}
	return mesh.ID{}, 0
}
