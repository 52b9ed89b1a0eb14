package entry

import (
	"time"

	"snipehub.example/cell"
	"snipehub.example/mesh"
)

const (
	// minDurationShare is the smallest share of its estimate that a task is assumed to
	// take on the fastest worker.
	minDurationShare = 0.4
	// plannerGrace is how much later than the planner this process refuses jobs that
	// can't meet their objective: messages both ways, and a tick.
	plannerGrace = 100 * time.Millisecond
	// minRetryAfter is the minimum time that callers are told to wait where the planner
	// is unreachable or its link is full: another planner is found within a second.
	minRetryAfter = time.Second
)

// minDuration returns the minimum duration of the job's first step, on the fastest
// worker.
func (j *job) minDuration() time.Duration {
	return time.Duration(minDurationShare * float64(j.Steps[0].Estimate))
}

// refuseIfTooLate refuses a job of which nothing has begun and which can't meet its
// objective any more. The planner does that too, and earlier. But the process that is
// taken for the planner may not be planning, for instance when it and this process see
// different members: all callers would then wait for nothing until their deadlines.
func (js *Jobs) refuseIfTooLate(now time.Time, j *job) {
	if !j.hasBegun() && now.After(j.objectiveAt.Add(plannerGrace-j.minDuration())) {
		if !j.requestedAt.IsZero() && j.otherPlanner == (mesh.ID{}) {
			js.delay.addPlannerSilence(now, now.Sub(j.requestedAt))
		}
		js.finish(now, j, Answer{Status: Refused, Why: plannerSilent, RetryAfter: minRetryAfter + cell.RetryJitter(j.ID)})
	}
}

// plannerSilent is the reason of a refusal because the planner has not answered.
const plannerSilent = "planner_silent"

// PlannerOverdue records that the planner's heartbeat is overdue. The next planner is elected
// when the session with this one times out, at the earliest. Jobs that could not meet their
// objective with it either are refused.
func (js *Jobs) PlannerOverdue(now, lastHeard time.Time) {
	js.nextPlannerAt = lastHeard.Add(mesh.SessionTimeout)
	for _, j := range js.sortedJobs() {
		if j.answer == nil {
			js.refuseIfPlannerSilent(now, j)
		}
	}
}

// PlannerRecovered records that the planner has been heard from again.
func (js *Jobs) PlannerRecovered() { js.nextPlannerAt = time.Time{} }

// refuseIfPlannerSilent refuses a job of which nothing has begun and which can't meet its
// objective if it waits for the next planner, and reports whether it did. Nobody else would
// tell its caller before the objective has passed.
func (js *Jobs) refuseIfPlannerSilent(now time.Time, j *job) bool {
	if js.nextPlannerAt.IsZero() || j.hasBegun() || j.otherPlanner != (mesh.ID{}) || !js.nextPlannerAt.Add(j.minDuration()).After(j.objectiveAt) {
		return false
	}
	if !js.requestFromOtherCell(now, j) {
		js.finish(now, j, Answer{Status: Refused, Why: plannerSilent, RetryAfter: max(js.nextPlannerAt.Sub(now), minRetryAfter) + cell.RetryJitter(j.ID)})
	}
	return true
}

// plannerAnswered records that the planner has answered for a job, after waiting for free
// resources for a time.
func (js *Jobs) plannerAnswered(now time.Time, j *job, waited time.Duration) {
	if !j.requestedAt.IsZero() && j.otherPlanner == (mesh.ID{}) {
		js.delay.addPlannerTime(now, now.Sub(j.requestedAt)-waited)
		j.requestedAt = time.Time{}
	}
}

// refuseIfMessagesSlow refuses a job at once that can't meet its objective because of the
// time that messages take, and reports whether it did. A request to the planner would
// only add to the load of its link: at twice what the links bore, requests for jobs that
// were late when they arrived kept the link half a second behind permanently.
func (js *Jobs) refuseIfMessagesSlow(now time.Time, j *job) bool {
	remaining := j.objectiveAt.Sub(now)
	if remaining == 0 || js.delay.total(j.Steps[0].Count)+j.minDuration() <= remaining {
		return false
	}
	js.finish(now, j, Answer{Status: Refused, Why: "messages_slow", RetryAfter: minRetryAfter + cell.RetryJitter(j.ID)})
	return true
}
