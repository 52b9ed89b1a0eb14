package operator

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"snipehub.example/tables"
)

// printResult prints the result of a command: as JSON with --json, otherwise as text.
func printResult(c *cli.Command, v any, writeText func(w io.Writer)) error {
	w := c.Root().Writer
	if c.Bool("json") {
		return json.NewEncoder(w).Encode(v)
	}
	writeText(w)
	return nil
}

// writeDiff writes a line for each row that is removed and for each that is added; a
// changed row counts as both.
func writeDiff(w io.Writer, cur *tables.State, put tables.Rows, drop tables.Keys) {
	old := cur.Rows()
	writeRowDiff(w, "routes", old.Routes, put.Routes, drop.Routes, func(r tables.Route) string { return r.Kind })
	writeRowDiff(w, "teams", old.Teams, put.Teams, drop.Teams, func(t tables.Team) string { return t.Name })
	writeRowDiff(w, "pools", old.Pools, put.Pools, drop.Pools, func(p tables.Pool) string { return p.Name })
	writeRowDiff(w, "servers", old.Servers, put.Servers, drop.Servers, tables.Server.Key)
}

func writeRowDiff[K comparable, R any](w io.Writer, section string, old, put []R, drop []K, key func(R) K) {
	removedKeys := make(map[K]bool, len(put)+len(drop))
	for _, k := range drop {
		removedKeys[k] = true
	}
	for _, r := range put {
		removedKeys[key(r)] = true
	}
	for _, r := range old {
		if removedKeys[key(r)] {
			writeRow(w, "-", section, r)
		}
	}
	for _, r := range put {
		writeRow(w, "+", section, r)
	}
}

func writeRow(w io.Writer, sign, section string, r any) {
	b, _ := json.Marshal(r)
	fmt.Fprintf(w, "%s %s %s\n", sign, section, b)
}
