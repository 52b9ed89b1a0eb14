package refusal_test

import (
	"fmt"
	"strings"
	"testing"

	"snipehub.example/internal/page"
	"snipehub.example/refusal"
)

const pageHead = `# Refusals

Every answer that turns a caller away is a JSON body with these fields: ` + "`code`" + `
(as below), ` + "`sentence`" + `, ` + "`ran`" + ` (was any of the work started: ` + "`no`, `yes`, `unknown`" + `),
` + "`again`" + ` (the identity to come back with: ` + "`same`, `new`, `never`" + `) and
` + "`retry_after_ms`" + ` where it applies. This page follows the table in
` + "`refusal/table.go`" + `.

| number | code | status | ran | again | meaning |
| --- | --- | --- | --- | --- | --- |
`

// TestCatalogue checks that docs/REFUSALS.md matches the table. With UPDATE_DOCS=1 it
// writes the page.
func TestCatalogue(t *testing.T) {
	var b strings.Builder
	b.WriteString(pageHead)
	last := 0
	for _, e := range refusal.All() {
		if e.Number <= last {
			t.Errorf("refusal %d does not follow %d", e.Number, last)
		}
		last = e.Number
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s | %s. %s |\n", e.Number, e.Code, e.Status, e.Ran, e.Again, e.Title, e.Text)
	}
	page.CheckEqual(t, "../docs/REFUSALS.md", b.String())
}

// A refusal that says "not run" must not ask for a retry with the same identity, which never
// runs. A refusal with an unknown outcome must not ask for a new identity: the caller would
// order twice.
func TestTableIsConsistent(t *testing.T) {
	for _, e := range refusal.All() {
		if e.Ran != refusal.RanNo && e.Again == refusal.AgainNew {
			t.Errorf("%s: ran is %s, but again asks for a new identity", e.Code, e.Ran)
		}
		if e.Ran == refusal.RanNo && e.Again == refusal.AgainSame {
			t.Errorf("%s: the identity never runs, but again asks for the same one", e.Code)
		}
	}
	for _, code := range []refusal.Code{refusal.BadRequest, refusal.Unauthorized, refusal.TooLarge} {
		if r := refusal.New(code, "").ForNamedIdentity(); r.Ran != refusal.RanUnknown || r.Again == refusal.AgainNew {
			t.Errorf("%s: ran is %s and again is %s for a request with an identity", code, r.Ran, r.Again)
		}
	}
}
