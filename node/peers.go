package node

import (
	"net/netip"
	"slices"
	"time"

	"snipehub.example/mesh"
)

// In a deployment that is divided into cells, a process has sessions with its own cell, and
// few others: a planner with the planners of some other cells (links), and any process with
// those on which its jobs depend in another cell (on demand). So the number of sessions depends
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
)

// Peers is which processes to keep sessions with: all that become known, or those listed.
type Peers struct {
	All  bool
	List []mesh.Peer
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
	for id := range c.onDemand {
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

// inOwnCell reports whether a process is taken to belong to this cell.
func (c *Core) inOwnCell(id mesh.ID) bool {
	if m, ok := c.members[id]; ok {
		return c.cellOf(m.Member) == c.ownCell()
	}
	_, ok := c.cellRecords[id.Address]
	return ok
}

// refusesSession reports whether a new session with a process of another cell is one too
// many.
func (c *Core) refusesSession(m mesh.Member) bool {
	if !c.layout.divided || len(c.members) < maxSessions || c.cellOf(m) == c.ownCell() {
		return false
	}
	_, wanted := c.onDemand[m.ID]
	return !wanted
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
