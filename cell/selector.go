package cell

import (
	"cmp"
	"slices"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// holderSelector chooses among equally fast workers by their holders, so that the tasks
// of a step are on few holders: each holder needs the job's text, two kilobytes, and
// reports the ends of its tasks itself.
//
// When the worker with the least free resources was chosen regardless of its holder, a
// job of four tasks went to more than three holders. On links of 2 Mbit/s the copies of
// the text alone were 40% of what a process sent, and its calls to workers waited behind
// them.
type holderSelector struct {
	// fewHolders is whether the policy is on; otherwise holders make no difference.
	fewHolders bool
	// owner is the member that sent the request, or nil if it is in another cell.
	owner *member
	// dc is the owner's data centre.
	dc          string
	membersByID map[mesh.ID]*member
	// tasks counts the tasks of the step that each holder was given by this selector.
	tasks map[*member]int
	// holders is the holders of the candidates, capacity how many tasks of the step
	// the candidates of each can take.
	holders  []*member
	capacity map[*member]int
	// candidates is the workers to choose from; nearCount counts those in the owner's
	// data centre.
	candidates []*candidate
	nearCount  int
}

// maxNearCandidates and maxFarCandidates bound the candidates that are compared for a
// task, in the owner's data centre and in others. In a cell of a thousand workers
// hundreds are equally fast, and comparing all of them for each task takes most of a
// planner's processor time.
const maxNearCandidates, maxFarCandidates = 32, 32

func (h *holderSelector) clear() { h.candidates, h.nearCount = h.candidates[:0], 0 }

// consider adds a candidate unless enough are known in the owner's data centre, or
// outside it.
func (h *holderSelector) consider(c *candidate) {
	far := len(h.candidates) - h.nearCount
	switch {
	case c.DataCenter == h.dc && h.nearCount < maxNearCandidates:
		h.nearCount++
	case c.DataCenter == h.dc || far >= maxFarCandidates:
		return
	}
	c.holderMember = h.membersByID[c.holder]
	h.candidates = append(h.candidates, c)
}

// full reports whether consider will add no further candidate.
func (h *holderSelector) full() bool { return len(h.candidates) == maxNearCandidates+maxFarCandidates }

// holderSelector returns the selector for one step's tasks. It is valid until the next call.
func (pl *Planner) holderSelector(p *pendingRequest) *holderSelector {
	h := &pl.selector
	if h.tasks == nil {
		h.tasks, h.capacity = make(map[*member]int), make(map[*member]int)
	}
	clear(h.tasks)
	h.fewHolders = pl.policy.FewHolders.on()
	h.owner, h.dc = pl.members[p.owner], pl.requesters[p.owner]
	h.membersByID = pl.members
	return h
}

func (h *holderSelector) countTask(c *candidate) { h.tasks[h.membersByID[c.holder]]++ }

// hasText reports whether a holder has the job's text, because it is the job's owner or
// was given a task of the step, and has fewer than maxTasksPerHolder of the tasks.
func (h *holderSelector) hasText(m *member) bool {
	n := h.tasks[m]
	return n < maxTasksPerHolder && (n > 0 || m == h.owner)
}

// maxTasksPerHolder is the number of tasks of a step that one holder is given before
// another one is preferred. A holder sends the text to the worker for each task, one
// after the other: a job of eight tasks ends soonest on four holders with two tasks each.
const maxTasksPerHolder = 2

// best returns the candidate with the least free resources on a holder that has the job's text,
// or else on the holder that can take most of the tasks. It returns nil if there are no
// candidates.
func (h *holderSelector) best(p *pendingRequest) *candidate {
	if !h.fewHolders {
		return leastFree(h.candidates, p.Resources, func(*candidate) bool { return true })
	}
	if c := leastFree(h.candidates, p.Resources, func(c *candidate) bool { return h.hasText(c.holderMember) }); c != nil {
		return c
	}
	m := h.largestCapacity(p)
	return leastFree(h.candidates, p.Resources, func(c *candidate) bool { return c.holderMember == m })
}

// lessFree reports whether a candidate has less left than another one of the resource that
// limits tasks with the given needs.
func lessFree(c, than *candidate, need lease.Resources) bool {
	r := limitOf(need)
	return amount(c.free, r) < amount(than.free, r)
}

// leastFree returns the first of the matching candidates that has the least left for tasks
// with the given needs.
func leastFree(candidates []*candidate, need lease.Resources, matches func(*candidate) bool) *candidate {
	var best *candidate
	for _, c := range candidates {
		if matches(c) && (best == nil || lessFree(c, best, need)) {
			best = c
		}
	}
	return best
}

// largestCapacity returns, of the holders with the fewest tasks of the step, the one
// whose candidates can take most of it; among equals, one in the owner's data centre.
func (h *holderSelector) largestCapacity(p *pendingRequest) *member {
	clear(h.capacity)
	h.holders = h.holders[:0]
	for _, c := range h.candidates {
		tasks, ok := h.capacity[c.holderMember]
		if !ok {
			h.holders = append(h.holders, c.holderMember)
		}
		h.capacity[c.holderMember] = min(tasks+fitting(c.free, p.Resources, len(p.Tasks)), len(p.Tasks), maxTasksPerHolder)
	}
	if len(h.holders) == 0 {
		return nil
	}
	return slices.MaxFunc(h.holders, func(x, y *member) int {
		return cmp.Or(
			cmp.Compare(h.tasks[y], h.tasks[x]),
			cmp.Compare(h.capacity[x], h.capacity[y]),
			compareBool(h.isNear(x), h.isNear(y)),
		)
	})
}

// isNear reports whether a holder is in the owner's data centre.
func (h *holderSelector) isNear(m *member) bool { return m != nil && m.DataCenter == h.dc }
