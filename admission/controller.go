package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// overcommit is the ratio of the admitted to the granted work of a queue while jobs of it
	// are refused. Above 1 it keeps requests at hand for workers that become free.
	overcommit = 1.1
	// adjustment is the part of the way to the share that measurements suggest that one
	// update goes.
	adjustment = 0.5
	// growth is the factor by which a share grows with each update that finds room, and
	// fastGrowth that with which it grows if no request is pending.
	growth     = 1.4
	fastGrowth = 2
	// roomDelay is the pending work of a queue, as the time in which it is granted workers,
	// below which there is room for more.
	roomDelay = 40 * time.Millisecond
	// severe is the granted part of the work offered to a pool below which levels begin to
	// apply, slight that above which they end. In a slight overload the planner refuses by
	// itself, and better: it picks the jobs that fit into the gaps.
	severe, slight = 0.7, 0.85
	// sustained is how long an overload must have been severe: a burst of a few large jobs is
	// not an overload.
	sustained = 300 * time.Millisecond
	// minOffered is the rate of offered work below which a queue is forgotten.
	minOffered = 1e-3
)

// Controller measures the work that is offered, granted and refused, and computes levels.
// Work is in any unit of resources times seconds. It is owned by one goroutine.
type Controller struct {
	queues map[string]*queue
	// limited holds the pools to whose queues levels apply, severeSince since when the others
	// have been severely overloaded.
	limited     map[string]bool
	severeSince map[string]time.Time
}

// queue is what is known of a queue.
type queue struct {
	name, pool       string
	rank             int
	offered, granted rate
	// share is the share of the jobs that is admitted.
	share float64
	// refused is set if an admitted job was refused since the last update because there were
	// no workers for it in time.
	refused bool
}

// NewController returns a Controller that admits all jobs.
func NewController() *Controller {
	return &Controller{queues: make(map[string]*queue), limited: make(map[string]bool), severeSince: make(map[string]time.Time)}
}

func (c *Controller) queue(name string) *queue {
	q := c.queues[name]
	if q == nil {
		q = &queue{name: name, share: 1}
		c.queues[name] = q
	}
	return q
}

// Job describes the queue of a job and the pool whose workers run it.
type Job struct {
	Queue, Pool string
	Rank        int
}

// Offer records the work of a job that has reached the planner, admitted under a share.
func (c *Controller) Offer(now time.Time, j Job, work, share float64) {
	q := c.queue(j.Queue)
	q.pool, q.rank = j.Pool, j.Rank
	q.offered.add(now, work/max(share, minShare))
}

// Grant records work of a queue that was granted workers.
func (c *Controller) Grant(now time.Time, name string, work float64) {
	c.queue(name).granted.add(now, work)
}

// Refuse records that an admitted job of a queue was refused because there were no workers
// for it in time.
func (c *Controller) Refuse(name string) { c.queue(name).refused = true }

// Update computes the levels from what was recorded and the pending work of each queue. It
// is to be called at regular intervals that are short against the objectives of jobs.
func (c *Controller) Update(now time.Time, pending map[string]float64) Levels {
	maps.DeleteFunc(c.queues, func(_ string, q *queue) bool { return q.offered.value(now) < minOffered })
	pools := make(map[string][]*queue)
	for _, q := range c.queues {
		pools[q.pool] = append(pools[q.pool], q)
	}
	maps.DeleteFunc(c.limited, func(pool string, _ bool) bool { return pools[pool] == nil })
	maps.DeleteFunc(c.severeSince, func(pool string, _ time.Time) bool { return pools[pool] == nil })
	var out Levels
	for pool, queues := range pools {
		c.limited[pool] = c.isLimited(now, pool, queues)
		if c.limited[pool] {
			out.Queues = append(out.Queues, updatePool(now, queues, pending)...)
		}
		for _, q := range queues {
			q.refused = false
			if !c.limited[pool] {
				q.share = 1
			}
		}
	}
	slices.SortFunc(out.Queues, Level.Compare)
	return out
}

// isLimited reports whether levels are to apply to the queues of a pool.
func (c *Controller) isLimited(now time.Time, pool string, queues []*queue) bool {
	offered, granted, refused, limited := 0.0, 0.0, false, false
	for _, q := range queues {
		offered += q.offered.value(now)
		granted += q.granted.value(now)
		refused = refused || q.refused
		limited = limited || q.share < 1
	}
	if c.limited[pool] {
		return limited && granted < slight*offered
	}
	if granted >= severe*offered {
		delete(c.severeSince, pool)
		return false
	}
	since, ok := c.severeSince[pool]
	if !ok {
		c.severeSince[pool], since = now, now
	}
	return refused && now.Sub(since) >= sustained
}

// updatePool computes the levels of the queues of a pool.
func updatePool(now time.Time, queues []*queue, pending map[string]float64) []Level {
	slices.SortFunc(queues, func(x, y *queue) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.name, y.name))
	})
	var out []Level
	better := 1.0
	for i, q := range queues {
		if i > 0 && q.rank != queues[i-1].rank {
			better = leastShare(queues[:i])
		}
		q.update(now, pending[q.name], better)
		if q.share < 1 {
			out = append(out, Level{Queue: q.name, Share: q.share})
		}
	}
	return out
}

// leastShare returns the least share of some queues.
func leastShare(queues []*queue) float64 {
	least := 1.0
	for _, q := range queues {
		least = min(least, q.share)
	}
	return least
}

// update adjusts the share. While jobs are refused, it follows the part of the offered work
// that was granted; while none wait, it grows. Otherwise it is unknown yet whether the
// pending jobs get workers in time, and the share stays.
//
// better is the least share of the queues of better rank, which this queue's does not exceed:
// its tasks may be long, and hold the workers that the better ranks need in a moment.
func (q *queue) update(now time.Time, pending, better float64) {
	granted := q.granted.value(now)
	share := q.share
	switch {
	case q.refused:
		share += adjustment * (overcommit*granted/q.offered.value(now) - share)
	case pending == 0:
		share *= fastGrowth
	case pending <= granted*roomDelay.Seconds():
		share *= growth
	}
	q.share = min(max(share, minShare), better)
}
