// Package tables holds the routes and pools tables and the rules by which edits of them
// take effect.
//
// The tables live on one stream of the platform's log. Every process replays the stream
// in offset order and reaches the same state, so no agreement is needed beyond the order
// of the log. An edit names the version that its editor saw and takes effect only if that
// is still the current one: if two operators race, the first edit on the log wins and
// every reader rejects the other.
//
// Limits: every process holds the whole tables in memory, so they are for tens of
// thousands of backend servers, not for millions. A reader that finds the start of the
// stream gone needs a snapshot, either from the log, where dispatchers append one at
// intervals, or from a peer.
package tables

import "snipehub.example/ledger"

// Stream is the name of the tables' stream on the platform's log.
const Stream = "tables"

// Version is the offset of the edit that made the current state.
type Version = ledger.Offset
