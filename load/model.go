package load

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"snipehub.example/cell"
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
	{"admission unlimited", cell.Policy{Admission: cell.Off}},
	{"margin 0.8", cell.Policy{Margin: 0.8}},
	{"by objective", cell.Policy{Order: cell.ByObjective}},
	{"by work", cell.Policy{Order: cell.ByWork}},
	{"by rank and work", cell.Policy{Order: cell.ByRankWork}},
}

func modelCommand() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "play days in virtual time, with workers under leases, and compare the planner's policies",
		Description: "Each row is a policy: the part of the worth that callers earned by the site's goal over the seeds with\n" +
			"its standard error, the mean difference to the default on the same seeds with its\n" +
			"standard error, the worth of the two worst windows, and what was late and refused.",
		Flags: []cli.Flag{
			siteOrFileFlag(),
			daysFlag(),
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "how many"},
			&cli.StringSliceFlag{Name: "policy", Usage: "only these, besides the default"},
			&cli.StringFlag{Name: "plots", Usage: "write plots of the worth by seed into this directory"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := findPlayedSite(c.String("site"), c.StringSlice("day"))
			if err != nil {
				return err
			}
			for _, day := range s.days {
				fmt.Fprintf(c.Root().Writer, "%s, %s: %s; %d seeds\n", s.name, day.name, cmp.Or(day.summary, "standard day"), c.Int("seeds"))
				curves := comparePolicies(c.Root().Writer, s.goal, day, c.Int("seeds"), c.StringSlice("policy"))
				if dir := c.String("plots"); dir != "" {
					d := drawing{name: s.name + "-" + day.name + "-policies", title: cmp.Or(day.summary, day.name), x: "seed", y: "worth", curves: curves}
					if err := d.save(dir, "svg"); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
}

// comparePolicies plays the day with each policy, or only with those named and the default,
// and writes a table. The worth is weighed by the site's goal.
func comparePolicies(w io.Writer, goal model.Parts, day playedDay, seeds int, only []string) []curve {
	fmt.Fprintf(w, "%-24s %-16s %-18s %-8s %-8s %-8s %s\n", "policy", "worth", "to default", "worst", "late", "refused", "by kind")
	var curves []curve
	var baseline []float64
	for i, p := range comparedPolicies {
		if i > 0 && len(only) > 0 && !slices.Contains(only, p.name) {
			continue
		}
		var worth, worst []float64
		late, refused := 0, 0
		kinds := make(map[string]float64)
		began := time.Now()
		cv := curve{name: p.name}
		for seed := range seeds {
			cfg := day.config(seed)
			cfg.Policy = p.policy
			r := model.New(cfg).Run()
			earned := r.Parts.By(goal)
			worth, worst = append(worth, earned), append(worst, r.WorstWindows)
			cv.points = append(cv.points, Point{X: float64(seed), Y: earned})
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
