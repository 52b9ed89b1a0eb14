package node

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// Processes read the operator's configuration from the store. One that the store does not
// answer copies it from a member, in parts and from one member at a time. If each process
// asked all members that advertise a new version, the copies would fill the links of small
// VMs for longer than their sessions last, and with each new session it would ask again.

// CatalogRequest asks a member for a part of its catalog.
type CatalogRequest struct {
	// Version and Sum identify the packed catalog of which the parts before From have
	// arrived. If the member has another one, it begins with the first part of that.
	Version catalog.Version `cbor:"1,keyasint,omitzero"`
	Sum     uint32          `cbor:"2,keyasint,omitzero"`
	From    int             `cbor:"3,keyasint,omitzero"`
}

// CatalogPart is a part of a packed catalog.
type CatalogPart struct {
	Version catalog.Version `cbor:"1,keyasint,omitzero"`
	Sum     uint32          `cbor:"2,keyasint,omitzero"`
	// Size is the length of the whole in bytes, From the offset of Content in it.
	Size    int    `cbor:"3,keyasint,omitzero"`
	From    int    `cbor:"4,keyasint,omitzero"`
	Content []byte `cbor:"5,keyasint,omitzero"`
}

const (
	// maxPartBytes bounds a part. A part delays heartbeats and tasks on the same link by
	// some milliseconds.
	maxPartBytes = 16 << 10
	// copyDelay is how long after a member has advertised a newer catalog this process
	// copies it: most have read it from the store by then.
	copyDelay = 400 * time.Millisecond
	// partTimeout is the time without a part after which another member is asked. Parts that
	// arrive later are used as well.
	partTimeout = 500 * time.Millisecond
)

// catalogCopy is the state of copying a newer catalog from members.
type catalogCopy struct {
	// wantedSince is when a member first advertised a newer catalog, zero while none does.
	wantedSince time.Time
	// source is the member that was asked last, at askedAt; tried are those that were asked
	// and did not deliver in time.
	source  mesh.ID
	askedAt time.Time
	tried   map[mesh.ID]struct{}
	// packed is what has arrived of the catalog, size the length of the whole.
	packed catalog.Packed
	size   int
	// unpacking is set while the whole is being decoded.
	unpacking bool
}

// packedCatalog is the catalog in force as it is sent to members.
type packedCatalog struct {
	catalog.Packed
	// waiting are the requests that arrived while it was being packed.
	packing bool
	waiting map[mesh.ID]CatalogRequest
}

// noteCatalog takes note of the catalog that a member advertises.
func (c *Core) noteCatalog(now time.Time, m mesh.Member) {
	if m.Catalog > c.catalogs.Current().Version && c.copy.wantedSince.IsZero() {
		c.copy.wantedSince = now
	}
	c.updateCopy(now)
}

// resetCopy begins anew once a catalog has come into force.
func (c *Core) resetCopy(now time.Time) {
	unpacking := c.copy.unpacking
	c.copy = catalogCopy{unpacking: unpacking}
	if len(c.copySources()) > 0 {
		c.copy.wantedSince = now
	}
}

// updateCopy asks a member for the next part of a newer catalog, if that is due.
func (c *Core) updateCopy(now time.Time) {
	switch {
	case c.copy.wantedSince.IsZero() || c.copy.unpacking:
		return
	case !c.copy.askedAt.IsZero() && c.sourceConnected() && now.Sub(c.copy.askedAt) < partTimeout:
		return
	case !c.needsCopy() && now.Sub(c.copy.wantedSince) < copyDelay:
		return
	}
	if c.copy.tried == nil {
		c.copy.tried = make(map[mesh.ID]struct{})
	}
	if !c.copy.askedAt.IsZero() {
		c.copy.tried[c.copy.source] = struct{}{}
	}
	m, ok := c.chooseSource()
	if !ok {
		c.copy = catalogCopy{}
		return
	}
	event.CatalogRequested.Log(c.log, "member", m.VM, "id", m.ID, "version", uint64(m.Catalog), "have", uint64(c.catalogs.Current().Version), "arrived", len(c.copy.packed.Content), "size", c.copy.size)
	c.copy.source = m.ID
	c.requestPart(now)
}

// needsCopy reports whether this process can't expect to read the catalog soon, or can't
// serve without one.
func (c *Core) needsCopy() bool {
	return c.self.StoreUnreachable || c.catalogs.Current().Version == 0
}

func (c *Core) sourceConnected() bool {
	_, ok := c.members[c.copy.source]
	return ok
}

// copySources returns the members that advertise a newer catalog.
func (c *Core) copySources() (sources []mesh.Member) {
	have := c.catalogs.Current().Version
	for _, m := range c.members {
		if m.Catalog > have {
			sources = append(sources, m.Member)
		}
	}
	return sources
}

// chooseSource returns the next member to copy from: one that was not tried yet, rather in
// the same data centre. Among those, processes choose different ones.
func (c *Core) chooseSource() (mesh.Member, bool) {
	sources := c.copySources()
	if len(sources) == 0 {
		return mesh.Member{}, false
	}
	untried := func(m mesh.Member) bool { _, tried := c.copy.tried[m.ID]; return !tried }
	if !slices.ContainsFunc(sources, untried) {
		clear(c.copy.tried)
	}
	return slices.MinFunc(sources, func(x, y mesh.Member) int {
		return cmp.Or(
			-compareBool(untried(x), untried(y)),
			-compareBool(x.DataCenter == c.self.DataCenter, y.DataCenter == c.self.DataCenter),
			cmp.Compare(c.affinity(x.ID), c.affinity(y.ID)),
			x.ID.Compare(y.ID),
		)
	}), true
}

// affinity orders members differently for each process.
func (c *Core) affinity(id mesh.ID) uint64 {
	h := fnv.New64a()
	for _, i := range []mesh.ID{c.self.ID, id} {
		address := i.Address.Addr().As16()
		_, _ = h.Write(address[:])
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, i.Boot))
	}
	return h.Sum64()
}

func (c *Core) requestPart(now time.Time) {
	c.copy.askedAt = now
	c.catalogParts.Requested++
	p := c.copy.packed
	c.send(now, c.copy.source, Message{CatalogRequest: &CatalogRequest{Version: p.Version, Sum: p.Sum, From: len(p.Content)}})
}

// handleCatalogPart adds a part to the copy, and asks its sender for the next one. Parts
// that do not continue the copy are dropped: they were requested twice, or belong to a
// version that a member has replaced meanwhile.
func (c *Core) handleCatalogPart(now time.Time, from mesh.ID, p CatalogPart) {
	c.catalogParts.Received++
	k := &c.copy
	if p.Version <= c.catalogs.Current().Version || k.unpacking || !p.valid() {
		return
	}
	if p.Version != k.packed.Version || p.Sum != k.packed.Sum || p.Size != k.size {
		if p.From != 0 || from != k.source && p.Version <= k.packed.Version {
			return
		}
		k.packed, k.size = catalog.Packed{Version: p.Version, Sum: p.Sum}, p.Size
	}
	if p.From != len(k.packed.Content) {
		return
	}
	k.packed.Content = append(k.packed.Content, p.Content...)
	k.source = from
	if len(k.packed.Content) < k.size {
		c.requestPart(now)
		return
	}
	k.unpacking = true
	whole := k.packed
	c.out = append(c.out, Output{Unpack: &whole})
}

func (p CatalogPart) valid() bool {
	return len(p.Content) > 0 && p.From >= 0 && p.Size <= catalog.MaxPackedBytes && p.From+len(p.Content) <= p.Size
}

// CatalogUnpacked handles the end of the decoding of a copied catalog, which is nil if it
// could not be decoded.
func (c *Core) CatalogUnpacked(now time.Time, p catalog.Packed, cat *catalog.Catalog, err error) {
	source := c.copy.source
	c.copy.unpacking = false
	if err != nil {
		event.CatalogCopyUnusable.Log(c.log, "version", uint64(p.Version), "id", source, "error", err)
		c.copy.packed, c.copy.size = catalog.Packed{}, 0
		c.copy.askedAt = now
		return
	}
	if p.Version > c.packed.Version {
		c.packed.Packed = p
	}
	c.Catalog(now, cat, source.String(), time.Time{})
}

// handleCatalogRequest sends a part of the catalog in force, or has it packed first.
func (c *Core) handleCatalogRequest(now time.Time, from mesh.ID, r CatalogRequest) {
	have := c.catalogs.Current()
	switch {
	case have.Version == 0:
	case c.packed.Version == have.Version:
		c.sendPart(now, from, r)
	default:
		if c.packed.waiting == nil {
			c.packed.waiting = make(map[mesh.ID]CatalogRequest)
		}
		c.packed.waiting[from] = r
		if !c.packed.packing {
			c.packed.packing = true
			c.out = append(c.out, Output{Pack: have})
		}
	}
}

// CatalogPacked handles the end of the encoding of a catalog.
func (c *Core) CatalogPacked(now time.Time, p catalog.Packed, err error) {
	waiting := c.packed.waiting
	c.packed.waiting, c.packed.packing = nil, false
	if err != nil {
		event.CatalogCopyUnusable.Log(c.log, "version", uint64(p.Version), "id", c.self.ID, "error", err)
		return
	}
	if p.Version > c.packed.Version {
		c.packed.Packed = p
	}
	for _, id := range sortedIDs(waiting) {
		c.sendPart(now, id, waiting[id])
	}
}

// sendPart sends what a member has asked for. Before the first part it sends the
// evacuations, so that the member does not start tasks by the catalog without them.
func (c *Core) sendPart(now time.Time, to mesh.ID, r CatalogRequest) {
	p := c.packed.Packed
	from := r.From
	if r.Version != p.Version || r.Sum != p.Sum || from < 0 || from >= len(p.Content) {
		from = 0
	}
	if from == 0 && c.evacuations.Known() {
		e := c.evacuations
		c.send(now, to, Message{Evacuations: &e})
	}
	c.catalogParts.Sent++
	end := min(from+maxPartBytes, len(p.Content))
	c.send(now, to, Message{CatalogPart: &CatalogPart{Version: p.Version, Sum: p.Sum, Size: len(p.Content), From: from, Content: p.Content[from:end]}})
}
