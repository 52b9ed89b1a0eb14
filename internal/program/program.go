// Package program runs a command line as a process: signals cancel its context, and an
// error is printed and determines the exit code.
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

// Run runs the command with the process's arguments and returns the exit code. The first
// SIGTERM or SIGINT cancels the context; later ones change nothing, so that a repeated
// signal can't cut a planned stop short.
func Run(cmd *cli.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	setUsageExitCode(cmd)
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := cmd.Run(ctx, os.Args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, cmd.Name+":", err)
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
	}
	return 1
}
