package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"snipehub.example/cell"
	"snipehub.example/internal/program"
	"snipehub.example/model"
)

// comparedPolicies are the planner's policies that are compared: the default, and the
// default with one part changed.
var comparedPolicies = []struct {
	name   string
	policy cell.Policy
}{
	{"default", cell.Policy{}},
	{"nothing put aside", cell.Policy{EjectAfter: -1}},
	{"no waiting for faster", cell.Policy{WaitForFaster: cell.Off}},
	{"no looking ahead", cell.Policy{LookAhead: cell.Off}},
	{"any holder", cell.Policy{FewHolders: cell.Off}},
	{"margin 0.8", cell.Policy{Margin: 0.8}},
	{"by objective", cell.Policy{Order: cell.ByObjective}},
	{"by work", cell.Policy{Order: cell.ByWork}},
	{"by rank and work", cell.Policy{Order: cell.ByRankWork}},
}

func modelCommand() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "play days in virtual time, with workers under leases, and compare the planner's policies",
		Description: "Each row is a policy: the part of all worth that callers earned over the seeds with\n" +
			"its standard error, the mean difference to the default on the same seeds with its\n" +
			"standard error, the worth of the two worst windows, and what was late and refused.",
		Flags: []cli.Flag{
			siteFlag(),
			&cli.StringFlag{Name: "day", Value: "busy", Usage: "calm, busy, full or lossy"},
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "how many"},
			&cli.StringFlag{Name: "plots", Usage: "write a plot of the worth by seed into this directory"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			site, err := siteFromFlag(c)
			if err != nil {
				return err
			}
			i := slices.IndexFunc(model.Days, func(d model.Day) bool { return d.Name == c.String("day") })
			if i < 0 {
				return cli.Exit(fmt.Sprintf("no day %q", c.String("day")), program.ExitUsage)
			}
			day := model.Days[i]
			fmt.Fprintf(c.Root().Writer, "%s, %s: %s; %d seeds\n", c.String("site"), day.Name, day.Summary, c.Int("seeds"))
			curves := comparePolicies(c.Root().Writer, site, day, c.Int("seeds"))
			if dir := c.String("plots"); dir != "" {
				d := drawing{
					name: c.String("site") + "-" + day.Name + "-policies", title: day.Summary,
					x: "seed", y: "worth", curves: curves,
				}
				return d.save(dir, "svg")
			}
			return nil
		},
	}
}

// comparePolicies plays the day with each policy and writes a table.
func comparePolicies(w io.Writer, site func() model.Config, day model.Day, seeds int) []curve {
	fmt.Fprintf(w, "%-24s %-16s %-18s %-8s %-8s %-8s %s\n", "policy", "worth", "to default", "worst", "late", "refused", "by kind")
	var curves []curve
	var baseline []float64
	for _, p := range comparedPolicies {
		var worth, worst []float64
		late, refused := 0, 0
		kinds := make(map[string]float64)
		began := time.Now()
		cv := curve{name: p.name}
		for seed := 1; seed <= seeds; seed++ {
			cfg := site()
			cfg.Seed, cfg.Policy = uint64(seed), p.policy
			day.Apply(&cfg)
			r := model.New(cfg).Run()
			worth, worst = append(worth, r.Worth), append(worst, r.WorstWindows)
			cv.points = append(cv.points, Point{X: float64(seed), Y: r.Worth})
			for _, t := range r.Classes {
				late, refused = late+t.Late, refused+t.Refused
				kinds[t.Name] += t.Share() / float64(seeds)
			}
		}
		curves = append(curves, cv)
		if baseline == nil {
			baseline = worth
		}
		mean, err := meanAndError(worth)
		gain, gainErr := meanAndError(differences(worth, baseline))
		low, _ := meanAndError(worst)
		fmt.Fprintf(w, "%-24s %.3f ± %.3f    %+.4f ± %.4f   %.3f    %-8d %-8d %s (%.0f s)\n", p.name, mean, err, gain, gainErr, low, late, refused, formatKinds(kinds), time.Since(began).Seconds())
	}
	return curves
}

func formatKinds(kinds map[string]float64) string {
	var out []string
	for k, v := range kinds {
		out = append(out, fmt.Sprintf("%s %.2f", k, v))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// differences returns the differences of paired values, v minus base.
func differences(v, base []float64) []float64 {
	out := make([]float64, len(v))
	for i := range v {
		out[i] = v[i] - base[i]
	}
	return out
}

// meanAndError returns the mean and its standard error.
func meanAndError(v []float64) (mean, err float64) {
	for _, x := range v {
		mean += x / float64(len(v))
	}
	for _, x := range v {
		err += (x - mean) * (x - mean)
	}
	if len(v) > 1 {
		err = math.Sqrt(err / float64(len(v)-1) / float64(len(v)))
	}
	return mean, err
}
