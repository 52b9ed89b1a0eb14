package load

import (
	"math/rand/v2"
	"sync"

	"snipehub.example/job"
	"snipehub.example/ticket"
)

// inFlightJob is a job that has been submitted and has no final answer yet.
type inFlightJob struct {
	id     ticket.JobID
	caller int
	spec   job.Spec
	// owner is the index of the dispatcher that the plan gives the job to. It owns the
	// job unless it was unreachable and another one issued the job id.
	owner int
}

// inFlightJobs holds the jobs in flight by id, and what became of those that were
// cancelled or submitted again.
type inFlightJobs struct {
	mu              sync.Mutex
	jobs            map[string]inFlightJob
	cancelled       map[string]bool
	resubmitAnswers map[string][]job.Answer
}

func newInFlightJobs() *inFlightJobs {
	return &inFlightJobs{jobs: make(map[string]inFlightJob), cancelled: make(map[string]bool), resubmitAnswers: make(map[string][]job.Answer)}
}

func (f *inFlightJobs) add(id string, j inFlightJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = j
}

func (f *inFlightJobs) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.jobs, id)
}

// pickRandom returns a random share of the jobs in flight.
func (f *inFlightJobs) pickRandom(share float64) []inFlightJob {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []inFlightJob
	for _, j := range f.jobs {
		if rand.Float64() < share {
			out = append(out, j)
		}
	}
	return out
}

func (f *inFlightJobs) markCancelled(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled[id] = true
}

func (f *inFlightJobs) wasCancelled(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancelled[id]
}

// addResubmitAnswer records the answer to a resubmission.
func (f *inFlightJobs) addResubmitAnswer(id string, a job.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resubmitAnswers[id] = append(f.resubmitAnswers[id], a)
}
