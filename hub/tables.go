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
		Changed:          func() { h.place.TablesChanged() },
	}, rand.New(rand.NewPCG(h.self.Incarnation, 0)))
}

// snapshotCheck is how often it is looked whether a snapshot is due.
const snapshotCheck = time.Second

// snapshots puts snapshots of the tables on the log when they are due.
func (h *Hub) snapshots(ctx context.Context) error {
	return h.each(ctx, snapshotCheck, func(now time.Time) error {
		return h.tables.PutSnapshot(ctx, now)
	})
}
