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

// table is the routes table, the pools table or both: which rows its files may have, and
// which of the current rows they replace.
type table struct {
	name, content string
	// foreignSection returns the name of a section that doesn't belong in the file, or
	// "".
	foreignSection func(r tables.Rows) string
	// replaceRows returns the current rows with the table's own replaced by those of the
	// files.
	replaceRows func(cur, fileRows tables.Rows) tables.Rows
}

var routesTable = table{
	name:    "routes",
	content: "routes and teams",
	foreignSection: func(r tables.Rows) string {
		switch {
		case len(r.Pools) > 0:
			return "pools"
		case len(r.Servers) > 0:
			return "servers"
		}
		return ""
	},
	replaceRows: func(cur, fileRows tables.Rows) tables.Rows {
		cur.Routes, cur.Teams = fileRows.Routes, fileRows.Teams
		return cur
	},
}

var poolsTable = table{
	name:    "pools",
	content: "pools and servers",
	foreignSection: func(r tables.Rows) string {
		switch {
		case len(r.Routes) > 0:
			return "routes"
		case len(r.Teams) > 0:
			return "teams"
		}
		return ""
	},
	replaceRows: func(cur, fileRows tables.Rows) tables.Rows {
		cur.Pools, cur.Servers = fileRows.Pools, fileRows.Servers
		return cur
	},
}

var bothTables = table{
	name:           "both",
	content:        "all rows",
	foreignSection: func(tables.Rows) string { return "" },
	replaceRows:    func(_, fileRows tables.Rows) tables.Rows { return fileRows },
}

// ReadFiles reads the rows of several TOML files, which together make up both tables, and
// checks them.
func ReadFiles(paths []string) (tables.Rows, error) {
	rows, err := readRows(bothTables, paths)
	if err != nil {
		return rows, err
	}
	if _, err := tables.Build(ledger.None, rows); err != nil {
		return rows, withLocation(paths, err)
	}
	return rows, nil
}

// readRows reads the files of one table, without the checks that need the rows of the
// other table.
func readRows(t table, paths []string) (tables.Rows, error) {
	var rows tables.Rows
	if len(paths) == 0 {
		return rows, errors.New("no file is named")
	}
	for _, p := range paths {
		r, err := readFile(p)
		if err != nil {
			return rows, err
		}
		if s := t.foreignSection(r); s != "" {
			return rows, errors.Errorf("%s: %s: does not belong in a %s file", p, s, t.name)
		}
		rows.Routes = append(rows.Routes, r.Routes...)
		rows.Teams = append(rows.Teams, r.Teams...)
		rows.Pools = append(rows.Pools, r.Pools...)
		rows.Servers = append(rows.Servers, r.Servers...)
	}
	return rows, nil
}

func readFile(path string) (tables.Rows, error) {
	var r tables.Rows
	b, err := os.ReadFile(path)
	if err != nil {
		return r, errors.Wrap(err, "tables")
	}
	md, err := toml.NewDecoder(bytes.NewReader(b)).Decode(&r)
	var parseErr toml.ParseError
	switch {
	case errors.As(err, &parseErr):
		return r, errors.Errorf("%s: line %d: %s: %s", path, parseErr.Position.Line, parseErr.LastKey, parseErr.Message)
	case err != nil:
		return r, errors.Errorf("%s: %v", path, err)
	}
	if unknownKeys := md.Undecoded(); len(unknownKeys) > 0 {
		key := unknownKeys[0]
		return r, errors.Errorf("%s: %s: unknown key%s", path, key, lineSuffix(b, `(?m)^\s*(\[+\s*)?`+regexp.QuoteMeta(key[len(key)-1])+`\b`))
	}
	return r, nil
}

// lineSuffix returns " (line n)" for the first match of the pattern, or "".
func lineSuffix(text []byte, pattern string) string {
	match := regexp.MustCompile(pattern).FindIndex(text)
	if match == nil {
		return ""
	}
	upToMatch := strings.TrimRight(string(text[:match[1]]), "\n")
	return fmt.Sprintf(" (line %d)", 1+strings.Count(upToMatch, "\n"))
}

// namePattern matches the first name in a table error: a quoted name or the address of a
// server.
var namePattern = regexp.MustCompile(`"[^"]+"|[0-9a-f.:\[\]]+:[0-9]+`)

// withLocation adds to a table error the file and line of the first row that the error
// names.
func withLocation(paths []string, err error) error {
	name := strings.Trim(namePattern.FindString(err.Error()), `"`)
	for _, p := range paths {
		b, readErr := os.ReadFile(p)
		if name == "" || readErr != nil {
			continue
		}
		if l := lineSuffix(b, `"`+regexp.QuoteMeta(name)+`"`); l != "" {
			return errors.Errorf("%s: %v%s", p, err, l)
		}
	}
	return errors.Errorf("%s: %v", strings.Join(paths, ", "), err)
}
