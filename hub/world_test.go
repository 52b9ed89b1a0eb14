package hub

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/claim"
	"snipehub.example/dispatch"
	"snipehub.example/job"
	"snipehub.example/ledger"
	"snipehub.example/peer"
	"snipehub.example/refusal"
	"snipehub.example/roster"
	"snipehub.example/tables"
	"snipehub.example/ticket"
)

var (
	lake    = job.Caller{Name: "lakeshore"}
	teranga = job.Caller{Name: "teranga"}
)

// world simulates several dispatchers in one process. Owners, forwarders and holders are
// real; the network, the roster, the log and the backend servers are fakes.
type world struct {
	mu    sync.Mutex
	now   time.Time
	nodes []*node
	// requestsLost is set for addresses to which requests are lost, answersLost for those
	// whose answers are lost.
	requestsLost, answersLost map[netip.AddrPort]bool
	// starts counts the starts of each task at the backend servers, by the task's body.
	starts map[string]int
	limits job.Limits
	// incarnation is the newest incarnation so far.
	incarnation uint64
	// log holds the claims. logFault is one of the faults of the log, or empty.
	log      []ledger.Record
	logFirst ledger.Offset
	logFault string
}

// node is one incarnation of a dispatcher.
type node struct {
	w          *world
	self       ticket.Owner
	at         netip.AddrPort
	jobService *jobService
	// A node that is down answers no calls; gone and suspect are its state in every
	// roster.
	down, gone, suspect, stopping bool
	keys                          *claim.Core
	// submitErr is returned for submissions while it is set.
	submitErr   error
	submissions []dispatch.Submission
	// panics makes submissions panic. repeatable is the property of the test kind's
	// route.
	panics, repeatable bool
	// immediateResult, if set, ends each submission at once with this result.
	immediateResult *dispatch.Result
}

func newWorld(n int) *world {
	w := &world{
		now:          time.Unix(1.7e9, 0),
		requestsLost: make(map[netip.AddrPort]bool),
		answersLost:  make(map[netip.AddrPort]bool),
		starts:       make(map[string]int),
		limits:       job.Limits{Tickets: 64, Range: 100, Window: 4, KeptBytes: 1 << 20, AnswerRetention: time.Hour, JobTimeout: time.Minute},
	}
	for i := range n {
		w.startNode(i)
	}
	return w
}

// startNode starts a new incarnation of dispatcher i.
func (w *world) startNode(i int) *node {
	w.incarnation++
	n := &node{
		w:    w,
		self: ticket.Owner{DataCenter: "dc1", VM: fmt.Sprint("vm", i), Process: "hub", Incarnation: w.incarnation},
		at:   netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
	}
	for _, o := range w.nodes {
		if o.at == n.at {
			o.down, o.gone = true, true
		}
	}
	owner := job.New(n.self, n, w.limits, w.clock)
	fwd := &forwarder{
		log:         slog.New(slog.DiscardHandler),
		self:        n.self,
		address:     n.at,
		now:         w.clock,
		net:         w,
		members:     n,
		closedStore: job.NewClosedStore(1<<20, time.Hour, w.clock),
		stopping:    func() bool { return n.stopping },
		inFlight:    make(map[*inFlightCall]struct{}),
		unheldAt:    make(map[ticket.Owner]time.Time),
	}
	n.keys = claim.NewCore(claim.Config{Claims: 50, Pending: 20, Skew: keySkew, LogTimeout: time.Second, MarkerInterval: time.Minute}, owner.Reserve)
	n.jobService = &jobService{self: n.self, owner: owner, fwd: fwd, keys: n, tables: n.tables}
	w.nodes = append(w.nodes, n)
	return n
}

func (n *node) tables() *tables.State {
	st, err := tables.Build(0, tables.Rows{
		Routes: []tables.Route{{Kind: "price", Half: "north", Pool: "quick", Repeatable: n.repeatable}},
		Pools:  []tables.Pool{{Name: "quick", Half: "north"}},
	})
	if err != nil {
		panic(err)
	}
	return st
}

func (w *world) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *world) advance(d time.Duration) {
	w.mu.Lock()
	w.now = w.now.Add(d)
	w.mu.Unlock()
}

// Submit stands in for the dispatcher's queue, and records starts.
func (n *node) Submit(s dispatch.Submission) error {
	if n.panics {
		panic("broken")
	}
	if n.submitErr != nil {
		return n.submitErr
	}
	n.w.mu.Lock()
	for _, t := range s.Tasks {
		n.w.starts[string(t)]++
	}
	n.w.mu.Unlock()
	if n.immediateResult != nil {
		s.Done(0, *n.immediateResult)
		return nil
	}
	n.submissions = append(n.submissions, s)
	return nil
}

// Cancel does nothing: all submissions of the fake run to their end.
func (n *node) Cancel(string) {}

// finishOldest ends the oldest submission; each task is answered with its own body.
func (n *node) finishOldest() {
	if len(n.submissions) == 0 {
		return
	}
	s := n.submissions[0]
	n.submissions = n.submissions[1:]
	for i, t := range s.Tasks {
		s.Done(i, dispatch.Result{Ran: refusal.RanYes, Done: true, Answer: t})
	}
}

// stopPlanned performs a planned stop.
func (n *node) stopPlanned() {
	n.stopping = true
	for len(n.submissions) > 0 {
		n.finishOldest()
	}
	_ = n.jobService.owner.Stop(context.Background())
	n.jobService.fwd.transferClosed(context.Background(), append(n.jobService.owner.ClosedParts(1<<20), n.jobService.fwd.closedStore.ClosedParts()...))
	n.down = true
}

const keySkew = 10 * time.Second

// The faults of the log.
const (
	logDown          = "down"
	logSlow          = "slow"
	appendLost       = "append lost"
	appendAnswerLost = "answer lost"
	logDuplicate     = "appended twice"
)

// Resolve runs the real decisions about keys against the fake log, step by step.
func (n *node) Resolve(_ context.Context, caller, key string) (ticket.JobID, error) {
	n.readLog()
	id, p, err := n.keys.Request(n.w.now, caller, key)
	if p == nil {
		return id, err
	}
	batch, record := n.keys.Batch(n.w.now)
	n.w.append(n.keys, batch, record)
	if n.w.logFault != logSlow {
		n.readLog()
	}
	select {
	case <-p.Done:
		return p.ID, p.Err
	default:
		return ticket.JobID{}, refusal.New(refusal.LogDown, "")
	}
}

func (n *node) readLog() {
	w := n.w
	if w.logFault == logDown {
		n.keys.ReadFailed()
		return
	}
	from := max(n.keys.Offset(), w.logFirst)
	n.keys.Read(w.now, ledger.Page{First: w.logFirst, Next: w.logFirst + ledger.Offset(len(w.log)), Records: w.log[from-w.logFirst:]})
}

func (w *world) append(keys *claim.Core, batch []*claim.Pending, record []byte) {
	times := map[string]int{logDown: 0, appendLost: 0, logDuplicate: 2}
	n, ok := times[w.logFault]
	if !ok {
		n = 1
	}
	for range n {
		if record != nil {
			w.log = append(w.log, ledger.Record{Offset: w.logFirst + ledger.Offset(len(w.log)), At: w.now, Data: record})
		}
	}
	if n != 1 || w.logFault == appendAnswerLost {
		keys.AppendFailed(batch)
	}
}

// dropRecords drops the n oldest records of the log.
func (w *world) dropRecords(n int) {
	n = min(n, len(w.log))
	w.log = w.log[n:]
	w.logFirst += ledger.Offset(n)
}

// holder returns a node other than 0 and 1 that holds closed state, or node 0 if none
// does.
func (w *world) holder() *node {
	for _, n := range w.nodes[2:] {
		if held, _ := n.jobService.fwd.closedStore.Stats(); held > 0 {
			return n
		}
	}
	return w.nodes[0]
}

// Find implements members. All nodes see the same state of a member.
func (n *node) Find(_ time.Time, o ticket.Owner) (roster.Known, bool) {
	for _, m := range n.w.nodes {
		if m.self == o {
			return m.rosterEntry(), true
		}
	}
	return roster.Known{}, false
}

// All returns the other members.
func (n *node) All(time.Time) []roster.Known {
	var out []roster.Known
	for _, m := range n.w.nodes {
		if m != n {
			out = append(out, m.rosterEntry())
		}
	}
	return out
}

func (n *node) rosterEntry() roster.Known {
	k := roster.Known{Member: roster.Member{Owner: n.self, Address: n.at}, State: roster.Live}
	switch {
	case n.gone:
		k.State = roster.Gone
	case n.suspect:
		k.State = roster.Suspect
	}
	return k
}

// Call implements peerClient: world is the network between its nodes.
func (w *world) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	var n *node
	for _, m := range w.nodes {
		if m.at == to && !m.down {
			n = m
		}
	}
	if n == nil {
		return peer.ErrNotSent
	}
	if w.requestsLost[to] {
		return peer.ErrLost
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := n.serve(ctx, method, raw)
	if w.answersLost[to] {
		return peer.ErrLost
	}
	if err != nil {
		data, _ := json.Marshal(err)
		return &peer.Failure{Message: err.Error(), Data: data}
	}
	raw, err = json.Marshal(out)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (n *node) serve(ctx context.Context, method string, raw []byte) (any, error) {
	d := n.jobService
	switch method {
	case methodSubmit:
		return decodeAndCall(ctx, raw, d.owner.Submit)
	case methodRequest:
		return decodeAndCall(ctx, raw, d.owner.Request)
	case methodLookup:
		return decodeAndCall(ctx, raw, func(_ context.Context, r jobReference) (job.Answer, error) { return d.owner.Lookup(r.Caller, r.ID) })
	case methodFind:
		return decodeAndCall(ctx, raw, d.fwd.answerSearch)
	case methodHeld:
		return decodeAndCall(ctx, raw, d.fwd.answerHeld)
	case methodHold:
		return decodeAndCall(ctx, raw, d.fwd.holdPart)
	}
	return nil, errors.New(method)
}

func decodeAndCall[P, R any](ctx context.Context, raw []byte, fn func(context.Context, P) (R, error)) (any, error) {
	var p P
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	return fn(ctx, p)
}

// mint takes a ticket from the node.
func (n *node) mint() ticket.ID {
	g, err := n.jobService.Mint(context.Background(), lake)
	if err != nil {
		panic(err)
	}
	id, err := ticket.ParseID(g.Ticket)
	if err != nil {
		panic(err)
	}
	return id
}

// submitWithID submits an order of one task through the node.
func (n *node) submitWithID(id ticket.JobID, body string) (job.Answer, error) {
	s := job.Submission{Caller: lake, ID: id, Spec: job.Spec{Kind: "price", Tasks: []json.RawMessage{json.RawMessage(body)}}}
	return n.jobService.Submit(context.Background(), s)
}

// submitWithKey submits the order under a key of the caller's own.
func (n *node) submitWithKey(key, body string) (job.Answer, error) {
	s := job.Submission{Caller: lake, Key: key, Spec: job.Spec{Kind: "price", Tasks: []json.RawMessage{json.RawMessage(body)}}}
	return n.jobService.Submit(context.Background(), s)
}

// uuidAt returns the n-th UUIDv7 of a time.
func uuidAt(made time.Time, n int) string {
	ms := made.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

// code returns the code of a refusal and its statement whether the work ran.
func code(err error) (refusal.Code, refusal.Ran) {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r.Code, r.Ran
	}
	return "", ""
}
