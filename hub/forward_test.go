package hub

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/roster"
	"snipehub.example/ticket"
)

// The owner of an identity is unreachable, dies, restarts or stops. A caller that retries
// through another dispatcher must get the known outcome, and its order must not start
// twice.
func TestForwardToOwner(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(w *world, owner *node)
		code   refusal.Code
		ran    refusal.Ran
	}{
		{"nothing happened", func(*world, *node) {}, "", ""},
		{"request lost", func(w *world, o *node) { w.requestsLost[o.at] = true }, refusal.OwnerUnreachable, refusal.RanUnknown},
		{"answer lost", func(w *world, o *node) { w.answersLost[o.at] = true }, refusal.OwnerUnreachable, refusal.RanUnknown},
		{"suspect", func(_ *world, o *node) { o.suspect = true }, refusal.OwnerUnreachable, refusal.RanUnknown},
		{"killed", func(_ *world, o *node) { o.down = true }, refusal.OwnerUnreachable, refusal.RanUnknown},
		{"killed and gone", func(_ *world, o *node) { o.down, o.gone = true, true }, refusal.OwnerGone, refusal.RanUnknown},
		{"killed and restarted", func(w *world, _ *node) { w.startNode(0) }, refusal.OwnerGone, refusal.RanUnknown},
		{"restarted unnoticed", func(w *world, o *node) { w.startNode(0); o.gone = false }, refusal.OwnerGone, refusal.RanUnknown},
		{"stopped", func(_ *world, o *node) { o.stopPlanned() }, "", ""},
		{"stopped and gone", func(_ *world, o *node) { o.stopPlanned(); o.gone = true }, "", ""},
		{"stopped, then the holders too", func(w *world, o *node) { o.stopPlanned(); w.nodes[2].stopPlanned(); w.nodes[3].stopPlanned() }, "", ""},
		{"stopped, one holder killed", func(w *world, o *node) { o.stopPlanned(); w.holder().down = true }, "", ""},
		{"stopped at the same time as others", func(w *world, o *node) {
			for _, n := range w.nodes[2:] {
				n.stopping = true
			}
			o.stopPlanned()
			for _, n := range w.nodes[2:] {
				n.down = true
			}
		}, "", ""},
		{"stopped, gone, all holders unreachable", func(w *world, o *node) {
			o.stopPlanned()
			o.gone = true
			for _, n := range w.nodes {
				n.jobService.fwd.closedStore = job.NewClosedStore(0, 0, w.clock)
				w.requestsLost[n.at] = true
			}
		}, refusal.OwnerUnreachable, refusal.RanUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(5)
			id := w.nodes[0].mint().Job(0)
			if _, err := w.nodes[1].submitWithID(id, `1`); err != nil {
				t.Fatal(err)
			}
			w.nodes[0].finishOldest()
			c.inject(w, w.nodes[0])
			a, err := w.nodes[1].submitWithID(id, `1`)
			if got, ran := code(err); got != c.code || ran != c.ran {
				t.Errorf("refusal %v, want %s", err, c.code)
			}
			if err == nil && (a.State != job.Done || string(a.Tasks[0].Answer) != `1`) {
				t.Errorf("answer %+v", a)
			}
			if w.starts[`1`] != 1 {
				t.Errorf("%d starts", w.starts[`1`])
			}
		})
	}
}

// The owner has stopped, and a copy of a submission that it never received arrives at
// another dispatcher. It must be refused as "not run", permanently and by every
// dispatcher.
func TestHoldersStartNothing(t *testing.T) {
	w := newWorld(4)
	tk := w.nodes[0].mint()
	_, _ = w.nodes[0].submitWithID(tk.Job(0), `1`)
	w.nodes[0].stopPlanned()
	for _, n := range w.nodes[1:] {
		for _, seq := range []uint64{1, 50} {
			_, err := n.submitWithID(tk.Job(seq), `2`)
			if got, ran := code(err); got != refusal.Stopping || ran != refusal.RanNo {
				t.Errorf("%v", err)
			}
		}
		_, err := n.submitWithID(tk.Job(0), `3`)
		if got, _ := code(err); got != refusal.Mismatch {
			t.Errorf("%v", err)
		}
		_, err = n.jobService.Lookup(context.Background(), teranga, tk.Job(0))
		if got, _ := code(err); got != refusal.NotFound {
			t.Errorf("another caller: %v", err)
		}
	}
	if w.starts[`2`] != 0 {
		t.Errorf("%d starts", w.starts[`2`])
	}
}

// The stop deadline passes while a job runs on a hung backend server, so its outcome is
// unknown. If a holder reported "not run", the caller would order again, and a second van
// might be sent.
func TestClosedWhileRunning(t *testing.T) {
	w := newWorld(3)
	id := w.nodes[0].mint().Job(0)
	_, _ = w.nodes[0].submitWithID(id, `1`)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = w.nodes[0].jobService.owner.Stop(ctx)
	w.nodes[0].jobService.fwd.transferClosed(context.Background(), w.nodes[0].jobService.owner.ClosedParts(1<<20))
	w.nodes[0].down = true
	_, err := w.nodes[1].submitWithID(id, `1`)
	if got, ran := code(err); got != refusal.OwnerGone || ran != refusal.RanUnknown {
		t.Errorf("%v", err)
	}
}

// hangingNet is a network on which no call is answered.
type hangingNet struct{}

func (hangingNet) Call(ctx context.Context, _ netip.AddrPort, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// The owner is suspended after it received a forwarded job. Its connection stays open, so
// the caller would wait until its own timeout. Once the owner is suspect, the caller must
// be told to retry with the same identity.
func TestFrozenOwner(t *testing.T) {
	for _, gone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { testFrozenOwner(t, gone) })
	}
}

func testFrozenOwner(t *testing.T, gone bool) {
	w := newWorld(2)
	id := w.nodes[0].mint().Job(0)
	f := w.nodes[1].jobService.fwd
	f.net = hangingNet{}
	var err error
	go func() { _, err = w.nodes[1].submitWithID(id, `1`) }()
	synctest.Wait()
	f.cancelLostCalls(w.now)
	synctest.Wait()
	if err != nil {
		t.Fatalf("given up on a live owner: %v", err)
	}
	w.nodes[0].suspect, w.nodes[0].gone = true, gone
	f.cancelLostCalls(w.now)
	time.Sleep(peerQueryTimeout)
	synctest.Wait()
	if got, _ := code(err); got != refusal.OwnerUnreachable {
		t.Errorf("%v", err)
	}
}

// A dispatcher that has just started does not know the owner, but a peer does.
func TestSearch(t *testing.T) {
	w := newWorld(3)
	id := w.nodes[0].mint().Job(0)
	n := w.nodes[1]
	n.jobService.fwd.members = unawareRoster{n}
	if _, err := n.submitWithID(id, `1`); err != nil {
		t.Error(err)
	}
	id.Process = "unheard"
	_, err := n.submitWithID(id, `1`)
	if got, _ := code(err); got != refusal.OwnerUnreachable {
		t.Errorf("%v", err)
	}
}

// unawareRoster is a roster that lists the peers but finds no owner.
type unawareRoster struct{ *node }

func (unawareRoster) Find(time.Time, ticket.Owner) (k roster.Known, ok bool) { return k, false }

// Closed state comes from another process: invalid state must not crash its holder.
func FuzzClosed(f *testing.F) {
	w := newWorld(1)
	n := w.nodes[0]
	_, _ = n.submitWithID(n.mint().Job(0), `1`)
	n.finishOldest()
	b, err := json.Marshal(n.jobService.owner.ClosedParts(1 << 20)[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b, uint64(0))
	f.Fuzz(func(_ *testing.T, b []byte, seq uint64) {
		var c job.ClosedPart
		if json.Unmarshal(b, &c) != nil {
			return
		}
		h := job.NewClosedStore(1<<20, time.Hour, w.clock)
		h.AddPart(c)
		for _, t := range c.Tickets {
			_, _ = h.Answer(t.Caller, ticket.ID{Owner: c.Owner, Number: t.Number}.Job(seq), 0)
		}
		h.ClosedParts()
	})
}

// The only dispatcher of a deployment was killed and restarted. No other process can know
// its earlier tickets, so their callers must not be told to retry.
func TestAlone(t *testing.T) {
	w := newWorld(1)
	id := w.nodes[0].mint().Job(0)
	n := w.startNode(0)
	w.nodes = []*node{n}
	_, err := n.submitWithID(id, `1`)
	if got, _ := code(err); got != refusal.OwnerGone {
		t.Errorf("%v", err)
	}
}
