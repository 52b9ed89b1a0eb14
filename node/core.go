package node

import (
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Mail is a message between processes. One field is set.
type Mail struct {
	Ask      *cell.Ask        `cbor:"1,keyasint,omitzero"`
	Grant    *cell.Grant      `cbor:"2,keyasint,omitzero"`
	Refusal  *cell.Refusal    `cbor:"3,keyasint,omitzero"`
	Withdraw *cell.Withdrawal `cbor:"4,keyasint,omitzero"`
	Duty     *cell.Duty       `cbor:"5,keyasint,omitzero"`
	Relief   *cell.Relief     `cbor:"6,keyasint,omitzero"`
	Report   *cell.Report     `cbor:"7,keyasint,omitzero"`
	Drain    *cell.Drain      `cbor:"8,keyasint,omitzero"`
	Listing  *cell.Listing    `cbor:"9,keyasint,omitzero"`
	Want     *Want            `cbor:"10,keyasint,omitzero"`
	Catalog  *catalog.Catalog `cbor:"11,keyasint,omitzero"`
	Start    *entry.Start     `cbor:"12,keyasint,omitzero"`
	Stop     *entry.Stop      `cbor:"13,keyasint,omitzero"`
	Claim    *entry.Claim     `cbor:"14,keyasint,omitzero"`
	Ended    *entry.Ended     `cbor:"15,keyasint,omitzero"`
	Held     *entry.Held      `cbor:"16,keyasint,omitzero"`
	Unheld   *entry.Unheld    `cbor:"17,keyasint,omitzero"`
}

// Want asks a member for its catalog, of the version given or newer.
type Want struct {
	Version catalog.Version `cbor:"1,keyasint,omitzero"`
}

// Output is what a core asks its shell to do. One of the pointers is set.
type Output struct {
	// To is who Mail goes to.
	To     mesh.ID
	Mail   *Mail
	Answer *entry.Answered
	// Say is what the members are told of this process.
	Say   *mesh.Member
	Watch *Watch
	// Worker is whom Hold, Start or Stop goes to.
	Worker lease.Worker
	Hold   *lease.HoldCall
	Start  *lease.StartCall
	Stop   *lease.StopCall
}

const (
	// stopOrphans is how long after an entry process was last heard its runs are
	// stopped. It must end them before a caller that lost its connection comes
	// back over another process, which the platform lets it do after 1,300 ms;
	// it leaves a process whose connection broke time to connect again.
	stopOrphans = 900 * time.Millisecond
	// callersReturn is how long after a process was last heard the callers that it has lost
	// may come back over another one, with time for the worker to end what lapses.
	callersReturn = 1250 * time.Millisecond
)

// Core is the decisions of one process: the entry, the holder, the planner and
// who plays which part. It is a pure value: events and times go in, outputs come
// out, and one goroutine owns it.
type Core struct {
	log     *slog.Logger
	self    mesh.Member
	shelf   *catalog.Shelf
	members map[mesh.ID]peerState
	known   map[netip.AddrPort]struct{}
	planner mesh.ID
	// divided tells that each data centre is a cell of its own.
	divided bool
	// reader is who reads the platform's list of workers for the planner.
	reader mesh.ID
	// list is the platform's list of workers, of this process as the planner or of the
	// planner that it is a deputy of; deputies are whom this one tells it as the planner.
	list     workerList
	deputies map[mesh.ID]struct{}
	entry    *entry.Book
	cell     *cell.Book
	held     map[string]*lease.Book
	// order is the names of the workers held, sorted; nil when they have changed. They
	// are gone through after each event.
	order  []string
	habits map[string]*lease.Habits
	// fresh are the workers held since the members were last told.
	fresh []string
	// spent is the highest fence of the holdings that have ended here.
	spent lease.Fence
	// lost are the entry processes out of sight and when they were last heard.
	lost map[mesh.ID]time.Time
	// watched are the members that are watched; alarm is until when all are.
	watched map[mesh.ID]struct{}
	alarm   time.Time
	// met tells that more than half of the processes that the store lists are in
	// sight, metSince is since when.
	met      bool
	metSince time.Time
	// reported is when the planner was last told which workers are held, zero while it
	// still has to be; described when it was told all about them.
	reported, described time.Time
	// changed is when the planner was last told what has changed.
	changed time.Time
	out     []Output
}

// peerState is a member in sight and the session with it.
type peerState struct {
	mesh.Member
	session uint64
}

// NewCore makes the core of a process.
func NewCore(log *slog.Logger, self mesh.Member, shelf *catalog.Shelf, policy cell.Policy) *Core {
	return &Core{
		log:     log,
		self:    self,
		shelf:   shelf,
		members: make(map[mesh.ID]peerState),
		known:   make(map[netip.AddrPort]struct{}),
		entry:   entry.New(log),
		cell:    cell.New(log, self.ID, policy),
		held:    make(map[string]*lease.Book),
		habits:  make(map[string]*lease.Habits),
		lost:    make(map[mesh.ID]time.Time),
		watched: make(map[mesh.ID]struct{}),
	}
}

// Self returns what this process says of itself.
func (c *Core) Self() mesh.Member { return c.self }

// Planner returns who plans, zero for nobody.
func (c *Core) Planner() mesh.ID { return c.planner }

// Plans tells whether this process plans.
func (c *Core) Plans() bool { return c.cell.Active() }

// Idle tells that nothing of callers is under way and no worker is held.
func (c *Core) Idle() bool { return c.entry.Len() == 0 && len(c.held) == 0 }

// Take settles what has come up and returns the outputs.
func (c *Core) Take(now time.Time) []Output {
	c.settle(now)
	c.report(now)
	c.settle(now)
	out := c.out
	c.out = nil
	return out
}

// settle passes the actions of the books on until there are none.
func (c *Core) settle(now time.Time) {
	for c.step(now) {
	}
}

func (c *Core) step(now time.Time) bool {
	c.cell.Place(now)
	entries, plans := c.entry.Take(), c.cell.Take()
	for _, a := range entries {
		c.fromEntry(now, a)
	}
	for _, a := range plans {
		c.fromCell(now, a)
	}
	more := len(entries)+len(plans) > 0
	for _, id := range c.heldIDs() {
		b := c.held[id]
		acts := b.Take()
		more = more || len(acts) > 0
		for _, a := range acts {
			c.fromLease(now, b, a)
		}
	}
	return more
}

func (c *Core) fromEntry(now time.Time, a entry.Action) {
	switch {
	case a.Answer != nil:
		c.out = append(c.out, Output{Answer: a.Answer})
	case a.Ask != nil:
		c.send(now, c.asked(a.To), Mail{Ask: a.Ask})
	case a.Withdraw != nil:
		c.send(now, c.asked(a.To), Mail{Withdraw: a.Withdraw})
	case a.Start != nil:
		c.watch(a.To)
		c.send(now, a.To, Mail{Start: a.Start})
	case a.Stop != nil:
		c.send(now, a.To, Mail{Stop: a.Stop})
	case a.Claim != nil:
		c.watch(a.To)
		c.send(now, a.To, Mail{Claim: a.Claim})
	}
}

// asked is the planner that a message about a job goes to.
func (c *Core) asked(other mesh.ID) mesh.ID {
	if other == (mesh.ID{}) {
		return c.planner
	}
	c.watch(other)
	return other
}

func (c *Core) fromCell(now time.Time, a cell.Action) {
	c.send(now, a.To, Mail{Grant: a.Grant, Refusal: a.Refusal, Duty: a.Duty, Relief: a.Relief, Drain: a.Drain})
}

func (c *Core) fromLease(now time.Time, b *lease.Book, a lease.Action) {
	w := b.Worker()
	switch {
	case a.Hold != nil:
		c.out = append(c.out, Output{Worker: w, Hold: a.Hold})
	case a.Start != nil:
		c.out = append(c.out, Output{Worker: w, Start: a.Start})
	case a.Stop != nil:
		c.out = append(c.out, Output{Worker: w, Stop: a.Stop})
	case a.Tell != nil:
		if a.Tell.End.Why == lease.TextDiffers {
			event.TextDiffers.Log(c.log, "worker", w.ID, "task", a.Tell.End.Task, "run", a.Tell.End.Number, "owner", a.Tell.Owner)
		}
		c.send(now, a.Tell.Owner, Mail{Ended: &entry.Ended{Worker: w.ID, End: a.Tell.End}})
	case a.Held:
		event.WorkerHeld.Log(c.log, "worker", w.ID, "fence", uint64(b.Fence()))
		c.fresh = append(c.fresh, w.ID)
		if b.Claiming() {
			c.announceFresh(now)
		}
	}
}

// send delivers a message, to this process itself without the mesh.
func (c *Core) send(now time.Time, to mesh.ID, m Mail) {
	switch {
	case to == (mesh.ID{}):
	case to == c.self.ID:
		c.receive(now, to, m)
	default:
		c.out = append(c.out, Output{To: to, Mail: &m})
	}
}

// up returns the members in sight, this process included, in order.
func (c *Core) up() []mesh.Member {
	out := []mesh.Member{c.self}
	for _, m := range c.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(x, y mesh.Member) int { return x.ID.Compare(y.ID) })
	return out
}

// Receive takes messages of a member. Those of a session that is over are dropped:
// what they say has been settled otherwise since.
func (c *Core) Receive(now time.Time, from mesh.ID, session uint64, mail []Mail) {
	if c.members[from].session != session {
		return
	}
	for _, m := range mail {
		c.receive(now, from, m)
	}
}

func (c *Core) receive(now time.Time, from mesh.ID, m Mail) {
	switch {
	case m.Ask != nil:
		c.cell.Ask(now, from, *m.Ask)
	case m.Withdraw != nil:
		c.cell.Withdraw(*m.Withdraw)
	case m.Report != nil:
		c.cell.Report(now, from, *m.Report)
	case m.Grant != nil:
		c.entry.Grant(now, from, *m.Grant)
	case m.Refusal != nil:
		c.entry.Refused(now, from, *m.Refusal)
	case m.Ended != nil:
		c.entry.Ended(now, from, *m.Ended)
	case m.Held != nil:
		c.entry.Held(from, m.Held.Worker, m.Held.Fence)
	case m.Unheld != nil:
		c.entry.Unheld(now, from, m.Unheld.Worker)
	case m.Duty != nil:
		c.take(now, *m.Duty)
	case m.Drain != nil:
		if b := c.held[m.Drain.Worker]; b != nil {
			b.Drain()
		}
	case m.Listing != nil:
		c.listing(now, from, *m.Listing)
	case m.Want != nil:
		if have := c.shelf.Current(); have.Version != 0 {
			c.send(now, from, Mail{Catalog: have})
		}
	case m.Catalog != nil:
		c.Catalog(now, m.Catalog, "member")
	case m.Relief != nil:
		c.release(now, m.Relief.Worker)
	case m.Start != nil:
		c.watch(from)
		c.start(now, from, *m.Start)
	case m.Stop != nil:
		c.stop(now, *m.Stop)
	case m.Claim != nil:
		c.watch(from)
		c.claim(now, from, *m.Claim)
	}
}

// Submit takes in a job of a caller.
func (c *Core) Submit(now time.Time, w entry.Waiter, r entry.Request) { c.entry.Submit(now, w, r) }

// Leave takes note that a caller has gone.
func (c *Core) Leave(now time.Time, w entry.Waiter) { c.entry.Leave(now, w) }

// Cancel stops a job.
func (c *Core) Cancel(now time.Time, id string) bool { return c.entry.Cancel(now, id) }

// State tells of a job.
func (c *Core) State(id string) (bool, *entry.Answer, bool) { return c.entry.State(id) }

// NotStarted counts the runs of this process's jobs that were not started for a reason.
func (c *Core) NotStarted(why lease.Reason) int64 { return c.entry.Counts().NotStarted[why] }

// Pending counts the waiting jobs of a queue.
func (c *Core) Pending(queue string) int { return c.entry.Pending(queue) }

// Held takes the answer to a hold call.
func (c *Core) Held(now time.Time, worker string, call lease.HoldCall, r lease.Result) {
	if b := c.held[worker]; b != nil {
		b.Answered(now, call, r)
	}
}

// Started takes the answer to a start.
func (c *Core) Started(now time.Time, worker string, call lease.StartCall, r lease.Result) {
	if b := c.held[worker]; b != nil {
		b.Started(now, call, r)
	}
}

// Workers takes what the platform lists, as this process has read it, for the
// planner.
func (c *Core) Workers(now time.Time, l cell.Listing) { c.send(now, c.planner, Mail{Listing: &l}) }

// Catalog brings a catalog into force if it is newer, and tells the others.
func (c *Core) Catalog(now time.Time, cat *catalog.Catalog, source string) {
	if !c.shelf.Put(cat) {
		return
	}
	event.CatalogInForce.Log(c.log, "version", uint64(cat.Version), "queues", len(cat.Queues), "pools", len(cat.Pools), "source", source)
	c.Say(now, func(m *mesh.Member) { m.Catalog = cat.Version })
}

// wants asks a member for its catalog if that is newer: the store may turn this
// process away while it serves the others.
func (c *Core) wants(now time.Time, m mesh.Member) {
	if m.Catalog > c.shelf.Current().Version {
		c.send(now, m.ID, Mail{Want: &Want{Version: m.Catalog}})
	}
}

// Tick does what is due.
func (c *Core) Tick(now time.Time) {
	for _, id := range slices.SortedFunc(maps.Keys(c.lost), mesh.ID.Compare) {
		if now.Sub(c.lost[id]) > stopOrphans {
			c.ownerLost(now, id)
		}
	}
	for _, id := range c.heldIDs() {
		c.held[id].Tick(now)
	}
	c.cell.Tick(now)
	c.entry.Tick(now)
	c.announceFresh(now)
	c.review(now)
}

func (c *Core) ownerLost(now time.Time, id mesh.ID) {
	delete(c.lost, id)
	for _, w := range c.heldIDs() {
		c.held[w].OwnerLost(now, id)
	}
}

// Thawed takes note that the process did not run for a while: its jobs are given
// up, and its leases are looked at before anything else is done.
func (c *Core) Thawed(now time.Time) {
	c.metSince = now
	c.entry.Thawed(now)
	for _, id := range c.heldIDs() {
		c.held[id].Thawed(now)
	}
}
