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

// platform is what this process knows of the platform's VM list. The list may
// be late, down or empty; the last one that has VMs stays in use.
type platform struct {
	cfg  settings.Peers
	last atomic.Pointer[vmList]
}

type vmList struct {
	leaving map[netip.Addr]struct{}
	// members are addresses at which there may be dispatchers.
	members []netip.AddrPort
}

func newPlatform(cfg settings.Peers) *platform {
	p := &platform{cfg: cfg}
	p.last.Store(p.list(nil))
	return p
}

// take takes a list that was read. One without VMs tells nothing: this process
// runs on a VM.
func (p *platform) take(vms []ledger.VM) {
	if len(vms) > 0 {
		p.last.Store(p.list(vms))
	}
}

func (p *platform) list(vms []ledger.VM) *vmList {
	l := &vmList{leaving: make(map[netip.Addr]struct{}), members: append([]netip.AddrPort(nil), p.cfg.Seeds...)}
	for _, v := range vms {
		if v.Leaving {
			l.leaving[v.Address] = struct{}{}
		}
		if !strings.HasPrefix(v.Name, p.cfg.VMPrefix) {
			continue
		}
		for _, port := range p.cfg.Ports {
			l.members = append(l.members, netip.AddrPortFrom(v.Address, port))
		}
	}
	return l
}

// isLeaving tells whether the VM list says that the VM will be taken away.
func (p *platform) isLeaving(a netip.Addr) bool {
	_, ok := p.last.Load().leaving[a]
	return ok
}

// addresses returns where there may be dispatchers.
func (p *platform) addresses() []netip.AddrPort { return p.last.Load().members }

// watchVMs reads the VM list from time to time.
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
			h.platform.take(vms)
			h.roster.ApplyVMList(h.clock.Now(), vms)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
	}
}
