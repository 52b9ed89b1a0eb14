package node

import (
	"maps"
	"slices"
	"time"

	"snipehub.example/cell"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// workerList is the platform's list of workers as a planner last had it. The planner tells
// it to its deputies: one that begins to plan while the store is away would else know only
// the workers whose holders live, and those of the planner before would serve nobody until
// the store is back.
type workerList struct {
	// from is the process that has told it, this one if it was the planner.
	from mesh.ID
	// until is when it is too old to be used, zero while from plans.
	until   time.Time
	workers map[string]cell.Listed
}

const (
	// listFor is how long the list of a planner that has ended is kept for the next one,
	// which tells its own deputies at once.
	listFor = 5 * time.Second
	// deputiesLeast is how many members have the list besides the planner, so that two of
	// the three may be lost at once.
	deputiesLeast = 2
)

// usable tells whether there is a list that is not too old.
func (l *workerList) usable(now time.Time) bool {
	return len(l.workers) > 0 && (l.until.IsZero() || now.Before(l.until))
}

// take brings news of a process in, and returns what changes by that. What another process
// has told before is dropped.
func (l *workerList) take(from mesh.ID, news cell.Listing) (changes cell.Listing) {
	if from != l.from || l.workers == nil {
		l.from, l.workers = from, make(map[string]cell.Listed)
	}
	if news.Whole {
		l.dropOthers(news.Listed, &changes)
	}
	for _, w := range news.Listed {
		if have, ok := l.workers[w.ID]; !ok || have != w {
			l.workers[w.ID] = w
			changes.Listed = append(changes.Listed, w)
		}
	}
	for _, id := range news.Dropped {
		l.drop(id, &changes)
	}
	return changes
}

// dropOthers drops the workers that are not listed.
func (l *workerList) dropOthers(listed []cell.Listed, changes *cell.Listing) {
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

func (l *workerList) drop(id string, changes *cell.Listing) {
	if _, ok := l.workers[id]; ok {
		delete(l.workers, id)
		changes.Dropped = append(changes.Dropped, id)
	}
}

// whole is all of it, as a message.
func (l *workerList) whole() cell.Listing {
	out := cell.Listing{Whole: true, Copy: true}
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		out.Listed = append(out.Listed, l.workers[id])
	}
	return out
}

// listing takes a list of workers: what this process or another one has read of the store
// for the planner, or the copy of another planner's.
func (c *Core) listing(now time.Time, from mesh.ID, l cell.Listing) {
	switch {
	case c.cell.Active() && l.Copy:
		c.recall(now, from, l)
	case c.cell.Active():
		l = c.ours(l)
		c.cell.Workers(now, l)
		c.list.until = time.Time{}
		c.passOn(now, c.list.take(c.self.ID, l))
	case l.Copy && (from == c.planner || c.list.from != c.planner):
		c.list.take(from, l)
		c.list.until = time.Time{}
		c.ageList(now)
	}
}

// recall takes the list of a planner before for as long as the store's has not been read.
func (c *Core) recall(now time.Time, from mesh.ID, l cell.Listing) {
	l = c.ours(l)
	if c.cell.HasList() || len(l.Listed) == 0 {
		return
	}
	event.WorkersRecalled.Log(c.log, "workers", len(l.Listed), "from", from)
	c.cell.Workers(now, l)
	c.list.until = time.Time{}
	c.passOn(now, c.list.take(c.self.ID, cell.Listing{Listed: l.Listed}))
}

// recallOwn has a planner that begins use the list that this process has. One that is too old
// is dropped, or its deputies would be told of it.
func (c *Core) recallOwn(now time.Time) {
	if !c.list.usable(now) {
		c.list = workerList{}
		return
	}
	c.recall(now, c.list.from, c.list.whole())
}

// passOn tells the deputies what has changed in the list.
func (c *Core) passOn(now time.Time, changes cell.Listing) {
	if len(changes.Listed)+len(changes.Dropped) == 0 {
		return
	}
	changes.Copy = true
	for _, id := range slices.SortedFunc(maps.Keys(c.deputies), mesh.ID.Compare) {
		c.send(now, id, Mail{Listing: &changes})
	}
}

// ageList takes note of who plans: the list of one that does not plan any more is soon out
// of date, also if it plans again, since it may have other deputies then.
func (c *Core) ageList(now time.Time) {
	if c.list.from != c.planner && c.list.until.IsZero() {
		c.list.until = now.Add(listFor)
	}
}

// appoint chooses the deputies of this process if it plans, and tells them the list: the
// members that plan next, and in each data centre the one that plans there if it is cut off.
func (c *Core) appoint(now time.Time, mates []mesh.Member) {
	before := c.deputies
	c.deputies = nil
	if !c.cell.Active() {
		return
	}
	c.deputies = c.chooseDeputies(mates)
	for _, m := range mates {
		_, was := before[m.ID]
		_, is := c.deputies[m.ID]
		switch {
		case is && !was && len(c.list.workers) > 0:
			whole := c.list.whole()
			c.send(now, m.ID, Mail{Listing: &whole})
		case was && !is:
			c.send(now, m.ID, Mail{Listing: &cell.Listing{Whole: true, Copy: true}})
		}
	}
}

func (c *Core) chooseDeputies(mates []mesh.Member) map[mesh.ID]struct{} {
	chosen := make(map[mesh.ID]struct{})
	places := make(map[string]struct{})
	for _, m := range slices.SortedFunc(slices.Values(mates), c.rank) {
		if m.ID == c.self.ID || !eligible(m) {
			continue
		}
		_, has := places[m.DataCenter]
		if has && len(chosen) >= deputiesLeast {
			continue
		}
		places[m.DataCenter] = struct{}{}
		chosen[m.ID] = struct{}{}
	}
	return chosen
}
