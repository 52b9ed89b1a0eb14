// Package program runs a command line as a process: signals end its context,
// and an error is printed and becomes the exit code.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Run runs the command with the process's arguments and returns the exit code.
// The first SIGTERM or SIGINT ends the context; later ones change nothing,
// because a planned stop must not be cut short by an impatient repetition.
func Run(cmd *cli.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	strict(cmd)
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := cmd.Run(ctx, os.Args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, cmd.Name+":", err)
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return 1
}
