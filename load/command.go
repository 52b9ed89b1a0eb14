// Package load is snipeload, the tool for load tests and experiments.
//
// It drives real dispatcher processes and stand-ins for backend servers, always bounded
// in time and count, and measures the response time over the ideal and the messages per
// task. The processes are this program, started again with hidden commands; the daemons
// themselves start nothing.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"snipehub.example/hub"
	"snipehub.example/stand"
)

// ErrSafety means that a run violated a guarantee.
var ErrSafety = errors.New("load: what must be 0 is not")

// Command returns the command line of snipeload.
func Command() *cli.Command {
	daemon := hub.Command()
	daemon.Hidden = true
	standIn := stand.Command()
	standIn.Hidden = true
	return &cli.Command{
		Name:     "snipeload",
		Usage:    "bounded load and measures",
		Commands: []*cli.Command{demoCommand(), runCommand(), suiteCommand(), slopesCommand(), capacityCommand(), compareCommand(), plotCommand(), modelCommand(), overloadCommand(), recoveryCommand(), boundCommand(), lossesCommand(), scenariosCommand(), daemon, standIn},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "drive a scenario against a deployment and print the measures",
		ArgsUsage: "SCENARIO (a name of the table, or a TOML file)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "lakeshore", Usage: "a name under examples/, or a TOML file"},
			&cli.StringFlag{Name: "policy", Usage: "placement policy in place of the deployment's"},
			&cli.IntFlag{Name: "dispatchers", Usage: "how many, in place of the deployment's number"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals, sizes and service times"},
			&cli.IntFlag{Name: "repeat", Value: 1, Usage: "runs, with the seeds that follow"},
			&cli.StringFlag{Name: "out", Usage: "write the reports to this JSON file"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	s, err := FindScenario(c.Args().First())
	if err != nil {
		return err
	}
	d, err := ReadDeployment(c.String("deployment"))
	if err != nil {
		return err
	}
	if n := c.Int("dispatchers"); n > 0 {
		d.Dispatchers = n
	}
	var all []Report
	for i := range c.Int("repeat") {
		r, err := runWithTimeout(ctx, d, s, Options{Policy: c.String("policy"), Seed: c.Uint64("seed") + uint64(i)})
		if err != nil {
			return err
		}
		fmt.Fprintln(c.Root().Writer, r)
		all = append(all, r)
	}
	if path := c.String("out"); path != "" {
		if err := writeReports(path, all); err != nil {
			return err
		}
	}
	return checkSafety(all)
}

// runWithTimeout runs with a timeout that no run of an accepted scenario reaches.
func runWithTimeout(ctx context.Context, d Deployment, s Scenario, o Options) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, s.length()+2*callerTimeout+time.Minute)
	defer cancel()
	return Run(ctx, d, s, o)
}

func checkSafety(all []Report) error {
	for _, r := range all {
		if r.Safety.Violated() {
			return errors.Wrapf(ErrSafety, "%s, policy %s: %+v", r.Scenario, r.Policy, r.Safety)
		}
	}
	return nil
}

func writeReports(path string, all []Report) error {
	b, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return errors.Wrap(err, "load")
	}
	if err := os.WriteFile(path, append(b, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "load")
	}
	return nil
}

// ReadReports reads a file that "run" or "suite" has written.
func ReadReports(path string) ([]Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "load")
	}
	var all []Report
	if err := json.Unmarshal(b, &all); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return all, nil
}

func scenariosCommand() *cli.Command {
	return &cli.Command{
		Name:  "scenarios",
		Usage: "list the scenarios",
		Action: func(_ context.Context, c *cli.Command) error {
			listScenarios(c.Root().Writer)
			return nil
		},
	}
}

func listScenarios(w io.Writer) {
	for _, s := range Scenarios() {
		fmt.Fprintf(w, "%3d %-10s %-70s since %s\n", s.Number, s.Name, s.Title, s.Since)
	}
}
