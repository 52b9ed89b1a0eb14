package node

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// MemberUp handles a new session with a member.
func (c *Core) MemberUp(now time.Time, m mesh.Member, session uint64) {
	c.endPredecessors(now, m.ID)
	if c.refusesSession(m) {
		event.SessionRefused.Log(c.log, "member", m.VM, "id", m.ID, "sessions", len(c.members))
		c.out = append(c.out, Output{Disconnect: &Disconnect{m.ID, session}})
		return
	}
	delete(c.unreachable, m.ID.Address)
	delete(c.left, m.ID)
	c.members[m.ID] = peerState{m, session}
	c.elect(now)
	c.sendDirectory(now, m)
	c.sendWaiting(now, m.ID)
	delete(c.lostMembers, m.ID)
	for _, w := range c.heldIDs() {
		c.held[w].OwnerReachable(m.ID)
	}
	c.entry.HolderReachable(m.ID)
	c.announceHeld(now, m.ID)
	c.requestEvacuations(now, m)
	c.noteCatalog(now, m)
	c.updateWatches(now)
	if len(c.readers.asked) == 0 {
		c.readers.nextAsk = now
	}
	if m.ID == c.planner {
		c.syncPlanner(now)
	}
}

// announceHeld tells a member which workers are held here. It may own runs there and have
// missed the announcement because there was no session yet; without this it would wait
// two seconds until it takes them for lost.
func (c *Core) announceHeld(now time.Time, to mesh.ID) { c.announceWorkers(now, to, c.heldIDs()) }

// announceNewlyHeld tells all members which workers became held since the last call.
// Workers on which runs were found are announced at once, because the runs wait for their
// owners. The others are announced together at the next tick: when all processes start, a
// thousand workers get a holder within a second, and each announcement goes to all
// processes.
func (c *Core) announceNewlyHeld(now time.Time) {
	if len(c.unannounced) == 0 {
		return
	}
	unannounced := c.unannounced
	c.unannounced = nil
	for _, m := range c.reachableMembers() {
		c.announceWorkers(now, m.ID, unannounced)
	}
}

func (c *Core) announceWorkers(now time.Time, to mesh.ID, workers []string) {
	for _, id := range workers {
		if wl := c.held[id]; wl != nil && wl.Established() {
			c.send(now, to, Message{Held: &entry.Held{Worker: id, Fence: wl.Fence()}})
		}
	}
}

// endPredecessors ends earlier incarnations at the same address, which only one process
// at a time can bind.
func (c *Core) endPredecessors(now time.Time, id mesh.ID) {
	for _, o := range sortedIDs(c.members) {
		if o.Address == id.Address && o != id {
			c.MemberDown(now, o, c.members[o].session, now)
		}
	}
	for _, o := range sortedIDs(c.lostMembers) {
		if o.Address == id.Address && o != id {
			c.ownerLost(now, o)
		}
	}
}

// MemberDown handles the end of a session.
func (c *Core) MemberDown(now time.Time, id mesh.ID, session uint64, lastHeard time.Time) {
	m, ok := c.members[id]
	if !ok || m.session != session {
		return
	}
	if _, watched := c.watched[id]; watched {
		// Other sessions may have ended because neither side needs them.
		c.noteUnreachable(now, id)
	}
	if m.Leaving {
		c.left[id] = struct{}{}
	}
	delete(c.members, id)
	delete(c.readers.asked, id)
	delete(c.readers.tried, id)
	if c.readFor.Planner == id {
		c.readFor = ListReading{}
	}
	c.unwatch(id)
	if id == c.planner {
		c.watchAllUntil = now.Add(watchAllDuration)
	}
	c.lostMembers[id] = lastHeard
	for _, w := range c.heldIDs() {
		c.held[w].OwnerUnreachable(id, lastHeard.Add(callerRetryDelay))
	}
	c.entry.HolderUnreachable(now, id)
	c.elect(now)
	c.updateWatches(now)
}

// MemberChanged handles a change of the state that a member advertises.
func (c *Core) MemberChanged(now time.Time, m mesh.Member) {
	p, ok := c.members[m.ID]
	if !ok {
		return
	}
	formerPlanner, previous := c.planner, p.Member
	began := m.PlannerTerms != p.PlannerTerms
	p.Member = m
	c.members[m.ID] = p
	c.requestEvacuations(now, m)
	c.noteCatalog(now, m)
	previous.Catalog, previous.Evacuations = m.Catalog, m.Evacuations
	if previous == m {
		// Only what it knows of the operator differs, which does not affect the election.
		// Each change of the operator's causes one such message from every member at once,
		// so it is not logged either.
		return
	}
	event.MemberStateChanged.Log(c.log, "member", m.VM, "id", m.ID, "number", m.Number, "leaving", m.Leaving, "blind", m.StoreUnreachable, "plans", m.PlannerTerms, "catalog", uint64(m.Catalog), "evacuations", uint64(m.Evacuations))
	if previous.StoreUnreachable = m.StoreUnreachable; previous == m {
		// Whether it reaches the store does not affect the election either, and may change
		// for many members at once.
		return
	}
	c.elect(now)
	if began && m.ID == formerPlanner && m.ID == c.planner {
		c.syncPlanner(now)
	}
}

// Advertise changes the state that this process advertises.
func (c *Core) Advertise(now time.Time, change func(*mesh.Member)) {
	before := c.self
	change(&c.self)
	if c.self != before {
		c.out = append(c.out, Output{Advertise: &c.self})
		c.elect(now)
	}
}

// SetRecorded sets the processes that the store lists; complete is set once all partitions of
// the list have been read. In a single cell the mesh is told all addresses, also those that it
// knows: it forgets what it is not told again.
func (c *Core) SetRecorded(now time.Time, listed []mesh.Member, complete bool) {
	c.directory, c.cellRecords = newDirectory(listed, complete), nil
	c.updateLeft()
	c.elect(now)
	if c.layout.divided {
		return
	}
	addrs := make([]netip.AddrPort, 0, len(listed))
	for _, m := range listed {
		addrs = append(addrs, m.ID.Address)
	}
	c.out = append(c.out, Output{Addresses: addrs})
}

// elect chooses the planner: the member on the largest VM and, among equals, the one that
// joined first, so that a new member does not replace a working planner. No agreement is
// needed: two planners at the same time only cost starts that find too few free
// resources.
func (c *Core) elect(now time.Time) {
	reachable := c.reachableMembers()
	if c.updateLayout(reachable) {
		c.stopPlanning(now)
	}
	members := c.cellMembers(reachable)
	best := slices.MinFunc(members, c.comparePriority)
	c.groupForeign(reachable)
	c.entry.SetOtherPlanners(c.otherPlanners())
	if best.ID != c.planner {
		event.PlannerChosen.Log(c.log, "planner", best.ID, "vm", best.VM, "number", best.Number, "members", len(members), "before", c.planner)
		c.watch(best.ID)
	}
	changed := best.ID != c.planner
	c.planner = best.ID
	c.updateListExpiry(now)
	began := c.updatePlanning(now, best.ID == c.self.ID)
	if changed || began {
		c.syncPlanner(now)
	}
	c.updateMissing(now, members)
	allReachable := c.updateQuorum(now, members)
	c.cell.SetMembers(now, members, reachable, c.quorum, allReachable)
	if began {
		c.adoptOwnList(now)
		if now.Before(c.settlesAt) {
			c.cell.AwaitList(now)
		}
	}
	c.updateDeputies(now, members)
	c.updatePeers()
}

// updateQuorum determines whether more than half of the processes that the store lists for
// this cell are reachable, and reports whether all live ones are. Workers are reassigned
// from their holders only with a quorum: otherwise a process that is cut off alone would
// take over the workers of all others. Other cells don't matter for that, since their
// processes do not hold this cell's workers.
func (c *Core) updateQuorum(now time.Time, members []mesh.Member) (allReachable bool) {
	recorded, recordedReachable := c.recordedInCell(members)
	// Part of a single cell's list says nothing of the rest. A cell's own partition is enough.
	known := c.directory.complete || c.layout.divided
	quorum := known && 2*recordedReachable > recorded
	if quorum && !c.quorum {
		c.quorumSince = now
	}
	if quorum != c.quorum {
		event.QuorumChanged.Log(c.log, "quorum", quorum, "listed", recorded, "reachable", recordedReachable)
	}
	c.quorum = quorum
	// Processes that started together may not have connected yet. After discoveryTimeout,
	// all live ones are reachable.
	return recordedReachable == recorded || quorum && now.Sub(c.quorumSince) > discoveryTimeout
}

// discoveryTimeout is the longest time that processes which start together take to
// connect to each other: some hundred milliseconds, a second on slow VMs.
const discoveryTimeout = 2 * time.Second

// updatePlanning starts or stops planning, and reports whether it has started; elected is
// set if this process is the elected planner. Members that elected this process before it
// elected itself have sent it messages that it could not use. It therefore advertises that
// it has started, and they send them again.
func (c *Core) updatePlanning(now time.Time, elected bool) (began bool) {
	switch {
	case elected == c.cell.Active():
	case elected:
		c.cell.Begin(now)
		c.beginOwnReads(now)
		c.self.PlannerTerms++
		c.out = append(c.out, Output{Advertise: &c.self})
		c.updateWatches(now)
		return true
	default:
		c.stopPlanning(now)
	}
	return false
}

func (c *Core) stopPlanning(now time.Time) {
	c.cell.Stop()
	c.stopReaders(now, mesh.ID{})
}

// forgetCell drops the list of workers and, if this process is the planner, begins a new
// term. After a pause, workers may have other holders than this process knows, and drain.
func (c *Core) forgetCell(now time.Time) {
	c.list = workerList{}
	c.settlesAt = now.Add(resumeSettleTime)
	if c.cell.Active() {
		c.stopPlanning(now)
		c.elect(now)
	}
}

// resumeSettleTime is how long after a pause a process that begins to plan first reads the
// list of workers: until the sessions that were lost in the pause are replaced.
const resumeSettleTime = time.Second

// syncPlanner has everything sent to a planner that is new, has connected or has begun to
// plan: all held workers with the next report, and all pending tasks again.
func (c *Core) syncPlanner(now time.Time) {
	c.fullReportAt, c.reportedAt = time.Time{}, time.Time{}
	if c.self.StoreUnreachable && c.planner != c.self.ID && c.planner != c.list.source && c.list.usable(now) {
		// The planner may be unable to reach the store as well.
		full := c.list.full()
		c.send(now, c.planner, Message{WorkerList: &full})
	}
	c.sendCancelled(now, c.planner)
	// The entry sends its requests again only if the planner changes.
	c.entry.SetPlanner(now, mesh.ID{})
	c.entry.SetPlanner(now, c.planner)
}

// comparePriority orders members by their priority in the election of the planner.
func (c *Core) comparePriority(x, y mesh.Member) int {
	return cmp.Or(
		-compareBool(eligible(x), eligible(y)),
		-cmp.Compare(sizeClass(x), sizeClass(y)),
		cmp.Compare(x.Number, y.Number),
		x.ID.Compare(y.ID),
	)
}

func eligible(m mesh.Member) bool { return !m.Leaving && m.Number != 0 }

// sizeClass returns the size of a VM in tenths of a core, so that smaller differences do
// not matter.
func sizeClass(m mesh.Member) int { return int(m.Cores * 10) }

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// recordedInCell returns how many processes the store lists for this cell, and how many of
// them are among the members that are reachable. Those that are stopping count in neither
// number: they give their workers away, and without the store they can't delete their records.
func (c *Core) recordedInCell(members []mesh.Member) (recorded, recordedReachable int) {
	for _, m := range c.cellRecords {
		if _, left := c.left[m.ID]; !left {
			recorded++
		}
	}
	for _, m := range members {
		if _, ok := c.directory.byAddress[m.ID.Address]; !ok {
			continue
		}
		_, inCell := c.cellRecords[m.ID.Address]
		switch {
		case m.Leaving && inCell:
			recorded--
		case m.Leaving:
		case inCell:
			recordedReachable++
		default:
			// Its record doesn't name its data centre, as those of earlier releases.
			recorded++
			recordedReachable++
		}
	}
	return recorded, recordedReachable
}

// updateLeft forgets the processes that have left once they are no longer listed.
func (c *Core) updateLeft() {
	for id := range c.left {
		if c.directory.byAddress[id.Address].ID != id {
			delete(c.left, id)
		}
	}
}

// HasQuorum reports whether more than half of the processes that the store lists for this
// cell are reachable. It is false until the list has been read.
func (c *Core) HasQuorum() bool { return c.quorum && len(c.directory.byAddress) > 0 }
