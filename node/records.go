package node

import (
	"maps"
	"net/netip"
	"slices"
)

// renewals is how many times a process renews its own record until it forgets one that
// was not renewed meanwhile. Own renewals are the clock because they prove that the
// store takes records: while it is away, nobody is forgotten.
const renewals = 3

// records are the processes that the store lists. It is a pure value.
//
// A process counts towards the majority without which no worker is given to another
// holder, so one that is gone for good must not count for ever. Nobody takes the record
// of a killed process back. With records that stay, a deployment of eight could not take
// over a worker any more after its eighth replacement at a new address, and after five
// of eight were lost at once: tasks on the workers of the lost ones would never start.
type records struct {
	self netip.AddrPort
	// missed counts the own renewals since the record was last renewed.
	missed map[netip.AddrPort]int
}

func newRecords(self netip.AddrPort) *records {
	return &records{self: self, missed: make(map[netip.AddrPort]int)}
}

// renewed takes note of a record, and returns the processes that are forgotten by that.
func (r *records) renewed(a netip.AddrPort) (gone []netip.AddrPort) {
	r.missed[a] = 0
	if a != r.self {
		return nil
	}
	for o := range r.missed {
		if o == r.self {
			continue
		}
		r.missed[o]++
		if r.missed[o] > renewals {
			gone = append(gone, o)
		}
	}
	for _, o := range gone {
		delete(r.missed, o)
	}
	slices.SortFunc(gone, netip.AddrPort.Compare)
	return gone
}

// dropped takes note that a record was taken back.
func (r *records) dropped(a netip.AddrPort) { delete(r.missed, a) }

// clear forgets all, before the whole list is taken in anew.
func (r *records) clear() { clear(r.missed) }

// list returns the processes that there are, in order.
func (r *records) list() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(r.missed), netip.AddrPort.Compare)
}
