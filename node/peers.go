package node

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// In a deployment that is divided into cells, a process has sessions with its own cell, and
// few others: a planner with the planners of some other cells (links), and any process with
// those on which its jobs depend in another cell (visits). So the number of sessions depends
// on the size of a cell and not of the deployment.
const (
	// maxSessions bounds the sessions of a process. At the bound, new sessions with
	// processes of other cells are refused.
	maxSessions = 80
	// linksPerPlanner is how many other cells a planner has links with: the next ones in the
	// order of their names, so that the links of all planners form a ring that two lost
	// cells don't break. Over them, the operator's changes reach a cell whose path to the
	// store is cut.
	linksPerPlanner = 2
	// cellDialDelay is how long the process with the higher address leaves it to the other
	// one to dial within a cell. All may connect at once, and a greeting takes long on a
	// busy VM. The planner is waited for less, since callers wait for it.
	cellDialDelay    = 300 * time.Millisecond
	plannerDialDelay = 60 * time.Millisecond
	// visitTimeout is how long a message waits for the session that is opened for it: some
	// round trips, and the greeting on a busy VM.
	visitTimeout = 300 * time.Millisecond
	// visitRetention is how long the session of a visit is kept after its last use.
	visitRetention = 5 * time.Second
	// maxVisitMessages bounds the messages that wait for one session.
	maxVisitMessages = 1024
	// unreachableRetention is how long a process of another cell that could not be reached is
	// passed over.
	unreachableRetention = 10 * time.Second
	// maxOtherPlanners is how many other cells a process offers jobs to.
	maxOtherPlanners = 4
)

// Peers is which processes to keep sessions with: all that become known, or those listed.
type Peers struct {
	All  bool
	List []mesh.Peer
}

// visit is a session with a process of another cell while jobs here depend on it.
type visit struct {
	usedAt time.Time
	// openedAt is when the session was requested; messages wait for it.
	openedAt time.Time
	messages []Message
}

// updatePeers tells the mesh with which processes to keep sessions, if that has changed.
func (c *Core) updatePeers() {
	if !c.layout.divided {
		if c.peers != nil {
			c.peers = nil
			c.out = append(c.out, Output{Peers: &Peers{All: true}})
		}
		return
	}
	if peers := c.listPeers(); !slices.Equal(peers, c.peers) {
		c.peers = peers
		c.out = append(c.out, Output{Peers: &Peers{List: peers}})
	}
}

// listPeers returns the processes to keep sessions with, by address. Records that name no
// data centre are of an earlier release, whose processes expect a session with everybody.
func (c *Core) listPeers() []mesh.Peer {
	delays := make(map[netip.AddrPort]time.Duration)
	for a := range c.cellRecords {
		delays[a] = cellDialDelay
	}
	for _, m := range c.directory.dataCenters[""] {
		delays[m.ID.Address] = cellDialDelay
	}
	for _, m := range c.members {
		if c.cellOf(m.Member) == c.ownCell() {
			delays[m.ID.Address] = cellDialDelay
		}
	}
	if best := c.expectedPlanner(); best.IsValid() {
		delays[best] = plannerDialDelay
	}
	for _, a := range c.linkAddrs() {
		delays[a] = 0
	}
	for id := range c.visits {
		delays[id.Address] = 0
	}
	delete(delays, c.self.ID.Address)
	out := make([]mesh.Peer, 0, len(delays))
	for a, d := range delays {
		out = append(out, mesh.Peer{Address: a, DialDelay: d})
	}
	slices.SortFunc(out, func(x, y mesh.Peer) int { return x.Address.Compare(y.Address) })
	return out
}

// expectedPlanner returns the address of the listed process that comes first in this cell, or
// the zero value if none is listed.
func (c *Core) expectedPlanner() netip.AddrPort {
	var best mesh.Member
	for _, m := range c.cellRecords {
		if best.ID == (mesh.ID{}) || c.comparePriority(m, best) < 0 {
			best = m
		}
	}
	return best.ID.Address
}

// linkAddrs returns the addresses of the planners of other cells with which this process keeps
// sessions as a planner.
func (c *Core) linkAddrs() (addrs []netip.AddrPort) {
	if !c.cell.Active() {
		return nil
	}
	own := c.ownCell()
	cells := make([]cellID, 0, len(c.otherCells))
	for id := range c.otherCells {
		cells = append(cells, id)
	}
	slices.SortFunc(cells, cellID.compare)
	first := max(0, slices.IndexFunc(cells, func(id cellID) bool { return id.compare(own) > 0 }))
	for i := range min(linksPerPlanner, len(cells)) {
		if m, ok := c.plannerOf(cells[(first+i)%len(cells)]); ok {
			addrs = append(addrs, m.Address)
		}
	}
	return addrs
}

// plannerOf returns the process that is expected to plan for another cell: the one that a
// process there has named, or the first by priority among those that are listed or have a
// session, without those that could not be reached lately.
func (c *Core) plannerOf(id cellID) (mesh.ID, bool) {
	if hint, ok := c.plannerHints[id]; ok && !c.isUnreachable(hint) {
		return hint, true
	}
	var best mesh.Member
	consider := func(m mesh.Member) {
		if !c.isUnreachable(m.ID) && (best.ID == (mesh.ID{}) || c.comparePriority(m, best) < 0) {
			best = m
		}
	}
	connected := c.foreign[id]
	for _, m := range c.otherCells[id] {
		if !slices.ContainsFunc(connected, func(o mesh.Member) bool { return o.ID.Address == m.ID.Address }) {
			consider(m)
		}
	}
	for _, m := range connected {
		consider(m)
	}
	return best.ID, best.ID != (mesh.ID{})
}

func (c *Core) isUnreachable(id mesh.ID) bool {
	_, ok := c.unreachable[id.Address]
	return ok
}

// noteUnreachable records that a process of another cell could not be reached.
func (c *Core) noteUnreachable(now time.Time, id mesh.ID) {
	if c.layout.divided && !c.inOwnCell(id) {
		c.unreachable[id.Address] = now
	}
}

// groupForeign groups the reachable processes of other cells.
func (c *Core) groupForeign(reachable []mesh.Member) {
	c.foreign = make(map[cellID][]mesh.Member)
	if !c.layout.divided {
		return
	}
	own := c.ownCell()
	for _, m := range reachable {
		if id := c.cellOf(m); id != own {
			c.foreign[id] = append(c.foreign[id], m)
		}
	}
}

// otherPlanners returns the planners of other cells to which jobs are offered that this
// cell's has refused. Cells of the own data centre come first, since starts there cross no
// data centre; each process offers to others of the rest, so that no cell gets all offers.
func (c *Core) otherPlanners() []mesh.ID {
	type candidate struct {
		id    mesh.ID
		away  bool
		order uint64
	}
	var candidates []candidate
	add := func(id cellID) {
		if p, ok := c.plannerOf(id); ok {
			order := xxhash.Sum64String(c.self.ID.String() + id.dataCenter + string(rune(id.part)))
			candidates = append(candidates, candidate{p, id.dataCenter != c.self.DataCenter, order})
		}
	}
	for id := range c.otherCells {
		add(id)
	}
	for id := range c.foreign {
		if _, listed := c.otherCells[id]; !listed {
			add(id)
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(compareBool(x.away, y.away), cmp.Compare(x.order, y.order), x.id.Compare(y.id))
	})
	var out []mesh.ID
	for _, c := range candidates[:min(len(candidates), maxOtherPlanners)] {
		out = append(out, c.id)
	}
	slices.SortFunc(out, mesh.ID.Compare)
	return out
}

// inOwnCell reports whether a process is taken to belong to this cell.
func (c *Core) inOwnCell(id mesh.ID) bool {
	if m, ok := c.members[id]; ok {
		return c.cellOf(m.Member) == c.ownCell()
	}
	_, ok := c.cellRecords[id.Address]
	return ok
}

// needsVisit reports whether a message must wait until a session with a process of another
// cell has been opened: it is the first about a job.
func (c *Core) needsVisit(to mesh.ID, m Message) bool {
	if m.Request == nil && m.Start == nil || !c.layout.divided {
		return false
	}
	_, connected := c.members[to]
	return !connected && !c.inOwnCell(to)
}

// visit has a session opened with a process of another cell, and sends the message over it.
func (c *Core) visit(now time.Time, to mesh.ID, m Message) {
	v := c.visits[to]
	if v == nil && len(c.members)+len(c.visits) >= maxSessions || v != nil && len(v.messages) >= maxVisitMessages {
		c.noteUnreachable(now, to)
		c.entry.SetOtherPlanners(c.otherPlanners())
		c.visitFailed(now, to, []Message{m})
		return
	}
	if v == nil {
		v = &visit{}
		c.visits[to] = v
		c.updatePeers()
	}
	if len(v.messages) == 0 {
		v.openedAt = now
	}
	v.usedAt = now
	v.messages = append(v.messages, m)
}

// visitFailed has the runs of unsent starts placed again, and asks this cell's planner again
// for jobs whose request was not sent.
func (c *Core) visitFailed(now time.Time, to mesh.ID, unsent []Message) {
	event.VisitFailed.Log(c.log, "member", to, "messages", len(unsent))
	for _, m := range unsent {
		if m.Start == nil {
			continue
		}
		for _, r := range m.Start.Runs {
			end := lease.End{Run: r.Run, Outcome: lease.NeverStarted, Why: lease.NotHeld}
			c.entry.Ended(now, to, entry.Ended{Worker: r.Worker, End: end})
		}
	}
	c.entry.HolderUnreachable(now, to)
}

// sendWaiting sends the messages that have waited for a session that has begun now.
func (c *Core) sendWaiting(now time.Time, to mesh.ID) {
	if v := c.visits[to]; v != nil {
		messages := v.messages
		v.messages, v.usedAt = nil, now
		for _, m := range messages {
			c.send(now, to, m)
		}
	}
}

// updateVisits gives up visits whose session has not begun in time, and ends those that
// nothing depends on any more.
func (c *Core) updateVisits(now time.Time) {
	for a, since := range c.unreachable {
		if now.Sub(since) > unreachableRetention {
			delete(c.unreachable, a)
		}
	}
	if len(c.visits) == 0 {
		return
	}
	needed := c.entry.Dependencies()
	for _, id := range sortedIDs(c.visits) {
		v := c.visits[id]
		_, needs := needed[id]
		switch {
		case len(v.messages) > 0 && now.Sub(v.openedAt) > visitTimeout:
			messages := v.messages
			delete(c.visits, id)
			c.noteUnreachable(now, id)
			c.elect(now)
			c.visitFailed(now, id, messages)
		case len(v.messages) == 0 && !needs && now.Sub(v.usedAt) > visitRetention:
			delete(c.visits, id)
		}
	}
	c.updatePeers()
}

// refusesVisitor reports whether a new session with a process of another cell is one too
// many.
func (c *Core) refusesVisitor(m mesh.Member) bool {
	if !c.layout.divided || len(c.members) < maxSessions || c.cellOf(m) == c.ownCell() {
		return false
	}
	_, visited := c.visits[m.ID]
	return !visited
}

// sendDirectory tells a process that has just started, and may not reach the store, the
// addresses of its cell.
func (c *Core) sendDirectory(now time.Time, to mesh.Member) {
	if !c.layout.divided || to.Number != 0 || c.cellOf(to) == c.ownCell() {
		return
	}
	var addrs []netip.AddrPort
	for _, m := range c.directory.dataCenters[to.DataCenter] {
		if m.ID.Address != to.ID.Address && c.cellOf(m) == c.cellOf(to) && len(addrs) < maxSessions {
			addrs = append(addrs, m.ID.Address)
		}
	}
	if len(addrs) > 0 {
		c.send(now, to.ID, Message{Addresses: addrs})
	}
}

// redirectRequest refuses a request of another cell that reaches this process although it
// does not plan, and names the planner.
func (c *Core) redirectRequest(now time.Time, from mesh.ID, r cell.Request) {
	if c.inOwnCell(from) {
		// A member that has elected this process already; it asks again when this one begins
		// to plan.
		return
	}
	c.send(now, from, Message{Refusal: &cell.Refusal{Job: r.Job, Reason: cell.ReasonNotPlanner, Planner: c.planner}})
}

// noteRefusal keeps the planner that a refusal from another cell names.
func (c *Core) noteRefusal(now time.Time, from mesh.ID, r cell.Refusal) {
	m, ok := c.members[from]
	if r.Reason != cell.ReasonNotPlanner || !ok {
		return
	}
	delete(c.unreachable, r.Planner.Address)
	c.plannerHints[c.cellOf(m.Member)] = r.Planner
	c.elect(now)
}
