package operator

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"snipehub.example/client"
	"snipehub.example/job"
	"snipehub.example/ticket"
)

func jobsCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "entry", Value: "127.0.0.1:7400", Usage: "callers' address of any dispatcher"},
		&cli.StringFlag{Name: "token-file", Usage: "file with the bearer token of the job's caller"},
		jsonFlag, timeoutFlag,
	}
	return &cli.Command{
		Name:  "jobs",
		Usage: "look at and cancel a caller's job, with the caller's token",
		Commands: []*cli.Command{
			{Name: "show", Usage: "show where a job stands", ArgsUsage: "ID", Flags: flags, Action: jobAction((*client.Client).Get)},
			{Name: "cancel", Usage: "start no more tasks of a job", ArgsUsage: "ID", Flags: flags, Action: jobAction((*client.Client).Cancel)},
		},
	}
}

type jobCall func(c *client.Client, ctx context.Context, entry netip.AddrPort, id ticket.JobID) (job.Answer, error)

func jobAction(call jobCall) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := withTimeout(ctx, c)
		defer cancel()
		id, err := ticket.ParseJobID(c.Args().First())
		if err != nil {
			return usageError(err)
		}
		entry, err := netip.ParseAddrPort(c.String("entry"))
		if err != nil {
			return usageError(errors.Wrap(err, "entry"))
		}
		token, err := readToken(c.String("token-file"))
		if err != nil {
			return usageError(err)
		}
		a, err := call(client.New(client.Config{Entries: []netip.AddrPort{entry}, Token: token}), ctx, entry, id)
		if err != nil {
			return err
		}
		return printResult(c, a, func(w io.Writer) {
			fmt.Fprintf(w, "%s %s\n", a.Job, a.State)
			for i, t := range a.Tasks {
				fmt.Fprintf(w, "task %d: ran %s, done %t %s\n", i, t.Ran, t.Done, t.Error)
			}
		})
	}
}

// readToken reads the token from a file: as an argument it would show in the list of
// processes.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "token-file")
	}
	return strings.TrimSpace(string(b)), nil
}
