package load

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// quantity is one measurement of a report that Compare compares.
type quantity struct {
	name    string
	valueOf func(r Report) float64
}

var quantities = []quantity{
	{"response over ideal, p50", func(r Report) float64 { return r.Ratio.P50 }},
	{"response over ideal, p90", func(r Report) float64 { return r.Ratio.P90 }},
	{"response over ideal, p99", func(r Report) float64 { return r.Ratio.P99 }},
	{"goodput, tasks/s", func(r Report) float64 { return slices.Max(append([]float64{0}, r.Goodput...)) }},
	{"jobs done, share", func(r Report) float64 { return float64(r.Jobs.Done) / float64(max(r.Jobs.Offered, 1)) }},
	{"placement messages a task", func(r Report) float64 { return r.Messages.Placement }},
	{"messages a task beyond one", func(r Report) float64 { return r.Messages.Total }},
	{"fairness (Jain)", func(r Report) float64 { return r.Fairness.Jain }},
	{"dispatcher µs a task", func(r Report) float64 { return r.Cost.TaskMicros }},
}

// Difference compares one quantity over the repeated runs of two files.
type Difference struct {
	Group, Quantity string
	// A and B are means of RunsA and RunsB runs.
	A, B         float64
	RunsA, RunsB int
	// WithinNoise is set if the ranges of the repeated runs overlap, so that the
	// difference may be random. It is also set if a side has a single run, whose noise is
	// unknown.
	WithinNoise bool
}

// Ratio returns B over A, or 0 if A is 0.
func (d Difference) Ratio() float64 {
	if d.A == 0 {
		return 0
	}
	return d.B / d.A
}

// Compare compares the runs of two files by deployment and scenario, and also by policy
// unless each file has a single one.
func Compare(a, b []Report) []Difference {
	key := groupKey(a, b)
	left, right := groups(a, key), groups(b, key)
	var names []string
	for k := range left {
		if len(right[k]) > 0 {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	var out []Difference
	for _, k := range names {
		for _, q := range quantities {
			out = append(out, newDifference(k, q, left[k], right[k]))
		}
	}
	return out
}

func newDifference(group string, q quantity, a, b []Report) Difference {
	lowA, meanA, highA := rangeAndMean(a, q.valueOf)
	lowB, meanB, highB := rangeAndMean(b, q.valueOf)
	return Difference{
		Group: group, Quantity: q.name, A: meanA, B: meanB, RunsA: len(a), RunsB: len(b),
		WithinNoise: len(a) < 2 || len(b) < 2 || lowA <= highB && lowB <= highA,
	}
}

func rangeAndMean(all []Report, valueOf func(r Report) float64) (low, mean, high float64) {
	low, high = valueOf(all[0]), valueOf(all[0])
	for _, r := range all {
		v := valueOf(r)
		low, high = min(low, v), max(high, v)
		mean += v / float64(len(all))
	}
	return low, mean, high
}

func groupKey(a, b []Report) func(r Report) string {
	policies := func(all []Report) int {
		seen := make(map[string]bool)
		for _, r := range all {
			seen[r.Policy] = true
		}
		return len(seen)
	}
	if policies(a) == 1 && policies(b) == 1 {
		return func(r Report) string { return r.Deployment + "/" + r.Scenario }
	}
	return func(r Report) string { return r.Deployment + "/" + r.Scenario + "/" + r.Policy }
}

func groups(all []Report, key func(r Report) string) map[string][]Report {
	m := make(map[string][]Report)
	for _, r := range all {
		m[key(r)] = append(m[key(r)], r)
	}
	return m
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "print the ratios of two files of reports, and what lies within the noise of their runs",
		ArgsUsage: "A.json B.json",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return errors.New("compare needs two files")
			}
			a, err := ReadReports(c.Args().Get(0))
			if err != nil {
				return err
			}
			b, err := ReadReports(c.Args().Get(1))
			if err != nil {
				return err
			}
			writeComparison(c.Root().Writer, Compare(a, b))
			return nil
		},
	}
}

func writeComparison(w io.Writer, all []Difference) {
	group := ""
	for _, d := range all {
		if d.Group != group {
			group = d.Group
			fmt.Fprintf(w, "%s (%d runs and %d)\n", group, d.RunsA, d.RunsB)
		}
		fmt.Fprintf(w, "  %-28s %10.4g %10.4g  ratio %6.3f  %s\n", d.Quantity, d.A, d.B, d.Ratio(), d.remark())
	}
}

func (d Difference) remark() string {
	switch {
	case d.RunsA < 2 || d.RunsB < 2:
		return "noise not known: one run"
	case d.WithinNoise:
		return "within the noise"
	}
	return "differs"
}
