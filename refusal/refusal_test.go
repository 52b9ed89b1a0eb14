package refusal_test

import (
	"fmt"
	"strings"
	"testing"

	"snipehub.example/internal/page"
	"snipehub.example/refusal"
)

const head = `# Refusals

Every answer that turns a caller away is a JSON body with these fields: ` + "`code`" + `
(as below), ` + "`sentence`" + `, ` + "`ran`" + ` (was any of the work started: ` + "`no`, `yes`, `unknown`" + `),
` + "`again`" + ` (the identity to come back with: ` + "`same`, `new`, `never`" + `) and
` + "`retry_after_ms`" + ` where it applies. This page follows the table in
` + "`refusal/table.go`" + `.

| number | code | status | ran | again | meaning |
| --- | --- | --- | --- | --- | --- |
`

// TestCatalogue holds docs/REFUSALS.md equal to the table. Run it with
// UPDATE_DOCS=1 to write the page.
func TestCatalogue(t *testing.T) {
	var b strings.Builder
	b.WriteString(head)
	last := 0
	for _, e := range refusal.All() {
		if e.Number <= last {
			t.Errorf("refusal %d does not follow %d", e.Number, last)
		}
		last = e.Number
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s | %s. %s |\n", e.Number, e.Code, e.Status, e.Ran, e.Again, e.Title, e.Text)
	}
	page.Hold(t, "../docs/REFUSALS.md", b.String())
}

// Whoever says "not run" must also say which identity comes next, and an open
// outcome must never send a caller to a new one: it would order twice.
func TestTableIsConsistent(t *testing.T) {
	for _, e := range refusal.All() {
		if e.Ran != refusal.RanNo && e.Again == refusal.AgainNew {
			t.Errorf("%s: outcome %s, but a new identity", e.Code, e.Ran)
		}
		if e.Ran == refusal.RanNo && e.Again == refusal.AgainSame {
			t.Errorf("%s: it never runs, but is to come back the same", e.Code)
		}
	}
	for _, code := range []refusal.Code{refusal.BadRequest, refusal.Unauthorized, refusal.TooLarge} {
		if r := refusal.New(code, "").AboutIdentity(); r.Ran != refusal.RanUnknown || r.Again == refusal.AgainNew {
			t.Errorf("%s: says %s, %s about an identity", code, r.Ran, r.Again)
		}
	}
}
