package node

import (
	"maps"
	"slices"
	"time"

	"snipehub.example/cell"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// workerList is the platform's list of workers as a planner last knew it. The planner
// copies it to its deputies. Otherwise a new planner that starts while the store is
// unreachable would know only the workers with live holders, and the workers that the
// previous planner held would get no tasks until the store is back.
type workerList struct {
	// source is the process that has sent the list, or this process if it was the planner.
	source mesh.ID
	// expires is when the list becomes too old to be used. It is zero until source is no
	// longer the planner.
	expires time.Time
	workers map[string]cell.ListedWorker
}

const (
	// listRetention is how long the list of a former planner is kept for the next one,
	// which copies it to its own deputies at once.
	listRetention = 5 * time.Second
	// minDeputies is how many members besides the planner have the list at least, if there
	// are as many, so that two of the three can be lost at once.
	minDeputies = 2
)

// usable reports whether the list has workers and has not expired.
func (l *workerList) usable(now time.Time) bool {
	return len(l.workers) > 0 && (l.expires.IsZero() || now.Before(l.expires))
}

// apply applies an update sent by a process and returns the changes that result. If the
// list came from another process, it is discarded first.
func (l *workerList) apply(from mesh.ID, update cell.WorkerList) (changes cell.WorkerList) {
	if from != l.source || l.workers == nil {
		l.source, l.workers = from, make(map[string]cell.ListedWorker)
	}
	if update.Full {
		l.dropUnlisted(update.Workers, &changes)
	}
	for _, w := range update.Workers {
		if have, ok := l.workers[w.ID]; !ok || have != w && !w.IsFromAnotherWriter(have.Worker) {
			l.workers[w.ID] = w
			changes.Workers = append(changes.Workers, w)
		}
	}
	for _, id := range update.Removed {
		l.drop(id, &changes)
	}
	return changes
}

// dropUnlisted removes the workers that a full update does not list.
func (l *workerList) dropUnlisted(listed []cell.ListedWorker, changes *cell.WorkerList) {
	keep := make(map[string]struct{}, len(listed))
	for _, w := range listed {
		keep[w.ID] = struct{}{}
	}
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		if _, ok := keep[id]; !ok {
			l.drop(id, changes)
		}
	}
}

func (l *workerList) drop(id string, changes *cell.WorkerList) {
	if _, ok := l.workers[id]; ok {
		delete(l.workers, id)
		changes.Removed = append(changes.Removed, id)
	}
}

// full returns the whole list as a message.
func (l *workerList) full() cell.WorkerList {
	out := cell.WorkerList{Full: true, FromPlanner: true}
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		out.Workers = append(out.Workers, l.workers[id])
	}
	return out
}

// handleWorkerList handles a list of workers: either one read from the store for this
// planner, by itself or another process, or the copy of a planner. Only the planner uses
// the former. A member ignores a copy from another process while it has the planner's.
func (c *Core) handleWorkerList(now time.Time, from mesh.ID, l cell.WorkerList) {
	switch {
	case c.cell.Active() && l.FromPlanner:
		c.adoptList(now, from, l)
	case c.cell.Active():
		if !c.expectsRead(now, from, l) {
			return
		}
		l = c.ownCellWorkers(l)
		c.cell.UpdateWorkers(now, from, l)
		c.list.expires = time.Time{}
		c.forwardChanges(now, c.list.apply(c.self.ID, l))
	case l.FromPlanner && (from == c.planner || c.list.source != c.planner):
		c.list.apply(from, l)
		c.list.expires = time.Time{}
		c.updateListExpiry(now)
	}
}

// adoptList uses a former planner's copy of the list until the store's list has been
// read.
func (c *Core) adoptList(now time.Time, from mesh.ID, l cell.WorkerList) {
	l = c.ownCellWorkers(l)
	if c.cell.HasWorkerList() || len(l.Workers) == 0 {
		return
	}
	event.WorkerListInherited.Log(c.log, "workers", len(l.Workers), "from", from)
	c.cell.UpdateWorkers(now, from, l)
	c.list.expires = time.Time{}
	c.forwardChanges(now, c.list.apply(c.self.ID, cell.WorkerList{Workers: l.Workers}))
}

// adoptOwnList makes a process that becomes the planner adopt the copy that it has. An
// expired copy is discarded, as it would otherwise be sent to the deputies.
func (c *Core) adoptOwnList(now time.Time) {
	if !c.list.usable(now) {
		c.list = workerList{}
		return
	}
	c.adoptList(now, c.list.source, c.list.full())
}

// forwardChanges sends changes of the list to the deputies.
func (c *Core) forwardChanges(now time.Time, changes cell.WorkerList) {
	if len(changes.Workers)+len(changes.Removed) == 0 {
		return
	}
	changes.FromPlanner = true
	for _, id := range sortedIDs(c.deputies) {
		c.send(now, id, Message{WorkerList: &changes})
	}
}

// updateListExpiry starts the retention period of the list when its source is no longer
// the planner. The period keeps running if that process becomes the planner again, since
// it may have other deputies then.
func (c *Core) updateListExpiry(now time.Time) {
	if c.list.source != c.planner && c.list.expires.IsZero() {
		c.list.expires = now.Add(listRetention)
	}
}

// updateDeputies chooses the deputies if this process is the planner, and sends the list
// to new ones and an empty list to former ones.
func (c *Core) updateDeputies(now time.Time, members []mesh.Member) {
	before := c.deputies
	c.deputies = nil
	if !c.cell.Active() {
		return
	}
	c.deputies = c.chooseDeputies(members)
	for _, m := range members {
		_, was := before[m.ID]
		_, is := c.deputies[m.ID]
		if is && !was {
			c.sendCancelled(now, m.ID)
		}
		switch {
		case is && !was && len(c.list.workers) > 0:
			full := c.list.full()
			c.send(now, m.ID, Message{WorkerList: &full})
		case was && !is:
			c.send(now, m.ID, Message{WorkerList: &cell.WorkerList{Full: true, FromPlanner: true}})
		}
	}
}

// chooseDeputies returns the members that are next in line as planner, and for each data
// centre the one that would become its planner if the data centre were cut off.
func (c *Core) chooseDeputies(members []mesh.Member) map[mesh.ID]struct{} {
	chosen := make(map[mesh.ID]struct{})
	dataCenters := make(map[string]struct{})
	for _, m := range slices.SortedFunc(slices.Values(members), c.comparePriority) {
		if m.ID == c.self.ID || !eligible(m) {
			continue
		}
		_, has := dataCenters[m.DataCenter]
		if has && len(chosen) >= minDeputies {
			continue
		}
		dataCenters[m.DataCenter] = struct{}{}
		chosen[m.ID] = struct{}{}
	}
	return chosen
}
