package load

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// dayLog is a day of six jobs, as two processes log it: a in time; b late since the
// estimate was wrong, which counts as in time by its work; c late on a slow worker; d
// late since it waited; e refused; f lost with its process.
const dayLog = `
 0.1 vm-1 {"time":"2026-01-01T00:00:00Z","event":100,"data_center":"dc1"}
 0.1 vm-2 {"time":"2026-01-01T00:00:00Z","event":100,"data_center":"dc2"}
 0.1 vm-1 {"time":"2026-01-01T00:00:01Z","event":920,"job":"a","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220}
 0.1 vm-1 {"time":"2026-01-01T00:00:01.01Z","event":924,"job":"a","task":"a.0.0.0","factor":1}
 0.1 vm-1 {"time":"2026-01-01T00:00:01.2Z","event":925,"job":"a","task":"a.0.0.0","how":"done","took_ms":190}
 0.1 vm-1 {"time":"2026-01-01T00:00:01.2Z","event":922,"job":"a","status":"completed","why":""}
 0.1 vm-1 {"time":"2026-01-01T00:00:02Z","event":920,"job":"b","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220}
 0.1 vm-1 {"time":"2026-01-01T00:00:02.01Z","event":924,"job":"b","task":"b.0.0.0","factor":1}
 0.1 vm-1 {"time":"2026-01-01T00:00:02.5Z","event":925,"job":"b","task":"b.0.0.0","how":"done","took_ms":480}
 0.1 vm-1 {"time":"2026-01-01T00:00:02.5Z","event":922,"job":"b","status":"completed","why":""}
 0.1 vm-1 {"time":"2026-01-01T00:00:03Z","event":920,"job":"c","queue":"q","tasks":1,"cpu":10,"estimate_ms":200,"aim_ms":380}
 0.1 vm-1 {"time":"2026-01-01T00:00:03.01Z","event":924,"job":"c","task":"c.0.0.0","factor":5}
 0.1 vm-1 {"time":"2026-01-01T00:00:04Z","event":925,"job":"c","task":"c.0.0.0","how":"done","took_ms":980}
 0.1 vm-1 {"time":"2026-01-01T00:00:04Z","event":922,"job":"c","status":"completed","why":""}
 0.1 vm-2 {"time":"2026-01-01T00:00:04Z","event":920,"job":"d","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220}
 0.1 vm-1 {"time":"2026-01-01T00:00:04.3Z","event":924,"job":"d","task":"d.0.0.0","factor":1}
 0.1 vm-2 {"time":"2026-01-01T00:00:04.4Z","event":925,"job":"d","task":"d.0.0.0","how":"done","took_ms":90}
 0.1 vm-2 {"time":"2026-01-01T00:00:04.4Z","event":922,"job":"d","status":"completed","why":""}
 0.1 vm-2 {"time":"2026-01-01T00:00:05Z","event":920,"job":"e","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220}
 0.1 vm-2 {"time":"2026-01-01T00:00:05.01Z","event":922,"job":"e","status":"refused","why":"others_first"}
not a log line
 0.1 vm-2 {"time":"2026-01-01T00:00:06Z","event":920,"job":"f","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220}
`

func TestLossesHaveOneCauseEach(t *testing.T) {
	a := newLossAccount()
	if err := readLog(strings.NewReader(dayLog), "", a.addLine); err != nil {
		t.Fatal(err)
	}
	a.resolve()
	for _, c := range []struct{ job, cause, dataCenter string }{
		{"a", causeInTime, "dc1"},
		{"b", causeInTime, "dc1"},
		{"c", causeLateOnWorker, "dc1"},
		{"d", causeLateWaiting, "dc2"},
		{"e", causeRefusedInTime + "others_first", "dc2"},
		{"f", causeNoAnswer, "dc2"},
	} {
		j := a.jobs[c.job]
		if got := j.cause(); got != c.cause || j.dataCenter != c.dataCenter {
			t.Errorf("job %s: %q at %s, want %q at %s", c.job, got, j.dataCenter, c.cause, c.dataCenter)
		}
	}
}

func TestLossesAddUp(t *testing.T) {
	a := newLossAccount()
	if err := readLog(strings.NewReader(dayLog), "", a.addLine); err != nil {
		t.Fatal(err)
	}
	a.resolve()
	for dataCenter, s := range a.splitBy(func(j *loggedJob) string { return j.dataCenter }) {
		sum := 0.0
		for _, v := range s.causes {
			sum += v
		}
		if sum < 0.999 || sum > 1.001 || s.jobs != 3 {
			t.Errorf("%s: %d jobs, parts add up to %v", dataCenter, s.jobs, sum)
		}
	}
}

// troubleLog is the log of a day with faults: vm-1 is cut off from vm-2 at second 2, for
// a second; vm-3 is killed at second 5. The log ends at second 20.
const troubleLog = `
 0.1 vm-1 {"time":"2026-01-01T00:00:00Z","event":100,"data_center":"dc1","id":"one"}
 0.1 vm-2 {"time":"2026-01-01T00:00:00Z","event":100,"data_center":"dc2","id":"two"}
 0.1 vm-3 {"time":"2026-01-01T00:00:00Z","event":100,"data_center":"dc3","id":"three"}
 0.1 vm-1 {"time":"2026-01-01T00:00:01.9Z","event":920,"job":"cut","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220,"patience_ms":900}
 0.1 vm-1 {"time":"2026-01-01T00:00:01.9Z","event":920,"job":"late","queue":"q","tasks":1,"cpu":10,"estimate_ms":200,"aim_ms":380,"patience_ms":900}
 0.1 vm-1 {"time":"2026-01-01T00:00:02Z","event":801,"id":"two","why":"connection closed"}
 0.1 vm-1 {"time":"2026-01-01T00:00:02.5Z","event":922,"job":"late","status":"completed","why":""}
 0.1 vm-1 {"time":"2026-01-01T00:00:02.8Z","event":922,"job":"cut","status":"unknown","why":"caller_left"}
 0.1 vm-1 {"time":"2026-01-01T00:00:03Z","event":800,"id":"two"}
 0.1 vm-2 {"time":"2026-01-01T00:00:03Z","event":800,"id":"one"}
 0.1 vm-3 {"time":"2026-01-01T00:00:04.8Z","event":920,"job":"dead","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220,"patience_ms":900}
 0.1 vm-3 {"time":"2026-01-01T00:00:04.8Z","event":920,"job":"again","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220,"patience_ms":9000}
 0.1 vm-1 {"time":"2026-01-01T00:00:04.9Z","event":920,"job":"busy","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220,"patience_ms":9000}
 0.1 vm-1 {"time":"2026-01-01T00:00:05Z","event":801,"id":"three","why":"connection closed"}
 0.1 vm-1 {"time":"2026-01-01T00:00:05.5Z","event":924,"job":"busy","task":"busy.0.0.0","factor":1,"worker":"w"}
 0.1 vm-1 {"time":"2026-01-01T00:00:05.6Z","event":925,"job":"busy","task":"busy.0.0.0","how":"done","took_ms":100,"worker":"w"}
 0.1 vm-1 {"time":"2026-01-01T00:00:05.6Z","event":922,"job":"busy","status":"completed","why":""}
 0.1 vm-3 {"time":"2026-01-01T00:00:06Z","event":811}
 0.1 vm-3 {"time":"2026-01-01T00:00:06Z","event":100,"data_center":"dc3","id":"four"}
 0.1 vm-2 {"time":"2026-01-01T00:00:06.1Z","event":920,"job":"again","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220,"patience_ms":7700}
 0.1 vm-2 {"time":"2026-01-01T00:00:06.2Z","event":922,"job":"again","status":"completed","why":""}
 0.1 vm-1 {"time":"2026-01-01T00:00:07Z","event":920,"job":"twice","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220,"patience_ms":9000}
 0.1 vm-1 {"time":"2026-01-01T00:00:07.1Z","event":922,"job":"twice","status":"completed","why":""}
 0.1 vm-2 {"time":"2026-01-01T00:00:08.4Z","event":920,"job":"twice","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220,"patience_ms":7600}
 0.1 vm-2 {"time":"2026-01-01T00:00:08.5Z","event":922,"job":"twice","status":"completed","why":""}
 0.1 vm-2 {"time":"2026-01-01T00:00:09Z","event":920,"job":"slow","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220,"patience_ms":9000}
 0.1 vm-2 {"time":"2026-01-01T00:00:09.4Z","event":922,"job":"slow","status":"refused","why":"planner_silent"}
 0.1 vm-1 {"time":"2026-01-01T00:00:10Z","event":922,"job":"ends","queue":"q","status":"refused","why":"process_ends","age_ms":0}
 0.1 vm-1 {"time":"2026-01-01T00:00:20Z","event":802}
 0.1 vm-2 {"time":"2026-01-01T00:00:20Z","event":920,"job":"open","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220,"patience_ms":9000}
`

// Guards against wrong causes when jobs have no answer, or a late one, after a lost
// session or a killed process. The lines of other processes decide: a process that
// continues to log was cut off, one that does not has ended.
func TestLossesOfTrouble(t *testing.T) {
	a := newLossAccount()
	if err := readLog(strings.NewReader(troubleLog), "", a.addLine); err != nil {
		t.Fatal(err)
	}
	a.resolve()
	for _, c := range []struct {
		job, cause string
		credit     float64
	}{
		{"cut", causeCutOff + "caller_left", 0},
		{"late", causeLateAtCut, 0.2},
		{"dead", causeEntryLost, 0},
		{"again", causeLateEntryLost, 0},
		{"busy", causeLateWaiting, 0},
		{"twice", causeLateAnswerLost, 0},
		{"slow", causeRefusedLate + "planner_silent", 0},
		{"ends", causeRefusedInTime + "process_ends", 0},
		{"open", causeNoAnswer, 0},
	} {
		j := a.jobs[c.job]
		if got := j.cause(); got != c.cause || j.credit(defaultLateWorth) != c.credit {
			t.Errorf("job %s: %q, earns %v, want %q, %v", c.job, got, j.credit(defaultLateWorth), c.cause, c.credit)
		}
	}
}

// Guards against counting a job twice that was sent to two processes. Logs in a file per
// process have no prefix with its name and are read one after the other, in any order.
func TestLossesOfFiles(t *testing.T) {
	dir := t.TempDir()
	var names []string
	for _, vm := range []string{"vm-3", "vm-2", "vm-1"} {
		var text strings.Builder
		for line := range strings.Lines(troubleLog) {
			if before, after, ok := strings.Cut(line, vm+" "); ok && before != "" {
				text.WriteString(after)
			}
		}
		names = append(names, filepath.Join(dir, vm+".log"))
		if err := os.WriteFile(names[len(names)-1], []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	a := newLossAccount()
	if err := a.readLogs(nil, names); err != nil {
		t.Fatal(err)
	}
	a.resolve()
	for _, c := range []struct{ job, cause, dataCenter string }{
		{"again", causeLateEntryLost, "dc3"},
		{"twice", causeLateAnswerLost, "dc1"},
		{"dead", causeEntryLost, "dc3"},
		{"cut", causeCutOff + "caller_left", "dc1"},
	} {
		j := a.jobs[c.job]
		if got := j.cause(); got != c.cause || j.dataCenter != c.dataCenter {
			t.Errorf("job %s: %q at %s, want %q at %s", c.job, got, j.dataCenter, c.cause, c.dataCenter)
		}
	}
}

// dayWithTimeouts is a day of 200 jobs of 100 to 300 ms, each of one task, half of them
// on workers that take twice as long. Estimates deviate in both directions. timeoutOf
// returns the caller's timeout for a job with an objective.
func dayWithTimeouts(timeoutOf func(objective time.Duration) time.Duration) *lossAccount {
	a := newLossAccount()
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 200 {
		work := 100*time.Millisecond + time.Duration(i)*time.Millisecond
		estimate := time.Duration(float64(work) * []float64{0.6, 1.4, 1}[i%3])
		factor := float64(1 + i%2)
		a.addOneTaskJob(fmt.Sprint(i), begin.Add(time.Duration(i)*time.Second/10), estimate, timeoutOf(objectiveOf(work)), factor,
			time.Duration(float64(work)*factor))
	}
	return a
}

// objectiveOf returns the objective of a job with this work.
func objectiveOf(work time.Duration) time.Duration { return 60*time.Millisecond + 2*work }

// addOneTaskJob adds a job whose only task ran for took.
func (a *lossAccount) addOneTaskJob(id string, at time.Time, estimate, timeout time.Duration, factor float64, took time.Duration) {
	worker := fmt.Sprintf("w%v", factor)
	for _, l := range []logLine{
		{
			Time: at, Event: 920, Job: id, Queue: "q", Tasks: 1, CPU: 10, EstimateMS: estimate.Milliseconds(),
			ObjectiveMS: objectiveOf(estimate).Milliseconds(), TimeoutMS: timeout.Milliseconds(),
		},
		{Time: at, Event: 924, Job: id, Task: id + ".0", Worker: worker, Factor: factor},
		{Time: at.Add(took), Event: 925, Job: id, Task: id + ".0", Worker: worker, How: "done", TookMS: took.Milliseconds()},
		{Time: at.Add(took), Event: 922, Job: id, Status: "completed"},
	} {
		a.addLine("vm", l)
	}
}

// Guards against a wrong cause of a late answer. Neither the estimate nor the run time
// show whether the task had much work, the worker was slow, or the first request was
// lost; the callers' timeouts do, where they follow the objective.
func TestTimeoutsImplyCause(t *testing.T) {
	follows := func(objective time.Duration) time.Duration { return 1500*time.Millisecond + 3*objective }
	fixed := func(time.Duration) time.Duration { return 3 * time.Second }
	scattered := func(objective time.Duration) time.Duration {
		return 1500*time.Millisecond + 3*objective + time.Duration(objective.Milliseconds()*7919%2000)*time.Millisecond
	}
	begin := time.Date(2026, 1, 1, 0, 1, 0, 0, time.UTC)
	const work = 200 * time.Millisecond
	for _, c := range []struct {
		name      string
		timeoutOf func(time.Duration) time.Duration
		// estimate and took are those of the tested job, and shortBy is what its timeout
		// lacks.
		estimate, took, shortBy time.Duration
		cause                   string
		waitedBefore            time.Duration
	}{
		{"as estimated", follows, work, work, 0, causeInTime, 0},
		{"estimated too long", follows, 2 * work, work, 0, causeInTime, 0},
		{"long on a worker not known to be slow", follows, work, 5 * work, 0, causeLateOnWorker, 0},
		{"sent before", follows, work, work, 1300 * time.Millisecond, causeLateFirstUnlogged, 1300 * time.Millisecond},
		{"fixed timeouts: long work", fixed, work, 5 * work, 0, causeInTime, 0},
		{"scattered timeouts", scattered, work, 5 * work, 0, causeInTime, 0},
		{"fixed timeouts: a short one", fixed, work, work, 1300 * time.Millisecond, causeInTime, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := dayWithTimeouts(c.timeoutOf)
			a.addOneTaskJob("it", begin, c.estimate, c.timeoutOf(objectiveOf(work))-c.shortBy, 1, c.took)
			a.resolve()
			j := a.jobs["it"]
			if got := j.cause(); got != c.cause {
				t.Errorf("%q, want %q", got, c.cause)
			}
			if off := (j.waitedBefore - c.waitedBefore).Abs(); off > 100*time.Millisecond {
				t.Errorf("had waited %v, want %v", j.waitedBefore, c.waitedBefore)
			}
		})
	}
}

// A job that was refused or lost has no measured work: its timeout implies it.
func TestTimeoutImpliesWorkOfRefused(t *testing.T) {
	a := dayWithTimeouts(func(objective time.Duration) time.Duration { return 1500*time.Millisecond + 3*objective })
	at := time.Date(2026, 1, 1, 0, 1, 0, 0, time.UTC)
	const work, estimate = 250 * time.Millisecond, 120 * time.Millisecond
	timeout := 1500*time.Millisecond + 3*objectiveOf(work)
	a.addLine("vm", logLine{
		Time: at, Event: 920, Job: "it", Queue: "q", Tasks: 1, CPU: 10, EstimateMS: estimate.Milliseconds(),
		ObjectiveMS: objectiveOf(estimate).Milliseconds(), TimeoutMS: timeout.Milliseconds(),
	})
	a.addLine("vm", logLine{Time: at, Event: 922, Job: "it", Status: "refused", Why: "others_first"})
	a.resolve()
	j := a.jobs["it"]
	if off := math.Abs(float64(j.work)/float64(work) - 1); off > 0.05 {
		t.Errorf("work %v, want %v", j.work, work)
	}
	if off := math.Abs(float64(j.objective)/float64(objectiveOf(work)) - 1); off > 0.05 {
		t.Errorf("objective %v, want %v", j.objective, objectiveOf(work))
	}
}

func TestLossesWeigh(t *testing.T) {
	for _, c := range []struct {
		name  string
		worth map[string]string
		// want is the weight of each job: two of queue q, with one and three units of
		// work, and one of queue r.
		want []float64
		ok   bool
	}{
		{"queues together are worth the same", nil, []float64{0.325, 0.675, 1}, true},
		{"by worth", map[string]string{"q": "2", "r": "10"}, []float64{1.3, 2.7, 10}, true},
		{"a queue without worth", map[string]string{"q": "2"}, nil, false},
		{"not a number", map[string]string{"q": "2", "r": "much"}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newLossAccount()
			at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			for i, queue := range []string{"q", "q", "r"} {
				a.addLine("vm", logLine{
					Time: at, Event: 920, Job: fmt.Sprint(i), Queue: queue, Tasks: []int{1, 3, 7}[i], CPU: 1000,
					EstimateMS: 100, ObjectiveMS: 220,
				})
			}
			a.resolve()
			if err := a.setWorth(c.worth); (err == nil) != c.ok {
				t.Fatalf("value: %v", err)
			}
			w := a.jobWeights()
			for i, want := range c.want {
				if got := w[a.jobs[fmt.Sprint(i)]]; math.Abs(got-want) > 1e-9 {
					t.Errorf("job %d counts %v, want %v", i, got, want)
				}
			}
		})
	}
}

// Jobs that reached no process are in no log. The account counts them as lost if the
// callers report how many they sent.
func TestLossesCountAsked(t *testing.T) {
	a := newLossAccount()
	if err := readLog(strings.NewReader(dayLog), "", a.addLine); err != nil {
		t.Fatal(err)
	}
	a.resolve()
	before := a.total()["all"]
	a.reportedJobs = 8
	s := a.total()["all"]
	if s.jobs != 8 || math.Abs(s.causes[causeUnlogged]-0.25) > 1e-9 || math.Abs(s.served-before.served*0.75) > 1e-9 {
		t.Errorf("%+v", s)
	}
	sum := 0.0
	for _, v := range s.causes {
		sum += v
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("parts add up to %v", sum)
	}
}

// Guards against overlooking jobs of an outage: all processes lose power at once, and
// callers whose timeout is shorter than the outage never reach one, so that no log has
// their jobs. Their number follows from the rate of the others.
func TestLossesOfOutage(t *testing.T) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name string
		// ends and starts are the times of the two processes.
		ends, starts [2]time.Duration
		down         time.Duration
		unloggedJobs int
	}{
		{
			"all at once",
			[2]time.Duration{10 * time.Second, 10 * time.Second},
			[2]time.Duration{12 * time.Second, 11500 * time.Millisecond},
			1500 * time.Millisecond, 15,
		},
		{
			"one after the other",
			[2]time.Duration{10 * time.Second, 13 * time.Second},
			[2]time.Duration{12 * time.Second, 15 * time.Second},
			0, 0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newLossAccount()
			for i, vm := range []string{"vm-1", "vm-2"} {
				end, start := begin.Add(c.ends[i]), begin.Add(c.starts[i])
				a.addLine(vm, logLine{Time: begin, Event: 100, ID: vm + "/1"})
				a.addLine(vm, logLine{Time: end, Event: 802})
				a.addLine(vm, logLine{Time: start, Event: 811})
				a.addLine(vm, logLine{Time: start, Event: 100, ID: vm + "/2"})
				a.addLine(vm, logLine{Time: begin.Add(31 * time.Second), Event: 802})
			}
			// Ten jobs a second arrive, except while no process runs.
			for at := time.Duration(0); at <= 30*time.Second; at += time.Second / 10 {
				if c.down == 0 || at < c.ends[0] || at >= c.starts[1] {
					a.addLine("vm-2", logLine{Time: begin.Add(at), Event: 920, Job: fmt.Sprint(at), Queue: "q", Tasks: 1, CPU: 1, EstimateMS: 100, ObjectiveMS: 200})
				}
			}
			a.resolve()
			var down time.Duration
			for _, o := range a.outages() {
				down += o.until.Sub(o.from)
			}
			if down != c.down {
				t.Errorf("down for %v, want %v", down, c.down)
			}
			if n := a.unloggedJobs(); n < c.unloggedJobs-1 || n > c.unloggedJobs+1 {
				t.Errorf("%d unlogged, want %d", n, c.unloggedJobs)
			}
			if s := a.total()["all"]; s.jobs != len(a.jobs)+a.unloggedJobs() || (s.causes[causeUnloggedByRate] > 0) != (c.unloggedJobs > 0) {
				t.Errorf("%+v", s)
			}
		})
	}
}

func TestLossesPlot(t *testing.T) {
	a := newLossAccount()
	if err := readLog(strings.NewReader(troubleLog), "", a.addLine); err != nil {
		t.Fatal(err)
	}
	a.resolve()
	sum := 0.0
	layers := a.layers()
	for _, l := range layers {
		for _, v := range l.parts {
			sum += v
		}
	}
	if n := float64(len(layers[0].parts)); math.Abs(sum-n) > 1e-9 {
		t.Errorf("layers add up to %v over %v seconds", sum, n)
	}
	for _, format := range []string{"svg", "png"} {
		path := filepath.Join(t.TempDir(), "day."+format)
		if err := a.plot(path); err != nil {
			t.Fatal(err)
		}
		if f, err := os.Stat(path); err != nil || f.Size() == 0 {
			t.Errorf("%s: %v, %v", format, f, err)
		}
	}
}
