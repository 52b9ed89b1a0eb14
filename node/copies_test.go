package node

import (
	"fmt"
	"testing"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/mesh"
)

// manyRoutes returns a catalog that takes several parts.
func manyRoutes(v catalog.Version) *catalog.Catalog {
	c := &catalog.Catalog{Version: v}
	for i := range 6000 {
		c.Queues = append(c.Queues, catalog.Queue{Name: fmt.Sprintf("%x", uint64(i+1)*0x9e3779b97f4a7c15), Pool: "p"})
	}
	return c
}

// run carries out the outputs of a core that concern only itself, and returns all outputs.
func run(now time.Time, c *Core) (all []Output) {
	for out := c.Take(now); len(out) > 0; out = c.Take(now) {
		all = append(all, out...)
		for _, o := range out {
			switch {
			case o.Pack != nil:
				p, err := catalog.Pack(o.Pack)
				c.CatalogPacked(now, p, err)
			case o.Unpack != nil:
				cat, err := o.Unpack.Unpack()
				c.CatalogUnpacked(now, *o.Unpack, cat, err)
			}
		}
	}
	return all
}

// messagesFrom returns what a core sends to another one.
func messagesFrom(now time.Time, c, to *Core) []Message { return messagesTo(run(now, c), to.self.ID) }

// talk passes messages between two cores until they have none left. It calls seen after
// each message.
func talk(now time.Time, a, b *Core, seen func(Message)) {
	for more := true; more; {
		more = false
		for _, pair := range [][2]*Core{{a, b}, {b, a}} {
			for _, m := range messagesFrom(now, pair[0], pair[1]) {
				more = true
				pair[1].Receive(now, pair[0].self.ID, 1, []Message{m})
				seen(m)
			}
		}
	}
}

// parts returns the requests for parts of a catalog among the messages to a member.
func parts(out []Output, to mesh.ID) (requests []CatalogRequest) {
	for _, m := range messagesTo(out, to) {
		if m.CatalogRequest != nil {
			requests = append(requests, *m.CatalogRequest)
		}
	}
	return requests
}

// A member has a newer configuration, which this process may never get from the store.
func TestNewerCatalogOfAMember(t *testing.T) {
	a, b := newCore(1, 2), newCore(2, 1)
	a.Catalog(ms(1), manyRoutes(7), "store", time.Time{})
	a.MemberUp(ms(2), b.Self(), 1)
	b.MemberUp(ms(2), a.Self(), 1)
	received := 0
	count := func(m Message) {
		if m.CatalogPart != nil {
			received++
		}
	}
	b.Tick(ms(401))
	talk(ms(401), a, b, count)
	if received != 0 {
		t.Fatal("copied before the own read of the store had time")
	}
	b.Tick(ms(402))
	talk(ms(402), a, b, count)
	if v := b.Self().Catalog; v != 7 || received < 2 {
		t.Errorf("catalog version %d in %d parts, want 7 in several", v, received)
	}
	b.Catalog(ms(500), &catalog.Catalog{Version: 5}, "store", time.Time{})
	if v := b.Self().Catalog; v != 7 {
		t.Errorf("catalog version %d after an older one from the store, want 7", v)
	}
}

// A process whose store is known not to answer does not wait for its own read.
func TestProcessWithoutTheStoreCopiesAtOnce(t *testing.T) {
	a, b := newCore(1, 2), newCore(2, 1)
	a.Catalog(ms(1), manyRoutes(7), "store", time.Time{})
	a.MemberUp(ms(2), b.Self(), 1)
	b.Advertise(ms(2), func(m *mesh.Member) { m.StoreUnreachable = true })
	b.MemberUp(ms(2), a.Self(), 1)
	talk(ms(2), a, b, func(Message) {})
	if v := b.Self().Catalog; v != 7 {
		t.Errorf("catalog version %d, want 7", v)
	}
}

// copying returns a core that copies version 7 from one of two members, which have it, and
// the one that it has asked first.
func copying(t *testing.T) (c, first, second *Core) {
	t.Helper()
	c = newCore(3, 1, 2)
	sources := []*Core{newCore(1, 2, 3), newCore(2, 1, 3)}
	for _, s := range sources {
		s.Catalog(ms(1), manyRoutes(7), "store", time.Time{})
		s.MemberUp(ms(2), c.Self(), 1)
		s.Take(ms(2))
		c.MemberUp(ms(2), s.Self(), 1)
	}
	c.Tick(ms(410))
	out := c.Take(ms(410))
	for i, s := range sources {
		if r := parts(out, s.self.ID); len(r) == 1 {
			first, second = s, sources[1-i]
			first.Receive(ms(411), c.self.ID, 1, []Message{{CatalogRequest: &r[0]}})
		}
	}
	if first == nil || len(parts(out, second.self.ID)) != 0 {
		t.Fatal("want one of the two members asked")
	}
	return c, first, second
}

// All members advertise a new version at nearly the same time. If each process asked all of
// them, forty copies would fill the link of a small VM, and its sessions would end.
func TestOneMemberIsAskedAtATime(t *testing.T) {
	c, first, second := copying(t)
	for i := 411; i < 900; i += 50 {
		for _, s := range []*Core{first, second} {
			m := s.Self()
			m.Evacuations++
			c.MemberChanged(ms(i), m)
		}
		c.Tick(ms(i))
		out := c.Take(ms(i))
		if n := len(parts(out, first.self.ID)) + len(parts(out, second.self.ID)); n != 0 {
			t.Fatalf("at %d ms asked %d times again", i, n)
		}
	}
}

// The member is lost in the middle of a copy. The next one goes on where it has ended: on a
// link on which no session lasts for a whole copy, the process would never get it otherwise.
func TestCopyGoesOnWithAnotherMember(t *testing.T) {
	c, first, second := copying(t)
	firstParts := messagesFrom(ms(411), first, c)
	c.Receive(ms(412), first.self.ID, 1, firstParts)
	c.Take(ms(412))
	c.MemberDown(ms(413), first.self.ID, 1, ms(413))
	c.Tick(ms(414))
	r := parts(c.Take(ms(414)), second.self.ID)
	if len(r) != 1 || r[0].From != maxPartBytes {
		t.Fatalf("asked the second one for %+v, want the second part", r)
	}
	second.Receive(ms(415), c.self.ID, 1, []Message{{CatalogRequest: &r[0]}})
	talk(ms(415), c, second, func(Message) {})
	if v := c.Self().Catalog; v != 7 {
		t.Errorf("catalog version %d, want 7", v)
	}
}

// Each part takes longer than the time after which another member is asked, since the link
// is full. The copy must still come to an end.
func TestPartsThatComeLateAreUsed(t *testing.T) {
	c, first, second := copying(t)
	type delayed struct {
		due  time.Time
		from *Core
		m    Message
	}
	var onTheWay []delayed
	for now := ms(411); c.Self().Catalog != 7; now = now.Add(10 * time.Millisecond) {
		if now.After(ms(60_000)) {
			t.Fatal("no copy within a minute")
		}
		for _, s := range []*Core{first, second} {
			for _, m := range messagesFrom(now, s, c) {
				onTheWay = append(onTheWay, delayed{now.Add(700 * time.Millisecond), s, m})
			}
		}
		for len(onTheWay) > 0 && !now.Before(onTheWay[0].due) {
			c.Receive(now, onTheWay[0].from.self.ID, 1, []Message{onTheWay[0].m})
			onTheWay = onTheWay[1:]
		}
		c.Tick(now)
		out := run(now, c)
		for _, s := range []*Core{first, second} {
			for _, r := range parts(out, s.self.ID) {
				s.Receive(now, c.self.ID, 1, []Message{{CatalogRequest: &r}})
			}
		}
	}
}

// The operator publishes a further version in the middle of a copy. The parts of both must
// not be mixed.
func TestVersionChangesDuringACopy(t *testing.T) {
	c, first, _ := copying(t)
	c.Receive(ms(412), first.self.ID, 1, messagesFrom(ms(411), first, c))
	first.Catalog(ms(413), manyRoutes(8), "store", time.Time{})
	talk(ms(414), c, first, func(Message) {})
	if v := c.Self().Catalog; v != 8 {
		t.Errorf("catalog version %d, want 8", v)
	}
}

// A copy is damaged, or members of different builds pack a version differently. The copy is
// dropped and begun anew.
func TestDamagedCopyIsDropped(t *testing.T) {
	c, first, second := copying(t)
	damaged := 0
	c.Receive(ms(412), first.self.ID, 1, messagesFrom(ms(411), first, c))
	for now := ms(413); c.Self().Catalog != 7 && now.Before(ms(5000)); now = now.Add(50 * time.Millisecond) {
		c.Tick(now)
		out := run(now, c)
		for _, s := range []*Core{first, second} {
			for _, m := range messagesTo(out, s.self.ID) {
				s.Receive(now, c.self.ID, 1, []Message{m})
			}
			for _, m := range messagesFrom(now, s, c) {
				if m.CatalogPart != nil && damaged == 0 {
					damaged++
					p := *m.CatalogPart
					p.Content = append([]byte{^p.Content[0]}, p.Content[1:]...)
					m.CatalogPart = &p
				}
				c.Receive(now, s.self.ID, 1, []Message{m})
			}
		}
	}
	if v := c.Self().Catalog; v != 7 || damaged != 1 {
		t.Errorf("catalog version %d after %d damaged parts, want 7 after one", v, damaged)
	}
}

// Parts with impossible sizes must not be used.
func TestImpossibleParts(t *testing.T) {
	for _, p := range []CatalogPart{
		{Version: 7, Size: 10},
		{Version: 7, Size: 10, From: -1, Content: []byte{1}},
		{Version: 7, Size: 1, Content: []byte{1, 2}},
		{Version: 7, Size: catalog.MaxPackedBytes + 1, Content: []byte{1}},
	} {
		c, first, _ := copying(t)
		c.Receive(ms(412), first.self.ID, 1, []Message{{CatalogPart: &p}})
		if n := len(c.copy.packed.Content); n != 0 {
			t.Errorf("%+v: used %d bytes", p, n)
		}
	}
}
