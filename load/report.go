package load

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Report is the result of one run.
type Report struct {
	Scenario   string    `json:"scenario"`
	Title      string    `json:"title"`
	Deployment string    `json:"deployment"`
	Policy     string    `json:"policy"`
	At         time.Time `json:"at"`
	Commit     string    `json:"commit"`
	Machine    Machine   `json:"machine"`
	Setting    Setting   `json:"setting"`

	Jobs  Counts `json:"jobs"`
	Tasks int    `json:"tasks"`
	// Ratio is the response time over the ideal one, and Response the response time in
	// milliseconds, of done jobs. Jobs that arrived in the first warmUp are left out.
	Ratio    Quantiles `json:"ratio"`
	Response Quantiles `json:"response_ms"`
	// Sizes is Ratio by the size of jobs.
	Sizes []SizeClass `json:"sizes"`
	// Goodput is, for each phase, the tasks per second of done jobs that ended in it,
	// without rampUp at the start of a long phase.
	Goodput []float64 `json:"goodput"`
	// Refusals counts the jobs whose final answer was a refusal, by its code. Besides the
	// refused jobs these can be unknown and cancelled ones.
	Refusals map[string]int `json:"refusals"`
	Messages Messages       `json:"messages"`
	Fairness Fairness       `json:"fairness"`
	Safety   Safety         `json:"safety"`
	Cost     Cost           `json:"cost"`
	Seconds  []Second       `json:"seconds"`
	// CDF holds points of the distribution of the ratio, for plots.
	CDF []Point `json:"cdf"`
}

// Machine describes the machine of a run.
type Machine struct {
	CPU      string `json:"cpu"`
	Cores    int    `json:"cores"`
	MemoryGB int    `json:"memory_gb"`
	Go       string `json:"go"`
	// Load is the machine's load average before the run. Above a few, other programs ran
	// at the same time.
	Load float64 `json:"load"`
}

// Setting holds the parameters of a run.
type Setting struct {
	Dispatchers int     `json:"dispatchers"`
	Connections int     `json:"connections"`
	JobSlots    int     `json:"job_slots"`
	Workers     int     `json:"workers"`
	Cores       int     `json:"cores"`
	Capacity    float64 `json:"capacity"`
	Seed        uint64  `json:"seed"`
	Seconds     float64 `json:"seconds"`
}

// Counts holds the number of jobs by their result for the caller.
type Counts struct {
	Offered   int `json:"offered"`
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Refused   int `json:"refused"`
	Unknown   int `json:"unknown"`
	Cancelled int `json:"cancelled"`
	Lost      int `json:"lost"`
}

// Quantiles holds the count, three quantiles and the maximum of a distribution.
type Quantiles struct {
	N   int64   `json:"n"`
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// SizeClass is the ratio of the jobs of up to UpTo tasks that exceed the bound of the
// class before.
type SizeClass struct {
	UpTo  int       `json:"up_to"`
	Ratio Quantiles `json:"ratio"`
}

// Messages counts exchanges, over all tasks, beyond the one that each task needs. An
// exchange is a message with its answer.
type Messages struct {
	// Refusals are attempts that a backend server refused.
	Refusals int64 `json:"refusals"`
	// Dials are attempts that reached no backend server.
	Dials int64 `json:"dials"`
	// Handovers are calls between dispatchers about tasks handed over: the batches, and
	// the queries for their results.
	Handovers int64 `json:"handovers"`
	// Forwards are callers' calls forwarded to the owner.
	Forwards int64 `json:"forwards"`
	// Repeats are submissions that callers sent again.
	Repeats    int64 `json:"repeats"`
	Heartbeats int64 `json:"heartbeats"`
	// Log is reads and appends at the platform's log, and reads of its VM list.
	Log int64 `json:"log"`
	// Placement is refusals, dials and handovers per task; Total is all of the above per
	// task.
	Placement float64 `json:"placement"`
	Total     float64 `json:"total"`
	// Partial is set if dispatchers were killed, whose own counts are lost.
	Partial bool `json:"partial,omitempty"`
}

// Fairness compares the results of the callers.
type Fairness struct {
	// Jain is Jain's index of the callers' shares of done tasks among those that they
	// offered: 1 if all are equal, 1/callers if one has everything.
	Jain float64 `json:"jain"`
	// Spread is the largest of the callers' median ratios over the smallest.
	Spread  float64            `json:"spread"`
	Callers map[string]float64 `json:"callers"`
}

// Safety counts violations of the guarantees. All must be 0 in each run.
type Safety struct {
	// DoubleStarts are tasks that backend servers started more than once.
	DoubleStarts int `json:"double_starts"`
	// LostAnswers are jobs without a final answer when the caller's timeout expired.
	LostAnswers int `json:"lost_answers"`
	// NotRunButRan are tasks that were reported to the caller as not run, but that a
	// backend server started.
	NotRunButRan int `json:"not_run_but_ran"`
	// WrongAnswers are done jobs in which the answer of a task is missing or another
	// task's.
	WrongAnswers int `json:"wrong_answers"`
	// Conflicts are resubmissions whose answer differs from the first.
	Conflicts int `json:"conflicts"`
}

// Violated reports whether any count is above 0.
func (s Safety) Violated() bool { return s != Safety{} }

// Cost is the processor time and memory that the processes used.
type Cost struct {
	// TaskMicros is the dispatchers' processor time in microseconds per task, including
	// everything else that they did in the run.
	TaskMicros float64 `json:"task_micros"`
	// DispatcherMB is the largest resident memory of a dispatcher at the end.
	DispatcherMB float64 `json:"dispatcher_mb"`
	// StandCores and DispatcherCores are the average numbers of cores in use.
	StandCores      float64 `json:"stand_cores"`
	DispatcherCores float64 `json:"dispatcher_cores"`
}

// Second holds the counts of one second of a run.
type Second struct {
	// Offered counts the tasks of jobs that arrived in the second, Refused those among
	// them that were refused, and Done the tasks of done jobs that ended in it.
	Offered int `json:"offered"`
	Done    int `json:"done"`
	Refused int `json:"refused"`
	// P50 is the median ratio of the done jobs that arrived in the second.
	P50 float64 `json:"p50"`
}

// Point is a point of a curve.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// String returns the report as a table for people.
func (r Report) String() string {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%-20s %s\n", name, fmt.Sprintf(format, args...))
	}
	s := r.Setting
	line("scenario", "%s on %s, policy %s (commit %s)", r.Scenario, r.Deployment, r.Policy, r.Commit)
	line("deployment", "%d dispatchers of %d connections, %d backend servers, %d cores; capacity %.0f tasks/s",
		s.Dispatchers, s.Connections, s.Workers, s.Cores, s.Capacity)
	j := r.Jobs
	line("jobs", "%d offered, %d done, %d failed, %d refused, %d unknown, %d cancelled, %d lost; %d tasks",
		j.Offered, j.Done, j.Failed, j.Refused, j.Unknown, j.Cancelled, j.Lost, r.Tasks)
	line("response over ideal", "p50 %.3f, p90 %.3f, p99 %.3f, max %.2f", r.Ratio.P50, r.Ratio.P90, r.Ratio.P99, r.Ratio.Max)
	line("response", "p50 %.0f ms, p90 %.0f ms, p99 %.0f ms", r.Response.P50, r.Response.P90, r.Response.P99)
	for _, c := range r.Sizes {
		line("up to "+itoa(c.UpTo)+" tasks", "%d jobs: p50 %.3f, p90 %.3f, p99 %.3f", c.Ratio.N, c.Ratio.P50, c.Ratio.P90, c.Ratio.P99)
	}
	line("goodput", "%.0f tasks/s by phase", r.Goodput)
	line("refusals", "%s", formatRefusals(r.Refusals))
	m := r.Messages
	line("messages", "%.4f a task beyond one, of which placement %.4f: refusals %d, dials %d, hand-overs %d, forwards %d, repeats %d, heartbeats %d, log %d",
		m.Total, m.Placement, m.Refusals, m.Dials, m.Handovers, m.Forwards, m.Repeats, m.Heartbeats, m.Log)
	line("fairness", "Jain %.3f, medians of callers differ by %.2f times; done share of each: %s", r.Fairness.Jain, r.Fairness.Spread, formatShares(r.Fairness.Callers))
	f := r.Safety
	line("must be 0", "double starts %d, lost answers %d, not run but ran %d, wrong answers %d, conflicts %d",
		f.DoubleStarts, f.LostAnswers, f.NotRunButRan, f.WrongAnswers, f.Conflicts)
	c := r.Cost
	line("cost", "%.0f µs of dispatcher a task, %.2f cores in dispatchers, %.2f in stand-ins, %.0f MB at most", c.TaskMicros, c.DispatcherCores, c.StandCores, c.DispatcherMB)
	return b.String()
}

func formatShares(m map[string]float64) string {
	var out []string
	for c, v := range m {
		out = append(out, fmt.Sprintf("%s %.3f", c, v))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

func formatRefusals(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	var out []string
	for c, n := range m {
		out = append(out, fmt.Sprintf("%s %d", c, n))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}
