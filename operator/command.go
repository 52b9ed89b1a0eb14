// Package operator implements snipectl, the operators' command line.
//
// It changes the routes and pools tables by appending edits to the platform's log, and
// queries dispatchers at their operators' address. It stores nothing itself: if it is
// killed while it makes an edit, the log has either the complete edit or none.
package operator

import (
	"context"
	"net"
	"net/netip"
	"os/user"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"snipehub.example/internal/program"
	"snipehub.example/ledger"
)

// The exit codes. 0 means success, 1 that the platform or a dispatcher failed.
const (
	// ExitUsage is for arguments and files that can't be used.
	ExitUsage = program.ExitUsage
	// ExitConflict is for an edit that lost a race: it has changed nothing and never
	// will.
	ExitConflict = 3
	// ExitPending is for a change that not every live dispatcher has reported as in
	// force, and for a dispatcher that did not answer.
	ExitPending = 4
	// ExitOutcomeUnknown is for an edit that may or may not be on the log.
	ExitOutcomeUnknown = 5
)

func usageError(err error) error { return cli.Exit(err.Error(), ExitUsage) }

// Flags that several commands share.
var (
	logFlag = &cli.StringFlag{
		Name: "log", Value: "127.0.0.1:7300", Usage: "address of the platform's log",
		Sources: cli.EnvVars("SNIPE_LOG"),
	}
	dispatcherFlag = &cli.StringFlag{
		Name: "dispatcher", Value: "127.0.0.1:7600", Usage: "operators' address of any dispatcher",
		Sources: cli.EnvVars("SNIPE_DISPATCHER"),
	}
	caFlag      = &cli.StringFlag{Name: "ca", Usage: "file with the authority of the dispatchers' certificates; calls them with TLS"}
	jsonFlag    = &cli.BoolFlag{Name: "json", Usage: "print JSON"}
	timeoutFlag = &cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "how long to try"}
)

// Command returns the command line of snipectl.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "snipectl",
		Usage: "look at and change the routes and pools tables",
		Description: "Exit codes: 0 done; 1 the platform or a dispatcher failed; 2 arguments or files\n" +
			"can't be used; 3 the edit lost a race and changed nothing; 4 not every live\n" +
			"dispatcher has said that the change is in force; 5 it is not known whether the\n" +
			"edit is on the log.",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			tableCommand(routesTable),
			tableCommand(poolsTable),
			applyCommand(bothTables),
			statusCommand(),
			cellCommand(),
			watchCommand(),
			jobsCommand(),
			keysCommand(),
		},
	}
}

func tableCommand(t table) *cli.Command {
	return &cli.Command{
		Name:  t.name,
		Usage: "the " + t.name + " table: " + t.content,
		Commands: []*cli.Command{
			checkCommand(t),
			diffCommand(t),
			applyCommand(t),
			historyCommand(t),
		},
	}
}

// callTimeout bounds one call to the platform.
const callTimeout = 5 * time.Second

// openLog returns a client for the log at the address given by --log.
func openLog(c *cli.Command) (*ledger.Client, error) {
	addr, err := netip.ParseAddrPort(c.String("log"))
	if err != nil {
		return nil, usageError(errors.Wrap(err, "log"))
	}
	return ledger.New(addr, addr, callTimeout, (&net.Dialer{}).DialContext), nil
}

// currentUser returns the default author of edits: the name of the operating system's
// user.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// withTimeout returns a context that ends after the duration given by --timeout.
func withTimeout(ctx context.Context, c *cli.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.Duration("timeout"))
}
