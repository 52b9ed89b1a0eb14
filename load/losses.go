package load

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "say from the logs of all processes what was not served in time, and why",
		ArgsUsage: "[FILE ...] (standard input without any)",
		Description: "Each job counts by the work that it turned out to be, and has one cause, so the parts\n" +
			"add up to the whole. served is what was in time, and the part that late answers earn.\n" +
			"Where the callers' limits follow the objectives, they tell what the work was and which\n" +
			"callers had sent before, to a process that was not there. Jobs of which no request ever\n" +
			"reached a process are in no log: in the whole, they count by the rate of the day for the\n" +
			"times in which no process ran, or as the callers say.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "windows", Value: 6, Usage: "how many of the worst windows of two seconds to show"},
			&cli.FloatFlag{Name: "late", Value: defaultLateWorth, Usage: "the part that an answer earns which is late, up to three objectives"},
			&cli.StringMapFlag{Name: "worth", Usage: "QUEUE=NUMBER, what a job of a queue is worth, for each queue; without it, all queues together are worth the same"},
			&cli.IntFlag{Name: "asked", Usage: "how many jobs the callers say they sent; those in no log count as lost in the whole"},
			&cli.StringFlag{Name: "plot", Usage: "FILE.svg or FILE.png: what was served and lost over the seconds of the day"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			a := newLossAccount()
			a.lateWorth, a.reportedJobs = c.Float("late"), c.Int("asked")
			if err := a.readLogs(c.Root().Reader, c.Args().Slice()); err != nil {
				return err
			}
			a.resolve()
			if err := a.setWorth(c.StringMap("worth")); err != nil {
				return err
			}
			a.print(c.Root().Writer, c.Int("windows"))
			if path := c.String("plot"); path != "" {
				return a.plot(path)
			}
			return nil
		},
	}
}

// readLogs reads the files, or r if there are none.
func (a *lossAccount) readLogs(r io.Reader, files []string) error {
	if len(files) == 0 {
		return readLog(r, "", a.addLine)
	}
	for _, name := range files {
		if err := a.readFile(name); err != nil {
			return err
		}
	}
	return nil
}

// setWorth sets what a job of each queue is worth.
func (a *lossAccount) setWorth(worth map[string]string) error {
	if len(worth) == 0 {
		return nil
	}
	a.worth = make(map[string]float64, len(worth))
	for queue, text := range worth {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v < 0 {
			return errors.Errorf("losses: worth of %s: %q", queue, text)
		}
		a.worth[queue] = v
	}
	for _, j := range a.jobs {
		if _, ok := a.worth[j.queue]; !ok {
			return errors.Errorf("losses: no worth of %s", j.queue)
		}
	}
	return nil
}

// lossShare is the result of a group of jobs, as shares of what they are worth.
type lossShare struct {
	jobs   int
	served float64
	causes map[string]float64
}

// splitBy divides the jobs into groups, and each group by cause. The causes of a group
// add up to 1.
func (a *lossAccount) splitBy(group func(*loggedJob) string) map[string]*lossShare {
	out, whole := make(map[string]*lossShare), make(map[string]float64)
	for j, w := range a.jobWeights() {
		g := group(j)
		if out[g] == nil {
			out[g] = &lossShare{causes: make(map[string]float64)}
		}
		out[g].jobs++
		out[g].served += w * j.credit(a.lateWorth)
		out[g].causes[j.cause()] += w
		whole[g] += w
	}
	for g, s := range out {
		s.served /= whole[g]
		for c := range s.causes {
			s.causes[c] /= whole[g]
		}
	}
	return out
}

// lossWindow is the length of the windows of which the worst are shown.
const lossWindow = 2 * time.Second

// firstSent returns when the first job was sent.
func (a *lossAccount) firstSent() time.Time {
	var first time.Time
	for _, j := range a.jobs {
		if first.IsZero() || j.sent().Before(first) {
			first = j.sent()
		}
	}
	return first
}

// total returns the share of all jobs together, under the key "all". It includes jobs that
// callers sent but no log contains.
func (a *lossAccount) total() map[string]*lossShare {
	parts := a.splitBy(func(*loggedJob) string { return "all" })
	s, jobs, cause := parts["all"], a.reportedJobs, causeUnlogged
	if jobs == 0 {
		jobs, cause = len(a.jobs)+a.unloggedJobs(), causeUnloggedByRate
	}
	if s == nil || jobs <= s.jobs {
		return parts
	}
	part := float64(s.jobs) / float64(jobs)
	s.jobs = jobs
	s.served *= part
	for c := range s.causes {
		s.causes[c] *= part
	}
	s.causes[cause] = 1 - part
	return parts
}

func (a *lossAccount) print(w io.Writer, windows int) {
	printTable(w, "whole", a.total(), 1, byName)
	printTable(w, "queue", a.splitBy(func(j *loggedJob) string { return j.queue }), maxTableRows, byName)
	printTable(w, "data centre", a.splitBy(func(j *loggedJob) string { return j.dataCenter }), maxTableRows, byName)
	printTable(w, "tasks", a.splitBy(func(j *loggedJob) string { return taskRange(j.tasks) }), maxTableRows, byName)
	begin := a.firstSent()
	seconds := a.splitBy(func(j *loggedJob) string {
		return fmt.Sprintf("%3d", int(j.sent().Sub(begin)/lossWindow)*int(lossWindow/time.Second))
	})
	printTable(w, "from second", seconds, windows, byLoss)
}

// taskRange returns the group of jobs with that number of tasks.
func taskRange(tasks int) string {
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

// byName orders the rows of a table by name.
func byName(_ map[string]*lossShare) func(x, y string) int { return cmp.Compare[string] }

// byLoss orders the rows of a table by the share served, the smallest first.
func byLoss(s map[string]*lossShare) func(x, y string) int {
	return func(x, y string) int {
		return cmp.Or(cmp.Compare(s[x].served, s[y].served), cmp.Compare(x, y))
	}
}

const (
	// maxTableRows is the number of rows that a table shows at most.
	maxTableRows = 20
	// maxRowCauses is the number of causes that a row shows; the rest are added up.
	maxRowCauses = 5
)

// printTable writes a table of the shares served and lost.
func printTable(w io.Writer, title string, parts map[string]*lossShare, maxRows int, order func(map[string]*lossShare) func(x, y string) int) {
	names := slices.SortedFunc(maps.Keys(parts), order(parts))
	fmt.Fprintf(w, "%-14s %6s %8s %8s  not in time\n", title, "jobs", "served", causeInTime)
	for _, g := range names[:min(maxRows, len(names))] {
		s := parts[g]
		fmt.Fprintf(w, "%-14s %6d %8.3f %8.3f  %s\n", g, s.jobs, s.served, s.causes[causeInTime], s.formatLosses())
	}
	fmt.Fprintln(w)
}

// formatLosses lists the causes of what was not in time, the largest share first.
func (s *lossShare) formatLosses() string {
	names := largestLosses(s.causes)
	out, rest := "", 0.0
	for i, n := range names {
		if i >= maxRowCauses {
			rest += s.causes[n]
			continue
		}
		out += fmt.Sprintf("%.3f %s; ", s.causes[n], n)
	}
	if rest > 0 {
		out += fmt.Sprintf("%.3f others", rest)
	}
	return out
}

// largestLosses returns the causes except "in time", the largest share first.
func largestLosses(causes map[string]float64) []string {
	lost := maps.Clone(causes)
	delete(lost, causeInTime)
	return slices.SortedFunc(maps.Keys(lost), func(x, y string) int {
		return cmp.Or(cmp.Compare(lost[y], lost[x]), cmp.Compare(x, y))
	})
}
