package roster

import (
	"net/netip"
	"time"

	"snipehub.example/ledger"
)

// vm is a VM of the list. Names and addresses are both used again by the
// platform, so only the two together name one.
type vm struct {
	name    string
	address netip.Addr
}

// List takes the platform's VM list.
//
// A member is gone for good when its VM was on the list, is on none of the
// lists of the time GoneAfter, and the member is silent for that time. Each of
// these has its reason. A fresh VM is not on the list yet, because the list
// lags. A VM whose name and address are used again may be missing from a list
// that lags although its new process lives; that one is heard. A list that is
// down or empty says nothing. If a live owner were taken for gone, callers would
// be told that their jobs failed while they run.
func (b *MemberTable) List(now time.Time, list []ledger.VM) {
	if len(list) == 0 {
		return
	}
	listed := make(map[vm]struct{}, len(list))
	for _, v := range list {
		listed[vm{v.Name, v.Address}] = struct{}{}
	}
	for _, e := range append([]*entry(nil), b.active...) {
		b.checkVM(now, e, listed)
	}
	b.forgetUnusedVMs()
}

// forgetUnusedVMs forgets VMs that no member has, so that there are never more of them
// than members.
func (b *MemberTable) forgetUnusedVMs() {
	used := make(map[vm]struct{}, len(b.active))
	for _, e := range b.active {
		used[e.vm()] = struct{}{}
	}
	for v := range b.missingSince {
		if _, ok := used[v]; !ok {
			delete(b.missingSince, v)
		}
	}
}

func (e *entry) vm() vm { return vm{e.Owner.VM, e.Address.Addr()} }

func (b *MemberTable) checkVM(now time.Time, e *entry, listed map[vm]struct{}) {
	v := e.vm()
	if _, ok := listed[v]; ok {
		b.missingSince[v] = time.Time{}
		return
	}
	absentSince, known := b.missingSince[v]
	if !known {
		return
	}
	if absentSince.IsZero() {
		b.missingSince[v] = now
		return
	}
	silentSince := later(later(absentSince, e.knownSince), e.Heard)
	if e.State == Suspect && now.Sub(silentSince) >= b.cfg.GoneAfter {
		b.markGone(now, e)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
