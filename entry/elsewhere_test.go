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
		do      func(b *Jobs)
		to      mesh.ID
		asks    int
		answers int
	}{
		{"requested there", func(*Jobs) {}, other, 1, 0},
		{"refused there too", func(b *Jobs) { b.Refused(ms(20), other, cell.Refusal{Job: jobID, Reason: "others_first"}) }, other, 1, 1},
		{"the own planner repeats itself", func(b *Jobs) { b.Refused(ms(20), planner, cell.Refusal{Job: jobID, Reason: "others_first"}) }, other, 1, 0},
		{"its planner is lost", func(b *Jobs) { b.HolderUnreachable(ms(20), other) }, mesh.ID{}, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, _ := newSubmittedBook(t, request(1))
			b.SetOtherPlanners([]mesh.ID{other})
			b.Refused(ms(10), planner, cell.Refusal{Job: jobID, Reason: "others_first"})
			tt.do(b)
			asks, answers, to := 0, 0, mesh.ID{}
			for _, a := range b.Take() {
				switch {
				case a.Request != nil:
					asks++
					to = a.To
				case a.Answer != nil:
					answers++
				}
			}
			if asks != tt.asks || answers != tt.answers || to != tt.to {
				t.Errorf("%d requests, the last to %q, %d answers; want %d to %q and %d", asks, to, answers, tt.asks, tt.to, tt.answers)
			}
		})
	}
}
