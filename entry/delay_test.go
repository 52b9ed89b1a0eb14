package entry

import (
	"log/slog"
	"testing"
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
)

// through sends jobs through a book, one after the other, with the times that messages take.
func through(b *Book, at, n int, ask, run time.Duration) (last int) {
	for i := range n {
		r := request(1)
		r.ID = string(rune('a' + i))
		b.Submit(ms(at), Waiter(at), r)
		for _, a := range take(b).asks {
			granted := ms(at).Add(ask)
			b.Grant(granted, planner, cell.Grant{Job: a.Job, Items: []cell.Granted{{Run: a.Tasks[0], Worker: "w", Holder: holder}}})
			b.Ended(granted.Add(run+50*time.Millisecond), holder, Ended{Worker: "w", End: lease.End{Run: a.Tasks[0], How: lease.Done, Took: 50 * time.Millisecond}})
		}
		take(b)
		at += 200
	}
	return at
}

// Messages take long, because links are full. The planner would place jobs that can't be
// in time any more when their answers are back; what is left of the objective must be
// what is left for it. When the links are free again, nobody may go on being refused.
func TestSlowMessagesComeOffTheObjective(t *testing.T) {
	b := New(slog.New(slog.DiscardHandler))
	b.Planner(ms(0), holder)
	at := through(b, 0, 40, 40*time.Millisecond, 80*time.Millisecond)
	if d := b.delay.total(1); d < 90*time.Millisecond || d > 170*time.Millisecond {
		t.Errorf("a delay of %v, messages take 120 ms", d)
	}
	r := request(1)
	r.ID = "next"
	b.Submit(ms(at), 1, r)
	asks := take(b).asks
	if want := objective(r) - b.delay.total(1); len(asks) != 1 || asks[0].Aim != want {
		t.Errorf("asks %+v, want one with an objective of %v", asks, want)
	}
	for end := at + 5000; at < end; at += 50 {
		b.Tick(ms(at))
	}
	if d := b.delay.total(1); d > 5*time.Millisecond {
		t.Errorf("a delay of %v long after anything was seen", d)
	}
}

// The planner's link is full, so that it answers too late or not at all. Asking it for
// jobs that are late when they arrive there keeps it so; their callers hear at once that
// they should come back.
func TestJobsThatMessagesMakeLateAreRefusedAtOnce(t *testing.T) {
	b := New(slog.New(slog.DiscardHandler))
	b.Planner(ms(0), holder)
	for i := range 60 {
		r := request(1)
		r.ID = string(rune(0x4e00 + i))
		b.Tick(ms(50 * i))
		take(b)
		b.Submit(ms(50*i), Waiter(i), r)
		if got := take(b); len(got.asks) == 0 {
			wantAnswer(t, got, Refused)
			if after := got.answers[0].Answer.After; after < silentRetry {
				t.Errorf("told to come back after %v", after)
			}
			return
		}
	}
	t.Error("after three seconds without an answer the planner is still asked for all jobs")
}

// The planner dies, and for a while nobody answers. That says nothing of the next one:
// short jobs were refused for a second after it had begun.
func TestNewPlannerIsNotTakenForSlow(t *testing.T) {
	b := New(slog.New(slog.DiscardHandler))
	b.Planner(ms(0), holder)
	for i := range 60 {
		b.delay.unheard(ms(i), 500*time.Millisecond)
	}
	b.Planner(ms(100), other)
	if d := b.PlannerDelay(); d > time.Millisecond {
		t.Errorf("a new planner is taken to need %v", d)
	}
}
