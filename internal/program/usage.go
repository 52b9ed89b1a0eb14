package program

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// ExitUsage is the exit code for a command line that can't be understood.
const ExitUsage = 2

// strict makes the command and those below it end with ExitUsage for unknown
// commands and flags. The library's own code for an unknown command is 3, which
// a script could take for one of the program's own answers.
func strict(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return cli.Exit(err.Error(), ExitUsage)
	}
	if cmd.Action == nil {
		cmd.Action = noCommand
	}
	for _, c := range cmd.Commands {
		strict(c)
	}
}

// noCommand is the action of a command that only groups others.
func noCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return cli.Exit(errors.Errorf("unknown command %q; see --help", c.Args().First()).Error(), ExitUsage)
	}
	return cli.ShowSubcommandHelp(c)
}
