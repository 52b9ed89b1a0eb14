package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"snipehub.example/cell"
	"snipehub.example/model"
)

const (
	// overloadBegin and overloadEnd bound the overload of a day, and the jobs that count;
	// overloadDay is the length of the day.
	overloadBegin, overloadEnd = 4 * time.Second, 10 * time.Second
	overloadDay                = 12 * time.Second
)

func overloadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overload",
		Usage: "play overloads in virtual time and plot what is served against what is offered",
		Description: "Each row is a factor by which the load of the first of the days is multiplied for six seconds,\n" +
			"without its faults, with admission limited or not: the jobs asked for and answered in time a\n" +
			"second, the worth earned a second, the part refused, and when, as a part of the objective.\n" +
			"Processor time is charged to each process by event and by pass of the planner, as the flags\n" +
			"say.",
		Flags: []cli.Flag{
			siteOrFileFlag(),
			daysFlag(),
			&cli.FloatSliceFlag{Name: "factor", Value: []float64{0.5, 1, 1.5, 2, 2.5, 3, 4, 5}, Usage: "multiplies the load of the day"},
			&cli.DurationFlag{Name: "event", Value: 40 * time.Microsecond, Usage: "processor time of an event on a whole core"},
			&cli.DurationFlag{Name: "pass", Value: 100 * time.Microsecond, Usage: "processor time of a pass of the planner"},
			&cli.DurationFlag{Name: "pending", Value: 2 * time.Microsecond, Usage: "what each pending request adds to a pass"},
			&cli.StringFlag{Name: "plots", Usage: "write a plot into this directory"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := findPlayedSite(c.String("site"), c.StringSlice("day"))
			if err != nil {
				return err
			}
			p := model.Processor{Event: c.Duration("event"), Pass: c.Duration("pass"), Pending: c.Duration("pending")}
			curves := playOverloads(c.Root().Writer, s.days[0], c.FloatSlice("factor"), p)
			if dir := c.String("plots"); dir != "" {
				d := drawing{name: s.name + "-overload", title: s.name + ": jobs answered in time", x: "jobs asked for a second", y: "jobs in time a second", curves: curves}
				return d.save(dir, "svg")
			}
			return nil
		},
	}
}

// playOverloads plays the day at each factor, with and without limited admission, and writes
// a table. It returns a curve for each of the two.
func playOverloads(w io.Writer, day playedDay, factors []float64, p model.Processor) []curve {
	fmt.Fprintf(w, "%-10s %-7s %-9s %-9s %-9s %-8s %-8s %s\n", "admission", "factor", "asked/s", "in time/s", "worth/s", "refused", "age p50", "age p90")
	var curves []curve
	for _, policy := range []struct {
		name   string
		choice cell.Choice
	}{{"limited", cell.On}, {"off", cell.Off}} {
		cv := curve{name: "admission " + policy.name, dashed: policy.choice == cell.Off}
		for _, factor := range factors {
			cfg := day.config(0)
			cfg.Processor, cfg.Policy.Admission = p, policy.choice
			cfg.Length, cfg.Faults = overloadDay, nil
			cfg.Bursts = []model.Burst{{At: overloadBegin, For: overloadEnd - overloadBegin, Factor: factor}}
			world := model.New(cfg)
			r := world.Run()
			g := world.Goodput(overloadBegin, overloadEnd)
			fmt.Fprintf(w, "%-10s %-7.1f %-9.0f %-9.0f %-9.2f %-8.3f %-8.2f %.2f\n", policy.name, factor, g.Asked, g.InTime, g.Worth, g.Refused,
				quantileOf(r.RefusalAges, 0.5), quantileOf(r.RefusalAges, 0.9))
			cv.points = append(cv.points, Point{X: g.Asked, Y: g.InTime})
		}
		curves = append(curves, cv)
	}
	return curves
}

// quantileOf returns a quantile of sorted values, 0 if there are none.
func quantileOf(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
