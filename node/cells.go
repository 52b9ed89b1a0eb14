package node

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/cell"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// A deployment is a single cell while one planner can keep up with it and each process can
// have a session with each other one. From splitThreshold processes on, each data centre is
// a cell with a planner of its own, until fewer than mergeThreshold processes are left.
//
// A data centre that is too large for one cell is divided into two, four, eight and so on,
// by the leading bits of a hash: of the address for processes, of the rack for workers. So
// each division moves half of a cell and leaves the other half as it is, and nobody has to
// agree on it: it follows from the store's list. Two processes that differ for a moment cost
// starts that are turned down.
const (
	splitThreshold = 96
	mergeThreshold = 80
	// maxCellSize is the size above which the cells of a data centre are divided, and
	// mergedCellSize the size up to which two are joined again. A planner of maxCellSize
	// processes has room for links with other cells below maxSessions.
	maxCellSize    = 64
	mergedCellSize = 40
	// maxCellBits bounds the division of a data centre.
	maxCellBits = 8
)

// cellID identifies a cell. The zero value is the only cell of a deployment.
type cellID struct {
	dataCenter string
	// bits is how many bits of the hash distinguish the cells of the data centre, and part
	// their value in this cell.
	bits int
	part uint64
}

func (c cellID) compare(o cellID) int {
	return cmp.Or(cmp.Compare(c.dataCenter, o.dataCenter), cmp.Compare(c.part, o.part))
}

// cellLayout is how the processes are divided into cells.
type cellLayout struct {
	// divided is set if each data centre has cells of its own.
	divided bool
	// bits is the number of hash bits that divide this process's data centre.
	bits int
}

// code returns the layout as it is advertised: 0 for a single cell, else 1 more than bits.
func (l cellLayout) code() uint8 {
	if !l.divided {
		return 0
	}
	return uint8(1 + l.bits)
}

// directory is what the store lists of the processes.
type directory struct {
	byAddress map[netip.AddrPort]mesh.Member
	// complete is set once all partitions of the list have been read.
	complete bool
	// dataCenters holds the processes of each data centre.
	dataCenters map[string][]mesh.Member
	// minBits and maxBits bound the hash bits by which each data centre is divided: its
	// largest cell is no larger than maxCellSize, and it is not divided further than to
	// mergedCellSize.
	minBits, maxBits map[string]int
}

func newDirectory(listed []mesh.Member, complete bool) directory {
	d := directory{
		byAddress:   make(map[netip.AddrPort]mesh.Member, len(listed)),
		complete:    complete,
		dataCenters: make(map[string][]mesh.Member),
		minBits:     make(map[string]int),
		maxBits:     make(map[string]int),
	}
	for _, m := range listed {
		d.byAddress[m.ID.Address] = m
		d.dataCenters[m.DataCenter] = append(d.dataCenters[m.DataCenter], m)
	}
	for dc, members := range d.dataCenters {
		d.minBits[dc] = bitsForSize(members, maxCellSize)
		d.maxBits[dc] = bitsForSize(members, mergedCellSize)
	}
	return d
}

// bitsForSize returns how many hash bits divide processes into cells no larger than a size.
func bitsForSize(members []mesh.Member, size int) int {
	for bits := range maxCellBits {
		sizes := make(map[uint64]int)
		largest := 0
		for _, m := range members {
			p := addressPart(m.ID.Address, bits)
			sizes[p]++
			largest = max(largest, sizes[p])
		}
		if largest <= size {
			return bits
		}
	}
	return maxCellBits
}

// addressPart returns the leading bits of the hash of a process's address.
func addressPart(a netip.AddrPort, bits int) uint64 {
	b, err := a.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b) >> (64 - bits)
}

// updateLayout decides how the processes are divided into cells, and reports whether this
// process's cell has changed. It counts the processes that the store lists or the reachable
// ones, whichever are more.
//
// Between the thresholds the present layout stays. There, and while it has not read the
// whole list, a process adopts the layout that members advertise, so that one that has just
// started joins the cell of the others.
func (c *Core) updateLayout(reachable []mesh.Member) (changed bool) {
	advertised, own := c.advertisedLayout(reachable)
	n := max(len(c.directory.byAddress), len(reachable))
	next := cellLayout{divided: n >= splitThreshold || (c.layout.divided || advertised > 0) && n >= mergeThreshold}
	if !c.directory.complete && advertised > 0 {
		next.divided = true
	}
	if next.divided {
		next.bits = max(c.layout.bits, own-1, c.directory.minBits[c.self.DataCenter])
		if c.directory.complete {
			next.bits = min(next.bits, c.directory.maxBits[c.self.DataCenter])
		}
	}
	if next == c.layout {
		if c.cellRecords == nil {
			c.updateCellRecords()
		}
		return false
	}
	c.layout = next
	c.updateCellRecords()
	event.CellLayout.Log(c.log, "divided", next.divided, "bits", next.bits, "part", c.ownCell().part, "listed", len(c.directory.byAddress), "listed_in_cell", len(c.cellRecords))
	c.self.Layout = next.code()
	c.out = append(c.out, Output{Advertise: &c.self})
	return true
}

// advertisedLayout returns the highest layouts that members advertise: of all, and of those in
// this process's data centre.
func (c *Core) advertisedLayout(reachable []mesh.Member) (all, own int) {
	for _, m := range reachable {
		if m.ID == c.self.ID {
			continue
		}
		all = max(all, int(m.Layout))
		if m.DataCenter == c.self.DataCenter {
			own = max(own, int(m.Layout))
		}
	}
	return all, own
}

// cellOf returns the cell of a process, as far as this one knows: how other data centres are
// divided follows from the store's list alone.
func (c *Core) cellOf(m mesh.Member) cellID {
	if !c.layout.divided {
		return cellID{}
	}
	bits := c.directory.minBits[m.DataCenter]
	if m.DataCenter == c.self.DataCenter {
		bits = c.layout.bits
	}
	return cellID{m.DataCenter, bits, addressPart(m.ID.Address, bits)}
}

// Divided reports whether the deployment has several cells.
func (c *Core) Divided() bool { return c.layout.divided }

// ownCell returns the cell of this process.
func (c *Core) ownCell() cellID { return c.cellOf(c.self) }

// cellMembers returns the members of this process's cell.
func (c *Core) cellMembers(reachable []mesh.Member) []mesh.Member {
	if !c.layout.divided {
		return reachable
	}
	own := c.ownCell()
	var out []mesh.Member
	for _, m := range reachable {
		if c.cellOf(m) == own {
			out = append(out, m)
		}
	}
	return out
}

// updateCellRecords updates the processes that the store lists for this cell, and the first
// ones by priority in the other cells. It is called when the list or the layout has changed.
func (c *Core) updateCellRecords() {
	own := c.ownCell()
	c.cellRecords = make(map[netip.AddrPort]mesh.Member)
	c.otherCells = make(map[cellID][]mesh.Member)
	for a, m := range c.directory.byAddress {
		if id := c.cellOf(m); id == own {
			c.cellRecords[a] = m
		} else {
			c.otherCells[id] = append(c.otherCells[id], m)
		}
	}
	for id, members := range c.otherCells {
		slices.SortFunc(members, c.comparePriority)
		c.otherCells[id] = slices.Clone(members[:min(len(members), maxPlannerCandidates)])
	}
}

// maxPlannerCandidates is how many processes of another cell are known as its next planners.
const maxPlannerCandidates = 4

// ownCellWorkers returns the list without the workers of other cells. A worker whose part of
// the data centre has no process belongs to the cell with the closest part.
func (c *Core) ownCellWorkers(l cell.WorkerList) cell.WorkerList {
	if !c.layout.divided {
		return l
	}
	own := c.ownCell()
	parts := c.listedParts()
	l.Workers = slices.DeleteFunc(slices.Clone(l.Workers), func(w cell.ListedWorker) bool {
		return w.DataCenter != own.dataCenter || closestPart(workerPart(w, own.bits), parts) != own.part
	})
	return l
}

// workerPart returns the leading bits of the hash of a worker's rack, so that the workers of
// a rack stay together: tasks prefer the rack that holds their data.
func workerPart(w cell.ListedWorker, bits int) uint64 {
	return xxhash.Sum64String(cmp.Or(w.Rack, w.ID)) >> (64 - bits)
}

// listedParts returns the parts of this process's data centre that have processes, this one's
// included.
func (c *Core) listedParts() []uint64 {
	own := c.ownCell()
	parts := []uint64{own.part}
	for _, m := range c.directory.dataCenters[own.dataCenter] {
		if p := addressPart(m.ID.Address, own.bits); !slices.Contains(parts, p) {
			parts = append(parts, p)
		}
	}
	return parts
}

// closestPart returns the part that has the longest prefix in common with p.
func closestPart(p uint64, parts []uint64) uint64 {
	return slices.MinFunc(parts, func(x, y uint64) int { return cmp.Compare(x^p, y^p) })
}
