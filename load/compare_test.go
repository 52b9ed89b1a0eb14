package load

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func reportOf(policy string, p50 float64) Report {
	return Report{Deployment: "d", Scenario: "s", Policy: policy, Ratio: Quantiles{P50: p50}, CDF: []Point{{1, 0}, {p50, 1}}}
}

// A difference is significant only if the ranges of the repeated runs don't overlap.
func TestCompare(t *testing.T) {
	tests := []struct {
		name  string
		a, b  []Report
		ratio float64
		noise bool
		n     int
	}{
		{"apart", []Report{reportOf("x", 1), reportOf("x", 1.2)}, []Report{reportOf("y", 2), reportOf("y", 2.4)}, 2, false, len(quantities)},
		{"overlapping", []Report{reportOf("x", 1), reportOf("x", 3)}, []Report{reportOf("y", 2), reportOf("y", 4)}, 1.5, true, len(quantities)},
		{"single runs", []Report{reportOf("x", 1)}, []Report{reportOf("y", 2)}, 2, true, len(quantities)},
		{"several policies are kept apart", []Report{reportOf("x", 1), reportOf("y", 5)}, []Report{reportOf("x", 2)}, 2, true, len(quantities)},
		{"nothing in common", []Report{reportOf("x", 1), reportOf("y", 5)}, []Report{reportOf("z", 2)}, 0, false, 0},
	}
	for _, tt := range tests {
		got := Compare(tt.a, tt.b)
		if len(got) != tt.n {
			t.Errorf("%s: %d differences, want %d", tt.name, len(got), tt.n)
			continue
		}
		if tt.n > 0 && (!near(got[0].Ratio(), tt.ratio, 1e-9) || got[0].WithinNoise != tt.noise) {
			t.Errorf("%s: %+v, ratio %v", tt.name, got[0], got[0].Ratio())
		}
	}
}

// The marked part of a page must be replaced, and nothing else.
func TestReplaceInPage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(path, []byte("a\n"+pageBegin+"\nold\n"+pageEnd+"\nz\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := replaceInPage(path, markdown([]Report{reportOf("x", 1)})); err != nil {
			t.Fatal(err)
		}
	}
	b, _ := os.ReadFile(path)
	s := string(b)
	if !strings.HasPrefix(s, "a\n") || !strings.HasSuffix(s, "\nz\n") || strings.Contains(s, "old") || strings.Count(s, "### d, s") != 1 {
		t.Errorf("page:\n%s", s)
	}
	if err := os.WriteFile(path, []byte("no marks"), 0o600); err != nil {
		t.Fatal(err)
	}
	if replaceInPage(path, "x") == nil {
		t.Error("a page without marks was changed")
	}
}

func TestPlots(t *testing.T) {
	dir := t.TempDir()
	r := reportOf("x", 2)
	r.Goodput, r.Seconds = []float64{1, 2}, []Second{{Offered: 1}, {Offered: 2}}
	if err := savePlots([]Report{r}, dir, []string{"svg", "png"}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"d-s-ratio.svg", "d-s-ratio.png", "d-s-time.svg", "d-s-time.png"} {
		if st, err := os.Stat(filepath.Join(dir, name)); err != nil || st.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}
