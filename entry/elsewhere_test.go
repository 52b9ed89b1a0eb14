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
