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
	owner  mesh.ID
	// dc is the owner's data centre.
	dc string
	of map[mesh.ID]*member
	// tasks counts the tasks of the step that holders were just given.
	tasks map[mesh.ID]int
	// open are the seats to choose from.
	open []*seat
}

func (b *Book) holders(w *wait) *holders {
	h := &holders{gather: b.policy.Gather.on(), owner: w.owner, of: b.members, tasks: make(map[mesh.ID]int)}
	if m := b.members[w.owner]; m != nil {
		h.dc = m.DataCenter
	}
	return h
}

func (h *holders) use(id mesh.ID) { h.tasks[id]++ }

// has tells that a holder has the job's text, because it took the job in or has a task of
// it, and not many tasks yet.
func (h *holders) has(id mesh.ID) bool {
	n := h.tasks[id]
	return n < gatherMost && (n > 0 || id == h.owner)
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
	if s := leastLeft(h.open, func(s *seat) bool { return h.has(s.holder) }); s != nil {
		return s
	}
	id := h.roomiest(w)
	return leastLeft(h.open, func(s *seat) bool { return s.holder == id })
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
func (h *holders) roomiest(w *wait) mesh.ID {
	var ids []mesh.ID
	room := make(map[mesh.ID]int)
	for _, s := range h.open {
		if _, ok := room[s.holder]; !ok {
			ids = append(ids, s.holder)
		}
		room[s.holder] = min(room[s.holder]+s.left.CPU/max(w.Room.CPU, 1), len(w.Tasks), gatherMost)
	}
	if len(ids) == 0 {
		return mesh.ID{}
	}
	return slices.MaxFunc(ids, func(x, y mesh.ID) int {
		return cmp.Or(
			cmp.Compare(h.tasks[y], h.tasks[x]),
			cmp.Compare(room[x], room[y]),
			compareBool(h.near(x), h.near(y)),
		)
	})
}

// near tells that a holder is in the owner's data centre.
func (h *holders) near(id mesh.ID) bool {
	m := h.of[id]
	return m != nil && m.DataCenter == h.dc
}
