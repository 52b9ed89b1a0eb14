package model

import (
	"testing"
	"time"

	"snipehub.example/lease"
)

// overtakenCallsDay returns a day on which starts are refused and resent while their owners claim
// them: sessions end and begin again all the time, and some calls to workers are overtaken by
// later ones.
func overtakenCallsDay(seed uint64) Config {
	cfg := Lakeshore()
	cfg.Seed, cfg.Load, cfg.Length, cfg.Tail = seed, 0.9, 6*time.Second, 2*time.Second
	cfg.DelayedCallShare = 0.3
	for i := range 120 {
		cfg.Faults = append(cfg.Faults, Fault{At: time.Duration(i) * 50 * time.Millisecond, Do: ResetSessions(i)})
	}
	return cfg
}

// A worker was told to start a task without its spec, and callers waited for one more attempt. A
// start is overtaken by a later hold call that raised the round of the fencing token, so the
// worker refuses it and the holder sends it again. In between, the owner claims its runs, because
// its session was replaced or a new holder's announcement follows the grant, and the claim,
// which has no spec, had overwritten the order. On the first four seeds such orders were resent,
// each time for the same run and with no spec at all. With that fault put back, orders are held
// back on the other three.
func TestStartsCarryTheirText(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 4, 9, 13, 17, 21, 28} {
		t.Log(play(t, overtakenCallsDay(seed)))
	}
}

// The check detects a start of a task that no caller has submitted, of one that its job does not
// have, and of one with another spec.
func TestUnaskedStartsAreNoticed(t *testing.T) {
	cfg := overtakenCallsDay(1)
	cfg.Length, cfg.Tail, cfg.Faults = time.Second, time.Second, nil
	w := New(cfg)
	w.Run()
	j := w.jobs[0]
	first := lease.Run{Task: lease.Task(j.id + ".0.0.0"), Number: 1}
	for _, tt := range []struct {
		name string
		run  lease.Run
		text string
		want int
	}{
		{"as sent", first, w.specOf(j), 0},
		{"no text", first, "", 1},
		{"the text of another job", first, w.specOf(w.jobs[1]), 1},
		{"a task too many", lease.Run{Task: lease.Task(j.id + ".0.0.99"), Number: 1}, w.specOf(j), 1},
		{"another job", lease.Run{Task: "ffffffffffffffff.0.0.0", Number: 1}, w.specOf(j), 1},
	} {
		w.result.Violations = nil
		w.checkStart(w.workers[0], lease.StartCall{Order: lease.Order{Claim: lease.Claim{Run: tt.run}, Text: lease.Text{Spec: tt.text}}})
		if len(w.result.Violations) != tt.want {
			t.Errorf("%s: %v, want %d", tt.name, w.result.Violations, tt.want)
		}
	}
}

// Seeds on which tasks ran twice at once. In 1113 the answer to a call of a former holding was
// taken for that to the first hold call of the present one. In 1084 an owner ordered holders by
// the fencing token that a planner named, which belonged to a former holding of the same
// process, and believed an older holder that a run was lost.
func TestCrossedDaysThatFailed(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1084, 1113} {
		play(t, overtakenCallsDay(seed))
	}
}
