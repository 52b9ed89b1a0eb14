package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"snipehub.example/internal/program"
	"snipehub.example/model"
	"snipehub.example/platform/days"
)

func boundCommand() *cli.Command {
	return &cli.Command{
		Name:  "bound",
		Usage: "compare what is earned in virtual time with what nobody can surpass",
		Description: "Each row is a kind of day, or a standard day of a site file, on average over the seeds: the\n" +
			"part of the worth that no planner can surpass, even one that knows all times and the\n" +
			"future (bound); the same if nothing is taken in or answered while no process lives\n" +
			"(outages); the part that was earned; what was lost of the second; and by the site's goal\n" +
			"(worst windows, classes and data centres too, prices not), the second and the earned.\n" +
			"Troubles of a site file that the model doesn't play are named behind the table.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Value: "lakeshore", Usage: "one of " + siteNames() + ", or a site file"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "how many"},
			&cli.StringSliceFlag{Name: "day", Usage: "only these days"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := findBoundSite(c.String("site"))
			if err != nil {
				return err
			}
			if only := c.StringSlice("day"); len(only) > 0 {
				s.days = slices.DeleteFunc(s.days, func(d boundDay) bool { return !slices.Contains(only, d.name) })
			}
			s.print(c.Root().Writer, c.Int("seeds"))
			return nil
		},
	}
}

// boundSite is a deployment with its days, and the weights of the parts of a day's worth.
type boundSite struct {
	goal model.Parts
	days []boundDay
}

type boundDay struct {
	name string
	// config returns the day for a seed, counted from 0.
	config func(seed int) model.Config
	// notes describe what the model plays differently, or not at all.
	notes []string
}

// findBoundSite returns one of the model's deployments, or that of a site file.
func findBoundSite(name string) (boundSite, error) {
	if site, ok := model.Sites[name]; ok {
		return modelSite(site), nil
	}
	if _, err := os.Stat(name); err != nil {
		return boundSite{}, cli.Exit(fmt.Sprintf("no site %q", name), program.ExitUsage)
	}
	read, err := days.Read(name)
	if err != nil {
		return boundSite{}, err
	}
	s := boundSite{goal: read.Goal}
	for _, d := range read.Days {
		b := boundDay{name: d.Name, config: func(seed int) model.Config { return d.Config(uint64(seed)) }}
		if len(d.Unsupported) > 0 {
			b.notes = append(b.notes, "not played: "+strings.Join(d.Unsupported, ", "))
		}
		if len(d.Approximated) > 0 {
			b.notes = append(b.notes, "played otherwise: "+strings.Join(d.Approximated, "; "))
		}
		s.days = append(s.days, b)
	}
	return s, nil
}

func modelSite(site func() model.Config) boundSite {
	s := boundSite{goal: model.Parts{Whole: 1}}
	for _, d := range model.Days {
		s.days = append(s.days, boundDay{name: d.Name, config: func(seed int) model.Config {
			cfg := site()
			cfg.Seed = uint64(seed) + 1
			d.Apply(&cfg)
			return cfg
		}})
	}
	return s
}

func (s boundSite) print(w io.Writer, seeds int) {
	fmt.Fprintln(w, "| day | bound | outages | earned | lost | goal: outages | goal: earned |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, d := range s.days {
		var bounds, outages, earned, outagesByGoal, earnedByGoal []float64
		violations := 0
		for seed := range seeds {
			c := model.Compare(d.config(seed))
			bounds = append(bounds, c.Bound.Whole)
			outages = append(outages, c.Outages.Whole)
			earned = append(earned, c.Result.Parts.Whole)
			outagesByGoal = append(outagesByGoal, c.Outages.By(s.goal))
			earnedByGoal = append(earnedByGoal, c.Result.Parts.By(s.goal))
			violations += len(c.Result.Violations)
		}
		fmt.Fprintf(w, "| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |\n", d.name, mean(bounds), mean(outages), mean(earned), mean(outages)-mean(earned), mean(outagesByGoal), mean(earnedByGoal))
		if violations > 0 {
			fmt.Fprintf(w, "%s: %d promises broken\n", d.name, violations)
		}
	}
	fmt.Fprintln(w)
	for _, d := range s.days {
		for _, n := range d.notes {
			fmt.Fprintf(w, "%s: %s\n", d.name, n)
		}
	}
}

func mean(v []float64) float64 {
	m, _ := meanAndError(v)
	return m
}
