package node

import (
	"maps"
	"slices"
	"time"

	"snipehub.example/event"
	"snipehub.example/mesh"
)

// Watch begins or ends the watch over a member. The silence of one that is not watched is
// noticed after seconds only.
type Watch struct {
	Member mesh.ID
	On     bool
}

// alarmFor is how long all members are watched once the planner is late with its
// heartbeat: whoever was lost together with it must not be elected, one after the other,
// before its silence is noticed.
const alarmFor = time.Second

// MemberQuiet takes note that a member that is watched is late with its heartbeat. It may
// be lost, and this process too before it notices: what runs here for the member must be
// over when its callers come back, so no lease is renewed beyond.
func (c *Core) MemberQuiet(now time.Time, id mesh.ID, session uint64, heard time.Time) {
	if c.members[id].session != session {
		return
	}
	event.MemberLate.Log(c.log, "member", c.members[id].VM, "id", id, "silent_ms", now.Sub(heard).Milliseconds(), "plans", id == c.planner)
	for _, w := range c.heldIDs() {
		c.held[w].OwnerAway(id, heard.Add(callersReturn))
	}
	if id == c.planner {
		c.alarm = now.Add(alarmFor)
		c.review(now)
	}
}

// MemberBack takes note that a member that was late has shown itself.
func (c *Core) MemberBack(id mesh.ID, session uint64) {
	if c.members[id].session != session {
		return
	}
	for _, w := range c.heldIDs() {
		c.held[w].OwnerBack(id)
	}
}

// watch begins to watch a member at once: it has just been given a run, or has given one.
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

// unwatch ends the watch over a member.
func (c *Core) unwatch(id mesh.ID) {
	if _, ok := c.watched[id]; !ok {
		return
	}
	delete(c.watched, id)
	c.out = append(c.out, Output{Watch: &Watch{Member: id}})
}

// review watches the members on whose life something hangs now, and no others.
func (c *Core) review(now time.Time) {
	need := c.concerns(now)
	for _, id := range slices.SortedFunc(maps.Keys(need), mesh.ID.Compare) {
		c.watch(id)
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.watched), mesh.ID.Compare) {
		if _, ok := need[id]; !ok {
			c.unwatch(id)
		}
	}
}

// concerns are the members on whose life something hangs: the planner; the owners of runs
// on the workers held here; the holders of runs of this process's jobs; all, if this
// process plans or has just lost the planner.
func (c *Core) concerns(now time.Time) map[mesh.ID]struct{} {
	need := make(map[mesh.ID]struct{})
	if c.cell.Active() || now.Before(c.alarm) {
		for id := range c.members {
			need[id] = struct{}{}
		}
		return need
	}
	need[c.planner] = struct{}{}
	for _, b := range c.held {
		for _, o := range b.Owners() {
			need[o] = struct{}{}
		}
	}
	for h := range c.entry.Concerns() {
		need[h] = struct{}{}
	}
	return need
}
