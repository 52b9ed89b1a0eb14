package load

import "time"

// These are the causes that a job is counted under. One that ends in a space is followed
// by the reason of the refusal or answer, or by how the run ended.
const (
	causeInTime            = "in time"
	causeLateWaiting       = "late: waited for a worker"
	causeLateOnWorker      = "late: long on the worker"
	causeLateMessages      = "late: messages"
	causeLateFailedRun     = "late: after a run that was "
	causeLateFirstUnlogged = "late: sent again, first in no log"
	causeLateAnswerLost    = "late: sent again, first answer lost"
	causeLateEntryLost     = "late: sent again, first entry lost"
	causeLateAtCut         = "late: in flight at a cut"
	causeCutOff            = "in flight at a cut: "
	causeEntryLost         = "lost with its entry"
	causeNoAnswer          = "no answer"
	causeUnlogged          = "in no log"
	causeUnloggedByRate    = "in no log, by the day's rate"
	causeGivenUp           = "given up: "
	causeRefusedInTime     = "refused in time: "
	causeRefusedLate       = "refused late: "
)

const (
	// lateRefusalThreshold is the part of its objective after which a refusal is late:
	// the caller could have tried elsewhere in the meantime.
	lateRefusalThreshold = 0.25
	// defaultLateWorth is the share of its worth that a late answer earns by default.
	defaultLateWorth = 0.2
	// maxLateObjectives is the age, in objectives since the job was sent, after which an
	// answer is worth nothing.
	maxLateObjectives = 3
	// undelayedWorkShare is the part of the time remaining for a task that its work may
	// take without counting as a delay.
	undelayedWorkShare = 2.0 / 3
)

// cause returns the single cause that explains the result of a job.
func (j *loggedJob) cause() string {
	f, ok := j.final()
	switch {
	case !ok && j.entryDied:
		return causeEntryLost
	case !ok:
		return causeNoAnswer
	case f.status == "refused" && f.at.Sub(j.firstSeen) > time.Duration(lateRefusalThreshold*float64(j.objective)):
		return causeRefusedLate + f.why
	case f.status == "refused":
		return causeRefusedInTime + f.why
	case f.status != "completed" && j.entryCutOff:
		return causeCutOff + f.why
	case f.status != "completed":
		return causeGivenUp + f.why
	case f.at.Sub(j.sent()) <= j.objective:
		return causeInTime
	}
	return j.lateCause(f)
}

// lateCause returns why a job was answered late.
func (j *loggedJob) lateCause(f jobAnswer) string {
	switch {
	case j.waitedBefore > 0:
		return causeLateFirstUnlogged
	case len(j.admittedAt) > 1 && j.answers[0].at.Before(j.admittedAt[len(j.admittedAt)-1]):
		return causeLateAnswerLost
	case len(j.admittedAt) > 1:
		return causeLateEntryLost
	case j.entryCutOff:
		return causeLateAtCut
	case j.runFailure != "":
		return causeLateFailedRun + j.runFailure
	}
	return j.longestDelay(f.at.Sub(j.firstSeen))
}

// longestDelay returns the cause of the longest delay of the last task.
func (j *loggedJob) longestDelay(age time.Duration) string {
	if j.lastRun == nil || j.lastRun.grantedAt.IsZero() {
		return causeLateMessages
	}
	waited := j.lastRun.grantedAt.Sub(j.firstSeen)
	messages := age - waited - j.lastRun.took
	// Run time counts as a delay only where it exceeds undelayedWorkShare of the time that
	// messages and waiting left of the objective.
	remaining := max(j.objective-messages-waited, 0)
	excess := j.lastRun.took - time.Duration(undelayedWorkShare*float64(remaining))
	switch max(waited, messages, excess) {
	case waited:
		return causeLateWaiting
	case excess:
		return causeLateOnWorker
	}
	return causeLateMessages
}

// credit returns the share of its worth that a job earns: all of it in time, lateWorth up
// to maxLateObjectives, and nothing otherwise.
func (j *loggedJob) credit(lateWorth float64) float64 {
	f, ok := j.final()
	if !ok || f.status != "completed" {
		return 0
	}
	switch age := f.at.Sub(j.sent()); {
	case age <= j.objective:
		return 1
	case age <= maxLateObjectives*j.objective:
		return lateWorth
	}
	return 0
}

const (
	// minWeight is the fixed part of the weight of a job, relative to the mean of its
	// queue.
	minWeight = 0.3
	// maxWeight bounds the weight of a job, relative to the mean of its queue.
	maxWeight = 4
)

// jobWeights returns the weight of each job: its work over its queue's mean, within
// bounds, times what the queue's jobs are worth.
func (a *lossAccount) jobWeights() map[*loggedJob]float64 {
	sum, n := make(map[string]float64), make(map[string]float64)
	for _, j := range a.jobs {
		if j.cpuWork() > 0 {
			sum[j.queue] += j.cpuWork()
			n[j.queue]++
		}
	}
	out := make(map[*loggedJob]float64, len(a.jobs))
	for _, j := range a.jobs {
		// A job of unknown work has the mean weight.
		out[j] = 1
		if j.cpuWork() > 0 {
			mean := sum[j.queue] / n[j.queue]
			out[j] = min(minWeight+(1-minWeight)*j.cpuWork()/mean, maxWeight)
		}
	}
	whole := make(map[string]float64)
	for j, w := range out {
		whole[j.queue] += w
	}
	for j := range out {
		if len(a.worth) > 0 {
			out[j] *= a.worth[j.queue]
		} else {
			out[j] /= whole[j.queue]
		}
	}
	return out
}

// cpuWork returns the work of all tasks together, in seconds times thousandths of a core.
func (j *loggedJob) cpuWork() float64 { return j.work.Seconds() * float64(j.tasks) * float64(j.cpu) }
