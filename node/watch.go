package node

import (
	"maps"
	"slices"
	"time"

	"snipehub.example/event"
	"snipehub.example/mesh"
)

// Watch starts or ends the close watch on a member's heartbeats. The silence of a member
// that is not watched is noticed only after seconds.
type Watch struct {
	Member mesh.ID
	On     bool
}

// watchAllDuration is how long all members are watched once the planner's heartbeat is
// overdue: members lost together with it must not be elected one after the other before
// their silence is noticed.
const watchAllDuration = time.Second

// MemberOverdue handles an overdue heartbeat of a watched member. The member may be lost,
// and this process may be lost too before it notices that. The runs here that belong to
// the member must end before its callers retry, so no lease is renewed beyond that time.
func (c *Core) MemberOverdue(now time.Time, id mesh.ID, session uint64, lastHeard time.Time) {
	if c.members[id].session != session {
		return
	}
	event.MemberOverdue.Log(c.log, "member", c.members[id].VM, "id", id, "silent_ms", now.Sub(lastHeard).Milliseconds(), "plans", id == c.planner)
	for _, w := range c.heldIDs() {
		c.held[w].OwnerUnreachable(id, lastHeard.Add(callerRetryDelay))
	}
	if id == c.planner {
		c.entry.PlannerOverdue(now, lastHeard)
		c.watchAllUntil = now.Add(watchAllDuration)
		c.updateWatches(now)
	}
}

// MemberRecovered handles a sign of life of a member whose heartbeat was overdue.
func (c *Core) MemberRecovered(id mesh.ID, session uint64) {
	if c.members[id].session != session {
		return
	}
	for _, w := range c.heldIDs() {
		c.held[w].OwnerReachable(id)
	}
	if id == c.planner {
		c.entry.PlannerRecovered()
	}
}

// watch starts to watch a member at once, for example when it has been given a run or has
// given one.
func (c *Core) watch(id mesh.ID) {
	if _, ok := c.members[id]; !ok {
		return
	}
	if _, ok := c.watched[id]; ok {
		return
	}
	c.watched[id] = struct{}{}
	c.out = append(c.out, Output{Watch: &Watch{Member: id, On: true}})
}

// unwatch ends the watch on a member.
func (c *Core) unwatch(id mesh.ID) {
	if _, ok := c.watched[id]; !ok {
		return
	}
	delete(c.watched, id)
	c.out = append(c.out, Output{Watch: &Watch{Member: id}})
}

// updateWatches watches exactly the members returned by membersToWatch.
func (c *Core) updateWatches(now time.Time) {
	need := c.membersToWatch(now)
	for _, id := range sortedIDs(need) {
		c.watch(id)
	}
	for _, id := range sortedIDs(c.watched) {
		if _, ok := need[id]; !ok {
			c.unwatch(id)
		}
	}
}

// membersToWatch returns the members that this process depends on: the planner, the
// owners of runs on workers held here, and the holders of runs of this process's jobs. It
// returns all members of the cell if this process is the planner or the planner's heartbeat
// has just been overdue.
func (c *Core) membersToWatch(now time.Time) map[mesh.ID]struct{} {
	need := make(map[mesh.ID]struct{})
	if c.cell.Active() || now.Before(c.watchAllUntil) {
		own := c.ownCell()
		for id, m := range c.members {
			if c.cellOf(m.Member) == own {
				need[id] = struct{}{}
			}
		}
	}
	need[c.planner] = struct{}{}
	for _, wl := range c.held {
		for _, o := range wl.Owners() {
			need[o] = struct{}{}
		}
	}
	for h := range c.entry.Dependencies() {
		need[h] = struct{}{}
	}
	return need
}

// sortedIDs returns the keys of a map in order, so that the same events have the same
// outcome.
func sortedIDs[V any](m map[mesh.ID]V) []mesh.ID {
	return slices.SortedFunc(maps.Keys(m), mesh.ID.Compare)
}
