package operator

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"snipehub.example/tables"
)

// out writes what the command has to say: as JSON when the operator asks for
// it, as text else.
func out(c *cli.Command, v any, text func(w io.Writer)) error {
	w := c.Root().Writer
	if c.Bool("json") {
		return json.NewEncoder(w).Encode(v)
	}
	text(w)
	return nil
}

// writeDiff writes a line for each row that goes and for each that comes.
func writeDiff(w io.Writer, cur *tables.State, put tables.Rows, drop tables.Keys) {
	old := cur.Rows()
	lines(w, "routes", old.Routes, put.Routes, drop.Routes, func(r tables.Route) string { return r.Kind })
	lines(w, "teams", old.Teams, put.Teams, drop.Teams, func(t tables.Team) string { return t.Name })
	lines(w, "pools", old.Pools, put.Pools, drop.Pools, func(p tables.Pool) string { return p.Name })
	lines(w, "servers", old.Servers, put.Servers, drop.Servers, tables.Server.Key)
}

func lines[K comparable, R any](w io.Writer, section string, old, put []R, drop []K, key func(R) K) {
	goes := make(map[K]bool, len(put)+len(drop))
	for _, k := range drop {
		goes[k] = true
	}
	for _, r := range put {
		goes[key(r)] = true
	}
	for _, r := range old {
		if goes[key(r)] {
			row(w, "-", section, r)
		}
	}
	for _, r := range put {
		row(w, "+", section, r)
	}
}

func row(w io.Writer, sign, section string, r any) {
	b, _ := json.Marshal(r)
	fmt.Fprintf(w, "%s %s %s\n", sign, section, b)
}
