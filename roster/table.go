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
	// MaxMembers is the maximum number of members that are kept, including gone ones.
	MaxMembers int
	// MaxNews is the maximum number of other members in a heartbeat.
	MaxNews int
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
func (t *MemberTable) Received(now time.Time, heartbeat Heartbeat) {
	t.merge(now, heartbeat.From, Live, true)
	for _, n := range heartbeat.News {
		t.merge(now, n.Member, n.State, false)
	}
	t.forgetExpired(now)
}

// Answered processes the answer to a heartbeat that was sent to the address at the given
// time.
func (t *MemberTable) Answered(sent, now time.Time, to netip.AddrPort, answer Heartbeat) {
	known := len(t.byOwner)
	t.Received(now, answer)
	t.joinAnswers++
	fewNew := len(t.byOwner)-known < joinMinNew
	if answer.Size > len(t.active)+1 && !now.Before(t.nextCatchUp) {
		t.behind, t.nextCatchUp = true, now.Add(catchUpInterval)
	}
	t.joining = t.joining && t.joinAnswers < maxJoinRequests && (t.joinAnswers < minJoinRequests || !fewNew)
	if e, ok := t.byOwner[answer.From.Owner]; ok && e.State != Gone && answer.From.Address == to {
		e.recordAnswer(sent, answer.From)
		t.endPredecessors(sent, now, e)
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
func (t *MemberTable) endPredecessors(sent, now time.Time, e *entry) {
	for _, o := range slices.Clone(t.byAddress[e.Address]) {
		if o != e && o.State != Gone && !o.knownSince.After(sent) && !e.knownSince.After(sent) {
			t.markGone(now, o)
		}
	}
	if len(t.byAddress[e.Address]) == 1 || t.atMostOneActive(e.Address) {
		t.contested = slices.DeleteFunc(t.contested, func(a netip.AddrPort) bool { return a == e.Address })
	}
}

// atMostOneActive reports whether at most one member at the address is not gone.
func (t *MemberTable) atMostOneActive(a netip.AddrPort) bool {
	n := 0
	for _, e := range t.byAddress[a] {
		if e.State != Gone {
			n++
		}
	}
	return n <= 1
}

// Failed records that a heartbeat to the address was not answered.
func (t *MemberTable) Failed(now time.Time, to netip.AddrPort) {
	for _, e := range t.byAddress[to] {
		if e.State == Live && e.unansweredSince.IsZero() {
			e.unansweredSince = now
			t.unanswered = append(t.unanswered, e)
		}
	}
}

// Tick makes members suspect that have not answered for SuspectAfter, and removes gone
// members whose retention is over.
func (t *MemberTable) Tick(now time.Time) {
	t.unanswered = slices.DeleteFunc(t.unanswered, func(e *entry) bool {
		if e.unansweredSince.IsZero() || e.State != Live {
			return true
		}
		if now.Sub(e.unansweredSince) < t.cfg.SuspectAfter {
			return false
		}
		t.markSuspect(e)
		return true
	})
	t.forgetExpired(now)
}

// merge applies the state of a member that was received from the member itself (direct)
// or from others.
func (t *MemberTable) merge(now time.Time, m Member, s State, direct bool) {
	if m.Owner == t.self.Owner {
		if s == Gone && !t.disownedReported {
			t.disownedReported = true
			t.changes = append(t.changes, Change{Known: Known{Member: m, State: Gone}, Disowned: true})
		}
		return
	}
	if !direct {
		m.Confirmed, m.Age = false, 0
	}
	e, ok := t.byOwner[m.Owner]
	switch {
	case !ok && s == Suspect:
		return
	case !ok:
		t.add(now, m, s)
	case e.State == Gone:
	case s == Gone:
		t.markGone(now, e)
	case s == Suspect && m.Count >= e.Count && e.State == Live:
		e.Member.Count = m.Count
		t.markSuspect(e)
	case s == Live && m.Count > e.Count:
		t.update(now, e, m)
	}
}

func (t *MemberTable) add(now time.Time, m Member, s State) {
	if len(t.byOwner) >= t.cfg.MaxMembers && !t.evictOne() {
		if !t.fullReported {
			t.changes = append(t.changes, Change{Known: Known{Member: m, State: s}, Full: true})
		}
		t.fullReported = true
		return
	}
	t.fullReported = false
	e := &entry{Known: Known{Member: m, State: Live, LastHeard: now}, knownSince: now, activeIndex: len(t.active)}
	t.byOwner[m.Owner] = e
	t.byAddress[m.Address] = append(t.byAddress[m.Address], e)
	t.active = append(t.active, e)
	// This process itself has the address, so any other member known there has ended. No
	// call would reveal that, since this process does not call its own address.
	if s == Gone || m.Address == t.self.Address {
		t.markGone(now, e)
		return
	}
	if !t.atMostOneActive(m.Address) && !slices.Contains(t.contested, m.Address) {
		t.contested = append(t.contested, m.Address)
	}
	t.announce(e)
}

func (t *MemberTable) update(now time.Time, e *entry, m Member) {
	news := e.State != Live || e.Leaving != m.Leaving
	if m.Address != e.Address {
		m.Address = e.Address
	}
	e.Member, e.State, e.LastHeard, e.unansweredSince = m, Live, now, time.Time{}
	if news {
		t.announce(e)
	}
}

func (t *MemberTable) markSuspect(e *entry) {
	e.State = Suspect
	e.unansweredSince = time.Time{}
	t.announce(e)
}

// markGone makes an incarnation gone for good.
func (t *MemberTable) markGone(now time.Time, e *entry) {
	e.State, e.LastHeard = Gone, now
	last := t.active[len(t.active)-1]
	t.active[e.activeIndex], last.activeIndex = last, e.activeIndex
	t.active = t.active[:len(t.active)-1]
	t.gone = append(t.gone, e)
	t.announce(e)
}

// announce adds a member to the news of the next heartbeats. Each process forwards the
// news a few more times than it takes doublings to get from one process to all.
func (t *MemberTable) announce(e *entry) {
	t.changes = append(t.changes, Change{Known: e.view()})
	e.newsLeft = 3 + bits.Len(uint(len(t.active)))
	if !e.inNewsQueue {
		e.inNewsQueue = true
		t.newsQueue = append(t.newsQueue, e)
	}
}

// forgetExpired removes gone members after KeepGone. A caller that then asks for one of
// them is told that it is unknown, which is true and lets the caller retry with the same
// id, whereas "gone" would be final.
func (t *MemberTable) forgetExpired(now time.Time) {
	for len(t.gone) > 0 && now.Sub(t.gone[0].LastHeard) >= t.cfg.KeepGone {
		t.forget(t.gone[0])
	}
}

// evictOne removes the oldest gone member, or else the suspect one that has been silent
// for longest. It reports whether there was one.
func (t *MemberTable) evictOne() bool {
	if len(t.gone) > 0 {
		t.forget(t.gone[0])
		return true
	}
	var oldest *entry
	for _, e := range t.active {
		if e.State == Suspect && (oldest == nil || e.LastHeard.Before(oldest.LastHeard)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	t.forget(oldest)
	return true
}

func (t *MemberTable) forget(e *entry) {
	delete(t.byOwner, e.Owner)
	e.newsLeft = 0
	same := func(o *entry) bool { return o == e }
	if others := slices.DeleteFunc(t.byAddress[e.Address], same); len(others) > 0 {
		t.byAddress[e.Address] = others
	} else {
		delete(t.byAddress, e.Address)
	}
	if e.State == Gone {
		t.gone = slices.DeleteFunc(t.gone, same)
		return
	}
	last := t.active[len(t.active)-1]
	t.active[e.activeIndex], last.activeIndex = last, e.activeIndex
	t.active = t.active[:len(t.active)-1]
}

func (e *entry) view() Known {
	k := e.Known
	if k.State == Live && k.Leaving {
		k.State = Leaving
	}
	return k
}

// Changes returns the changes since the last call and clears them.
func (t *MemberTable) Changes() []Change {
	c := t.changes
	t.changes = nil
	return c
}

// Find returns what is known of an incarnation.
func (t *MemberTable) Find(o ticket.Owner) (Known, bool) {
	e, ok := t.byOwner[o]
	if !ok {
		return Known{}, false
	}
	return e.view(), true
}

// All returns the other members, sorted by address.
func (t *MemberTable) All() []Known {
	out := make([]Known, 0, len(t.byOwner))
	for _, e := range t.byOwner {
		out = append(out, e.view())
	}
	slices.SortFunc(out, func(s, t Known) int { return s.Address.Compare(t.Address) })
	return out
}

// Len returns the number of other members, including gone ones.
func (t *MemberTable) Len() int { return len(t.byOwner) }
