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

// The values of historyRecord.What.
const (
	recordInForce  = "in force"
	recordRejected = "rejected"
	recordSnapshot = "snapshot"
)

// watchReadWait is how long one read of the watch command waits for a new record.
const watchReadWait = 10 * time.Second

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
			return printHistory(ctx, c, c.Int("count"), true, func(historyRecord) bool { return true })
		},
	}
}

// printHistory prints the records of the tables stream that include accepts: without
// followNew those that the log has; with followNew those that are appended from now on,
// after the earlier ones if --all is set. It ends after count records; a count of 0 means
// no limit.
func printHistory(ctx context.Context, c *cli.Command, count int, followNew bool, include func(historyRecord) bool) error {
	log, err := openLog(c)
	if err != nil {
		return err
	}
	e := newEditor(log)
	var wait time.Duration
	if followNew {
		wait = watchReadWait
	}
	if followNew && !c.Bool("all") {
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
		case len(p.Records) == 0 && !followNew:
			return nil
		}
		for _, r := range historyRecords(p, e.replay.ApplyPage(p)) {
			if !include(r) {
				continue
			}
			if err := printResult(c, r, r.write); err != nil {
				return err
			}
			if n++; n == count {
				return nil
			}
		}
	}
	return nil
}

// historyRecords combines the records of a page with the replay's results for them.
func historyRecords(p ledger.Page, results []tables.RecordResult) []historyRecord {
	recordsByOffset := make(map[ledger.Offset]ledger.Record, len(p.Records))
	for _, rec := range p.Records {
		recordsByOffset[rec.Offset] = rec
	}
	var history []historyRecord
	for _, n := range results {
		rec := recordsByOffset[n.Offset]
		r := historyRecord{Version: n.Offset, At: rec.At, What: recordInForce}
		if e, err := tables.DecodeEdit(rec); err == nil {
			r.Author, r.Edit, r.Put, r.Drop = e.Author, e.ID, e.Put, e.Drop
		}
		switch {
		case n.Snapshot:
			r.What = recordSnapshot
		case n.Err != nil:
			r.What, r.Reason = recordRejected, n.Err.Error()
		case !n.Applied:
			r.What, r.Reason = recordRejected, "older than the first snapshot that the log has"
		}
		history = append(history, r)
	}
	return history
}

// write writes the record as one line of text.
func (r historyRecord) write(w io.Writer) {
	if r.What == recordSnapshot {
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
