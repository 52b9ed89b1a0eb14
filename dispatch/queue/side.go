package queue

import "time"

// keptFlows is how many teams, and callers of a team, are remembered while
// they have nothing waiting.
const keptFlows = 1024

// teamSide is a team's place in the heap of fresh or of opened jobs. Its key
// is the virtual time at which it was placed; virtual times only grow, so a
// stale key is always too small, surfaces early and is then put right.
type teamSide struct {
	team    *team
	key     float64
	queued  bool
	callers heap[*callerSide]
}

func (s *teamSide) before(o *teamSide) bool { return s.key < o.key }

// callerSide is the same for a caller.
type callerSide struct {
	caller  *caller
	key     float64
	queued  bool
	removed int
	jobs    heap[*Job]
}

func (s *callerSide) before(o *callerSide) bool { return s.key < o.key }

func (t *team) side(opened bool) *teamSide {
	if opened {
		return &t.opened
	}
	return &t.fresh
}

func (c *caller) side(opened bool) *callerSide {
	if opened {
		return &c.opened
	}
	return &c.fresh
}

// push places the job by its present number of waiting tasks.
func (q *Queue) push(j *Job) {
	j.key = j.Arrived.Add(q.step * time.Duration(j.waiting))
	j.queued = true
	c := j.caller
	cs := c.side(j.opened)
	cs.jobs.push(j)
	ts := c.team.side(j.opened)
	if !cs.queued {
		cs.queued = true
		cs.key = c.virtual
		ts.callers.push(cs)
	}
	q.enter(ts, j.opened)
}

func (q *Queue) enter(ts *teamSide, opened bool) {
	if ts.queued || ts.team.parked || len(ts.callers) == 0 {
		return
	}
	ts.queued = true
	ts.key = ts.team.virtual
	if opened {
		q.opened.push(ts)
		return
	}
	q.fresh.push(ts)
}

// drop notes that one of the side's jobs was removed.
func (s *callerSide) drop() {
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
func top(h *heap[*teamSide]) *Job {
	for len(*h) > 0 {
		ts := (*h)[0]
		j := ts.top()
		switch {
		case j == nil || ts.team.parked:
			ts.queued = false
			h.pop()
		case ts.key < ts.team.virtual:
			ts.key = ts.team.virtual
			h.down(0)
		default:
			return j
		}
	}
	return nil
}

func (s *teamSide) top() *Job {
	for len(s.callers) > 0 {
		cs := s.callers[0]
		j := cs.top()
		switch {
		case j == nil:
			cs.queued = false
			s.callers.pop()
		case cs.key < cs.caller.virtual:
			cs.key = cs.caller.virtual
			s.callers.down(0)
		default:
			return j
		}
	}
	return nil
}

func (s *callerSide) top() *Job {
	for len(s.jobs) > 0 {
		if j := s.jobs[0]; !j.removed {
			return j
		}
		s.removed--
		s.jobs.pop()
	}
	return nil
}
