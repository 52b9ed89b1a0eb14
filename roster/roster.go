package roster

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"snipehub.example/ledger"
	"snipehub.example/ticket"
)

// Roster is a MemberTable that is safe for concurrent use.
type Roster struct {
	fillSelf func(now time.Time, m *Member)
	// report is called for each change, without the lock held.
	report func(Change)

	mu    sync.Mutex
	table *MemberTable
}

// New returns a roster without other members. fillSelf sets what a heartbeat advertises
// of this process; report is called for each change.
func New(self Member, cfg Config, rnd *rand.Rand, fillSelf func(time.Time, *Member), report func(Change)) *Roster {
	return &Roster{fillSelf: fillSelf, report: report, table: NewMemberTable(self, cfg, rnd)}
}

func (r *Roster) withTable(fn func(t *MemberTable)) {
	r.mu.Lock()
	fn(r.table)
	changes := r.table.Changes()
	r.mu.Unlock()
	for _, c := range changes {
		r.report(c)
	}
}

func (r *Roster) currentSelf(now time.Time) Member {
	var m Member
	r.fillSelf(now, &m)
	return m
}

// Heartbeat returns the next heartbeat of this process and up to n addresses to send it
// to. others are addresses at which there may be members.
func (r *Roster) Heartbeat(now time.Time, n int, others []netip.AddrPort) (heartbeat Heartbeat, to []netip.AddrPort) {
	self := r.currentSelf(now)
	r.withTable(func(t *MemberTable) {
		t.Tick(now)
		to = t.Targets(n, others)
		heartbeat = t.Heartbeat(self)
	})
	return heartbeat, to
}

// Answer processes a peer's heartbeat and returns the answer to it.
func (r *Roster) Answer(now time.Time, in Heartbeat) (out Heartbeat) {
	self := r.currentSelf(now)
	r.withTable(func(t *MemberTable) {
		t.Received(now, in)
		out = t.Answer(self, in)
	})
	return out
}

// Answered processes the answer to a heartbeat that was sent to the address at the given
// time.
func (r *Roster) Answered(sent, now time.Time, to netip.AddrPort, in Heartbeat) {
	r.withTable(func(t *MemberTable) { t.Answered(sent, now, to, in) })
}

// Failed records that a heartbeat to the address was not answered.
func (r *Roster) Failed(now time.Time, to netip.AddrPort) {
	r.withTable(func(t *MemberTable) { t.Failed(now, to) })
}

// ApplyVMList processes the platform's VM list.
func (r *Roster) ApplyVMList(now time.Time, vms []ledger.VM) {
	r.withTable(func(t *MemberTable) { t.ApplyVMList(now, vms) })
}

// Find returns what is known of an incarnation.
func (r *Roster) Find(_ time.Time, o ticket.Owner) (k Known, ok bool) {
	r.withTable(func(t *MemberTable) { k, ok = t.Find(o) })
	return k, ok
}

// All returns the other members, sorted by address.
func (r *Roster) All(time.Time) (out []Known) {
	r.withTable(func(t *MemberTable) { out = t.All() })
	return out
}

// Self returns this process as it was last advertised.
func (r *Roster) Self() (m Member) {
	r.withTable(func(t *MemberTable) { m = t.Self() })
	return m
}

// Neighbours returns the other members of the data centre that are not gone.
func (r *Roster) Neighbours() (out []Neighbour) {
	r.withTable(func(t *MemberTable) { out = t.Neighbours() })
	return out
}

// Len returns the number of other members, including gone ones.
func (r *Roster) Len() (n int) {
	r.withTable(func(t *MemberTable) { n = t.Len() })
	return n
}
