package cell

import (
	"cmp"
	"slices"

	"snipehub.example/mesh"
)

// holders chooses between workers that are equally fast by who holds them, so that the
// tasks of a job are on few holders: each one needs the job's text, two kilobytes, and
// sends the ends of its tasks by itself.
//
// With the one that has the least room left over, whoever holds it, a job of four tasks
// went to more than three holders. On links of 2 Mbit/s the copies of the text alone were
// 40% of what a process sent, and its calls to workers waited behind them.
type holders struct {
	gather bool
	owner  *member
	// dc is the owner's data centre.
	dc string
	of map[mesh.ID]*member
	// tasks counts the tasks of the step that holders were just given.
	tasks map[*member]int
	// order is the holders of the open seats, room how many tasks these take.
	order []*member
	room  map[*member]int
	// open are the seats to choose from; near counts those in the owner's data centre.
	open []*seat
	near int
}

// nearMost and farMost bound the seats that are chosen from for a task, in the owner's data
// centre and elsewhere. In a cell of a thousand workers hundreds are equally fast, and to
// compare all of them for each task takes most of what a planner does.
const nearMost, farMost = 32, 32

func (h *holders) clear() { h.open, h.near = h.open[:0], 0 }

// consider adds a seat to choose from if it is among the first of its kind.
func (h *holders) consider(s *seat) {
	far := len(h.open) - h.near
	switch {
	case s.DataCenter == h.dc && h.near < nearMost:
		h.near++
	case s.DataCenter == h.dc || far >= farMost:
		return
	}
	s.by = h.of[s.holder]
	h.open = append(h.open, s)
}

// full tells that no further seat will be considered.
func (h *holders) full() bool { return len(h.open) == nearMost+farMost }

func (b *Book) holders(w *wait) *holders {
	h := &holders{
		gather: b.policy.Gather.on(),
		owner:  b.members[w.owner],
		of:     b.members,
		tasks:  make(map[*member]int),
		room:   make(map[*member]int),
	}
	h.dc = b.callers[w.owner]
	return h
}

func (h *holders) use(s *seat) { h.tasks[h.of[s.holder]]++ }

// has tells that a holder has the job's text, because it took the job in or has a task of
// it, and not many tasks yet.
func (h *holders) has(m *member) bool {
	n := h.tasks[m]
	return n < gatherMost && (n > 0 || m == h.owner)
}

// gatherMost is how many tasks of a step one holder is given before another one is looked
// for. It sends the text to the worker for each of them, one after the other: for a job of
// eight tasks, four holders with two each are done first.
const gatherMost = 2

// best returns the seat with the least room left over, on a holder that has the job's text
// or else on the one that can take most of the tasks; nil if there are no seats.
func (h *holders) best(w *wait) *seat {
	if !h.gather {
		return leastLeft(h.open, func(*seat) bool { return true })
	}
	if s := leastLeft(h.open, func(s *seat) bool { return h.has(s.by) }); s != nil {
		return s
	}
	m := h.roomiest(w)
	return leastLeft(h.open, func(s *seat) bool { return s.by == m })
}

// leastLeft returns the first of the seats that are meant with the least room.
func leastLeft(seats []*seat, meant func(*seat) bool) *seat {
	var best *seat
	for _, s := range seats {
		if meant(s) && (best == nil || s.left.CPU < best.left.CPU) {
			best = s
		}
	}
	return best
}

// roomiest returns the holder with the fewest tasks of the step whose seats take most of
// it, of equal ones one in the owner's data centre.
func (h *holders) roomiest(w *wait) *member {
	clear(h.room)
	h.order = h.order[:0]
	for _, s := range h.open {
		room, ok := h.room[s.by]
		if !ok {
			h.order = append(h.order, s.by)
		}
		h.room[s.by] = min(room+s.left.CPU/max(w.Room.CPU, 1), len(w.Tasks), gatherMost)
	}
	if len(h.order) == 0 {
		return nil
	}
	return slices.MaxFunc(h.order, func(x, y *member) int {
		return cmp.Or(
			cmp.Compare(h.tasks[y], h.tasks[x]),
			cmp.Compare(h.room[x], h.room[y]),
			compareBool(h.isNear(x), h.isNear(y)),
		)
	})
}

// isNear tells that a holder is in the owner's data centre.
func (h *holders) isNear(m *member) bool { return m != nil && m.DataCenter == h.dc }
