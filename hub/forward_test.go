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

// The owner of an identity can't be reached, dies, is replaced or stops. The
// caller that comes back over another dispatcher learns what is known, and its
// order never goes out twice.
func TestForwardToOwner(t *testing.T) {
	for _, c := range []struct {
		name   string
		happen func(w *world, owner *node)
		code   refusal.Code
		ran    refusal.Ran
	}{
		{"nothing happened", func(*world, *node) {}, "", ""},
		{"request lost", func(w *world, o *node) { w.deaf[o.at] = true }, refusal.OwnerUnreachable, refusal.RanUnknown},
		{"answer lost", func(w *world, o *node) { w.mute[o.at] = true }, refusal.OwnerUnreachable, refusal.RanUnknown},
		{"suspect", func(_ *world, o *node) { o.suspect = true }, refusal.OwnerUnreachable, refusal.RanUnknown},
		{"killed", func(_ *world, o *node) { o.down = true }, refusal.OwnerUnreachable, refusal.RanUnknown},
		{"killed and gone", func(_ *world, o *node) { o.down, o.gone = true, true }, refusal.OwnerGone, refusal.RanUnknown},
		{"killed and restarted", func(w *world, _ *node) { w.boot(0) }, refusal.OwnerGone, refusal.RanUnknown},
		{"restarted unnoticed", func(w *world, o *node) { w.boot(0); o.gone = false }, refusal.OwnerGone, refusal.RanUnknown},
		{"stopped", func(_ *world, o *node) { o.stop() }, "", ""},
		{"stopped and gone", func(_ *world, o *node) { o.stop(); o.gone = true }, "", ""},
		{"stopped, then the holders too", func(w *world, o *node) { o.stop(); w.nodes[2].stop(); w.nodes[3].stop() }, "", ""},
		{"stopped, one holder killed", func(w *world, o *node) { o.stop(); w.holder().down = true }, "", ""},
		{"stopped at the same time as others", func(w *world, o *node) {
			for _, n := range w.nodes[2:] {
				n.stopping = true
			}
			o.stop()
			for _, n := range w.nodes[2:] {
				n.down = true
			}
		}, "", ""},
		{"stopped, gone, all holders deaf", func(w *world, o *node) {
			o.stop()
			o.gone = true
			for _, n := range w.nodes {
				n.desk.fwd.closedStore = job.NewClosedStore(0, 0, w.clock)
				w.deaf[n.at] = true
			}
		}, refusal.OwnerUnreachable, refusal.RanUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(5)
			id := w.nodes[0].mint().Job(0)
			if _, err := w.nodes[1].put(id, `1`); err != nil {
				t.Fatal(err)
			}
			w.nodes[0].finish()
			c.happen(w, w.nodes[0])
			a, err := w.nodes[1].put(id, `1`)
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

// The owner has stopped. A copy of a submission that it never saw arrives at
// another dispatcher: it is "not run", for good, with one holder or two.
func TestHoldersStartNothing(t *testing.T) {
	w := newWorld(4)
	tk := w.nodes[0].mint()
	_, _ = w.nodes[0].put(tk.Job(0), `1`)
	w.nodes[0].stop()
	for _, n := range w.nodes[1:] {
		for _, seq := range []uint64{1, 50} {
			_, err := n.put(tk.Job(seq), `2`)
			if got, ran := code(err); got != refusal.Stopping || ran != refusal.RanNo {
				t.Errorf("%v", err)
			}
		}
		_, err := n.put(tk.Job(0), `3`)
		if got, _ := code(err); got != refusal.Mismatch {
			t.Errorf("%v", err)
		}
		_, err = n.desk.Lookup(context.Background(), teranga, tk.Job(0))
		if got, _ := code(err); got != refusal.NotFound {
			t.Errorf("another caller: %v", err)
		}
	}
	if w.starts[`2`] != 0 {
		t.Errorf("%d starts", w.starts[`2`])
	}
}

// The stop's deadline passes while a job runs on a hung backend server. Its
// outcome is open; a holder that called it "not run" would send a second van.
func TestClosedWhileRunning(t *testing.T) {
	w := newWorld(3)
	id := w.nodes[0].mint().Job(0)
	_, _ = w.nodes[0].put(id, `1`)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = w.nodes[0].desk.owner.Stop(ctx)
	w.nodes[0].desk.fwd.handOver(context.Background(), w.nodes[0].desk.owner.ClosedParts(1<<20))
	w.nodes[0].down = true
	_, err := w.nodes[1].put(id, `1`)
	if got, ran := code(err); got != refusal.OwnerGone || ran != refusal.RanUnknown {
		t.Errorf("%v", err)
	}
}

// frozenNet never answers.
type frozenNet struct{}

func (frozenNet) Call(ctx context.Context, _ netip.AddrPort, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// The owner is frozen after it has taken a forwarded job. Its connection stays
// open, so the caller would wait without an answer until its own patience ends;
// once the owner is suspect it is told to come back with the same id.
func TestFrozenOwner(t *testing.T) {
	for _, gone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { frozenOwner(t, gone) })
	}
}

func frozenOwner(t *testing.T, gone bool) {
	w := newWorld(2)
	id := w.nodes[0].mint().Job(0)
	f := w.nodes[1].desk.fwd
	f.net = frozenNet{}
	var err error
	go func() { _, err = w.nodes[1].put(id, `1`) }()
	synctest.Wait()
	f.watch(w.now)
	synctest.Wait()
	if err != nil {
		t.Fatalf("given up on a live owner: %v", err)
	}
	w.nodes[0].suspect, w.nodes[0].gone = true, gone
	f.watch(w.now)
	time.Sleep(askTimeout)
	synctest.Wait()
	if got, _ := code(err); got != refusal.OwnerUnreachable {
		t.Errorf("%v", err)
	}
}

// A dispatcher that has just started hasn't heard of the owner, but a peer has.
func TestSearch(t *testing.T) {
	w := newWorld(3)
	id := w.nodes[0].mint().Job(0)
	n := w.nodes[1]
	n.desk.fwd.members = fresh{n}
	if _, err := n.put(id, `1`); err != nil {
		t.Error(err)
	}
	id.Process = "unheard"
	_, err := n.put(id, `1`)
	if got, _ := code(err); got != refusal.OwnerUnreachable {
		t.Errorf("%v", err)
	}
}

// fresh is a roster that lacks everybody's owners but knows the peers.
type fresh struct{ *node }

func (fresh) Find(time.Time, ticket.Owner) (k roster.Known, ok bool) { return k, false }

// A closed state comes from another process: what can't be one must not crash
// whoever holds it.
func FuzzClosed(f *testing.F) {
	w := newWorld(1)
	n := w.nodes[0]
	_, _ = n.put(n.mint().Job(0), `1`)
	n.finish()
	b, err := json.Marshal(n.desk.owner.ClosedParts(1 << 20)[0])
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

// The only dispatcher of a site was killed and started again. Nobody else can
// know of its earlier tickets, so their callers must not be told to come back.
func TestAlone(t *testing.T) {
	w := newWorld(1)
	id := w.nodes[0].mint().Job(0)
	n := w.boot(0)
	w.nodes = []*node{n}
	_, err := n.put(id, `1`)
	if got, _ := code(err); got != refusal.OwnerGone {
		t.Errorf("%v", err)
	}
}
