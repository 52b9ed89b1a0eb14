package node

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// MemberUp takes note of a session with a member.
func (c *Core) MemberUp(now time.Time, m mesh.Member, session uint64) {
	c.before(now, m.ID)
	c.members[m.ID] = peerState{m, session}
	c.elect(now)
	delete(c.lost, m.ID)
	for _, w := range c.heldIDs() {
		c.held[w].OwnerBack(m.ID)
	}
	c.entry.HolderUp(m.ID)
	c.announce(now, m.ID)
	c.wants(now, m)
	c.review(now)
	if m.ID == c.planner {
		c.greet(now)
	}
}

// announce tells a member which workers are held here. It may have runs there and have
// missed the announcement because there was no session yet: it would wait two seconds
// until it takes them for lost.
func (c *Core) announce(now time.Time, to mesh.ID) { c.tellHeld(now, to, c.heldIDs()) }

// announceFresh tells all members of the workers held since it last did. Those on which
// runs were found wait for their owners, and are told at once; the others with the next
// tick, together: when all processes start, a thousand workers get a holder each within a
// second, and each message about one goes to all processes.
func (c *Core) announceFresh(now time.Time) {
	if len(c.fresh) == 0 {
		return
	}
	fresh := c.fresh
	c.fresh = nil
	for _, m := range c.up() {
		c.tellHeld(now, m.ID, fresh)
	}
}

func (c *Core) tellHeld(now time.Time, to mesh.ID, workers []string) {
	for _, id := range workers {
		if b := c.held[id]; b != nil && b.Known() {
			c.send(now, to, Mail{Held: &entry.Held{Worker: id, Fence: b.Fence()}})
		}
	}
}

// before ends other lives at the same address: an address is bound by one process
// at a time.
func (c *Core) before(now time.Time, id mesh.ID) {
	for _, o := range slices.SortedFunc(maps.Keys(c.members), mesh.ID.Compare) {
		if o.Address == id.Address && o != id {
			c.MemberDown(now, o, c.members[o].session, now)
		}
	}
	for _, o := range slices.SortedFunc(maps.Keys(c.lost), mesh.ID.Compare) {
		if o.Address == id.Address && o != id {
			c.ownerLost(now, o)
		}
	}
}

// MemberDown takes note of the end of a session.
func (c *Core) MemberDown(now time.Time, id mesh.ID, session uint64, heard time.Time) {
	if m, ok := c.members[id]; !ok || m.session != session {
		return
	}
	delete(c.members, id)
	c.unwatch(id)
	if id == c.planner {
		c.alarm = now.Add(alarmFor)
	}
	c.lost[id] = heard
	for _, w := range c.heldIDs() {
		c.held[w].OwnerAway(id, heard.Add(callersReturn))
	}
	c.entry.HolderDown(now, id)
	c.elect(now)
	c.review(now)
}

// MemberChanged takes what a member says of itself.
func (c *Core) MemberChanged(now time.Time, m mesh.Member) {
	p, ok := c.members[m.ID]
	if !ok {
		return
	}
	event.MemberNews.Log(c.log, "member", m.VM, "id", m.ID, "number", m.Number, "leaving", m.Leaving, "blind", m.Blind, "plans", m.Plans, "catalog", uint64(m.Catalog))
	before, was := c.planner, p.Member
	began := m.Plans != p.Plans
	p.Member = m
	c.members[m.ID] = p
	c.wants(now, m)
	was.Catalog = m.Catalog
	if was == m {
		// Each change of the configuration makes such news of all members at once.
		return
	}
	c.elect(now)
	if began && m.ID == before && m.ID == c.planner {
		c.greet(now)
	}
}

// Say changes what this process says of itself.
func (c *Core) Say(now time.Time, change func(*mesh.Member)) {
	before := c.self
	change(&c.self)
	if c.self != before {
		c.out = append(c.out, Output{Say: &c.self})
		c.elect(now)
	}
}

// Known sets the processes that the platform's store lists.
func (c *Core) Known(now time.Time, addrs []netip.AddrPort) {
	c.known = make(map[netip.AddrPort]struct{}, len(addrs))
	for _, a := range addrs {
		c.known[a] = struct{}{}
	}
	c.elect(now)
}

// elect finds who plans: the largest VM, of equal ones the one that joined first,
// so that a newcomer does not take over from a planner at work. Nobody has to
// agree: two planners for a moment cost starts without room.
func (c *Core) elect(now time.Time) {
	up := c.up()
	if c.divide(up) {
		c.cell.Stop()
	}
	mates := c.mates(up)
	best := slices.MinFunc(mates, c.rank)
	c.entry.Elsewhere(c.elsewhere(up))
	if best.ID != c.planner {
		event.PlannerChosen.Log(c.log, "planner", best.ID, "vm", best.VM, "number", best.Number, "members", len(mates), "before", c.planner)
		c.planner = best.ID
		c.watch(best.ID)
		c.greet(now)
	}
	c.reader = c.electReader(mates, best)
	c.ageList(now)
	began := c.plan(now, best.ID == c.self.ID)
	whole := c.meet(now, up)
	c.cell.Members(now, mates, up, c.met, whole)
	if began {
		c.recallOwn(now)
	}
	c.appoint(now, mates)
}

// meet takes note of whether more than half of the processes that the store lists are in
// sight, and tells whether all that live are.
func (c *Core) meet(now time.Time, up []mesh.Member) (whole bool) {
	seen := c.seen(up)
	met := 2*seen > len(c.known)
	if met && !c.met {
		c.metSince = now
	}
	c.met = met
	// Who starts together with this process may not have met it yet. Later, who lives
	// is in sight.
	return seen == len(c.known) || met && now.Sub(c.metSince) > meetWithin
}

// meetWithin is how long processes that start together take to meet, at the most: some
// hundred milliseconds, a second on slow VMs.
const meetWithin = 2 * time.Second

// plan begins or ends the planning, and tells whether it has begun. Members that took this
// process for the planner earlier than it did have told it things that it could not use: it
// says that it has begun, and they tell it again.
func (c *Core) plan(now time.Time, self bool) (began bool) {
	switch {
	case self == c.cell.Active():
	case self:
		c.cell.Begin(now)
		c.self.Plans++
		c.out = append(c.out, Output{Say: &c.self})
		c.review(now)
		return true
	default:
		c.cell.Stop()
	}
	return false
}

// electReader finds who reads the platform's list of workers: the planner, or the
// best other member while the store turns the planner away. Without that, tasks
// would be started on workers that have long said that they leave.
func (c *Core) electReader(up []mesh.Member, planner mesh.Member) mesh.ID {
	if !planner.Blind {
		return planner.ID
	}
	best := slices.MinFunc(up, func(x, y mesh.Member) int {
		return cmp.Or(compareBool(x.Blind, y.Blind), c.rank(x, y))
	})
	return best.ID
}

// Reads tells whether this process reads the list of workers, and for whom: the planner,
// and how often that has begun. One that begins again knows of no worker, so changes of the
// list say nothing to it.
func (c *Core) Reads() (planner mesh.ID, plans uint64, ok bool) {
	plans = c.self.Plans
	if m, other := c.members[c.planner]; other {
		plans = m.Plans
	}
	return c.planner, plans, c.reader == c.self.ID
}

// greet tells a new planner everything: all workers held, all tasks that wait.
func (c *Core) greet(now time.Time) {
	c.reported, c.changed = time.Time{}, time.Time{}
	if c.self.Blind && c.planner != c.self.ID && c.planner != c.list.from && c.list.usable(now) {
		// It may reach the store no more than this process does.
		whole := c.list.whole()
		c.send(now, c.planner, Mail{Listing: &whole})
	}
	c.entry.Planner(now, mesh.ID{})
	c.entry.Planner(now, c.planner)
}

// rank orders members by who plans.
func (c *Core) rank(x, y mesh.Member) int {
	return cmp.Or(
		-compareBool(eligible(x), eligible(y)),
		-cmp.Compare(size(x), size(y)),
		cmp.Compare(x.Number, y.Number),
		x.ID.Compare(y.ID),
	)
}

func eligible(m mesh.Member) bool { return !m.Leaving && m.Number != 0 }

// size is the size of a VM in steps that small differences don't reach.
func size(m mesh.Member) int { return int(m.Share * 10) }

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// seen counts the processes that the store lists and this one sees. Only with more
// than half of them in sight are workers given to others than their holders: a process
// that is cut off alone would else take the workers of all others from them.
func (c *Core) seen(up []mesh.Member) int {
	n := 0
	for _, m := range up {
		if _, ok := c.known[m.ID.Address]; ok {
			n++
		}
	}
	return n
}

// Met tells whether more than half of the processes that the store lists are in sight.
func (c *Core) Met() bool { return c.met && len(c.known) > 0 }
