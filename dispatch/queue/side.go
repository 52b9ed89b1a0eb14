package queue

import "time"

// maxIdleFlows is the number of teams, or of callers of one team, above which those
// without waiting tasks are dropped.
const maxIdleFlows = 1024

// teamNode is a team's node in the heap of unstarted or of started jobs. Its key is the
// team's virtual time when it was pushed. Virtual times only grow, so a stale key is too
// small: the node reaches the top too early, and its key is then corrected.
type teamNode struct {
	team    *team
	key     float64
	queued  bool
	callers heap[*callerNode]
}

func (n *teamNode) before(o *teamNode) bool { return n.key < o.key }

// callerNode is the corresponding node of a caller.
type callerNode struct {
	caller  *caller
	key     float64
	queued  bool
	removed int
	jobs    heap[*Job]
}

func (n *callerNode) before(o *callerNode) bool { return n.key < o.key }

func (t *team) node(started bool) *teamNode {
	if started {
		return &t.started
	}
	return &t.unstarted
}

func (c *caller) node(started bool) *callerNode {
	if started {
		return &c.started
	}
	return &c.unstarted
}

// push inserts the job with a key from its current number of waiting tasks.
func (q *Queue) push(j *Job) {
	j.key = j.Arrived.Add(q.ageingStep * time.Duration(j.waiting))
	j.queued = true
	c := j.caller
	cn := c.node(j.started)
	cn.jobs.push(j)
	tn := c.team.node(j.started)
	if !cn.queued {
		cn.queued = true
		cn.key = c.virtualTime
		tn.callers.push(cn)
	}
	q.pushTeam(tn, j.started)
}

func (q *Queue) pushTeam(tn *teamNode, started bool) {
	if tn.queued || tn.team.paused || len(tn.callers) == 0 {
		return
	}
	tn.queued = true
	tn.key = tn.team.virtualTime
	if started {
		q.started.push(tn)
		return
	}
	q.unstarted.push(tn)
}

// noteRemoved counts a removed job of the node, and drops all removed jobs once they are
// more than half.
func (n *callerNode) noteRemoved() {
	n.removed++
	if n.removed <= len(n.jobs)/2 {
		return
	}
	kept := n.jobs[:0]
	for _, j := range n.jobs {
		if !j.removed {
			kept = append(kept, j)
		}
	}
	clear(n.jobs[len(kept):])
	n.jobs = kept
	n.jobs.rebuild()
	n.removed = 0
}

// top returns the first job in a heap of teams. On the way it drops empty and paused
// nodes and corrects stale keys.
func top(h *heap[*teamNode]) *Job {
	for len(*h) > 0 {
		tn := (*h)[0]
		j := tn.top()
		switch {
		case j == nil || tn.team.paused:
			tn.queued = false
			h.pop()
		case tn.key < tn.team.virtualTime:
			tn.key = tn.team.virtualTime
			h.down(0)
		default:
			return j
		}
	}
	return nil
}

func (n *teamNode) top() *Job {
	for len(n.callers) > 0 {
		cn := n.callers[0]
		j := cn.top()
		switch {
		case j == nil:
			cn.queued = false
			n.callers.pop()
		case cn.key < cn.caller.virtualTime:
			cn.key = cn.caller.virtualTime
			n.callers.down(0)
		default:
			return j
		}
	}
	return nil
}

func (n *callerNode) top() *Job {
	for len(n.jobs) > 0 {
		if j := n.jobs[0]; !j.removed {
			return j
		}
		n.removed--
		n.jobs.pop()
	}
	return nil
}
