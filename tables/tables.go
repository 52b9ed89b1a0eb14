// Package tables holds the routes and pools tables and the rule by which
// edits of them take effect.
//
// The tables live on one stream of the platform's log. Every process replays
// the stream in the order of its offsets and comes to the same state, so there
// is nothing to agree on besides the order that the log gives. An edit names
// the version that its editor saw and takes effect only when that is still the
// current one: of two operators who race, the first on the log wins and every
// reader rejects the other alike.
//
// Limits: the whole tables are in the memory of every process, so they are for
// tens of thousands of backend servers, not for millions. A reader that finds
// the start of the stream forgotten needs a snapshot, which some dispatcher
// puts on the log from time to time, or a peer.
package tables

import "snipehub.example/ledger"

// Stream is the name of the tables' stream on the platform's log.
const Stream = "tables"

// Version is the offset of the edit that made the current state.
type Version = ledger.Offset
