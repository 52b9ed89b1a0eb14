package node

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"snipehub.example/mesh"
	"snipehub.example/registry"
)

const (
	// maxMissedRenewals is how many times a process renews its own record before it removes
	// one that was not renewed meanwhile. Time is measured in own renewals because they
	// prove that the store accepts records: while it is unreachable, no process is removed.
	maxMissedRenewals = 3
)

// recordTracker tracks the processes that the store lists. It does no I/O. It is safe for
// concurrent use.
//
// A listed process counts towards the quorum without which no worker is assigned to
// another holder, and a killed process does not delete its own record. The planner probes
// those that it can't reach (probe.go). Records that are no longer renewed expire besides, so
// that they don't stay listed where no planner probes them.
type recordTracker struct {
	self netip.AddrPort
	// ownPart is the partition with the own record.
	ownPart int

	mu sync.Mutex
	// parts holds the records of each partition that has been read, by address.
	parts map[int]map[netip.AddrPort]*trackedRecord
	// countedAt is when the last own renewal that was counted was read, readAt when each
	// partition was last read.
	countedAt time.Time
	readAt    map[int]time.Time
}

type trackedRecord struct {
	mesh.Member
	offset registry.Offset
	// missedRenewals counts the own renewals since the record was last renewed.
	missedRenewals int
}

// ownRecord is whether the own record is listed, and its offset.
type ownRecord struct {
	listed bool
	offset registry.Offset
}

// recordChange is a record read in a partition: written, or removed.
type recordChange struct {
	address netip.AddrPort
	removed bool
	member  mesh.Member
	offset  registry.Offset
}

// goneMember is a process that has not renewed its record for long.
type goneMember struct {
	part    int
	address netip.AddrPort
}

func newRecordTracker(self netip.AddrPort, ownPart int) *recordTracker {
	return &recordTracker{self: self, ownPart: ownPart, parts: make(map[int]map[netip.AddrPort]*trackedRecord), readAt: make(map[int]time.Time)}
}

// apply applies what was read of a partition at the given time; full is set if that is the
// latest record of each process. It reports whether the list has changed, and returns the
// processes that are removed from it because they no longer renew their records.
func (r *recordTracker) apply(readAt time.Time, part int, full bool, changes []recordChange) (changed bool, gone []goneMember) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt[part] = readAt
	records := r.parts[part]
	if records == nil || full {
		records, changed = make(map[netip.AddrPort]*trackedRecord), true
		r.parts[part] = records
	}
	for _, c := range changes {
		if c.removed {
			_, had := records[c.address]
			changed = changed || had
			delete(records, c.address)
			continue
		}
		have := records[c.address]
		changed = changed || have == nil || have.ID != c.member.ID
		records[c.address] = &trackedRecord{Member: c.member, offset: c.offset}
		if c.address == r.self && part == r.ownPart {
			gone = append(gone, r.countRenewal(readAt)...)
		}
	}
	return changed || len(gone) > 0, gone
}

// countRenewal counts an own renewal, and removes the processes that have missed too many. One
// that follows the last counted one by less than the average pause is not counted: an attempt
// that timed out may have been carried out and is repeated at once, and a process that is probed
// renews its record early. Counted alike, they would remove live processes. In
// a partition that was not read since the last one, renewals can't be seen: it may be
// unavailable while the own one is not.
func (r *recordTracker) countRenewal(readAt time.Time) (gone []goneMember) {
	if readAt.Sub(r.countedAt) < averageRenewalPause(r.countLocked()) {
		return nil
	}
	lastCounted := r.countedAt
	r.countedAt = readAt
	for part, records := range r.parts {
		if !r.readAt[part].After(lastCounted) {
			continue
		}
		for a, o := range records {
			if a == r.self {
				continue
			}
			if o.missedRenewals++; o.missedRenewals > maxMissedRenewals {
				delete(records, a)
				gone = append(gone, goneMember{part, a})
			}
		}
	}
	slices.SortFunc(gone, func(x, y goneMember) int { return x.address.Compare(y.address) })
	return gone
}

// remove removes a process from the list.
func (r *recordTracker) remove(gone goneMember) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.parts[gone.part], gone.address)
}

// own returns the state of the own record, as last read.
func (r *recordTracker) own() ownRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.parts[r.ownPart][r.self]
	if o == nil {
		return ownRecord{}
	}
	return ownRecord{listed: true, offset: o.offset}
}

// byPartition groups processes by the partitions that hold their records.
func (r *recordTracker) byPartition(processes []netip.AddrPort) map[int][]netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[int][]netip.AddrPort)
	for part, records := range r.parts {
		for _, a := range processes {
			if records[a] != nil {
				out[part] = append(out[part], a)
			}
		}
	}
	return out
}

// complete reports whether all of a number of partitions have been read.
func (r *recordTracker) complete(parts int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.parts) >= parts
}

// count returns the number of records.
func (r *recordTracker) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countLocked()
}

func (r *recordTracker) countLocked() int {
	n := 0
	for _, records := range r.parts {
		n += len(records)
	}
	return n
}

// list returns the listed processes, by address. An address that is listed twice, as when a
// process of an earlier release was replaced by one of this, counts once: with the record
// that names a data centre and was written last.
func (r *recordTracker) list() []mesh.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	byAddress := make(map[netip.AddrPort]mesh.Member)
	for _, records := range r.parts {
		for a, o := range records {
			have, ok := byAddress[a]
			if !ok || cmp.Or(compareBool(o.DataCenter != "", have.DataCenter != ""), cmp.Compare(o.Number, have.Number)) > 0 {
				byAddress[a] = o.Member
			}
		}
	}
	return slices.SortedFunc(maps.Values(byAddress), func(x, y mesh.Member) int { return x.ID.Compare(y.ID) })
}
