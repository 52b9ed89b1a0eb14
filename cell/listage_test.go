package cell

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"snipehub.example/event"
	"snipehub.example/lease"
)

// Whoever looks for the cause of a start on a draining worker must see how old the list was,
// and who brought the news.
func TestListAgeIsLogged(t *testing.T) {
	pl := newPlanner(t, 3, 2)
	var log bytes.Buffer
	pl.log = slog.New(slog.NewTextHandler(&log, nil))
	for at := 0; at <= 1500; at += 50 {
		pl.Tick(ms(at))
	}
	pl.UpdateWorkers(ms(1510), memberID(1), WorkerList{Age: 10 * time.Millisecond, Workers: []ListedWorker{{Worker: testWorker(0), Draining: true}}})
	pl.Report(ms(1520), memberID(2), Report{States: []lease.State{{ID: "w1", Fence: 1, Draining: true}}})
	if age := pl.ListAge(ms(1520)); age != 20*time.Millisecond {
		t.Errorf("list age %v, want 20 ms", age)
	}
	for _, want := range []struct {
		id   event.ID
		text string
	}{
		{event.WorkerListLate, "event=928 age_ms=1050 read=true"},
		{event.WorkerListCurrent, "event=929 reader=" + memberID(1).String() + " was_ms_old=1510"},
		{event.WorkerDraining, "event=904 worker=w0 source=list from=" + memberID(1).String() + " read_ms_ago=10"},
		{event.WorkerDraining, "event=904 worker=w1 source=holder from=" + memberID(2).String()},
	} {
		if strings.Count(log.String(), want.text) != 1 {
			t.Errorf("event %d is not logged once as %q in\n%s", want.id, want.text, log.String())
		}
	}
}

// All processes of a data centre did not run, the planner among them. They report their workers
// to it at once, but none of them has been told which ones drain.
func TestNothingIsGrantedWhileTheListIsAwaited(t *testing.T) {
	tests := []struct {
		name  string
		list  bool
		until int
	}{
		{"list read", true, 60},
		{"store away", false, int(reportGracePeriod.Milliseconds())},
	}
	for _, tt := range tests {
		pl := newIdlePlanner(Policy{})
		pl.Begin(ms(0))
		pl.AwaitList(ms(0))
		pl.SetMembers(ms(0), members(2), members(2), true, true)
		w := testWorker(0)
		pl.Report(ms(1), memberID(1), Report{Full: true, States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: true}}})
		pl.Request(ms(2), memberID(1), newRequest("j", 1))
		first := 0
		for at := 5; at <= 1000 && first == 0; at += 5 {
			if tt.list && at == tt.until {
				pl.UpdateWorkers(ms(at), memberID(0), WorkerList{Full: true, Workers: []ListedWorker{{Worker: w}}})
			}
			if at%50 == 0 {
				pl.Tick(ms(at))
			}
			if grants, refusals := place(pl, at); len(grants)+len(refusals) > 0 {
				first = at
			}
		}
		if first != tt.until {
			t.Errorf("%s: first grant or refusal at %d ms, want %d", tt.name, first, tt.until)
		}
	}
}
