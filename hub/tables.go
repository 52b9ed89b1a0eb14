package hub

import (
	"context"
	"math/rand/v2"
	"time"

	"snipehub.example/tables"
)

func (h *Hub) newTables() *tables.Follower {
	return tables.New(h.log, h.ledger, tables.Config{
		Poll:             h.cfg.Tables.Poll.D(),
		SnapshotInterval: h.cfg.Tables.Snapshot.D(),
		Settle:           h.cfg.Tables.Settle.D(),
		Changed:          func() { h.dispatcher.TablesChanged() },
	}, rand.New(rand.NewPCG(h.self.Incarnation, 0)))
}

const snapshotCheckInterval = time.Second

// appendSnapshots appends snapshots of the tables to the log when they are due.
func (h *Hub) appendSnapshots(ctx context.Context) error {
	return h.runEvery(ctx, snapshotCheckInterval, func(now time.Time) error {
		return h.tables.PutSnapshot(ctx, now)
	})
}
