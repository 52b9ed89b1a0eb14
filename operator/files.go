package operator

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"

	"snipehub.example/ledger"
	"snipehub.example/tables"
)

// table is one of the two tables, or both: which rows a file may have, and what
// the whole is once the file has replaced them.
type table struct {
	name, content string
	// foreign returns the section of the rows that don't belong in the file.
	foreign func(r tables.Rows) string
	// put returns the current rows with those of the file in their place.
	put func(cur, file tables.Rows) tables.Rows
}

var routesTable = table{
	name:    "routes",
	content: "routes and teams",
	foreign: func(r tables.Rows) string {
		switch {
		case len(r.Pools) > 0:
			return "pools"
		case len(r.Servers) > 0:
			return "servers"
		}
		return ""
	},
	put: func(cur, file tables.Rows) tables.Rows {
		cur.Routes, cur.Teams = file.Routes, file.Teams
		return cur
	},
}

var poolsTable = table{
	name:    "pools",
	content: "pools and servers",
	foreign: func(r tables.Rows) string {
		switch {
		case len(r.Routes) > 0:
			return "routes"
		case len(r.Teams) > 0:
			return "teams"
		}
		return ""
	},
	put: func(cur, file tables.Rows) tables.Rows {
		cur.Pools, cur.Servers = file.Pools, file.Servers
		return cur
	},
}

var bothTables = table{
	name:    "both",
	content: "all rows",
	foreign: func(tables.Rows) string { return "" },
	put:     func(_, file tables.Rows) tables.Rows { return file },
}

// ReadFiles reads and joins the rows of several TOML files, which together are
// both tables.
func ReadFiles(paths []string) (tables.Rows, error) {
	rows, err := readRows(bothTables, paths)
	if err != nil {
		return rows, err
	}
	if _, err := tables.Build(ledger.None, rows); err != nil {
		return rows, place(paths, err)
	}
	return rows, nil
}

// readRows reads the files of a table, without the checks that need the rows
// of the other one.
func readRows(t table, paths []string) (tables.Rows, error) {
	var all tables.Rows
	if len(paths) == 0 {
		return all, errors.New("no file is named")
	}
	for _, p := range paths {
		r, err := readFile(p)
		if err != nil {
			return all, err
		}
		if s := t.foreign(r); s != "" {
			return all, errors.Errorf("%s: %s: does not belong in a %s file", p, s, t.name)
		}
		all.Routes = append(all.Routes, r.Routes...)
		all.Teams = append(all.Teams, r.Teams...)
		all.Pools = append(all.Pools, r.Pools...)
		all.Servers = append(all.Servers, r.Servers...)
	}
	return all, nil
}

func readFile(path string) (tables.Rows, error) {
	var r tables.Rows
	b, err := os.ReadFile(path)
	if err != nil {
		return r, errors.Wrap(err, "tables")
	}
	md, err := toml.NewDecoder(bytes.NewReader(b)).Decode(&r)
	var at toml.ParseError
	switch {
	case errors.As(err, &at):
		return r, errors.Errorf("%s: line %d: %s: %s", path, at.Position.Line, at.LastKey, at.Message)
	case err != nil:
		return r, errors.Errorf("%s: %v", path, err)
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		key := extra[0]
		return r, errors.Errorf("%s: %s: unknown key%s", path, key, line(b, `(?m)^\s*(\[+\s*)?`+regexp.QuoteMeta(key[len(key)-1])+`\b`))
	}
	return r, nil
}

// line returns " (line n)" of the first match, or "".
func line(text []byte, pattern string) string {
	at := regexp.MustCompile(pattern).FindIndex(text)
	if at == nil {
		return ""
	}
	before := strings.TrimRight(string(text[:at[1]]), "\n")
	return fmt.Sprintf(" (line %d)", 1+strings.Count(before, "\n"))
}

var quoted = regexp.MustCompile(`"[^"]+"|[0-9a-f.:\[\]]+:[0-9]+`)

// place adds to an error of the tables the file and line where the row that it
// names first stands.
func place(paths []string, err error) error {
	name := strings.Trim(quoted.FindString(err.Error()), `"`)
	for _, p := range paths {
		b, readErr := os.ReadFile(p)
		if name == "" || readErr != nil {
			continue
		}
		if l := line(b, `"`+regexp.QuoteMeta(name)+`"`); l != "" {
			return errors.Errorf("%s: %v%s", p, err, l)
		}
	}
	return errors.Errorf("%s: %v", strings.Join(paths, ", "), err)
}
