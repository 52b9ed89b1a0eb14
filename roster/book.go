package roster

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"snipehub.example/ticket"
)

// Config configures a roster.
type Config struct {
	// SuspectAfter is how long a member must fail to answer until it is suspect.
	SuspectAfter time.Duration
	// GoneAfter is how long a VM must be missing from the VM list, and its members
	// silent, until they are gone. It must exceed the lag of the list.
	GoneAfter time.Duration
	// KeepGone is how long gone members are kept.
	KeepGone time.Duration
	// Members is the maximum number of members that are kept, including gone ones.
	Members int
	// News is the maximum number of other members in a heartbeat.
	News int
}

// MemberTable is what one process knows of the others. It is a deterministic state
// machine without I/O: the time and the random source are passed in.
type MemberTable struct {
	cfg  Config
	rnd  *rand.Rand
	self Member

	byOwner   map[ticket.Owner]*entry
	byAddress map[netip.AddrPort][]*entry
	// active is the members that are not gone, in no particular order; gone is the
	// others, oldest first.
	active []*entry
	gone   []*entry
	// newsQueue is the members with news to spread, unanswered those that failed to
	// answer, and contested the addresses at which two incarnations are known.
	newsQueue  []*entry
	unanswered []*entry
	contested  []netip.AddrPort

	// missingSince holds the VMs that have been on the VM list, with the time since when
	// they are missing from it, or zero.
	missingSince   map[vm]time.Time
	heartbeatCount uint64
	joinAnswers    int
	// joining is set while heartbeats ask for many members, because this process is new.
	joining bool
	// behind is set if a peer knows more members; nextCatchUp is the earliest time at
	// which it may be set again.
	behind      bool
	nextCatchUp time.Time
	changes     []Change
	// fullReported and disownedReported are set once the condition was reported.
	fullReported, disownedReported bool
}

type entry struct {
	Known
	// knownSince is when this process first learned of the member.
	knownSince time.Time
	// unansweredSince is the first failure to answer since the member was last heard, or
	// zero.
	unansweredSince time.Time
	// lastAnswered is when the latest call that the member answered was sent; advertised
	// is the state that its latest answer gave.
	lastAnswered time.Time
	advertised   Member
	// newsLeft is how many more heartbeats carry news of the member.
	newsLeft    int
	inNewsQueue bool
	activeIndex int
}

// NewMemberTable returns a table without other members.
func NewMemberTable(self Member, cfg Config, rnd *rand.Rand) *MemberTable {
	return &MemberTable{
		cfg:          cfg,
		rnd:          rnd,
		self:         self,
		joining:      true,
		byOwner:      make(map[ticket.Owner]*entry),
		byAddress:    make(map[netip.AddrPort][]*entry),
		missingSince: make(map[vm]time.Time),
	}
}

// Received processes a heartbeat from a peer. It may have been delayed for long, so it
// proves only that its sender once ran.
func (b *MemberTable) Received(now time.Time, heartbeat Beat) {
	b.merge(now, heartbeat.From, Live, true)
	for _, n := range heartbeat.News {
		b.merge(now, n.Member, n.State, false)
	}
	b.forgetExpired(now)
}

// Answered processes the answer to a heartbeat that was sent to the address at the given
// time.
func (b *MemberTable) Answered(sent, now time.Time, to netip.AddrPort, answer Beat) {
	known := len(b.byOwner)
	b.Received(now, answer)
	b.joinAnswers++
	fewNew := len(b.byOwner)-known < joinMinNew
	if answer.Size > len(b.active)+1 && !now.Before(b.nextCatchUp) {
		b.behind, b.nextCatchUp = true, now.Add(catchUpInterval)
	}
	b.joining = b.joining && b.joinAnswers < maxJoinRequests && (b.joinAnswers < minJoinRequests || !fewNew)
	if e, ok := b.byOwner[answer.From.Owner]; ok && e.State != Gone && answer.From.Address == to {
		e.recordAnswer(sent, answer.From)
		b.endPredecessors(sent, now, e)
	}
}

// recordAnswer records the member's answer to a call that was sent at the given time.
// Answers can arrive out of order; the member's Count tells which is the latest.
func (e *entry) recordAnswer(sent time.Time, m Member) {
	e.lastAnswered = later(e.lastAnswered, sent)
	if m.Count > e.advertised.Count {
		e.advertised = m
	}
}

// endPredecessors marks all other incarnations as gone that were known at the address of
// e before the call was sent.
//
// Only one process at a time can bind an address. Two incarnations that were both known
// when the call was sent have both been started by then, one after the other; the one
// that answers is running, so the other has ended. Incarnation numbers don't decide this:
// if the clock went back before a restart, the new process has the lower number, its
// peers would take it for the ended one, and its jobs would be answered as failed while
// they run.
func (b *MemberTable) endPredecessors(sent, now time.Time, e *entry) {
	for _, o := range slices.Clone(b.byAddress[e.Address]) {
		if o != e && o.State != Gone && !o.knownSince.After(sent) && !e.knownSince.After(sent) {
			b.markGone(now, o)
		}
	}
	if len(b.byAddress[e.Address]) == 1 || b.atMostOneActive(e.Address) {
		b.contested = slices.DeleteFunc(b.contested, func(a netip.AddrPort) bool { return a == e.Address })
	}
}

// atMostOneActive reports whether at most one member at the address is not gone.
func (b *MemberTable) atMostOneActive(a netip.AddrPort) bool {
	n := 0
	for _, e := range b.byAddress[a] {
		if e.State != Gone {
			n++
		}
	}
	return n <= 1
}

// Failed records that a heartbeat to the address was not answered.
func (b *MemberTable) Failed(now time.Time, to netip.AddrPort) {
	for _, e := range b.byAddress[to] {
		if e.State == Live && e.unansweredSince.IsZero() {
			e.unansweredSince = now
			b.unanswered = append(b.unanswered, e)
		}
	}
}

// Tick makes members suspect that have not answered for SuspectAfter, and removes gone
// members whose retention is over.
func (b *MemberTable) Tick(now time.Time) {
	b.unanswered = slices.DeleteFunc(b.unanswered, func(e *entry) bool {
		if e.unansweredSince.IsZero() || e.State != Live {
			return true
		}
		if now.Sub(e.unansweredSince) < b.cfg.SuspectAfter {
			return false
		}
		b.markSuspect(e)
		return true
	})
	b.forgetExpired(now)
}

// merge applies the state of a member that was received from the member itself (direct)
// or from others.
func (b *MemberTable) merge(now time.Time, m Member, s State, direct bool) {
	if m.Owner == b.self.Owner {
		if s == Gone && !b.disownedReported {
			b.disownedReported = true
			b.changes = append(b.changes, Change{Known: Known{Member: m, State: Gone}, Self: true})
		}
		return
	}
	if !direct {
		m.Confirmed, m.Age = false, 0
	}
	e, ok := b.byOwner[m.Owner]
	switch {
	case !ok && s == Suspect:
		return
	case !ok:
		b.add(now, m, s)
	case e.State == Gone:
	case s == Gone:
		b.markGone(now, e)
	case s == Suspect && m.Count >= e.Count && e.State == Live:
		e.Member.Count = m.Count
		b.markSuspect(e)
	case s == Live && m.Count > e.Count:
		b.update(now, e, m)
	}
}

func (b *MemberTable) add(now time.Time, m Member, s State) {
	if len(b.byOwner) >= b.cfg.Members && !b.evictOne() {
		if !b.fullReported {
			b.changes = append(b.changes, Change{Known: Known{Member: m, State: s}, Full: true})
		}
		b.fullReported = true
		return
	}
	b.fullReported = false
	e := &entry{Known: Known{Member: m, State: Live, Heard: now}, knownSince: now, activeIndex: len(b.active)}
	b.byOwner[m.Owner] = e
	b.byAddress[m.Address] = append(b.byAddress[m.Address], e)
	b.active = append(b.active, e)
	// This process itself has the address, so any other member known there has ended. No
	// call would reveal that, since this process does not call its own address.
	if s == Gone || m.Address == b.self.Address {
		b.markGone(now, e)
		return
	}
	if !b.atMostOneActive(m.Address) && !slices.Contains(b.contested, m.Address) {
		b.contested = append(b.contested, m.Address)
	}
	b.announce(e)
}

func (b *MemberTable) update(now time.Time, e *entry, m Member) {
	news := e.State != Live || e.Leaving != m.Leaving
	if m.Address != e.Address {
		m.Address = e.Address
	}
	e.Member, e.State, e.Heard, e.unansweredSince = m, Live, now, time.Time{}
	if news {
		b.announce(e)
	}
}

func (b *MemberTable) markSuspect(e *entry) {
	e.State = Suspect
	e.unansweredSince = time.Time{}
	b.announce(e)
}

// markGone makes an incarnation gone for good.
func (b *MemberTable) markGone(now time.Time, e *entry) {
	e.State, e.Heard = Gone, now
	last := b.active[len(b.active)-1]
	b.active[e.activeIndex], last.activeIndex = last, e.activeIndex
	b.active = b.active[:len(b.active)-1]
	b.gone = append(b.gone, e)
	b.announce(e)
}

// announce adds a member to the news of the next heartbeats. Each process forwards the
// news a few more times than it takes doublings to get from one process to all.
func (b *MemberTable) announce(e *entry) {
	b.changes = append(b.changes, Change{Known: e.view()})
	e.newsLeft = 3 + bits.Len(uint(len(b.active)))
	if !e.inNewsQueue {
		e.inNewsQueue = true
		b.newsQueue = append(b.newsQueue, e)
	}
}

// forgetExpired removes gone members after KeepGone. A caller that then asks for one of
// them is told that it is unknown, which is true and lets the caller retry with the same
// id, whereas "gone" would be final.
func (b *MemberTable) forgetExpired(now time.Time) {
	for len(b.gone) > 0 && now.Sub(b.gone[0].Heard) >= b.cfg.KeepGone {
		b.forget(b.gone[0])
	}
}

// evictOne removes the oldest gone member, or else the suspect one that has been silent
// for longest. It reports whether there was one.
func (b *MemberTable) evictOne() bool {
	if len(b.gone) > 0 {
		b.forget(b.gone[0])
		return true
	}
	var oldest *entry
	for _, e := range b.active {
		if e.State == Suspect && (oldest == nil || e.Heard.Before(oldest.Heard)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	b.forget(oldest)
	return true
}

func (b *MemberTable) forget(e *entry) {
	delete(b.byOwner, e.Owner)
	e.newsLeft = 0
	same := func(o *entry) bool { return o == e }
	if others := slices.DeleteFunc(b.byAddress[e.Address], same); len(others) > 0 {
		b.byAddress[e.Address] = others
	} else {
		delete(b.byAddress, e.Address)
	}
	if e.State == Gone {
		b.gone = slices.DeleteFunc(b.gone, same)
		return
	}
	last := b.active[len(b.active)-1]
	b.active[e.activeIndex], last.activeIndex = last, e.activeIndex
	b.active = b.active[:len(b.active)-1]
}

func (e *entry) view() Known {
	k := e.Known
	if k.State == Live && k.Leaving {
		k.State = Leaving
	}
	return k
}

// Changes returns the changes since the last call and clears them.
func (b *MemberTable) Changes() []Change {
	c := b.changes
	b.changes = nil
	return c
}

// Find returns what is known of an incarnation.
func (b *MemberTable) Find(o ticket.Owner) (Known, bool) {
	e, ok := b.byOwner[o]
	if !ok {
		return Known{}, false
	}
	return e.view(), true
}

// All returns the other members, sorted by address.
func (b *MemberTable) All() []Known {
	out := make([]Known, 0, len(b.byOwner))
	for _, e := range b.byOwner {
		out = append(out, e.view())
	}
	slices.SortFunc(out, func(a, b Known) int { return a.Address.Compare(b.Address) })
	return out
}

// Len returns the number of other members, including gone ones.
func (b *MemberTable) Len() int { return len(b.byOwner) }
