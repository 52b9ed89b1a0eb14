package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"snipehub.example/ledger"
	"snipehub.example/tables"
)

const filesUsage = "FILE..."

func checkCommand(t table) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check files against the other table as it is in force",
		ArgsUsage: filesUsage,
		Flags:     []cli.Flag{logFlag, timeoutFlag},
		Action: func(ctx context.Context, c *cli.Command) error {
			_, _, err := compare(ctx, c, t)
			return err
		},
	}
}

// tablesDiff is what applying the files would change.
type tablesDiff struct {
	Version tables.Version `json:"version"`
	Put     tables.Rows    `json:"put"`
	Drop    tables.Keys    `json:"drop"`
}

func diffCommand(t table) *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what applying the files would change",
		ArgsUsage: filesUsage,
		Flags:     []cli.Flag{logFlag, jsonFlag, timeoutFlag},
		Action: func(ctx context.Context, c *cli.Command) error {
			cur, d, err := compare(ctx, c, t)
			if err != nil {
				return err
			}
			return printResult(c, d, func(w io.Writer) {
				writeDiff(w, cur, d.Put, d.Drop)
				fmt.Fprintln(w, "version", d.Version)
			})
		},
	}
}

// compare checks the files against the tables in force and returns the difference.
func compare(ctx context.Context, c *cli.Command, t table) (*tables.State, tablesDiff, error) {
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	var d tablesDiff
	paths := c.Args().Slice()
	fileRows, err := readRows(t, paths)
	if err != nil {
		return nil, d, usageError(err)
	}
	log, err := openLog(c)
	if err != nil {
		return nil, d, err
	}
	cur, err := newEditor(log).catchUp(ctx)
	if err != nil {
		return nil, d, err
	}
	rows := t.replaceRows(cur.Rows(), fileRows)
	if _, err := tables.Build(cur.Version, rows); err != nil {
		return nil, d, usageError(withLocation(paths, err))
	}
	d.Version = cur.Version
	d.Put, d.Drop = tables.Diff(cur.Rows(), rows)
	return cur, d, nil
}

func applyCommand(t table) *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "bring the files into force in place of " + t.content,
		ArgsUsage: filesUsage,
		Flags: []cli.Flag{
			logFlag, jsonFlag, timeoutFlag, dispatcherFlag, caFlag,
			&cli.StringFlag{Name: "author", Value: currentUser(), Usage: "who stands in the history"},
			&cli.Int64Flag{Name: "base", Value: int64(ledger.None) - 1, DefaultText: "the current one", Usage: "apply only if this version is in force"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until it is in force on every live dispatcher"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return apply(ctx, c, t) },
	}
}

func apply(ctx context.Context, c *cli.Command, t table) error {
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	paths := c.Args().Slice()
	fileRows, err := readRows(t, paths)
	if err != nil {
		return usageError(err)
	}
	log, err := openLog(c)
	if err != nil {
		return err
	}
	var base *tables.Version
	if c.IsSet("base") {
		v := tables.Version(c.Int64("base"))
		base = &v
	}
	want := func(cur tables.Rows) tables.Rows { return t.replaceRows(cur, fileRows) }
	o, err := newEditor(log).change(ctx, want, base, c.String("author"))
	if err != nil {
		return withExitCode(c, paths, err)
	}
	if c.Bool("wait") {
		return awaitRollout(ctx, c, o)
	}
	return printResult(c, o, func(w io.Writer) {
		if o.Edit == "" {
			fmt.Fprintln(w, "nothing to change at version", o.Version)
			return
		}
		fmt.Fprintln(w, "in force from version", o.Version)
	})
}

// withExitCode gives an error its exit code. For an edit that lost a race it also prints
// the difference that is left.
func withExitCode(c *cli.Command, paths []string, err error) error {
	var conflict *ConflictError
	var exitCoder cli.ExitCoder
	switch {
	case errors.As(err, &conflict):
		_ = printResult(c, conflict, func(w io.Writer) { writeDiff(w, conflict.currentState, conflict.Put, conflict.Drop) })
		return cli.Exit(err.Error(), ExitConflict)
	case errors.Is(err, ErrOutcomeUnknown):
		return cli.Exit(err.Error()+"; look for it with: snipectl routes history", ExitOutcomeUnknown)
	case errors.As(err, &exitCoder):
		// The rows were rejected; see editor.change.
		return usageError(withLocation(paths, err))
	}
	return err
}

// historyRecord is one line of the history.
type historyRecord struct {
	Version tables.Version `json:"version"`
	At      time.Time      `json:"at"`
	Author  string         `json:"author,omitempty"`
	Edit    string         `json:"edit,omitempty"`
	// What is "in force", "rejected" or "snapshot".
	What   string      `json:"what"`
	Reason string      `json:"reason,omitempty"`
	Put    tables.Rows `json:"put"`
	Drop   tables.Keys `json:"drop"`
}

func historyCommand(t table) *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the edits that the log still has",
		Flags: []cli.Flag{logFlag, jsonFlag, timeoutFlag},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := withTimeout(ctx, c)
			defer cancel()
			return printHistory(ctx, c, 0, false, func(r historyRecord) bool { return affectsTable(t, r) })
		},
	}
}

// affectsTable reports whether a record belongs in the history of the table: it changes
// the table's rows, or is a snapshot.
func affectsTable(t table, r historyRecord) bool {
	// A placeholder row stands for the dropped keys of a table.
	dropRows := tables.Rows{}
	if len(r.Drop.Pools)+len(r.Drop.Servers) > 0 {
		dropRows.Pools = make([]tables.Pool, 1)
	}
	if len(r.Drop.Routes)+len(r.Drop.Teams) > 0 {
		dropRows.Routes = make([]tables.Route, 1)
	}
	ownRows := t.replaceRows(tables.Rows{}, r.Put)
	put, _ := tables.Diff(tables.Rows{}, ownRows)
	dropped, _ := tables.Diff(tables.Rows{}, t.replaceRows(tables.Rows{}, dropRows))
	return !noChanges(put, tables.Keys{}) || !noChanges(dropped, tables.Keys{}) || r.What == recordSnapshot
}
