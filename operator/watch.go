package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"snipehub.example/ledger"
	"snipehub.example/tables"
)

// The words for what became of a record.
const (
	appliedWord  = "in force"
	rejectedWord = "rejected"
	snapshotWord = "snapshot"
)

// watchWait is how long one read of watch waits for a new record.
const watchWait = 10 * time.Second

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "show edits as they come",
		Flags: []cli.Flag{
			logFlag, jsonFlag,
			&cli.IntFlag{Name: "count", Usage: "end after this many; 0 means never"},
			&cli.BoolFlag{Name: "all", Usage: "first show those that the log still has"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return follow(ctx, c, c.Int("count"), true, func(record) bool { return true })
		},
	}
}

// follow prints the records of the tables stream: those that are there, or
// those that come from now on.
func follow(ctx context.Context, c *cli.Command, count int, future bool, wanted func(record) bool) error {
	log, err := openLog(c)
	if err != nil {
		return err
	}
	e := newEditor(log)
	var wait time.Duration
	if future {
		wait = watchWait
	}
	if future && !c.Bool("all") {
		if _, err := e.catchUp(ctx); err != nil {
			return err
		}
	}
	for n := 0; ctx.Err() == nil; {
		p, err := log.Read(ctx, tables.Stream, e.replay.Next(), wait)
		switch {
		case err != nil && ctx.Err() != nil:
			return nil
		case err != nil:
			return err
		case len(p.Records) == 0 && !future:
			return nil
		}
		for _, r := range records(p, e.replay.ApplyPage(p)) {
			if !wanted(r) {
				continue
			}
			if err := out(c, r, r.write); err != nil {
				return err
			}
			if n++; n == count {
				return nil
			}
		}
	}
	return nil
}

// records joins what was read with what the replay made of it.
func records(p ledger.Page, notes []tables.RecordResult) []record {
	read := make(map[ledger.Offset]ledger.Record, len(p.Records))
	for _, rec := range p.Records {
		read[rec.Offset] = rec
	}
	var all []record
	for _, n := range notes {
		rec := read[n.Offset]
		r := record{Version: n.Offset, At: rec.At, What: appliedWord}
		if e, err := tables.DecodeEdit(rec); err == nil {
			r.Author, r.Edit, r.Put, r.Drop = e.Author, e.ID, e.Put, e.Drop
		}
		switch {
		case n.Snapshot:
			r.What = snapshotWord
		case n.Err != nil:
			r.What, r.Reason = rejectedWord, n.Err.Error()
		case !n.Applied:
			r.What, r.Reason = rejectedWord, "older than the first snapshot that the log has"
		}
		all = append(all, r)
	}
	return all
}

// write writes the record as a line.
func (r record) write(w io.Writer) {
	if r.What == snapshotWord {
		fmt.Fprintf(w, "%d %s snapshot\n", r.Version, r.At.Format(time.RFC3339))
		return
	}
	put := len(r.Put.Routes) + len(r.Put.Teams) + len(r.Put.Pools) + len(r.Put.Servers)
	drop := len(r.Drop.Routes) + len(r.Drop.Teams) + len(r.Drop.Pools) + len(r.Drop.Servers)
	fmt.Fprintf(w, "%d %s %s by %s: %d rows put, %d dropped", r.Version, r.At.Format(time.RFC3339), r.What, r.Author, put, drop)
	if r.Reason != "" {
		fmt.Fprintf(w, " (%s)", r.Reason)
	}
	fmt.Fprintln(w)
}
