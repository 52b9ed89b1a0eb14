package entry

import (
	"net/netip"
	"testing"

	"snipehub.example/cell"
	"snipehub.example/mesh"
)

// A cell is full, for instance because its own callers come all at once, while others
// have free resources. The caller is refused only when another cell has refused as well,
// and at once then.
func TestRefusedJobsAreOfferedElsewhere(t *testing.T) {
	other := mesh.ID{Address: netip.MustParseAddrPort("10.0.0.9:1"), Boot: 1}
	third := mesh.ID{Address: netip.MustParseAddrPort("10.0.0.8:1"), Boot: 1}
	tests := []struct {
		name string
		// do is what happens after this cell's planner has refused.
		do       func(js *Jobs)
		to       mesh.ID
		requests int
		answers  int
	}{
		{"requested there", func(*Jobs) {}, other, 1, 0},
		{"refused there too", func(js *Jobs) { js.Refused(ms(20), other, cell.Refusal{Job: jobID, Reason: "others_first"}) }, other, 1, 1},
		{"the own planner repeats itself", func(js *Jobs) { js.Refused(ms(20), planner, cell.Refusal{Job: jobID, Reason: "others_first"}) }, other, 1, 0},
		{"another one plans there", func(js *Jobs) {
			js.Refused(ms(20), other, cell.Refusal{Job: jobID, Reason: cell.ReasonNotPlanner, Planner: third})
		}, third, 2, 0},
		{"nobody plans there", func(js *Jobs) { js.Refused(ms(20), other, cell.Refusal{Job: jobID, Reason: cell.ReasonNotPlanner}) }, other, 1, 1},
		{"its planner is lost", func(js *Jobs) { js.HolderUnreachable(ms(20), other) }, mesh.ID{}, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			js, _ := newSubmittedJobs(t, request(1))
			js.SetOtherPlanners([]mesh.ID{other})
			js.Refused(ms(10), planner, cell.Refusal{Job: jobID, Reason: "others_first"})
			tt.do(js)
			requests, answers, to := 0, 0, mesh.ID{}
			for _, a := range js.TakeActions() {
				switch {
				case a.Request != nil:
					requests++
					to = a.To
				case a.Answer != nil:
					answers++
				}
			}
			if requests != tt.requests || answers != tt.answers || to != tt.to {
				t.Errorf("%d requests, the last to %q, %d answers; want %d to %q and %d", requests, to, answers, tt.requests, tt.to, tt.answers)
			}
		})
	}
}

// Several cells are full and one is not. Jobs that are offered to a cell which has just
// refused another one are refused for nothing.
func TestCellsThatRefusedArePassedOver(t *testing.T) {
	js, _ := newSubmittedJobs(t, request(1))
	var cells []mesh.ID
	for n := range byte(4) {
		cells = append(cells, mesh.ID{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, n}), 1), Boot: 1})
	}
	js.SetOtherPlanners(cells)
	free := cells[2]
	for _, c := range cells {
		if c != free {
			js.refusedBy[c] = ms(10)
		}
	}
	for n := range 20 {
		if got := js.chooseOtherPlanner(ms(20), string(rune('a'+n))); got != free {
			t.Fatalf("job %d is offered to %s, want %s", n, got, free)
		}
	}
	offered := make(map[mesh.ID]bool)
	for n := range 40 {
		offered[js.chooseOtherPlanner(ms(20).Add(refusalMemory), string(rune('a'+n)))] = true
	}
	if len(offered) != len(cells) {
		t.Errorf("later, jobs are offered to %d of %d cells", len(offered), len(cells))
	}
}
