package load

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"snipehub.example/event"
)

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "say from the logs of all processes what was not served in time, and why",
		ArgsUsage: "[FILE ...] (standard input without any)",
		Description: "Each job counts by its estimated work, at least three tenths of its queue's mean, and\n" +
			"has one cause, so the parts add up to the whole. A late job's cause is what held its\n" +
			"last task up longest. A job's objective follows the work that its tasks turned out to\n" +
			"be, on workers of the speed that the planner knew, where it is longer than estimated.\n" +
			"Jobs that reached no process are not in the logs.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "windows", Value: 6, Usage: "how many of the worst windows of two seconds to show"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			a := newAccount()
			if c.Args().Len() == 0 {
				if err := readLog(c.Root().Reader, a.take); err != nil {
					return err
				}
			}
			for _, name := range c.Args().Slice() {
				if err := a.file(name); err != nil {
					return err
				}
			}
			a.print(c.Root().Writer, c.Int("windows"))
			return nil
		},
	}
}

// lostJob is a job as the logs of all processes tell of it.
type lostJob struct {
	queue, place string
	first        time.Time
	// aim and guess are the objective and the estimate of a task that it comes from.
	aim, guess  time.Duration
	work        float64
	tasks       int
	status, why string
	// answered is when it had its last answer.
	answered time.Time
	runs     map[string]*lostRun
	// broken tells that a run did not end as done.
	broken string
	last   *lostRun
}

// lostRun is the last run of a task.
type lostRun struct {
	granted time.Time
	took    time.Duration
	// factor is the time that tasks were known to take on the worker, over the estimate.
	factor float64
}

// worked is the work of a run at ordinary speed.
func (r *lostRun) worked() time.Duration {
	return time.Duration(float64(r.took) / max(r.factor, 0.1))
}

// account is the jobs of a day.
type account struct {
	jobs   map[string]*lostJob
	places map[string]string
}

func newAccount() *account {
	return &account{jobs: make(map[string]*lostJob), places: make(map[string]string)}
}

func (a *account) file(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return readLog(f, a.take)
}

func (a *account) take(source string, l logLine) {
	switch l.Event {
	case event.ProcessStarted:
		a.places[source] = l.Place
	case event.JobAdmitted:
		a.admitted(source, l)
	case event.TaskGranted:
		r := a.run(l)
		r.granted, r.factor = l.Time, l.Factor
	case event.RunEnded:
		a.ended(l)
	case event.JobAnswered:
		j := a.job(l.Job)
		j.status, j.why, j.answered = l.Status, l.Why, l.Time
	}
}

func (a *account) job(id string) *lostJob {
	j := a.jobs[id]
	if j == nil {
		j = &lostJob{runs: make(map[string]*lostRun)}
		a.jobs[id] = j
	}
	return j
}

// admitted takes the first time that a job was taken in. Of a job that was sent again,
// that counts: its caller has waited since.
func (a *account) admitted(source string, l logLine) {
	j := a.job(l.Job)
	j.status, j.why = "", ""
	if !j.first.IsZero() {
		return
	}
	j.queue, j.place, j.first = l.Queue, a.places[source], l.Time
	j.aim, j.guess = time.Duration(l.AimMS)*time.Millisecond, time.Duration(l.GuessMS)*time.Millisecond
	j.tasks = l.Tasks
	j.work = float64(l.Tasks) * float64(l.GuessMS) * float64(l.CPU)
}

func (a *account) run(l logLine) *lostRun {
	j := a.job(l.Job)
	r := j.runs[l.Task]
	if r == nil {
		r = &lostRun{}
		j.runs[l.Task] = r
	}
	return r
}

func (a *account) ended(l logLine) {
	j, r := a.job(l.Job), a.run(l)
	r.took = time.Duration(l.TookMS) * time.Millisecond
	if l.How == "done" {
		j.last = r
		return
	}
	if l.How != "never" {
		j.broken = l.How
	}
}

// The causes that are not a refusal's own word.
const (
	inTime     = "in time"
	lateRoom   = "late: waited for a worker"
	lateWorker = "late: long on the worker"
	lateMail   = "late: messages"
	lateBroken = "late: after a run that was "
	noAnswer   = "no answer: lost with its process"
	otherWise  = "ended as "
	refusedAt  = "refused at once: "
	refusedLo  = "refused late: "
)

// lateRefusal is the part of its objective after which a refusal is late: the caller could
// have gone elsewhere.
const lateRefusal = 0.25

// objective is how a queue's objectives follow from the work of the longest task: on a
// straight line through the jobs with the least and the longest estimate.
type objective struct {
	least, most *lostJob
}

func (o *objective) see(j *lostJob) {
	if o.least == nil || j.guess < o.least.guess {
		o.least = j
	}
	if o.most == nil || j.guess > o.most.guess {
		o.most = j
	}
}

// stretch is the slope of the line.
func (o *objective) stretch() float64 {
	rise := o.most.guess - o.least.guess
	if rise <= 0 {
		return 0
	}
	return float64(o.most.aim-o.least.aim) / float64(rise)
}

// stretchAims gives each job whose tasks turned out longer than estimated the objective
// of that work.
func (a *account) stretchAims() {
	lines := make(map[string]*objective)
	for _, j := range a.jobs {
		if j.first.IsZero() {
			continue
		}
		if lines[j.queue] == nil {
			lines[j.queue] = &objective{}
		}
		lines[j.queue].see(j)
	}
	for _, j := range a.jobs {
		var longest time.Duration
		for _, r := range j.runs {
			longest = max(longest, r.worked())
		}
		if l := lines[j.queue]; l != nil && longest > j.guess {
			j.aim += time.Duration(l.stretch() * float64(longest-j.guess))
			j.guess = longest
		}
	}
}

// cause returns the one cause of what became of a job.
func (j *lostJob) cause() string {
	age := j.answered.Sub(j.first)
	switch {
	case j.status == "":
		return noAnswer
	case j.status == "refused" && age > time.Duration(lateRefusal*float64(j.aim)):
		return refusedLo + j.why
	case j.status == "refused":
		return refusedAt + j.why
	case j.status != "completed":
		return otherWise + j.status + ": " + j.why
	case age <= j.aim:
		return inTime
	case j.broken != "":
		return lateBroken + j.broken
	}
	return j.lateness(age)
}

// lateness returns what held the last task up longest.
func (j *lostJob) lateness(age time.Duration) string {
	if j.last == nil || j.last.granted.IsZero() {
		return lateMail
	}
	waited := j.last.granted.Sub(j.first)
	mail := age - waited - j.last.took
	// What the work would have taken in time at the most is no delay.
	over := j.last.took - max(j.aim-mail-waited, 0)*2/3
	switch max(waited, mail, over) {
	case waited:
		return lateRoom
	case over:
		return lateWorker
	}
	return lateMail
}

// causeShares is the part of the whole work by cause.
type causeShares map[string]float64

// weigh returns what a job counts: its work over its queue's mean, three tenths at least.
func (a *account) weigh() map[*lostJob]float64 {
	sum, n := make(map[string]float64), make(map[string]float64)
	for _, j := range a.jobs {
		sum[j.queue] += j.work
		n[j.queue]++
	}
	out := make(map[*lostJob]float64)
	for _, j := range a.jobs {
		if !j.first.IsZero() {
			out[j] = 0.3 + 0.7*j.work/max(sum[j.queue]/n[j.queue], 1)
		}
	}
	return out
}

// split divides the jobs by cause, in groups. Each group's parts add up to 1.
func (a *account) split(group func(*lostJob) string) (map[string]causeShares, map[string]int) {
	out, jobs, whole := make(map[string]causeShares), make(map[string]int), make(map[string]float64)
	weight := a.weigh()
	for j, w := range weight {
		g := group(j)
		if out[g] == nil {
			out[g] = make(causeShares)
		}
		out[g][j.cause()] += w
		whole[g] += w
		jobs[g]++
	}
	for g, s := range out {
		for c := range s {
			s[c] /= whole[g]
		}
	}
	return out, jobs
}

// window is the length of the windows of which the worst are shown.
const window = 2 * time.Second

func (a *account) begin() time.Time {
	var first time.Time
	for _, j := range a.jobs {
		if !j.first.IsZero() && (first.IsZero() || j.first.Before(first)) {
			first = j.first
		}
	}
	return first
}

func (a *account) print(w io.Writer, windows int) {
	a.stretchAims()
	all := func(*lostJob) string { return "all" }
	a.table(w, "whole", all, 1, byName)
	a.table(w, "queue", func(j *lostJob) string { return j.queue }, 20, byName)
	a.table(w, "data centre", func(j *lostJob) string { return j.place }, 20, byName)
	a.table(w, "tasks", func(j *lostJob) string { return widths(j.tasks) }, 20, byName)
	begin := a.begin()
	a.table(w, "from second", func(j *lostJob) string {
		return fmt.Sprintf("%3d", int(j.first.Sub(begin)/window)*int(window/time.Second))
	}, windows, byLoss)
}

// widths groups jobs by their tasks.
func widths(tasks int) string {
	switch {
	case tasks == 1:
		return "1"
	case tasks <= 4:
		return "2 to 4"
	case tasks <= 8:
		return "5 to 8"
	}
	return "9 and more"
}

func byName(_ map[string]causeShares) func(x, y string) int { return cmp.Compare[string] }

func byLoss(s map[string]causeShares) func(x, y string) int {
	return func(x, y string) int {
		return cmp.Or(cmp.Compare(s[x][inTime], s[y][inTime]), cmp.Compare(x, y))
	}
}

// causesMost is how many causes a row shows; the rest are added up.
const causesMost = 5

func (a *account) table(w io.Writer, title string, group func(*lostJob) string, most int, order func(map[string]causeShares) func(x, y string) int) {
	parts, jobs := a.split(group)
	names := slices.SortedFunc(maps.Keys(parts), order(parts))
	fmt.Fprintf(w, "%-12s %6s %8s  lost to\n", title, "jobs", inTime)
	for _, g := range names[:min(most, len(names))] {
		fmt.Fprintf(w, "%-12s %6d %8.3f  %s\n", g, jobs[g], parts[g][inTime], parts[g].causes())
	}
	fmt.Fprintln(w)
}

// causes lists what was lost, the greatest part first.
func (s causeShares) causes() string {
	lost := maps.Clone(s)
	delete(lost, inTime)
	names := slices.SortedFunc(maps.Keys(lost), func(x, y string) int {
		return cmp.Or(cmp.Compare(lost[y], lost[x]), cmp.Compare(x, y))
	})
	out, rest := "", 0.0
	for i, n := range names {
		if i >= causesMost {
			rest += lost[n]
			continue
		}
		out += fmt.Sprintf("%.3f %s; ", lost[n], n)
	}
	if rest > 0 {
		out += fmt.Sprintf("%.3f others", rest)
	}
	return out
}
