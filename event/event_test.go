package event

import (
	"fmt"
	"strings"
	"testing"

	"snipehub.example/internal/page"
	"snipehub.example/internal/source"
)

// TestCatalogue checks that docs/EVENTS.md equals the table. Run it with UPDATE_DOCS=1 to
// write the page.
func TestCatalogue(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line of a process carries the number of its event as `event`.\nThis page follows the table in `event/table.go`.\n")
	last := ID(0)
	for _, e := range All() {
		if e.ID <= last {
			t.Errorf("event %d is not above %d", e.ID, last)
		}
		last = e.ID
		fmt.Fprintf(&b, "\n## %d %s\n\n%s, since %s. %s\n", e.ID, e.Title, e.Level, e.Since, e.Text)
	}
	page.CheckEqual(t, "../docs/EVENTS.md", b.String())
}

// An event that is documented but never logged makes an operator wait for an alarm that
// can't come.
func TestEveryEventIsLogged(t *testing.T) {
	names, err := source.Constants("table.go", "ID")
	if err != nil {
		t.Fatal(err)
	}
	used, err := source.Selectors("..", "event")
	if err != nil {
		t.Fatal(err)
	}
	if len(names) != len(All()) {
		t.Errorf("%d constants, %d entries", len(names), len(All()))
	}
	for _, n := range names {
		if !used[n] {
			t.Errorf("event.%s is never logged", n)
		}
	}
}

// TestNumbersAreInTheirPart checks that every number lies in the range 100 to 999 that
// the parts divide among themselves, and that every entry is complete.
func TestNumbersAreInTheirPart(t *testing.T) {
	for _, e := range All() {
		if e.ID < 100 || e.ID > 999 || e.Title == "" || e.Text == "" || e.Since == "" {
			t.Errorf("event %d: outside the parts, or without title, text or version", e.ID)
		}
	}
}
