package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"snipehub.example/model"
)

// lossTime is when processes are lost, after the first request: any learning of estimates
// is over by then.
const lossTime = 3 * time.Second

func recoveryCommand() *cli.Command {
	return &cli.Command{
		Name:  "recovery",
		Usage: "lose processes in virtual time and measure until placing goes on",
		Description: "Each row is a loss, over the seeds: the median and the longest time without any start,\n" +
			"the same for the workers of other holders, the time until all workers of the lost\n" +
			"process could be used again, and the jobs of a whole day that were\n" +
			"lost, refused and late, on average, less those of the same day without the loss.",
		Flags: []cli.Flag{
			siteFlag(),
			&cli.IntFlag{Name: "seeds", Value: 20, Usage: "how many"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			site, err := siteFromFlag(c)
			if err != nil {
				return err
			}
			if n := writeRecoveryTable(c.Root().Writer, site, c.Int("seeds")); n > 0 {
				return cli.Exit(fmt.Sprintf("%d promises broken", n), 1)
			}
			return nil
		},
	}
}

// calmDay returns a day at six tenths of the specified load.
func calmDay(site func() model.Config, seed int) model.Config {
	cfg := site()
	cfg.Seed, cfg.Load = uint64(seed), 0.6
	cfg.Length, cfg.Tail = 12*time.Second, 6*time.Second
	return cfg
}

// writeRecoveryTable writes the table and returns how many guarantees were violated.
func writeRecoveryTable(w io.Writer, site func() model.Config, seeds int) (violations int) {
	noLoss := model.Loss{Fault: func(int) func(*model.World) { return func(*model.World) {} }}
	baselines := make([]model.Recovery, seeds)
	for i := range baselines {
		baselines[i] = model.Recover(calmDay(site, i+1), lossTime, noLoss)
	}
	fmt.Fprintln(w, "| lost | no start for, median, longest | on other workers | its workers in use again | lost | refused | late |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, l := range model.Losses {
		var gap, others, inUse []time.Duration
		var lost, refused, late float64
		for i, p := range baselines {
			r := model.Recover(calmDay(site, i+1), lossTime, l)
			gap, others, inUse = append(gap, r.Gap), append(others, r.OtherGap), append(inUse, r.WorkersBack)
			lost += float64(r.Lost-p.Lost) / float64(seeds)
			refused += float64(r.Refused-p.Refused) / float64(seeds)
			late += float64(r.Late-p.Late) / float64(seeds)
			violations += len(r.Violations)
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %.1f | %.1f | %.1f |\n", l.Name, medianAndMax(gap), medianAndMax(others), medianAndMax(inUse), lost, refused, late)
	}
	return violations
}

// medianAndMax formats the median and the longest duration.
func medianAndMax(d []time.Duration) string {
	slices.Sort(d)
	return fmt.Sprintf("%d, %d ms", d[len(d)/2].Milliseconds(), d[len(d)-1].Milliseconds())
}
