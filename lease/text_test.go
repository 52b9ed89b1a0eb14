package lease

import "testing"

// An order is corrupted between the process that accepted its job and the worker's
// holder. The worker must not be told to start it: it would run what nobody has sent, in
// a caller's name. The run is reported to the owner as not started, which has it placed
// again. Without the check each of these orders would be sent as it is.
func TestAnotherTextIsNotSent(t *testing.T) {
	for _, tt := range []struct {
		name string
		text Text
		sent bool
	}{
		{"as the caller sent it", NewText("a", "text"), true},
		{"no text is a text too", NewText("a", ""), true},
		{"text lost", Text{Sum: NewText("a", "text").Sum}, false},
		{"text and sum lost", Text{}, false},
		{"sum lost", Text{Spec: "text"}, false},
		{"text of another job", NewText("b", "text"), false},
		{"a letter changed", Text{Spec: "tezt", Sum: NewText("a", "text").Sum}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			wl, _ := newOpenLease(t)
			wl.Start(ms(10), alice, Order{Claim: claim("a", 1), Text: tt.text})
			got := takeActions(wl)
			if sent := len(got.starts) == 1; sent != tt.sent {
				t.Fatalf("sent %v, want %v", sent, tt.sent)
			}
			if !tt.sent && (len(got.reports) != 1 || got.reports[0].End.Outcome != NeverStarted || got.reports[0].End.Why != TextDiffers) {
				t.Errorf("reported to the owner: %+v", got.reports)
			}
		})
	}
}

// Two processes accept different jobs under one id, and the planner assigns both to one
// worker. The second job's caller was told that its job is done when the first one's was.
func TestStartOfAnotherJobUnderTheSameName(t *testing.T) {
	wl, _, s := newRunningLease(t)
	o := Order{Claim: Claim{Run: s.Run}, Text: NewText(s.Job(), "another")}
	wl.Start(ms(20), bob, o)
	wantEnd(t, takeActions(wl).reports, bob, NeverStarted, TextDiffers)
	wl.HoldAnswered(ms(120), HoldCall{Fence: wl.Fence()}, listResult(ms(120), nil, ListedEnd{Number: 1, Run: s.Run, Outcome: Done}))
	wantEnd(t, takeActions(wl).reports, alice, Done, "")
}

// An order whose run was claimed in the meantime is sent again with its own text, and the
// worker's resources are counted as the claim has them.
func TestClaimChangesNoText(t *testing.T) {
	wl, _ := newOpenLease(t)
	wl.Start(ms(10), alice, order("a", 1))
	first := takeActions(wl).starts[0]
	wl.Start(ms(11), alice, order("b", 1))
	wl.StartAnswered(ms(60), takeActions(wl).starts[0], Result{Verdict: NoAnswer})
	c := claim("a", 1)
	c.Resources.CPU = 30000
	wl.Claim(ms(61), bob, []Claim{c})
	wl.StartAnswered(ms(62), first, Result{Verdict: Refused, Reason: Fenced, Clock: 5062})
	again := takeActions(wl).starts
	if len(again) != 1 || again[0].Text != first.Text || again[0].Resources.CPU != 30000 {
		t.Errorf("sent again: %+v", again)
	}
}
