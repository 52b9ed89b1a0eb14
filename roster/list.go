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

// ApplyVMList processes the platform's VM list.
//
// A member is gone for good if its VM was once on the list, is then missing from all
// lists for GoneAfter, and the member is suspect and silent for that time. Each condition
// has a reason. A new VM is not on the list yet, because the list lags. A VM with a
// reused name and address may be missing from a lagging list although its new process
// runs; that process is heard. An empty list, or none because the platform is down,
// proves nothing. If a running owner were taken for gone, callers would be told that
// their jobs failed while they run.
func (t *MemberTable) ApplyVMList(now time.Time, list []ledger.VM) {
	if len(list) == 0 {
		return
	}
	listed := make(map[vm]struct{}, len(list))
	for _, v := range list {
		listed[vm{v.Name, v.Address}] = struct{}{}
	}
	for _, e := range append([]*entry(nil), t.active...) {
		t.checkVM(now, e, listed)
	}
	t.forgetUnusedVMs()
}

// forgetUnusedVMs removes VMs without an active member, so that there are never more VMs
// than members.
func (t *MemberTable) forgetUnusedVMs() {
	used := make(map[vm]struct{}, len(t.active))
	for _, e := range t.active {
		used[e.vm()] = struct{}{}
	}
	for v := range t.missingSince {
		if _, ok := used[v]; !ok {
			delete(t.missingSince, v)
		}
	}
}

func (e *entry) vm() vm { return vm{e.Owner.VM, e.Address.Addr()} }

func (t *MemberTable) checkVM(now time.Time, e *entry, listed map[vm]struct{}) {
	v := e.vm()
	if _, ok := listed[v]; ok {
		t.missingSince[v] = time.Time{}
		return
	}
	missingSince, known := t.missingSince[v]
	if !known {
		return
	}
	if missingSince.IsZero() {
		t.missingSince[v] = now
		return
	}
	silentSince := later(later(missingSince, e.knownSince), e.LastHeard)
	if e.State == Suspect && now.Sub(silentSince) >= t.cfg.GoneAfter {
		t.markGone(now, e)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
