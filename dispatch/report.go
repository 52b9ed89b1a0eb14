package dispatch

import (
	"context"
	"sync"
)

// report is a result that applies to the tasks from through to-1.
type report struct {
	done     func(index int, result Result)
	from, to int
	result   Result
}

// reports calls the Done functions of the batches in a goroutine of its own.
//
// An owner locks its mutex in Done and may hold it while it waits for Submit. If the
// goroutine that answers Submit called Done, the two would deadlock, and every caller
// with them. The list is bounded: new work is refused while it is long, and each task is
// reported once.
type reports struct {
	mu           sync.Mutex
	pending      []report
	pendingTasks int
	ready        chan struct{}
}

func newReports() reports { return reports{ready: make(chan struct{}, 1)} }

func (s *reports) add(r report) {
	s.mu.Lock()
	s.pending = append(s.pending, r)
	s.pendingTasks += r.to - r.from
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// len returns the number of tasks whose result is not yet delivered.
func (s *reports) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingTasks
}

// run delivers results until ctx ends.
func (s *reports) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.ready:
		}
		for _, r := range s.take() {
			for i := r.from; i < r.to; i++ {
				r.done(i, r.result)
			}
			s.mu.Lock()
			s.pendingTasks -= r.to - r.from
			s.mu.Unlock()
		}
	}
}

func (s *reports) take() []report {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.pending
	s.pending = nil
	return list
}
