package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// startHolding opens a lease on a worker that the planner has assigned to this process.
func (c *Core) startHolding(now time.Time, d cell.Assignment) {
	if b := c.held[d.Worker.ID]; b != nil && !b.Closed() || c.self.Leaving || c.self.Number == 0 {
		return
	}
	event.HoldingBegan.Log(c.log, "worker", d.Worker.ID, "address", d.Worker.Address, "floor", uint64(d.MinFence))
	c.dropHolding(d.Worker.ID)
	c.sortedHeld = nil
	minFence := max(d.MinFence, c.maxUsedFence)
	c.held[d.Worker.ID] = lease.NewWorkerLease(now, d.Worker, lease.NewFence(c.self.Number), minFence, d.Speed, c.statsOf(d.Worker.Pool))
}

// dropHolding removes the lease on a worker and keeps the highest fence that it used,
// which the next lease must exceed.
func (c *Core) dropHolding(worker string) {
	if b := c.held[worker]; b != nil {
		c.maxUsedFence = max(c.maxUsedFence, b.HighestFence())
		delete(c.held, worker)
		c.sortedHeld = nil
	}
}

// heldIDs returns the IDs of the held workers, sorted.
func (c *Core) heldIDs() []string {
	if c.sortedHeld == nil {
		c.sortedHeld = slices.Sorted(maps.Keys(c.held))
	}
	return c.sortedHeld
}

// statsOf returns what is known of the workers of a pool as a whole.
func (c *Core) statsOf(pool string) *lease.PoolStats {
	h := c.poolStats[pool]
	if h == nil {
		h = &lease.PoolStats{}
		c.poolStats[pool] = h
	}
	return h
}

func (c *Core) releaseWorker(now time.Time, worker string) {
	if b := c.held[worker]; b != nil {
		b.Release(now)
		return
	}
	// The planner's state is stale: it takes this process for the holder.
	c.send(now, c.planner, Message{Report: &cell.Report{States: []lease.State{{ID: worker, Released: true}}}})
}

func (c *Core) startRuns(now time.Time, from mesh.ID, s entry.Start) {
	for _, r := range s.Runs {
		b := c.held[r.Worker]
		// The grant may stem from an earlier lease of this process, if the planner knows
		// only that one. The owner orders holders by the fence of its grant, so if the run
		// were started here, a holder from between the two leases could make the owner
		// believe that the run is lost.
		if b == nil || b.Fence().Base() != r.Fence.Base() {
			end := lease.End{Run: r.Run, Outcome: lease.NeverStarted, Why: lease.NotHeld}
			c.send(now, from, Message{Ended: &entry.Ended{Worker: r.Worker, End: end}})
			continue
		}
		b.Start(now, from, lease.Order{
			Claim: lease.Claim{Run: r.Run, Resources: s.Resources, Estimate: cmp.Or(r.Estimate, s.Estimate)},
			Text:  lease.Text{Spec: string(s.Spec), Sum: s.Sum},
		})
	}
}

func (c *Core) stopRuns(now time.Time, s entry.Stop) {
	for _, r := range s.Runs {
		if b := c.held[r.Worker]; b != nil {
			b.Stop(now, r.Run)
		}
	}
}

func (c *Core) claimRuns(now time.Time, from mesh.ID, cl entry.Claim) {
	b := c.held[cl.Worker]
	if b == nil {
		c.send(now, from, Message{Unheld: &entry.Unheld{Worker: cl.Worker}})
		return
	}
	claims := make([]lease.Claim, 0, len(cl.Runs))
	for _, r := range cl.Runs {
		if r.Fence.Base() > b.Fence().Base() {
			continue
		}
		claims = append(claims, lease.Claim{Run: r.Run, Resources: r.Resources, Estimate: r.Estimate})
	}
	event.RunsClaimed.Log(c.log, "worker", cl.Worker, "owner", from, "runs", len(claims), "unanswered", b.UnansweredStarts())
	b.Claim(now, from, claims)
}
