package hub

import (
	"net/netip"
	"testing"

	"snipehub.example/ledger"
	"snipehub.example/settings"
)

// The platform answers with an empty VM list, as a platform that starts without data
// does. Such a list can't be right, since this process runs on a VM itself. If it
// replaced the previous list, new work would go to VMs that are about to be taken away,
// and a process that knows no other would not find its peers.
func TestEmptyVMListChangesNothing(t *testing.T) {
	leaving := netip.MustParseAddr("10.0.0.7")
	p := newKnownVMs(settings.Peers{Ports: []uint16{7500}, VMPrefix: "entry"})
	p.update([]ledger.VM{
		{Name: "entry1", Address: netip.MustParseAddr("10.0.0.1")},
		{Name: "worker7", Address: leaving, Leaving: true},
	})
	for _, vms := range [][]ledger.VM{nil, {}} {
		p.update(vms)
		if !p.isLeaving(leaving) || len(p.dispatcherAddresses()) != 1 {
			t.Errorf("leaving %t, addresses %v", p.isLeaving(leaving), p.dispatcherAddresses())
		}
	}
	p.update([]ledger.VM{{Name: "entry1", Address: netip.MustParseAddr("10.0.0.1")}})
	if p.isLeaving(leaving) {
		t.Error("a VM that is not on the list any more counts as leaving")
	}
}
