package roster

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"snipehub.example/ticket"
)

// Config sets a book.
type Config struct {
	// SuspectAfter is how long a member must fail to answer before it is
	// suspect.
	SuspectAfter time.Duration
	// GoneAfter is how long the VM list must lack a VM, and its members must be
	// silent, before they are gone. It must exceed the lag of the list.
	GoneAfter time.Duration
	// KeepGone is how long gone members are remembered.
	KeepGone time.Duration
	// Members bounds the members that are remembered, gone ones included.
	Members int
	// News is how many members a heartbeat tells of.
	News int
}

// MemberTable is what one process knows of the others. It is pure: it gets the time
// and its random numbers, and neither sends nor waits.
type MemberTable struct {
	cfg  Config
	rnd  *rand.Rand
	self Member

	byOwner   map[ticket.Owner]*entry
	byAddress map[netip.AddrPort][]*entry
	// active is the members that are not gone, for random choice, gone the
	// others, oldest first.
	active []*entry
	gone   []*entry
	// newsQueue is the members with news to spread, doubted those that failed to
	// answer, contested the addresses at which two incarnations are known.
	newsQueue  []*entry
	unanswered []*entry
	contested  []netip.AddrPort

	missingSince   map[vm]time.Time
	heartbeatCount uint64
	joinAnswers    int
	// joining tells that heartbeats still ask for many members.
	joining bool
	// behind tells that a peer knows more members, catchUp from when on it may
	// be asked again.
	behind      bool
	nextCatchUp time.Time
	changes     []Change
	// fullReported and disownedReported tell that the state was reported.
	fullReported, disownedReported bool
}

type entry struct {
	Known
	// knownSince is when the member was first known here.
	knownSince time.Time
	// unansweredSince is the first failure to answer since it was heard.
	unansweredSince time.Time
	// lastAnswered is when the latest call was sent that it lastAnswered, told what it
	// last said of itself.
	lastAnswered time.Time
	advertised   Member
	// newsLeft is how many more heartbeats carry news of it.
	newsLeft    int
	inNewsQueue bool
	activeIndex int
}

// NewMemberTable makes a book that knows only this process.
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

// Received learns from a heartbeat that reached this process. It may have been on
// the way for long, so it shows only that its sender lived once.
func (b *MemberTable) Received(now time.Time, heartbeat Beat) {
	b.merge(now, heartbeat.From, Live, true)
	for _, n := range heartbeat.News {
		b.merge(now, n.Member, n.State, false)
	}
	b.forgetExpired(now)
}

// Answered learns from the answer to a heartbeat that was sent to the address
// at the given time.
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

// recordAnswer takes the member's answer to a call that was sent at the given time. Answers can
// pass each other on the way; the member's own count tells which it gave last.
func (e *entry) recordAnswer(sent time.Time, m Member) {
	e.lastAnswered = later(e.lastAnswered, sent)
	if m.Count > e.advertised.Count {
		e.advertised = m
	}
}

// endPredecessors notes that whoever else was known at the address before the call was
// sent is gone for good.
//
// An address is bound by one process at a time. Two incarnations that were both
// known when the call began have both been started by then, one after the
// other; the one that answers is the one that runs, so the other has ended.
// Numbers of incarnations don't decide this: after a restart with a clock that
// went back the new process has the lower number, its peers would take it for
// the dead one, and its jobs would be answered as failed while they run.
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

// atMostOneActive tells whether at most one member at the address is not gone.
func (b *MemberTable) atMostOneActive(a netip.AddrPort) bool {
	n := 0
	for _, e := range b.byAddress[a] {
		if e.State != Gone {
			n++
		}
	}
	return n <= 1
}

// Failed notes that a heartbeat to the address was not answered.
func (b *MemberTable) Failed(now time.Time, to netip.AddrPort) {
	for _, e := range b.byAddress[to] {
		if e.State == Live && e.unansweredSince.IsZero() {
			e.unansweredSince = now
			b.unanswered = append(b.unanswered, e)
		}
	}
}

// Tick turns doubt into suspicion and forgets gone members whose time is over.
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

// merge takes what is told of a member, by itself or by others.
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
	// This process has the address itself, so whoever else is known there has
	// ended. No call to the own address would ever tell.
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

// announce lets the next heartbeats carry news of a member. Each process passes
// it on a few times more than there are doublings from one to all.
func (b *MemberTable) announce(e *entry) {
	b.changes = append(b.changes, Change{Known: e.view()})
	e.newsLeft = 3 + bits.Len(uint(len(b.active)))
	if !e.inNewsQueue {
		e.inNewsQueue = true
		b.newsQueue = append(b.newsQueue, e)
	}
}

// forgetExpired forgets gone members after their time. Whoever asks for one of them
// later is told that it is unknown, which is true and lets the caller come back
// with the same id, where "gone" would be final.
func (b *MemberTable) forgetExpired(now time.Time) {
	for len(b.gone) > 0 && now.Sub(b.gone[0].Heard) >= b.cfg.KeepGone {
		b.forget(b.gone[0])
	}
}

// evictOne forgets the oldest gone member, or the suspect one that was silent
// for longest.
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

// Changes returns what happened since it was last called.
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

// Len returns how many other members are remembered.
func (b *MemberTable) Len() int { return len(b.byOwner) }
