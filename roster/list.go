package roster

import (
	"net/netip"
	"time"

	"snipehub.example/ledger"
)

// vm is the identity of a VM. The platform reuses both names and addresses, so only the
// pair identifies a VM.
type vm struct {
	name    string
	address netip.Addr
}

// List processes the platform's VM list.
//
// A member is gone for good if its VM was once on the list, is then missing from all
// lists for GoneAfter, and the member is silent for that time. Each condition has a
// reason. A new VM is not on the list yet, because the list lags. A VM with a reused name
// and address may be missing from a lagging list although its new process runs; that
// process is heard. An empty list, or none because the platform is down, proves nothing.
// If a running owner were taken for gone, callers would be told that their jobs failed
// while they run.
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

// forgetUnusedVMs removes VMs without an active member, so that there are never more VMs
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
