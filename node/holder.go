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

// startHolding opens a lease on a worker that a planner has assigned to this process.
func (c *Core) startHolding(now time.Time, a cell.Assignment) {
	if wl := c.held[a.Worker.ID]; wl != nil && !wl.Closed() || c.self.Leaving || c.self.Number == 0 {
		return
	}
	event.HoldingBegan.Log(c.log, "worker", a.Worker.ID, "address", a.Worker.Address, "floor", uint64(a.MinFence))
	c.dropHolding(a.Worker.ID)
	c.sortedHeld = nil
	minFence := max(a.MinFence, c.maxUsedFence)
	wl := lease.NewWorkerLease(now, a.Worker, lease.NewFence(c.self.Number), minFence, a.Speed, c.statsOf(a.Worker.Pool))
	wl.SetEvacuated(!c.mayStart(a.Worker.DataCenter))
	c.held[a.Worker.ID] = wl
}

// drainWorker has no more tasks started on a worker, as a planner asks.
func (c *Core) drainWorker(planner mesh.ID, d cell.Drain) {
	wl := c.held[d.Worker]
	if wl != nil && wl.Drain(d.Incarnation) {
		event.DrainReceived.Log(c.log, "worker", d.Worker, "planner", planner, "unanswered", wl.UnansweredStarts())
	}
}

// describeWorker replaces the description of a held worker by the planner's.
func (c *Core) describeWorker(w lease.Worker) {
	wl := c.held[w.ID]
	if wl != nil && wl.Describe(w) {
		event.WorkerDescribed.Log(c.log, "worker", w.ID, "incarnation", w.Incarnation, "kind", w.Kind, "rack", w.Rack, "cpu", w.Resources.CPU, "memory", w.Resources.Memory)
	}
}

// dropHolding removes the lease on a worker and keeps the highest fence that it used,
// which the next lease must exceed.
func (c *Core) dropHolding(worker string) {
	if wl := c.held[worker]; wl != nil {
		c.maxUsedFence = max(c.maxUsedFence, wl.HighestFence())
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
	stats := c.poolStats[pool]
	if stats == nil {
		stats = &lease.PoolStats{EnforcesCapacity: c.enforcesCapacity(pool)}
		c.poolStats[pool] = stats
	}
	return stats
}

// enforcesCapacity reports whether the workers of a pool are known to refuse starts that exceed
// their capacity.
func (c *Core) enforcesCapacity(pool string) bool {
	p, _ := c.catalogs.Current().Pool(pool)
	return p.EnforcesCapacity
}

func (c *Core) releaseWorker(now time.Time, worker string) {
	if wl := c.held[worker]; wl != nil {
		wl.Release(now)
		return
	}
	// The planner's state is stale: it takes this process for the holder.
	c.send(now, c.planner, Message{Report: &cell.Report{States: []lease.State{{ID: worker, Released: true}}}})
}

func (c *Core) startRuns(now time.Time, from mesh.ID, s entry.Start) {
	for _, r := range s.Runs {
		wl := c.held[r.Worker]
		// The grant may stem from an earlier lease of this process, if the planner knows
		// only that one. The owner orders holders by the fence of its grant, so if the run
		// were started here, a holder from between the two leases could make the owner
		// believe that the run is lost.
		if wl == nil || wl.Fence().Base() != r.Fence.Base() {
			end := lease.End{Run: r.Run, Outcome: lease.NeverStarted, Why: lease.NotHeld}
			c.send(now, from, Message{Ended: &entry.Ended{Worker: r.Worker, End: end}})
			continue
		}
		wl.Start(now, from, lease.Order{
			Claim: lease.Claim{Run: r.Run, Resources: s.Resources, Estimate: cmp.Or(r.Estimate, s.Estimate)},
			Text:  lease.Text{Spec: string(s.Spec), Sum: s.Sum},

			Incarnation:  r.Incarnation,
			MaxPerWorker: s.MaxPerWorker,
		})
	}
}

func (c *Core) stopRuns(now time.Time, s entry.Stop) {
	for _, r := range s.Runs {
		if wl := c.held[r.Worker]; wl != nil {
			wl.Stop(now, r.Run)
		}
	}
}

func (c *Core) claimRuns(now time.Time, from mesh.ID, cl entry.Claim) {
	wl := c.held[cl.Worker]
	if wl == nil {
		c.send(now, from, Message{Unheld: &entry.Unheld{Worker: cl.Worker}})
		return
	}
	claims := make([]lease.Claim, 0, len(cl.Runs))
	for _, r := range cl.Runs {
		if r.Fence.Base() > wl.Fence().Base() {
			continue
		}
		claims = append(claims, lease.Claim{Run: r.Run, Resources: r.Resources, Estimate: r.Estimate})
	}
	event.RunsClaimed.Log(c.log, "worker", cl.Worker, "owner", from, "runs", len(claims), "unanswered", wl.UnansweredStarts())
	wl.Claim(now, from, claims)
}
