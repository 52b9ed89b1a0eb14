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
	// settleFor is how long a new planner waits for the members' reports before
	// it gives workers to holders, unless all processes that there are have
	// reported before. Those of the planner before are reported within
	// milliseconds; processes that start together find each other within about
	// 400 ms.
	settleFor = 500 * time.Millisecond
	// tellAgain is when a duty is repeated that no report confirms.
	tellAgain = 500 * time.Millisecond
	// restFor is how long a worker stays with its holder before it is moved to
	// balance the load, and how long it is not given back to the one before:
	// the platform forbids two holders that take turns within three seconds.
	restFor = 4 * time.Second
	// balanceBy is the least difference of load that is worth a move, in workers
	// for a member of average size. A move stops starts on the worker for two
	// round trips.
	balanceBy = 2.0
	// unreachable is when a worker that its holder can't reach is given to
	// another member, which may have a path.
	unreachable = 1500 * time.Millisecond
	// goneAfter is when a worker that isn't listed and doesn't answer is
	// forgotten.
	goneAfter = 2 * time.Second
)

// assign gives each worker that nobody holds to a member.
func (b *Book) assign(now time.Time) {
	if !b.settled(now) {
		return
	}
	load := b.loads()
	for _, w := range b.sortedWorkers() {
		switch {
		case w.holder == (mesh.ID{}):
			b.give(now, w, load)
		case !w.confirmed && now.Sub(w.told) > tellAgain:
			b.give(now, w, load)
		case b.members[w.holder].Leaving:
			b.relieve(now, w)
		}
	}
}

// settled tells whether the members' reports are in, and whether this planner sees
// enough of the cell to give workers to holders. One that doesn't, because it was
// cut off or the others have just started, would take the workers of those whom it
// does not see.
func (b *Book) settled(now time.Time) bool {
	return b.may && (now.Sub(b.began) >= settleFor || b.all && b.reported())
}

// reported tells whether all members have reported.
func (b *Book) reported() bool {
	for _, m := range b.members {
		if !m.reported {
			return false
		}
	}
	return true
}

// sortedWorkers returns the workers in a fixed order, which is kept until one comes or
// goes: they are looked at many times a second.
func (b *Book) sortedWorkers() []*worker {
	if b.byID != nil {
		return b.byID
	}
	b.byID = make([]*worker, 0, len(b.workers))
	for _, w := range b.workers {
		b.byID = append(b.byID, w)
	}
	slices.SortFunc(b.byID, func(x, y *worker) int { return cmp.Compare(x.ID, y.ID) })
	return b.byID
}

const (
	// keptLeast is how long a holder must keep a worker not to count as brief.
	keptLeast = time.Second
	// pauseLeast is the pause after the second brief holder in a row. It doubles up to
	// pauseMost.
	pauseLeast = 100 * time.Millisecond
	pauseMost  = 2 * time.Second
)

// countBrief takes note that a worker is let go now. Holders that were asked to pass it on
// don't count.
func (w *worker) countBrief(now time.Time) {
	switch {
	case now.Sub(w.since) >= keptLeast:
		w.brief = 0
	case w.relieved.IsZero():
		w.brief++
	}
}

// pause is how long a worker stays without a holder. One that has started again, and is
// listed under its former life, is let go by each member as soon as it looks; without a
// pause it goes round hundreds of times a second.
func (w *worker) pause() time.Duration {
	if w.brief < 2 {
		return 0
	}
	return min(pauseLeast<<min(w.brief-2, 8), pauseMost)
}

// give chooses the holder of a worker, and counts it there.
func (b *Book) give(now time.Time, w *worker, load map[mesh.ID]float64) {
	if !w.listed || w.draining && len(w.runs) == 0 || now.Sub(w.letGo) < w.pause() {
		return
	}
	m := b.choose(now, w, load)
	if m == nil {
		return
	}
	load[w.holder]--
	load[m.ID]++
	w.holder, w.since, w.confirmed = m.ID, now, false
	b.tell(now, w)
}

func (b *Book) tell(now time.Time, w *worker) {
	w.told = now
	event.DutyGiven.Log(b.log, "worker", w.ID, "member", w.holder, "former", w.former, "floor", w.fence)
	b.act(Action{To: w.holder, Duty: &Duty{Worker: w.Worker, Floor: w.fence, Speed: w.speed}})
}

// choose returns the member of the worker's data centre with the least load for
// its size, of all data centres if there is none.
func (b *Book) choose(now time.Time, w *worker, load map[mesh.ID]float64) *member {
	var best *member
	rank := func(m *member) (other bool, back bool, l float64) {
		return m.DataCenter != w.DataCenter, m.ID == w.former && now.Sub(w.letGo) < restFor, (load[m.ID] + 1) / max(m.Share, 0.01)
	}
	better := func(m, o *member) bool {
		mo, mb, ml := rank(m)
		oo, ob, ol := rank(o)
		switch {
		case mb != ob:
			return !mb
		case mo != oo:
			return !mo
		case ml != ol:
			return ml < ol
		}
		return score(m.ID, w.ID) > score(o.ID, w.ID)
	}
	for _, m := range b.members {
		if m.Leaving || m.Number == 0 {
			continue
		}
		if best == nil || better(m, best) {
			best = m
		}
	}
	return best
}

// score spreads ties.
func score(m mesh.ID, worker string) uint64 { return xxhash.Sum64String(m.String() + " " + worker) }

// loads counts the workers of each member.
func (b *Book) loads() map[mesh.ID]float64 {
	load := make(map[mesh.ID]float64, len(b.members))
	for _, w := range b.workers {
		load[w.holder]++
	}
	load[b.self] += planningLoad * float64(len(b.workers))
	return load
}

// planningLoad is what planning for a worker costs, in workers held: some 190 bytes in and
// out for each task, of which a holder moves 3,500 with the job's text. The planner holds
// fewer workers by that, so that it is not the first whose link or processor is full.
const planningLoad = 0.05

// relieve asks the holder to pass the worker on. It is given to another one when
// the holder reports that it has let go.
func (b *Book) relieve(now time.Time, w *worker) {
	if now.Sub(w.relieved) < tellAgain {
		return
	}
	w.relieved = now
	event.DutyEnded.Log(b.log, "worker", w.ID, "member", w.holder)
	b.act(Action{To: w.holder, Relief: &Relief{Worker: w.ID}})
}

// balance moves one worker at a time to a member with less load, for instance one
// that has just joined.
func (b *Book) balance(now time.Time) {
	if !b.settled(now) {
		return
	}
	load := b.loads()
	gap := balanceBy / b.meanShare()
	least := b.leastLoad(load)
	for _, w := range b.sortedWorkers() {
		from := b.members[w.holder]
		if from == nil || from.Leaving || now.Sub(w.since) < restFor || !w.relieved.IsZero() {
			continue
		}
		stuck := w.failures > 0 && now.Sub(w.badSince) > unreachable
		abroad := from.DataCenter != w.DataCenter
		// Choosing compares all members, for each worker twenty times a second, so
		// it is done only where a move may come of it.
		if !stuck && !abroad && load[from.ID]/from.Share-least[from.DataCenter] < gap {
			continue
		}
		m := b.choose(now, w, load)
		if m == nil || m.ID == w.holder || m.DataCenter != w.DataCenter && !abroad {
			continue
		}
		better := load[from.ID]/from.Share-load[m.ID]/m.Share >= gap
		home := m.DataCenter == w.DataCenter && abroad
		if better || home || stuck && m.DataCenter == from.DataCenter {
			b.relieve(now, w)
			return
		}
	}
}

// leastLoad is the lowest load for its size of any member, by data centre: a worker does
// not leave its own for balance.
func (b *Book) leastLoad(load map[mesh.ID]float64) map[string]float64 {
	least := make(map[string]float64)
	for id, m := range b.members {
		l := load[id] / max(m.Share, 0.01)
		if have, ok := least[m.DataCenter]; !ok || l < have {
			least[m.DataCenter] = l
		}
	}
	return least
}

func (b *Book) meanShare() float64 {
	sum := 0.0
	for _, m := range b.members {
		sum += m.Share
	}
	return max(sum/float64(max(len(b.members), 1)), 0.01)
}

// prune forgets workers that are neither listed nor answer.
func (b *Book) prune(now time.Time) {
	for _, w := range b.sortedWorkers() {
		if w.listed {
			continue
		}
		if w.holder == (mesh.ID{}) {
			delete(b.workers, w.ID)
			b.byID = nil
			event.WorkerForgotten.Log(b.log, "worker", w.ID)
			continue
		}
		if w.failures > 0 && now.Sub(w.badSince) > goneAfter {
			b.relieve(now, w)
		}
	}
}

// Holder returns who holds a worker, for those who ask.
func (b *Book) Holder(id string) (mesh.ID, lease.Fence) {
	if w := b.workers[id]; w != nil {
		return w.holder, w.fence
	}
	return mesh.ID{}, 0
}
