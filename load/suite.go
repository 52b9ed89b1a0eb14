package load

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// suiteRun is a deployment and a scenario of the suite.
type suiteRun struct {
	deployment, scenario string
}

// defaultSuiteRuns are the runs by which the policies are compared. With four policies
// they take about six minutes.
var defaultSuiteRuns = []suiteRun{
	{"lakeshore", "steady80"},
	{"lakeshore", "skew"},
	{"lakeshore", "unlike"},
	{"lakeshore", "overload"},
	{"teranga", "steady80"},
	{"teranga", "rack"},
}

// These marks enclose the part of a page that "suite" and "capacity" replace by their
// tables.
const (
	pageBegin = "<!-- written by snipeload: begin -->"
	pageEnd   = "<!-- written by snipeload: end -->"
)

func suiteCommand() *cli.Command {
	return &cli.Command{
		Name:  "suite",
		Usage: "compare the policies by the main scenarios, and write reports, tables and plots",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Value: []string{"random", "two", "share", "hand"}},
			&cli.StringSliceFlag{Name: "scenario", Usage: "DEPLOYMENT/SCENARIO, in place of the main ones"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "out", Value: "suite.json", Usage: "where the reports go"},
			&cli.StringFlag{Name: "page", Usage: "Markdown page whose marked part is replaced by the tables"},
			&cli.StringFlag{Name: "plots", Usage: "directory of the plots; none without it"},
			&cli.StringFlag{Name: "format", Value: "svg", Usage: "of the plots"},
		},
		Action: suite,
	}
}

func suite(ctx context.Context, c *cli.Command) error {
	runs, err := parseSuiteRuns(c.StringSlice("scenario"))
	if err != nil {
		return err
	}
	var all []Report
	began := time.Now()
	for _, sr := range runs {
		for _, policy := range c.StringSlice("policy") {
			r, err := sr.run(ctx, Options{Policy: policy, Seed: c.Uint64("seed")})
			if err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, r)
			all = append(all, r)
		}
	}
	fmt.Fprintf(c.Root().Writer, "%d runs in %v\n", len(all), time.Since(began).Round(time.Second))
	if err := writeReports(c.String("out"), all); err != nil {
		return err
	}
	if dir := c.String("plots"); dir != "" {
		if err := savePlots(all, dir, []string{c.String("format")}); err != nil {
			return err
		}
	}
	if page := c.String("page"); page != "" {
		text := markdown(all)
		if dir := c.String("plots"); dir != "" {
			text += plotLinks(all, page, dir, c.String("format"))
		}
		if err := replaceInPage(page, text); err != nil {
			return err
		}
	}
	return checkSafety(all)
}

func parseSuiteRuns(names []string) ([]suiteRun, error) {
	if len(names) == 0 {
		return defaultSuiteRuns, nil
	}
	var out []suiteRun
	for _, n := range names {
		d, s := filepath.Split(n)
		if d == "" {
			return nil, errors.Errorf("%s: must be DEPLOYMENT/SCENARIO", n)
		}
		out = append(out, suiteRun{filepath.Clean(d), s})
	}
	return out, nil
}

func (r suiteRun) run(ctx context.Context, o Options) (Report, error) {
	d, err := ReadDeployment(r.deployment)
	if err != nil {
		return Report{}, err
	}
	s, err := FindScenario(r.scenario)
	if err != nil {
		return Report{}, err
	}
	return runWithTimeout(ctx, d, s, o)
}

// markdown returns the reports as tables, one for each deployment and scenario in the
// order in which they were run.
func markdown(all []Report) string {
	var b bytes.Buffer
	m := all[0].Machine
	fmt.Fprintf(&b, "%s, %d cores, %d GB, %s; commit %s, %s, seed %d.\n", m.CPU, m.Cores, m.MemoryGB, m.Go,
		all[0].Commit, all[0].At.Format("2006-01-02 15:04 UTC"), all[0].Setting.Seed)
	group := ""
	for _, r := range all {
		if g := r.Deployment + ", " + r.Scenario; g != group {
			group = g
			s := r.Setting
			fmt.Fprintf(&b, "\n### %s\n\n%s; %d dispatchers, %d cores, capacity %.0f tasks/s.\n\n", g, r.Title, s.Dispatchers, s.Cores, s.Capacity)
			b.WriteString("| policy | p50 | p90 | p99 | goodput by phase | jobs done / failed / refused / unknown / lost | placement messages | all messages | Jain | µs a task | must be 0 | load average |\n")
			b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
		}
		j := r.Jobs
		fmt.Fprintf(&b, "| %s | %.3f | %.3f | %.3f | %.0f | %d / %d / %d / %d / %d | %.4f | %.4f | %.3f | %.0f | %s | %.1f |\n",
			r.Policy, r.Ratio.P50, r.Ratio.P90, r.Ratio.P99, r.Goodput, j.Done, j.Failed, j.Refused, j.Unknown, j.Lost,
			r.Messages.Placement, r.Messages.Total, r.Fairness.Jain, r.Cost.TaskMicros, r.Safety.summary(), r.Machine.Load)
	}
	return b.String()
}

// plotLinks returns Markdown images of the reports' plots, with paths relative to the
// page.
func plotLinks(all []Report, page, dir, format string) string {
	rel, err := filepath.Rel(filepath.Dir(page), dir)
	if err != nil {
		rel = dir
	}
	text := "\n### Plots\n\n"
	for _, d := range drawings(all) {
		text += fmt.Sprintf("![%s](%s)\n", d.title, filepath.ToSlash(filepath.Join(rel, d.name+"."+format)))
	}
	return text
}

func (s Safety) summary() string {
	if !s.Violated() {
		return "0"
	}
	return fmt.Sprintf("double %d, lost %d, ran %d, wrong %d, conflicts %d",
		s.DoubleStarts, s.LostAnswers, s.NotRunButRan, s.WrongAnswers, s.Conflicts)
}

// replaceInPage replaces the text between the marks of a page.
func replaceInPage(path, text string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "suite")
	}
	before, rest, ok := bytes.Cut(b, []byte(pageBegin))
	_, after, closed := bytes.Cut(rest, []byte(pageEnd))
	if !ok || !closed {
		return errors.Errorf("%s: has no marked part", path)
	}
	out := fmt.Sprintf("%s%s\n\n%s\n%s%s", before, pageBegin, text, pageEnd, after)
	if err := os.WriteFile(path, []byte(out), 0o644); err != nil {
		return errors.Wrap(err, "suite")
	}
	return nil
}
