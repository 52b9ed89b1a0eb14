package cell

import (
	"math"
	"slices"
	"time"

	"snipehub.example/admission"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

const (
	// admissionGrace is how long a new planner admits all jobs. After a restart of all
	// processes, workers get their holders within a second, and jobs that are refused until
	// then say nothing of the load.
	admissionGrace = 1500 * time.Millisecond
	// levelsInterval is the minimum time between two messages with levels to a process, and
	// levelsRenewal the maximum while there are any.
	levelsInterval = 100 * time.Millisecond
	levelsRenewal  = 300 * time.Millisecond
	// levelTolerance is the relative change of a share that is worth a message.
	levelTolerance = 0.1
)

// admissionState is the planner's admission control.
type admissionState struct {
	controller *admission.Controller
	// levels are those in force here, sent those that the other processes have.
	levels, sent admission.Levels
	sentAt       time.Time
	// limitedSince is when levels began to apply, limitedAt when they last did; limitedSince
	// is zero while admission is unlimited.
	limitedSince, limitedAt time.Time
}

// pendingWork returns the work of the pending tasks: cores times seconds at the estimate.
func (p *pendingRequest) pendingWork() float64 { return float64(len(p.Tasks)) * p.taskWork() }

// taskWork returns the work of one task, in core seconds.
func (p *pendingRequest) taskWork() float64 {
	return float64(p.Resources.CPU) / 1000 * p.Estimate.Seconds()
}

// admit reports whether a request that has just arrived is to be placed. A job of which
// something has begun always is; others are refused by the levels, which the process that
// sent the request may not have received yet.
func (pl *Planner) admit(now time.Time, p *pendingRequest) bool {
	if !pl.policy.Admission.on() {
		return true
	}
	share := p.Share
	if share == 0 || p.Begun {
		share = 1
	}
	pl.admission.controller.Offer(now, admission.Job{Queue: p.Queue, Pool: p.Pool, Rank: p.Rank}, p.pendingWork(), share)
	pl.counts.OfferedWork[p.Queue] += int64(1000 * p.pendingWork() / share)
	level := pl.admission.levels.Share(p.Queue)
	if p.Begun || admission.Admits(p.job, level) {
		return true
	}
	pl.counts.Refused[ReasonOverCapacity]++
	pl.emit(Action{To: p.owner, Refusal: &Refusal{Job: p.job, Reason: ReasonOverCapacity, RetryAfter: admission.RetryAfter(level) + RetryJitter(p.job)}})
	return false
}

// maxFreeShare is the share of the workers with room for a task up to which workers are
// lacking.
const maxFreeShare = 0.25

// lacksWorkers reports whether a request that gets no workers in time shows that there is
// more work than the workers can do. One that only some workers may run, such as those of
// the rack with its data, does not while others have room: no other job is to be refused for
// it.
func (pl *Planner) lacksWorkers(p *pendingRequest) bool {
	if p.Rack == "" && p.Label == "" && p.MaxPerWorker == 0 {
		return true
	}
	free, all := 0, 0
	for _, w := range pl.workers {
		if w.Pool == p.Pool && w.acceptsTasks() {
			all++
			if p.Resources.Fits(w.free()) {
				free++
			}
		}
	}
	return float64(free) <= maxFreeShare*float64(all)
}

// countGrant records that a task of a request was granted a worker.
func (pl *Planner) countGrant(now time.Time, p *pendingRequest) {
	pl.counts.Granted++
	pl.counts.GrantedWork[p.Queue] += int64(1000 * p.taskWork())
	pl.admission.controller.Grant(now, p.Queue, p.taskWork())
}

// ReasonOverCapacity is the reason of a refusal by the levels of admission control.
const ReasonOverCapacity = "over_capacity"

// updateLevels computes the levels and sends them to the processes that may request workers.
func (pl *Planner) updateLevels(now time.Time) {
	if !pl.policy.Admission.on() || now.Sub(pl.startedAt) < admissionGrace {
		return
	}
	pending := make(map[string]float64)
	for _, p := range pl.requestQueue.pending {
		pending[p.Queue] += p.pendingWork()
	}
	pl.admission.levels = pl.admission.controller.Update(now, pending)
	pl.logLevels(now)
	pl.sendLevels(now)
}

// logLevels logs the beginning and the end of a period in which levels apply. Pauses of less
// than unlimitedAfter belong to the period.
func (pl *Planner) logLevels(now time.Time) {
	a := &pl.admission
	limited := len(a.levels.Queues) > 0
	if limited {
		a.limitedAt = now
	}
	switch {
	case limited && a.limitedSince.IsZero():
		a.limitedSince = now
		event.AdmissionLimited.Log(pl.log, "levels", a.levels.Queues, "waiting", len(pl.pending))
	case !a.limitedSince.IsZero() && now.Sub(a.limitedAt) >= unlimitedAfter:
		event.AdmissionUnlimited.Log(pl.log, "lasted_ms", a.limitedAt.Sub(a.limitedSince).Milliseconds())
		a.limitedSince = time.Time{}
	}
}

// unlimitedAfter is how long no levels must apply until admission counts as unlimited.
const unlimitedAfter = time.Second

// sendLevels sends the levels if they have changed, or are due to be renewed.
func (pl *Planner) sendLevels(now time.Time) {
	a := &pl.admission
	since := now.Sub(a.sentAt)
	renew := len(a.levels.Queues) > 0 && since >= levelsRenewal
	if since < levelsInterval || !renew && !changedBy(a.sent, a.levels, levelTolerance) {
		return
	}
	a.sent, a.sentAt = a.levels, now
	for _, id := range pl.sortedRequesters() {
		pl.emit(Action{To: id, Levels: &a.sent})
	}
}

// changedBy reports whether the share of a queue differs by more than a part of itself.
func changedBy(x, y admission.Levels, tolerance float64) bool {
	if len(x.Queues) != len(y.Queues) {
		return true
	}
	return slices.ContainsFunc(x.Queues, func(l admission.Level) bool {
		return math.Abs(y.Share(l.Queue)-l.Share) > tolerance*l.Share
	})
}

func (pl *Planner) sortedRequesters() []mesh.ID {
	out := make([]mesh.ID, 0, len(pl.requesters))
	for id := range pl.requesters {
		out = append(out, id)
	}
	slices.SortFunc(out, mesh.ID.Compare)
	return out
}
