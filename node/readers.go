package node

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"snipehub.example/cell"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// ListReading is a series of reads of the platform's list of workers that a process makes
// for a planner. A planner reads the list itself and, while it has no current one, asks
// others to read it as well. Each series begins with the whole list, and what a former
// series still delivers is dropped: it may be as old as a pause or a cut.
type ListReading struct {
	Planner mesh.ID
	// Serial numbers the series of a planner.
	Serial uint64
}

// String returns a different text for each series, and "" for the zero value.
func (r ListReading) String() string {
	if r == (ListReading{}) {
		return ""
	}
	return r.Planner.String() + " " + strconv.FormatUint(r.Serial, 10)
}

// ReadList asks a member to read the list of workers for the sender, from the beginning. A
// Serial of 0 ends that.
type ReadList struct {
	Serial uint64 `cbor:"1,keyasint,omitzero"`
}

const (
	// askInterval is the time between two rounds in which a planner without a current list
	// asks further members to read it. A read takes a fraction of it.
	askInterval = 200 * time.Millisecond
	// readersPerRound is how many members are asked in a round.
	readersPerRound = 4
	// readerTimeout is when a member that has delivered nothing is told to stop, so that
	// few members call a store that is slow or away.
	readerTimeout = 800 * time.Millisecond
	// askPause is the pause after all members were asked in vain.
	askPause = time.Second
)

// listReaders is what a planner knows of the processes that read the list for it.
type listReaders struct {
	lastSerial uint64
	// own is the serial of this process's own reads, ownReadAt when the last one that
	// succeeded began.
	own       uint64
	ownReadAt time.Time
	// asked are the members that read the list now, tried those that were asked since the
	// list was last current.
	asked map[mesh.ID]*listReader
	tried map[mesh.ID]struct{}
	// nextAsk is the time of the next round.
	nextAsk time.Time
	// latest is the member that delivered last.
	latest mesh.ID
}

type listReader struct {
	serial uint64
	// heardAt is when the member was asked or last delivered.
	heardAt time.Time
}

// ListReading returns the reads that this process is to make now, if any.
func (c *Core) ListReading() ListReading {
	if c.cell.Active() {
		return ListReading{c.self.ID, c.readers.own}
	}
	return c.readFor
}

// beginOwnReads begins a series of this process's own reads, as the planner.
func (c *Core) beginOwnReads(now time.Time) {
	c.stopReaders(now, mesh.ID{})
	r := &c.readers
	r.lastSerial++
	r.own, r.ownReadAt, r.nextAsk = r.lastSerial, now.Add(-c.cell.ListAge(now)), time.Time{}
	c.readFor = ListReading{}
}

// handleReadList begins or ends the reads for a planner. A process that plans reads for
// itself, and the other one asks further members.
func (c *Core) handleReadList(from mesh.ID, r ReadList) {
	switch {
	case r.Serial != 0 && !c.cell.Active():
		c.readFor = ListReading{from, r.Serial}
	case r.Serial == 0 && c.readFor.Planner == from:
		c.readFor = ListReading{}
	}
	event.ListReaderAsked.Log(c.log, "planner", from, "serial", r.Serial, "reads_for", c.ListReading().String())
}

// WorkersListed forwards an update of the platform's list of workers, which this process
// has read in a series of reads from a time on, to the planner of that series.
func (c *Core) WorkersListed(now time.Time, r ListReading, readAt time.Time, l cell.WorkerList) {
	if r != c.ListReading() {
		return
	}
	l.Serial, l.Age = r.Serial, now.Sub(readAt)
	c.send(now, r.Planner, Message{WorkerList: &l})
}

// expectsRead reports whether an update belongs to a series of reads that this planner has
// asked for, and records that its reader works.
func (c *Core) expectsRead(now time.Time, from mesh.ID, l cell.WorkerList) bool {
	r := &c.readers
	if from == c.self.ID {
		if l.Serial != r.own {
			return false
		}
		r.ownReadAt = now.Add(-l.Age)
		return true
	}
	reader := r.asked[from]
	if reader == nil || reader.serial != l.Serial {
		return false
	}
	reader.heardAt, r.latest = now, from
	return true
}

// updateReaders has others read the list while the planner's own reads fail: one, if it
// delivers, and else more and more of them. The planner may be the only process that the
// store does not answer, or one of most.
func (c *Core) updateReaders(now time.Time) {
	r := &c.readers
	switch {
	case !c.cell.Active():
	case now.Sub(r.ownReadAt) <= cell.MaxListAge:
		c.stopReaders(now, mesh.ID{})
	case c.cell.ListAge(now) <= cell.MaxListAge:
		c.stopReaders(now, r.latest)
	case !now.Before(r.nextAsk):
		c.dropSilentReaders(now)
		c.askReaders(now)
	}
}

// stopReaders tells the members that read the list to stop, but for one.
func (c *Core) stopReaders(now time.Time, except mesh.ID) {
	r := &c.readers
	for _, id := range sortedIDs(r.asked) {
		if id != except {
			c.stopReader(now, id)
		}
	}
	clear(r.tried)
}

func (c *Core) stopReader(now time.Time, id mesh.ID) {
	delete(c.readers.asked, id)
	c.send(now, id, Message{ReadList: &ReadList{}})
}

// dropSilentReaders stops members that have delivered nothing for long.
func (c *Core) dropSilentReaders(now time.Time) {
	r := &c.readers
	for _, id := range sortedIDs(r.asked) {
		if now.Sub(r.asked[id].heardAt) >= readerTimeout {
			c.stopReader(now, id)
		}
	}
}

// askReaders asks some further members to read the list.
func (c *Core) askReaders(now time.Time) {
	r := &c.readers
	r.nextAsk = now.Add(askInterval)
	candidates := c.readerCandidates()
	if len(candidates) == 0 {
		clear(r.tried)
		r.nextAsk = now.Add(askPause)
		return
	}
	candidates = candidates[:min(len(candidates), readersPerRound)]
	event.ListReadersAsked.Log(c.log, "list_age_ms", c.cell.ListAge(now).Milliseconds(), "asked", candidates)
	for _, id := range candidates {
		r.lastSerial++
		r.asked[id] = &listReader{r.lastSerial, now}
		r.tried[id] = struct{}{}
		c.send(now, id, Message{ReadList: &ReadList{r.lastSerial}})
	}
}

// readerCandidates returns the members that were not asked yet, in the order in which they
// are asked: members of this cell first, and in turn from each data centre, this process's
// own last, since most cuts hit one data centre. Members that say that they do not reach
// the store come last: they may have noticed its loss, but not yet its return.
func (c *Core) readerCandidates() []mesh.ID {
	reachable := c.reachableMembers()
	slices.SortFunc(reachable, c.comparePriority)
	inCell := make(map[mesh.ID]bool)
	for _, m := range c.cellMembers(reachable) {
		inCell[m.ID] = true
	}
	// turn is how many members of its data centre come before a member.
	turn, perDataCenter := make(map[mesh.ID]int), make(map[string]int)
	for _, m := range reachable {
		turn[m.ID] = perDataCenter[m.DataCenter]
		perDataCenter[m.DataCenter]++
	}
	reachable = slices.DeleteFunc(reachable, func(m mesh.Member) bool {
		_, tried := c.readers.tried[m.ID]
		return tried || m.ID == c.self.ID || m.Leaving
	})
	slices.SortStableFunc(reachable, func(x, y mesh.Member) int {
		return cmp.Or(
			compareBool(x.StoreUnreachable, y.StoreUnreachable),
			-compareBool(inCell[x.ID], inCell[y.ID]),
			cmp.Compare(turn[x.ID], turn[y.ID]),
			compareBool(x.DataCenter == c.self.DataCenter, y.DataCenter == c.self.DataCenter),
		)
	})
	out := make([]mesh.ID, 0, len(reachable))
	for _, m := range reachable {
		out = append(out, m.ID)
	}
	return out
}
