package load

import (
	"strings"
	"testing"
)

// The table has a row for each day of a site file and names what was not played:
// otherwise a day would seem to be handled that was never tried.
func TestBoundOfSiteFile(t *testing.T) {
	var out strings.Builder
	cmd := Command()
	cmd.Writer = &out
	file := "../platform/days/testdata/harbour.toml"
	if err := cmd.Run(t.Context(), []string{"snipeload", "bound", "--site", file, "--seeds", "1", "--day", "fair", "--day", "storm"}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| fair | 1.000 |", "| storm | 0.", "storm: not played: config_change idle, node_slow\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "fog") {
		t.Errorf("a day that was not asked for:\n%s", out.String())
	}
}

func TestBoundOfUnknownSite(t *testing.T) {
	for _, name := range []string{"nowhere", "bound_test.go"} {
		if _, err := findPlayedSite(name, nil); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
