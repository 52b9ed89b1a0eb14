package queue

import "time"

// maxIdleFlows is how many teams, and callers of a team, are remembered while
// they have nothing waiting.
const maxIdleFlows = 1024

// teamNode is a team's place in the heap of fresh or of opened jobs. Its key
// is the virtual time at which it was placed; virtual times only grow, so a
// stale key is always too small, surfaces early and is then put right.
type teamNode struct {
	team    *team
	key     float64
	queued  bool
	callers heap[*callerNode]
}

func (s *teamNode) before(o *teamNode) bool { return s.key < o.key }

// callerNode is the same for a caller.
type callerNode struct {
	caller  *caller
	key     float64
	queued  bool
	removed int
	jobs    heap[*Job]
}

func (s *callerNode) before(o *callerNode) bool { return s.key < o.key }

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

// push places the job by its present number of waiting tasks.
func (q *Queue) push(j *Job) {
	j.key = j.Arrived.Add(q.ageingStep * time.Duration(j.waiting))
	j.queued = true
	c := j.caller
	cs := c.node(j.started)
	cs.jobs.push(j)
	ts := c.team.node(j.started)
	if !cs.queued {
		cs.queued = true
		cs.key = c.virtualTime
		ts.callers.push(cs)
	}
	q.pushTeam(ts, j.started)
}

func (q *Queue) pushTeam(ts *teamNode, started bool) {
	if ts.queued || ts.team.paused || len(ts.callers) == 0 {
		return
	}
	ts.queued = true
	ts.key = ts.team.virtualTime
	if started {
		q.started.push(ts)
		return
	}
	q.unstarted.push(ts)
}

// noteRemoved notes that one of the side's jobs was removed.
func (s *callerNode) noteRemoved() {
	s.removed++
	if s.removed <= len(s.jobs)/2 {
		return
	}
	kept := s.jobs[:0]
	for _, j := range s.jobs {
		if !j.removed {
			kept = append(kept, j)
		}
	}
	clear(s.jobs[len(kept):])
	s.jobs = kept
	s.jobs.rebuild()
	s.removed = 0
}

// top returns the first job of a heap of teams, and tidies what it meets.
func top(h *heap[*teamNode]) *Job {
	for len(*h) > 0 {
		ts := (*h)[0]
		j := ts.top()
		switch {
		case j == nil || ts.team.paused:
			ts.queued = false
			h.pop()
		case ts.key < ts.team.virtualTime:
			ts.key = ts.team.virtualTime
			h.down(0)
		default:
			return j
		}
	}
	return nil
}

func (s *teamNode) top() *Job {
	for len(s.callers) > 0 {
		cs := s.callers[0]
		j := cs.top()
		switch {
		case j == nil:
			cs.queued = false
			s.callers.pop()
		case cs.key < cs.caller.virtualTime:
			cs.key = cs.caller.virtualTime
			s.callers.down(0)
		default:
			return j
		}
	}
	return nil
}

func (s *callerNode) top() *Job {
	for len(s.jobs) > 0 {
		if j := s.jobs[0]; !j.removed {
			return j
		}
		s.removed--
		s.jobs.pop()
	}
	return nil
}
