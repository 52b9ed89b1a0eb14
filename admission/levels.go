// Package admission decides which share of each queue's jobs a planner can use, so that the
// processes that accept jobs refuse the others at once.
//
// The planner of a cell keeps a Controller. It measures, for each queue, the work that is
// offered and the work that is granted workers. In a severe and sustained overload it computes
// Levels: the share of the jobs of each queue that is admitted, which is
// little more than what was granted. Which queue's jobs are granted workers first is for the
// planner to decide, by their ranks. A job is admitted if a hash of its ID lies below the
// share of its queue, so every process decides the same for it, whatever part of the demand
// arrives there.
//
// A request carries the share under which it was admitted and stands for so many jobs more.
// The planner therefore knows what is offered in all although most of it does not reach it.
//
// Levels are soft state. They end by themselves after Lifetime: a process that does not hear
// from the planner admits all jobs.
package admission

import (
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is how long levels apply that are not renewed.
	Lifetime = time.Second
	// minShare is the least share. The jobs that it lets through show the planner what is
	// offered.
	minShare = 0.02
)

// Level is the share of a queue's jobs that is admitted, from 0 to 1.
type Level struct {
	Queue string  `json:"queue" cbor:"1,keyasint,omitzero"`
	Share float64 `json:"share" cbor:"2,keyasint,omitzero"`
}

// Compare orders levels by queue.
func (l Level) Compare(o Level) int { return strings.Compare(l.Queue, o.Queue) }

// Levels are the levels of the queues of which not all jobs are admitted, by name.
type Levels struct {
	Queues []Level `json:"queues" cbor:"1,keyasint,omitzero"`
}

// Share returns the share of a queue's jobs that is admitted.
func (l Levels) Share(queue string) float64 {
	for _, q := range l.Queues {
		if q.Queue == queue {
			return q.Share
		}
	}
	return 1
}

// Admits reports whether a job is among the admitted share of its queue's jobs.
func Admits(job string, share float64) bool {
	return share >= 1 || float64(xxhash.Sum64String("admission "+job)) < share*math.MaxUint64
}

const (
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller is asked
	// to retry.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 8 * time.Second
)

// RetryAfter returns the delay after which a caller that was refused at a share should
// retry. A caller succeeds after 1/share attempts on average; with delays in proportion, the
// callers that return add about the same load at every share.
func RetryAfter(share float64) time.Duration {
	return min(time.Duration(float64(minRetryAfter)/max(share, minShare)), maxRetryAfter)
}
