package load

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"snipehub.example/model"
)

func boundCommand() *cli.Command {
	return &cli.Command{
		Name:  "bound",
		Usage: "compare what is earned in virtual time with what nobody can surpass",
		Description: "Each row is a kind of day, on average over the seeds: the part of the worth that no\n" +
			"planner can surpass, even one that knows all times and the future; the part that was\n" +
			"earned; and the distance. Processes' own faults are no part of the bound.",
		Flags: []cli.Flag{
			siteFlag(),
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "how many"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			site, err := siteOf(c)
			if err != nil {
				return err
			}
			w := c.Root().Writer
			fmt.Fprintln(w, "| day | bound | earned | distance |")
			fmt.Fprintln(w, "| --- | --- | --- | --- |")
			for _, d := range model.Days {
				var bound, earned []float64
				for seed := 1; seed <= c.Int("seeds"); seed++ {
					cfg := site()
					cfg.Seed = uint64(seed)
					d.Apply(&cfg)
					bound = append(bound, model.Bound(cfg))
					earned = append(earned, model.New(cfg).Run().Worth)
				}
				most, _ := meanError(bound)
				got, _ := meanError(earned)
				fmt.Fprintf(w, "| %s | %.3f | %.3f | %.3f |\n", d.Name, most, got, most-got)
			}
			return nil
		},
	}
}
