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
func (b *Book) List(now time.Time, list []ledger.VM) {
	if len(list) == 0 {
		return
	}
	listed := make(map[vm]struct{}, len(list))
	for _, v := range list {
		listed[vm{v.Name, v.Address}] = struct{}{}
	}
	for _, e := range append([]*entry(nil), b.order...) {
		b.compare(now, e, listed)
	}
	b.trimVMs()
}

// trimVMs forgets VMs that no member has, so that there are never more of them
// than members.
func (b *Book) trimVMs() {
	used := make(map[vm]struct{}, len(b.order))
	for _, e := range b.order {
		used[e.vm()] = struct{}{}
	}
	for v := range b.vms {
		if _, ok := used[v]; !ok {
			delete(b.vms, v)
		}
	}
}

func (e *entry) vm() vm { return vm{e.Owner.VM, e.Address.Addr()} }

func (b *Book) compare(now time.Time, e *entry, listed map[vm]struct{}) {
	v := e.vm()
	if _, ok := listed[v]; ok {
		b.vms[v] = time.Time{}
		return
	}
	absent, known := b.vms[v]
	if !known {
		return
	}
	if absent.IsZero() {
		b.vms[v] = now
		return
	}
	quiet := later(later(absent, e.since), e.Heard)
	if e.State == Suspect && now.Sub(quiet) >= b.cfg.GoneAfter {
		b.end(now, e)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
