package hub

import (
	"context"
	"time"

	"snipehub.example/claim"
	"snipehub.example/ledger"
	"snipehub.example/meter"
)

// countedLog counts the reads of the platform's log and the appends to the stream of
// claims.
type countedLog struct {
	*ledger.Client
	m *meter.Meter
}

// Read counts and performs a read.
func (l countedLog) Read(ctx context.Context, stream string, from ledger.Offset, wait time.Duration) (ledger.Page, error) {
	l.m.Count(meter.LogReads, 1)
	return l.Client.Read(ctx, stream, from, wait)
}

// Append performs an append, and counts it if it is to the stream of claims.
func (l countedLog) Append(ctx context.Context, stream string, data []byte) (ledger.Offset, error) {
	if stream == claim.Stream {
		l.m.Count(meter.ClaimsAppends, 1)
	}
	return l.Client.Append(ctx, stream, data)
}
