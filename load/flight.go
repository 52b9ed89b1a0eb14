package load

import (
	"math/rand/v2"
	"sync"

	"snipehub.example/job"
	"snipehub.example/ticket"
)

// flight is a job that has been submitted and has no final answer.
type flight struct {
	id     ticket.JobID
	caller int
	spec   job.Spec
	// home is the dispatcher that owns the job.
	home int
}

// flights is the jobs in flight.
type flights struct {
	mu        sync.Mutex
	m         map[string]flight
	cancelled map[string]bool
	again     map[string][]job.Answer
}

func newFlights() *flights {
	return &flights{m: make(map[string]flight), cancelled: make(map[string]bool), again: make(map[string][]job.Answer)}
}

func (f *flights) add(id string, j flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.m[id] = j
}

func (f *flights) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.m, id)
}

// pick returns a random share of the jobs in flight.
func (f *flights) pick(share float64) []flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []flight
	for _, j := range f.m {
		if rand.Float64() < share {
			out = append(out, j)
		}
	}
	return out
}

func (f *flights) cancel(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled[id] = true
}

func (f *flights) wasCancelled(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancelled[id]
}

// repeated keeps the answer to a resubmission.
func (f *flights) repeated(id string, a job.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.again[id] = append(f.again[id], a)
}
