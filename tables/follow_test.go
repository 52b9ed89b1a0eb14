package tables

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
	"snipehub.example/ledger"
)

// fakeLog is an in-memory log that returns one record per page.
type fakeLog struct {
	records []ledger.Record
	down    bool
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (ledger.Offset, error) {
	if l.down {
		return ledger.None, errors.New("down")
	}
	off := ledger.Offset(len(l.records))
	l.records = append(l.records, ledger.Record{Offset: off, At: time.Now(), Data: data})
	return off, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from ledger.Offset, wait time.Duration) (ledger.Page, error) {
	if int(from) >= len(l.records) {
		clock.Sleep(ctx, wait)
	}
	if l.down || ctx.Err() != nil {
		return ledger.Page{}, errors.New("down")
	}
	end := ledger.Offset(len(l.records))
	next := min(from+1, end)
	return ledger.Page{Next: next, End: end, Records: l.records[min(from, end):next]}, nil
}

func (l *fakeLog) follower(seed uint64) *Follower {
	cfg := Config{Poll: 2 * time.Second, SnapshotInterval: 10 * time.Minute, Settle: 8 * time.Second, Changed: func() {}}
	return New(slog.New(slog.DiscardHandler), l, cfg, rand.New(rand.NewPCG(seed, 0)))
}

// move returns an edit that moves one server to the pool of the half and out of the
// other.
func move(base Version, half string) Edit {
	a := netip.MustParseAddrPort("10.0.0.1:9000")
	e := Edit{ID: half, Base: base}
	e.Put.Pools = []Pool{{Name: "north", Half: "north"}, {Name: "south", Half: "south"}}
	e.Put.Servers = []Server{{Pool: half, Address: a, Slots: 1}}
	other := map[string]string{"north": "south", "south": "north"}
	e.Drop.Servers = []ServerKey{{other[half], a}}
	return e
}

// A dispatcher starts with a long backlog to read. If the first page counted as a
// confirmation, it would place work by tables that are known to be outdated, on backend
// servers that now belong to the other half.
func TestBacklogDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		for i, half := range []string{"north", "south", "north"} {
			b, _ := json.Marshal(move(Version(i-1), half))
			_, _ = l.Append(t.Context(), Stream, b)
		}
		f := l.follower(1)
		for want := range 2 {
			f.readOnce(t.Context())
			if f.State().Version != Version(want) || !f.Confirmed().IsZero() {
				t.Fatalf("version %d, confirmed as of %v before the end of the log", f.State().Version, f.Confirmed())
			}
		}
		f.readOnce(t.Context())
		if f.Confirmed().IsZero() {
			t.Fatal("not confirmed at the end of the log")
		}
		was := f.Confirmed()
		f.Confirm(7, was.Add(time.Hour), 0)
		if f.Confirmed() != was {
			t.Fatal("confirmed by a peer that has a newer version")
		}
	})
}

// A backend server moves from the north half to the south. A dispatcher that learns of it
// an hour late because its data centre was cut off, or one that has just started, must
// not use the server for the south at once: its neighbours may still use it for the
// north.
func TestMovedServerIsHeldFromLearningOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, a := &fakeLog{}, netip.MustParseAddrPort("10.0.0.1:9000")
		late := l.follower(1)
		put := func(e Edit) {
			b, _ := json.Marshal(e)
			_, _ = l.Append(t.Context(), Stream, b)
		}
		put(move(ledger.None, "north"))
		late.readOnce(t.Context())
		if late.Held(time.Now(), a) {
			t.Fatal("held without a move")
		}
		put(move(0, "south"))
		time.Sleep(time.Hour)
		fresh, joined := l.follower(2), l.follower(3)
		for range 2 {
			late.readOnce(t.Context())
			fresh.readOnce(t.Context())
		}
		b, err := fresh.FetchReply(FetchRequest{NeedSnapshot: true})
		if err != nil || joined.ApplyReply(b) != nil {
			t.Fatal("no snapshot from a peer")
		}
		for _, f := range []*Follower{late, fresh, joined} {
			if !f.Held(time.Now(), a) {
				t.Error("not held after the move")
			}
			if f.Held(time.Now().Add(8*time.Second), a) {
				t.Error("held for longer than the settle time")
			}
		}
	})
}

// Nobody edits the tables for a day and the log drops old records. Without snapshots a
// dispatcher that starts then finds nothing; if all dispatchers appended snapshots at the
// same time, they would overload the log.
func TestOneOfManyAppendsSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		b, _ := json.Marshal(move(ledger.None, "north"))
		_, _ = l.Append(t.Context(), Stream, b)
		var fs []*Follower
		for i := range 48 {
			fs = append(fs, l.follower(uint64(i)))
		}
		ctx := t.Context()
		for range 24 * 60 * 60 {
			time.Sleep(time.Second)
			for _, f := range fs {
				for f.replay.Next() < ledger.Offset(len(l.records)) {
					f.readOnce(ctx)
				}
				_ = f.PutSnapshot(ctx, time.Now())
			}
		}
		n := len(l.records) - 1
		if n < 24*4 || n > 24*7 {
			t.Errorf("%d snapshots in a day, want one in 10 to 15 minutes", n)
		}
	})
}
