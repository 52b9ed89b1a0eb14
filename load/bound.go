package load

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"snipehub.example/model"
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
			siteOrFileFlag(),
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "how many"},
			daysFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := findPlayedSite(c.String("site"), c.StringSlice("day"))
			if err != nil {
				return err
			}
			printBounds(c.Root().Writer, s, c.Int("seeds"))
			return nil
		},
	}
}

func printBounds(w io.Writer, s playedSite, seeds int) {
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
