package program

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// ExitUsage is the exit code for a command line that can't be understood.
const ExitUsage = 2

// setUsageExitCode makes the command and its subcommands end with ExitUsage for unknown
// commands and flags. The library's own code for an unknown command is 3, which a script
// could take for an exit code with a meaning of the program's own.
func setUsageExitCode(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return cli.Exit(err.Error(), ExitUsage)
	}
	if cmd.Action == nil {
		cmd.Action = requireSubcommand
	}
	for _, c := range cmd.Commands {
		setUsageExitCode(c)
	}
}

// requireSubcommand is the action of a command that only groups others.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return cli.Exit(errors.Errorf("unknown command %q; see --help", c.Args().First()).Error(), ExitUsage)
	}
	return cli.ShowSubcommandHelp(c)
}
