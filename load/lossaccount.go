package load

import (
	"cmp"
	"os"
	"slices"
	"time"

	"snipehub.example/event"
)

// lostJob is a job as the logs of all processes tell of it.
type loggedJob struct {
	queue string
	// entry is the process that took it in first, place its data centre.
	entry, dataCenter string
	firstSeen         time.Time
	// patience is how long its caller waits from then on, as the caller said.
	timeout time.Duration
	// aim and guess are the objective and the estimate of a task that it comes from.
	objective, estimate time.Duration
	tasks, cpu          int
	// admitted and answers are of all requests with its id, in the order of time.
	admittedAt []time.Time
	answers    []jobAnswer
	runs       map[string]*loggedRun
	// broken tells that a run did not end as done.
	runFailure string
	lastRun    *loggedRun

	// work is what its longest task turned out to be at ordinary speed.
	work time.Duration
	// away is how long its caller had waited before a request reached a process.
	waitedBefore time.Duration
	// cut tells that its entry was cut off from a process that ran on.
	entryCutOff bool
	// dead tells that its entry ended.
	entryDied bool
}

// jobAnswer is what a caller was told, and by which process.
type jobAnswer struct {
	at            time.Time
	status, why   string
	queue, source string
}

// lostRun is the last run of a task.
type loggedRun struct {
	worker             string
	grantedAt, endedAt time.Time
	took               time.Duration
	// factor is the time that tasks were known to take on the worker, over the estimate.
	factor float64
}

// worked is the work of a run at ordinary speed.
func (r *loggedRun) normalWork() time.Duration {
	return time.Duration(float64(r.took) / max(r.factor, 0.1))
}

// final returns the last answer, unless a request came behind it.
func (j *loggedJob) final() (jobAnswer, bool) {
	if len(j.answers) == 0 {
		return jobAnswer{}, false
	}
	a := j.answers[len(j.answers)-1]
	return a, len(j.admittedAt) == 0 || !a.at.Before(j.admittedAt[len(j.admittedAt)-1])
}

// sent is when the caller sent the job for the first time, as far as is known.
func (j *loggedJob) sent() time.Time { return j.firstSeen.Add(-j.waitedBefore) }

// life is one start of a process: from its first line to its last.
type incarnation struct {
	id          string
	from, until time.Time
}

// parting is the loss of a session with another process, until they meet again.
type sessionLoss struct {
	at, restoredAt time.Time
	peerID         string
}

// account is the jobs of a day, and the processes.
type lossAccount struct {
	jobs          map[string]*loggedJob
	incarnations  map[string][]incarnation
	dataCenters   map[string]string
	sessionLosses map[string][]sessionLoss
	// last is the latest line of any log.
	lastLine time.Time
	// worth is what a job of a queue is worth; without any, all queues together are worth
	// the same.
	worth map[string]float64
	// late is the part of its worth that a late answer earns.
	lateWorth float64
	// asked is how many jobs the callers say they sent, 0 if nobody says.
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

// met ends the parting of two processes.
func (a *lossAccount) endSessionLoss(source string, l logLine) {
	for i := range a.sessionLosses[source] {
		if p := &a.sessionLosses[source][i]; p.peerID == l.ID && p.restoredAt.IsZero() {
			p.restoredAt = l.Time
		}
	}
}

// live follows which processes ran when.
func (a *lossAccount) trackIncarnation(source string, l logLine) {
	if l.Event == event.ProcessStarted {
		a.dataCenters[source] = l.DataCenter
		a.incarnations[source] = append(a.incarnations[source], incarnation{id: l.ID, from: l.Time})
	}
	// A start reads the settings before it says that it has begun.
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

// admitted takes the first time that a job was taken in. Of a job that was sent again,
// that counts: its caller has waited since.
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

// settle works out what only the whole day tells: when callers first sent, what the work
// was, whose entry ended or was cut off.
func (a *lossAccount) resolve() {
	for id, j := range a.jobs {
		slices.SortFunc(j.admittedAt, time.Time.Compare)
		slices.SortFunc(j.answers, func(x, y jobAnswer) int { return x.at.Compare(y.at) })
		if j.firstSeen.IsZero() && len(j.answers) > 0 {
			// A process that is about to end refuses without taking the job in.
			f := j.answers[0]
			j.queue, j.entry, j.dataCenter, j.firstSeen = f.queue, f.source, a.dataCenters[f.source], f.at
		}
		if j.firstSeen.IsZero() {
			// Its entry's lines are missing: nothing tells when it came or what it was.
			delete(a.jobs, id)
		}
	}
	a.fillMissingFactors()
	for _, j := range a.jobs {
		j.entryDied, j.entryCutOff = a.hasEntryDied(j), a.wasEntryCutOff(j)
	}
	a.resolveWork()
}

// fillFactors gives runs whose grant is in no log the factor that their worker mostly had.
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

// quiet is how long before the end of all logs a process may write its last line without
// being taken for ended.
const maxLogSilence = time.Second

func (a *lossAccount) hasEntryDied(j *loggedJob) bool {
	for i, l := range a.incarnations[j.entry] {
		if j.firstSeen.Before(l.from) || j.firstSeen.After(l.until) {
			continue
		}
		return i < len(a.incarnations[j.entry])-1 || a.lastLine.Sub(l.until) > maxLogSilence
	}
	return false
}

// outlives is how long a process goes on writing after others have lost it, when it has
// been cut off and not ended; they don't meet again within it.
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

// until returns when a process wrote its last line.
func (a *lossAccount) lastLineOf(id string) time.Time {
	for _, lives := range a.incarnations {
		for _, l := range lives {
			if l.id == id {
				return l.until
			}
		}
	}
	return time.Time{}
}
