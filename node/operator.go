package node

import (
	"slices"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/event"
	"snipehub.example/mesh"
	"snipehub.example/registry"
)

// OperatorRead is what one read of the operator's topic has returned.
type OperatorRead struct {
	// Full is set if the read returned the latest record of every key; otherwise it
	// returned those that follow the previous read.
	Full        bool
	Evacuations []catalog.EvacuationChange
	// Catalog is the last configuration, nil if none was read.
	Catalog *catalog.Catalog
	// End is the offset after the last record.
	End registry.Offset
	// Since is when the first read began that could have returned the changes: whatever
	// changed before was known from earlier reads, unless this is the first one.
	Since time.Time
}

// EvacuationsRequest asks a member for the evacuations that it knows.
type EvacuationsRequest struct {
	// After is the offset in the operator's topic that the member has advertised; it may
	// know more by now.
	After registry.Offset `cbor:"1,keyasint,omitzero"`
}

// catalogParts counts parts of copies of the configuration between this process and others.
type catalogParts struct{ Requested, Sent, Received int64 }

// unknownDelay is logged where nothing bounds how late a change was learned.
const unknownDelay = -time.Millisecond

// sourceStore is the source, in logs, of what this process has read itself.
const sourceStore = "store"

// OperatorRead brings into force what this process has read of the operator's topic. The
// evacuations come first, so that no process has routes by which to start tasks without
// knowing where none may be started.
func (c *Core) OperatorRead(now time.Time, r OperatorRead) {
	if r.Full {
		c.setEvacuations(now, c.evacuations.Merge(catalog.NewEvacuations(r.Evacuations, r.End)), sourceStore, time.Time{})
	} else {
		c.setEvacuations(now, c.evacuations.Apply(r.Evacuations, r.End), sourceStore, r.Since)
	}
	if r.Catalog == nil {
		return
	}
	since := r.Since
	if r.Full {
		since = time.Time{}
	}
	c.Catalog(now, r.Catalog, sourceStore, since)
}

// setEvacuations brings evacuations into force: this process starts no more tasks in the
// data centres, neither as a planner nor as a holder. since is the time of the last read
// without the change, or zero if that is unknown.
func (c *Core) setEvacuations(now time.Time, next catalog.Evacuations, source string, since time.Time) {
	previous := c.evacuations
	c.evacuations = next
	begun, ended := next.Since(previous)
	if previous.Known() && len(begun)+len(ended) == 0 {
		return
	}
	late := unknownDelay
	if !since.IsZero() {
		late = now.Sub(since)
		c.evacuationDelays = append(c.evacuationDelays, late)
	}
	for _, e := range begun {
		event.EvacuationBegan.Log(c.log, "data_center", e.DataCenter, "offset", uint64(e.Offset), "source", source, "late_ms_at_most", late.Milliseconds())
	}
	for _, e := range ended {
		event.EvacuationEnded.Log(c.log, "data_center", e.DataCenter, "offset", uint64(e.Offset), "end", uint64(next.End), "source", source, "late_ms_at_most", late.Milliseconds())
	}
	for _, id := range c.heldIDs() {
		wl := c.held[id]
		wl.SetEvacuated(!c.mayStart(wl.Worker().DataCenter))
	}
	c.cell.SetEvacuations(next)
	c.Advertise(now, func(m *mesh.Member) { m.Evacuations = next.End })
}

// mayStart reports whether tasks may be started in a data centre. A process that has just
// started and knows of no evacuations can't tell, and starts none.
func (c *Core) mayStart(dataCenter string) bool {
	return c.evacuations.Known() && !c.evacuations.Includes(dataCenter)
}

// Catalog brings a catalog into force if it is newer, and advertises its version. since is
// the time of the last read without it, or zero if that is unknown.
func (c *Core) Catalog(now time.Time, cat *catalog.Catalog, source string, since time.Time) {
	if !c.catalogs.Put(cat) {
		return
	}
	late, advertised := unknownDelay, unknownDelay
	if !since.IsZero() {
		late = now.Sub(since)
		c.catalogDelays = append(c.catalogDelays, late)
	}
	if !c.copy.wantedSince.IsZero() {
		advertised = now.Sub(c.copy.wantedSince)
	}
	event.CatalogInForce.Log(c.log, "version", uint64(cat.Version), "queues", len(cat.Queues), "pools", len(cat.Pools), "source", source, "late_ms_at_most", late.Milliseconds(), "advertised_ms", advertised.Milliseconds())
	c.cell.SetPools(cat.Pools)
	for name, stats := range c.poolStats {
		stats.EnforcesCapacity = c.enforcesCapacity(name)
	}
	c.resetCopy(now)
	c.Advertise(now, func(m *mesh.Member) { m.Catalog = cat.Version })
}

// evacuationsQuery is a request for evacuations that may still be answered.
type evacuationsQuery struct {
	// after is what the member has advertised, asked the member, at when.
	after registry.Offset
	asked mesh.ID
	at    time.Time
}

// evacuationsTimeout is the time without an answer after which another member is asked.
const evacuationsTimeout = 200 * time.Millisecond

// requestEvacuations asks a member for the evacuations if it knows later ones: the store may
// reject this process while it serves the others. It asks one member at a time, since each
// change of the operator's topic makes all of them advertise a later offset at once.
func (c *Core) requestEvacuations(now time.Time, m mesh.Member) {
	q := &c.evacuationsQuery
	waits := q.after >= m.Evacuations && now.Sub(q.at) < evacuationsTimeout
	if m.Evacuations <= c.evacuations.End || waits {
		return
	}
	*q = evacuationsQuery{after: m.Evacuations, asked: m.ID, at: now}
	c.send(now, m.ID, Message{EvacuationsRequest: &EvacuationsRequest{After: m.Evacuations}})
}

// retryEvacuations asks another member if the one that was asked has not answered in time.
func (c *Core) retryEvacuations(now time.Time) {
	q := c.evacuationsQuery
	if q.after <= c.evacuations.End || now.Sub(q.at) < evacuationsTimeout {
		return
	}
	c.evacuationsQuery = evacuationsQuery{}
	ids := sortedIDs(c.members)
	next := max(0, slices.IndexFunc(ids, func(id mesh.ID) bool { return id.Compare(q.asked) > 0 }))
	for _, id := range slices.Concat(ids[next:], ids[:next]) {
		c.requestEvacuations(now, c.members[id].Member)
	}
}

// answerEvacuationsRequest sends the evacuations to a member.
func (c *Core) answerEvacuationsRequest(now time.Time, from mesh.ID) {
	if c.evacuations.Known() {
		e := c.evacuations
		c.send(now, from, Message{Evacuations: &e})
	}
}
