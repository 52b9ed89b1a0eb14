// Package load is the load and experiment tool, snipeload.
//
// It drives real dispatcher processes and stand-in backend servers, always
// bounded in time and count, and measures response time over the ideal and
// messages per task.
package load

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"snipehub.example/hub"
	"snipehub.example/stand"
)

// Command returns the command line of snipeload.
func Command() *cli.Command {
	daemon := hub.Command()
	daemon.Hidden = true
	standIn := stand.Command()
	standIn.Hidden = true
	return &cli.Command{
		Name:  "snipeload",
		Usage: "bounded load and measures",
		Commands: []*cli.Command{
			{
				Name:  "demo",
				Usage: "bring up stand-ins and dispatchers as processes, run jobs, and print the measures",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "dispatchers", Value: 3},
					&cli.IntFlag{Name: "workers", Value: 3},
					&cli.IntFlag{Name: "cores", Value: 16},
					&cli.IntFlag{Name: "jobs", Value: 100},
					&cli.IntFlag{Name: "tasks", Value: 8},
				},
				Action: demo,
			},
			daemon,
			standIn,
		},
	}
}

func demo(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	d, err := Deploy(ctx, Plan{
		Dispatchers: c.Int("dispatchers"),
		Workers:     c.Int("workers"),
		Cores:       c.Int("cores"),
		Min:         20 * time.Millisecond,
		Max:         60 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	r, err := d.Run(ctx, c.Int("jobs"), c.Int("tasks"))
	if err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, r)
	return nil
}
