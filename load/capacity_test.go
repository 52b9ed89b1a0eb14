package load

import "testing"

// The requirements follow from the lines: for lines with known values, each was computed
// by hand.
func TestRequirements(t *testing.T) {
	z := systemSize{workers: 1000, startsPerSecond: 6400, teams: 10, changesPerDay: 86400, tasksPerJob: 10, secondsPerTask: 1, connections: 64, answerRetention: 10, appendRate: 50}
	lines := map[string]Fit{
		slopeCPU: {Slope: 100, Intercept: 500}, slopeKept: {Slope: 1 << 20}, slopeKeptLarge: {Slope: 20 << 20}, slopeTicket: {Slope: 1 << 20}, slopeQueue: {Slope: 1 << 10},
		slopeRows: {Slope: 1 << 20}, slopeApply: {Slope: 2}, slopeEditBytes: {Mean: 200},
		slopeIdleCPU: {Slope: 200, Intercept: 2000}, slopeIdleBytes: {Slope: 10}, slopeIdleRSS: {Slope: 5, SlopeError: 2, Freedom: 2, Mean: 1 << 20},
		slopeStatus: {Slope: 1 << 20}, slopeLogReads: {Slope: 0.2}, slopeClaims: {Mean: 100}, slopeClaimBytes: {Slope: 75},
	}
	var all []Slope
	for name, f := range lines {
		all = append(all, Slope{Name: name, Fit: f})
	}
	got, err := requirements(z, all)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		quantity       string
		value, reached float64
		budgetText     string
	}{
		{"processes in all", 100, 0, "none set"},
		{"jobs, each", 6.4, 0, "none set"},
		{"processor for tasks and jobs, each", 6.4 * 1500 / 1e6, 0, "none set"},
		{"kept answers, each", 640, 0, "none set"},
		{"rows of backend servers", 1000, 0, "**over** 64"},
		{"processor for edits", 2000, 6000, "within 1.2e+04"},
		{"idle processor", 22000, 50, "**over** 1.2e+04"},
		{"idle traffic, in and out", 1000, 2500, "within 2.5e+04"},
		{"idle memory, whole process", 1 << 20, 0, "within 6.711e+07"},
		{"one claim, at each reader", 100, 0, "none set"},
		{"claims that fill the budget of traffic", 250, 0, "none set"},
		{"time between two appends of a dispatcher", 2, 0, "none set"},
		{"reads woken by edits", 100, 0, "none set"},
	}
	for _, tt := range tests {
		found := false
		for _, n := range got {
			if n.quantity != tt.quantity {
				continue
			}
			found = true
			if !near(n.value, tt.value, 1e-6) || !near(n.budgetReachedAt, tt.reached, 1e-6) || n.budgetText() != tt.budgetText {
				t.Errorf("%s: %v, reached at %v, %s; want %+v", n.quantity, n.value, n.budgetReachedAt, n.budgetText(), tt)
			}
		}
		if !found {
			t.Errorf("%s: missing", tt.quantity)
		}
	}
	if _, err := requirements(z, all[1:]); err == nil {
		t.Error("requirements were computed without one of the slopes")
	}
}
