package hub

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"

	"snipehub.example/event"
	"snipehub.example/ledger"
	"snipehub.example/settings"
)

// knownVMs is the most recent VM list of the platform that was not empty. It stays in use
// while the platform's list is late, unavailable or empty.
type knownVMs struct {
	cfg     settings.Peers
	current atomic.Pointer[vmList]
}

type vmList struct {
	leaving map[netip.Addr]struct{}
	// dispatchers are addresses at which there may be dispatchers.
	dispatchers []netip.AddrPort
}

func newKnownVMs(cfg settings.Peers) *knownVMs {
	p := &knownVMs{cfg: cfg}
	p.current.Store(p.newList(nil))
	return p
}

// update replaces the list. A list without VMs is ignored: it can't be right, because
// this process runs on a VM.
func (p *knownVMs) update(vms []ledger.VM) {
	if len(vms) > 0 {
		p.current.Store(p.newList(vms))
	}
}

func (p *knownVMs) newList(vms []ledger.VM) *vmList {
	l := &vmList{leaving: make(map[netip.Addr]struct{}), dispatchers: append([]netip.AddrPort(nil), p.cfg.Seeds...)}
	for _, v := range vms {
		if v.Leaving {
			l.leaving[v.Address] = struct{}{}
		}
		if !strings.HasPrefix(v.Name, p.cfg.VMPrefix) {
			continue
		}
		for _, port := range p.cfg.Ports {
			l.dispatchers = append(l.dispatchers, netip.AddrPortFrom(v.Address, port))
		}
	}
	return l
}

// isLeaving reports whether the VM list says that the VM will be taken away.
func (p *knownVMs) isLeaving(a netip.Addr) bool {
	_, ok := p.current.Load().leaving[a]
	return ok
}

// dispatcherAddresses returns the addresses at which there may be dispatchers.
func (p *knownVMs) dispatcherAddresses() []netip.AddrPort { return p.current.Load().dispatchers }

// watchVMs reads the VM list periodically.
func (h *Hub) watchVMs(ctx context.Context) error {
	sub := h.clock.Subscribe(h.cfg.Peers.VMPoll.D())
	defer sub.Stop()
	down := false
	for {
		vms, err := h.ledger.VMs(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil && !down:
			event.VMListUnreachable.Log(h.log, "error", err)
		case err == nil && down:
			event.VMListReachable.Log(h.log)
		}
		down = err != nil
		if err == nil {
			h.knownVMs.update(vms)
			h.roster.ApplyVMList(h.clock.Now(), vms)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
	}
}
