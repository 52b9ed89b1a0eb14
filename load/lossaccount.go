package load

import (
	"cmp"
	"os"
	"slices"
	"time"

	"snipehub.example/event"
)

// loggedJob is a job as the logs of all processes show it, whether it was lost or not.
type loggedJob struct {
	queue string
	// entry is the process that admitted the job first, dataCenter the data centre of
	// that process, and firstSeen the time of that admission. Of a job that was never
	// admitted, they are those of the first answer.
	entry, dataCenter string
	firstSeen         time.Time
	// timeout is how long its caller waits from firstSeen on, as the caller stated.
	timeout time.Duration
	// objective is the job's latency objective, and estimate the estimated work of a
	// task, from which the objective was computed. resolveJob replaces objective by the
	// one that follows from work.
	objective, estimate time.Duration
	// cpu is what each task uses, in thousandths of a core.
	tasks, cpu int
	// admittedAt and answers cover all requests with the job's id, ordered by time.
	admittedAt []time.Time
	answers    []jobAnswer
	runs       map[string]*loggedRun
	// runFailure is how a run ended that started and was not done; empty if there was none.
	runFailure string
	// lastRun is the done run that ended last.
	lastRun *loggedRun

	// work is the actual work of its longest task, at ordinary worker speed.
	work time.Duration
	// waitedBefore is how long its caller had waited before a request reached a process.
	waitedBefore time.Duration
	// entryCutOff is set if its entry lost the session with a process that continued to
	// run.
	entryCutOff bool
	// entryDied is set if its entry ended.
	entryDied bool
}

// jobAnswer is an answer to the caller, and the process that gave it.
type jobAnswer struct {
	at            time.Time
	status, why   string
	queue, source string
}

// loggedRun is the last run of a task.
type loggedRun struct {
	worker             string
	grantedAt, endedAt time.Time
	took               time.Duration
	// factor is the ratio of run time to estimate that was known of the worker at the
	// grant. calibrateFactors replaces it where timeouts imply the work.
	factor float64
}

// normalWork returns the work of a run at ordinary worker speed.
func (r *loggedRun) normalWork() time.Duration {
	return time.Duration(float64(r.took) / max(r.factor, 0.1))
}

// final returns the last answer. It reports false if there is none, or if a request came
// after it.
func (j *loggedJob) final() (jobAnswer, bool) {
	if len(j.answers) == 0 {
		return jobAnswer{}, false
	}
	a := j.answers[len(j.answers)-1]
	return a, len(j.admittedAt) == 0 || !a.at.Before(j.admittedAt[len(j.admittedAt)-1])
}

// sent returns when the caller sent the job for the first time, as far as is known.
func (j *loggedJob) sent() time.Time { return j.firstSeen.Add(-j.waitedBefore) }

// incarnation is one run of a process, from its first log line to its last.
type incarnation struct {
	id          string
	from, until time.Time
}

// sessionLoss is the loss of a session with another process, until it is restored.
type sessionLoss struct {
	at, restoredAt time.Time
	peerID         string
}

// lossAccount holds the jobs of a day, and by process name the incarnations, data centres
// and session losses.
type lossAccount struct {
	jobs          map[string]*loggedJob
	incarnations  map[string][]incarnation
	dataCenters   map[string]string
	sessionLosses map[string][]sessionLoss
	// lastLine is the time of the latest line of any log.
	lastLine time.Time
	// worth is what a job of each queue is worth; if empty, all queues are worth the same
	// in total.
	worth map[string]float64
	// lateWorth is the share of its worth that a late answer earns.
	lateWorth float64
	// reportedJobs is the number of jobs that the callers report to have sent, 0 if
	// unknown.
	reportedJobs int
}

func newLossAccount() *lossAccount {
	return &lossAccount{
		lateWorth:     defaultLateWorth,
		jobs:          make(map[string]*loggedJob),
		incarnations:  make(map[string][]incarnation),
		dataCenters:   make(map[string]string),
		sessionLosses: make(map[string][]sessionLoss),
	}
}

func (a *lossAccount) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return readLog(f, name, a.addLine)
}

func (a *lossAccount) addLine(source string, l logLine) {
	a.trackIncarnation(source, l)
	switch l.Event {
	case event.JobAdmitted:
		a.addAdmission(source, l)
	case event.TaskGranted:
		r := a.runOfTask(l)
		r.grantedAt, r.factor = l.Time, l.Factor
	case event.RunEnded:
		a.addRunEnd(l)
	case event.JobAnswered:
		j := a.jobWithID(l.Job)
		j.answers = append(j.answers, jobAnswer{l.Time, l.Status, l.Why, l.Queue, source})
	case event.SessionDown:
		a.sessionLosses[source] = append(a.sessionLosses[source], sessionLoss{at: l.Time, peerID: l.ID})
	case event.SessionUp:
		a.endSessionLoss(source, l)
	}
}

// endSessionLoss records that a session with another process is restored.
func (a *lossAccount) endSessionLoss(source string, l logLine) {
	for i := range a.sessionLosses[source] {
		if p := &a.sessionLosses[source][i]; p.peerID == l.ID && p.restoredAt.IsZero() {
			p.restoredAt = l.Time
		}
	}
}

// trackIncarnation records which processes ran when.
func (a *lossAccount) trackIncarnation(source string, l logLine) {
	if l.Event == event.ProcessStarted {
		a.dataCenters[source] = l.DataCenter
		a.incarnations[source] = append(a.incarnations[source], incarnation{id: l.ID, from: l.Time})
	}
	// A process reads its settings before it logs that it has started, so that this line
	// does not belong to the incarnation before.
	if s := a.incarnations[source]; len(s) > 0 && l.Event != event.SettingsRead && l.Time.After(s[len(s)-1].until) {
		s[len(s)-1].until = l.Time
	}
	if l.Time.After(a.lastLine) {
		a.lastLine = l.Time
	}
}

func (a *lossAccount) jobWithID(id string) *loggedJob {
	j := a.jobs[id]
	if j == nil {
		j = &loggedJob{runs: make(map[string]*loggedRun)}
		a.jobs[id] = j
	}
	return j
}

// addAdmission records an admission. The first one of a job that was sent again
// determines its entry and firstSeen: its caller has waited since then.
func (a *lossAccount) addAdmission(source string, l logLine) {
	j := a.jobWithID(l.Job)
	j.admittedAt = append(j.admittedAt, l.Time)
	if !j.firstSeen.IsZero() && !l.Time.Before(j.firstSeen) {
		return
	}
	j.queue, j.entry, j.dataCenter, j.firstSeen = l.Queue, source, a.dataCenters[source], l.Time
	j.objective, j.estimate = millis(l.ObjectiveMS), millis(l.EstimateMS)
	j.timeout = millis(l.TimeoutMS)
	j.tasks, j.cpu = l.Tasks, l.CPU
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (a *lossAccount) runOfTask(l logLine) *loggedRun {
	j := a.jobWithID(l.Job)
	r := j.runs[l.Task]
	if r == nil {
		r = &loggedRun{}
		j.runs[l.Task] = r
	}
	if l.Worker != "" {
		r.worker = l.Worker
	}
	return r
}

func (a *lossAccount) addRunEnd(l logLine) {
	j, r := a.jobWithID(l.Job), a.runOfTask(l)
	if l.How == "done" {
		r.took, r.endedAt = millis(l.TookMS), l.Time
		if j.lastRun == nil || l.Time.After(j.lastRun.endedAt) {
			j.lastRun = r
		}
		return
	}
	if l.How != "never" {
		j.runFailure = l.How
	}
}

// resolve computes what only follows from the whole day: when callers first sent a job,
// what its work was, whether its entry ended or was cut off.
func (a *lossAccount) resolve() {
	for id, j := range a.jobs {
		slices.SortFunc(j.admittedAt, time.Time.Compare)
		slices.SortFunc(j.answers, func(x, y jobAnswer) int { return x.at.Compare(y.at) })
		if j.firstSeen.IsZero() && len(j.answers) > 0 {
			// A process that is about to stop refuses jobs without admitting them.
			f := j.answers[0]
			j.queue, j.entry, j.dataCenter, j.firstSeen = f.queue, f.source, a.dataCenters[f.source], f.at
		}
		if j.firstSeen.IsZero() {
			// The lines of its entry are missing: its time of arrival and its queue are
			// unknown.
			delete(a.jobs, id)
		}
	}
	a.fillMissingFactors()
	for _, j := range a.jobs {
		j.entryDied, j.entryCutOff = a.hasEntryDied(j), a.wasEntryCutOff(j)
	}
	a.resolveWork()
}

// fillMissingFactors gives runs whose grant is in no log the median factor of their
// worker.
func (a *lossAccount) fillMissingFactors() {
	known := make(map[string][]float64)
	var unknown []*loggedRun
	for _, j := range a.jobs {
		for _, r := range j.runs {
			if r.factor > 0 {
				known[r.worker] = append(known[r.worker], r.factor)
			} else {
				unknown = append(unknown, r)
			}
		}
	}
	for _, r := range unknown {
		r.factor = cmp.Or(median(known[r.worker]), 1)
	}
}

// maxLogSilence is how long before the end of all logs a process may write its last line
// without being regarded as ended.
const maxLogSilence = time.Second

func (a *lossAccount) hasEntryDied(j *loggedJob) bool {
	for i, inc := range a.incarnations[j.entry] {
		if j.firstSeen.Before(inc.from) || j.firstSeen.After(inc.until) {
			continue
		}
		return i < len(a.incarnations[j.entry])-1 || a.lastLine.Sub(inc.until) > maxLogSilence
	}
	return false
}

// minCutOff is the shortest loss of a session that counts as a cut. The process at the
// other end must also continue to log for longer than that: otherwise it ended and was not
// cut off.
const minCutOff = 200 * time.Millisecond

func (a *lossAccount) wasEntryCutOff(j *loggedJob) bool {
	end := j.firstSeen.Add(j.timeout)
	if f, ok := j.final(); ok {
		end = f.at
	}
	for _, p := range a.sessionLosses[j.entry] {
		earliestEnd := p.at.Add(minCutOff)
		restored := !p.restoredAt.IsZero() && p.restoredAt.Before(earliestEnd)
		if !restored && p.at.After(j.firstSeen) && p.at.Before(end) && a.lastLineOf(p.peerID).After(earliestEnd) {
			return true
		}
	}
	return false
}

// lastLineOf returns when an incarnation wrote its last line.
func (a *lossAccount) lastLineOf(id string) time.Time {
	for _, incarnations := range a.incarnations {
		for _, inc := range incarnations {
			if inc.id == id {
				return inc.until
			}
		}
	}
	return time.Time{}
}
