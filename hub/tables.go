package hub

import (
	"context"
	"time"
)

// snapshotCheck is how often it is looked whether a snapshot is due.
const snapshotCheck = time.Second

// snapshots puts snapshots of the tables on the log when they are due.
func (h *Hub) snapshots(ctx context.Context) error {
	sub := h.clock.Subscribe(snapshotCheck)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-sub.C:
			if err := h.tables.PutSnapshot(ctx, now); err != nil {
				return err
			}
		}
	}
}
